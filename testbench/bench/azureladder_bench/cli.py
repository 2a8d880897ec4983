"""Command line of azureladder-bench."""

import argparse
import json
import os
import pathlib
import platform
import sys
import time

from . import comparison, plot
from .experiment import ExperimentError, read
from .run import Run

EXIT_OK = 0
EXIT_VIOLATIONS = 1
EXIT_FAILED = 2


def parse_arguments(arguments):
    """Parsed command line."""
    parser = argparse.ArgumentParser(prog="azureladder-bench", description=__doc__)
    parser.add_argument("experiment", type=pathlib.Path, help="description (JSON with comments)")
    parser.add_argument("--build", default="build", help="build directory with bin/")
    parser.add_argument("--out", type=pathlib.Path, required=True,
                        help="directory for logs, report.json and plot.svg; must not exist")
    parser.add_argument("--repetitions", type=int, help="replaces the number of repetitions")
    return parser.parse_args(arguments)


def run_repetitions(experiment, build, out):
    """Executes the repetitions; the order of the variants alternates."""
    for repetition in range(experiment.repetitions):
        seed = experiment.seed + repetition
        for variant in comparison.order(experiment.variants, repetition):
            print(f"run: variant {variant.name}, seed {seed}", flush=True)
            directory = out / f"{variant.name}-{seed}"
            yield Run(experiment, variant, seed, build, directory).execute()


def environment(build):
    """Time, machine and build of the measurement."""
    return {"time": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
            "machine": platform.platform(), "cores": os.cpu_count(),
            "load_average_at_start": os.getloadavg(), "build": str(build)}


def write_report(experiment, environment_info, runs, out):
    """Writes report.json and plot.svg and prints the summary."""
    variants = comparison.summarise(runs)
    base = experiment.variants[0].name
    comparisons = {f"{other.name}/{base}": comparison.compare(runs, base, other.name)
                   for other in experiment.variants[1:]}
    report = {"experiment": experiment.name, "environment": environment_info, "variants": variants,
              "comparisons": comparisons, "runs": runs}
    (out / "report.json").write_text(json.dumps(report, indent=1), encoding="utf-8")
    (out / "plot.svg").write_text(plot.draw(experiment.name, runs), encoding="utf-8")
    print("\n".join(comparison.table(variants, comparisons)))


def print_warnings(runs):
    """Prints conditions that make the results of a run unreliable."""
    for run in runs:
        name = f"{run['variant']} seed {run['seed']}"
        if not run["load"]["lag"]["schedule_kept"]:
            print(f"{name}: the load generator did not keep its schedule")
        if run["not_stopped_in_time"]:
            print(f"{name}: killed after the stop limit: {', '.join(run['not_stopped_in_time'])}")
        if run["audit"]["status"] != 0:
            print(f"{name}: audit: {run['audit']}")


def main(arguments=None):
    """Runs an experiment and returns the exit status."""
    options = parse_arguments(arguments)
    try:
        experiment = read(options.experiment)
        if options.repetitions:
            experiment.repetitions = options.repetitions
        options.out.mkdir(parents=True)
        environment_info = environment(options.build)
        runs = list(run_repetitions(experiment, options.build, options.out.resolve()))
    except (ExperimentError, RuntimeError, OSError) as error:
        print(f"azureladder-bench: {error}", file=sys.stderr)
        return EXIT_FAILED
    except KeyboardInterrupt:
        print("azureladder-bench: interrupted; all processes were ended", file=sys.stderr)
        return EXIT_FAILED
    write_report(experiment, environment_info, runs, options.out)
    print_warnings(runs)
    return EXIT_OK if all(run["audit"]["status"] == 0 for run in runs) else EXIT_VIOLATIONS
