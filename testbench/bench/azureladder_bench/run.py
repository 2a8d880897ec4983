"""Executes one run: one repetition of one variant."""

import json
import time

from . import measures, network
from .deployment import Deployment
from .experiment import merged, read_json_with_comments
from .processes import ProcessGroup
from .timeline import Timeline

STEP_INTERVAL_S = 0.02
SAMPLE_INTERVAL_S = 1
LOAD_TIMEOUT_S = 120
AUDIT_TIMEOUT_S = 300
US_PER_S = 1000000


def boot_time_us():
    """Current time on the clock of `mono_us` in all logs."""
    return int(time.clock_gettime(time.CLOCK_BOOTTIME) * US_PER_S)


def divided_services(experiment):
    """Names of the services in the records that are divided by key."""
    records = read_json_with_comments(experiment.deployment / "records.json")
    rows = records if isinstance(records, list) else records["records"]
    # Schema version 2 groups the field under "placement".
    return {row["name"] for row in rows if row.get("kind") == "service"
            and (row.get("divided_by_key") or row.get("placement", {}).get("divided_by_key"))}


class Run:
    """One run in a directory of its own."""

    def __init__(self, experiment, variant, seed, build, directory):
        self.experiment = experiment
        self.variant = variant
        self.seed = seed
        self.build = build
        self.directory = directory
        self.deployment = None
        self.group = None

    def execute(self):
        """Starts everything, runs the load and returns the measures."""
        self.directory.mkdir(parents=True)
        with ProcessGroup() as self.group:
            self.deployment = Deployment(self.experiment, self.variant, self.build,
                                         self.directory, self.group)
            self.deployment.start()
            time.sleep(self.experiment.warmup_s)
            result = self.run_load()
            time.sleep(self.experiment.settle_s)
            late = self.stop_deployment()
        result["not_stopped_in_time"] = late
        result["audit"] = self.audit()
        result["metrics"] = measures.flat_metrics(result)
        return result

    def start_load(self):
        """Starts the load generator."""
        settings = merged(self.experiment.load, self.variant.load)
        return self.start_generator("load", settings, self.deployment.caller_targets(),
                                    "callers.jsonl")

    def start_direct_load(self):
        """Starts a second load generator that calls backend servers without a router."""
        if not self.experiment.direct:
            return None
        settings = merged({"duration_s": self.experiment.load["duration_s"]},
                          self.experiment.direct)
        services = {one["name"] for one in settings["services"]}
        targets = [node.backend for node in self.deployment.nodes.values()
                   if node.service in services]
        return self.start_generator("direct", settings, targets, "direct.jsonl")

    def start_generator(self, name, settings, targets, history):
        """Starts a load generator with the given targets."""
        settings = merged(settings, {"seed": self.seed, "id_prefix": f"{name}-{self.seed}",
                                     "targets": targets})
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings, indent=1), encoding="utf-8")
        return self.group.start(
            "load", name,
            [self.deployment.program("azureladder-load"), "--config", path, "--history",
             self.directory / history, "--report", self.directory / f"{name}-report.json"],
            self.directory / f"{name}.out")

    def direct_latencies(self):
        """Latencies of the calls without a router; none when the experiment has no such load."""
        path = self.directory / "direct.jsonl"
        return measures.latencies(measures.read_calls(path)) if path.exists() else None

    def run_load(self):
        """Runs the load with the timeline and collects the measures."""
        self.group.sample()
        usage_before = self.group.usage()
        calls_before = self.deployment.store_calls()
        start_us = boot_time_us()
        load = self.start_load()
        direct = self.start_direct_load()
        actions = self.experiment.timeline if self.variant.timeline is None \
            else self.variant.timeline
        timeline = Timeline(self.deployment, actions)
        self.run_timeline(load, timeline, start_us)
        if direct is not None and direct.wait(LOAD_TIMEOUT_S) != 0:
            raise RuntimeError(f"the direct load failed; see {self.directory}/direct.out")
        if load.popen.returncode != 0:
            raise RuntimeError(f"the load generator ended with status {load.popen.returncode}; "
                               f"see {self.directory}/load.out")
        self.group.sample()
        return self.collect(start_us, timeline, usage_before, calls_before)

    def run_timeline(self, load, timeline, start_us):
        """Executes the timeline until the load has ended and all actions are done."""
        timeout_s = self.experiment.load["duration_s"] + LOAD_TIMEOUT_S
        next_sample_s = SAMPLE_INTERVAL_S
        while load.is_running() or timeline.waiting or timeline.commands:
            elapsed_s = (boot_time_us() - start_us) / US_PER_S
            if elapsed_s > timeout_s:
                raise RuntimeError(f"the run did not end within {timeout_s} s")
            timeline.step(elapsed_s)
            if elapsed_s >= next_sample_s:
                self.group.sample()
                next_sample_s += SAMPLE_INTERVAL_S
            time.sleep(STEP_INTERVAL_S)

    def collect(self, start_us, timeline, usage_before, calls_before):
        """Measures of the run so far."""
        calls = measures.read_calls(self.directory / "callers.jsonl")
        divided = divided_services(self.experiment)
        servers = {}
        for node in self.deployment.nodes.values():
            servers.setdefault(node.service, {})[node.server] = node.zone
        usage = self.group.usage()
        for role, values in usage.items():
            # Exclude the CPU time of the start-up.
            values["cpu_s"] -= usage_before.get(role, {}).get("cpu_s", 0)
        router_logs = [path for path in self.deployment.logs() if path.suffix == ".log"]
        execution_logs = [path for path in self.deployment.logs() if path.suffix != ".log"]
        zones = {node.name: node.zone for node in self.deployment.nodes.values()}
        report = json.loads((self.directory / "load-report.json").read_text(encoding="utf-8"))
        return {
            "variant": self.variant.name, "seed": self.seed, "directory": str(self.directory),
            "services": measures.by_service(calls, divided, servers),
            "windows": {
                window["name"]: measures.by_service(
                    measures.in_window(calls, start_us, window), divided, servers)
                for window in self.experiment.windows},
            "timeline": timeline.done, "usage": usage,
            "store_calls": measures.difference(self.deployment.store_calls(), calls_before),
            "traffic": measures.proxy_traffic(self.deployment.proxy_status()),
            "ownership_changes": measures.ownership_changes(
                router_logs, start_us),
            "routing": measures.routing_measures(
                router_logs, calls, zones,
                {one["name"] for one in self.experiment.direct.get("services", [])}),
            "overloaded_executions": measures.overloaded_executions(execution_logs),
            "direct": self.direct_latencies(),
            "load": report}

    def stop_deployment(self):
        """Stops the routers gracefully, then everything else; returns the names of killed ones."""
        routers = [one for one in self.deployment.routers.values() if one.is_running()]
        late = self.group.stop(routers)
        network.wait_until(lambda: not any(one.is_running() for one in routers), 1)
        return late

    def audit(self):
        """Checks all logs with the operators' command line."""
        output = self.directory / "audit.json"
        with ProcessGroup() as group:
            process = group.start(
                "audit", "audit",
                [self.deployment.program("azureladder"), "--json", "audit",
                 *self.deployment.logs(), self.directory / "callers.jsonl"], output)
            status = process.wait(AUDIT_TIMEOUT_S)
        try:
            report = json.loads(output.read_text(encoding="utf-8"))
        except json.JSONDecodeError:
            return {"status": status, "violations": -1, "error": "no report; see audit.json"}
        by_rule = report.get("violations_by_rule", {})
        return {"status": status, "violations": sum(by_rule.values()), "by_rule": by_rule,
                "events": report.get("events"), "malformed": report.get("malformed_count")}
