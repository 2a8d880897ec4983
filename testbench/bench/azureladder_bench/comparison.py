"""Summaries of repeated runs and ratios of two variants."""

import statistics


def summary(values):
    """Median and spread of a list of numbers."""
    return {"median": statistics.median(values), "min": min(values), "max": max(values),
            "values": values}


def by_metric(runs):
    """Summary of each metric that all runs of a variant have."""
    names = set.intersection(*(set(run["metrics"]) for run in runs))
    return {name: summary([run["metrics"][name] for run in runs]) for name in sorted(names)}


def summarise(runs):
    """Metrics of each variant over its repetitions."""
    variants = {}
    for run in runs:
        variants.setdefault(run["variant"], []).append(run)
    return {name: by_metric(variant_runs) for name, variant_runs in variants.items()}


def ratio(value, base):
    """Quotient of two measured values; None when the base is zero."""
    return None if base == 0 else value / base


def compare(runs, base, other):
    """Ratios other/base of each metric, each of two runs with the same seed."""
    pairs = {}
    for run in runs:
        pairs.setdefault(run["seed"], {})[run["variant"]] = run["metrics"]
    ratios = {}
    for pair in pairs.values():
        if base not in pair or other not in pair:
            continue
        for name in sorted(set(pair[base]) & set(pair[other])):
            value = ratio(pair[other][name], pair[base][name])
            if value is not None:
                ratios.setdefault(name, []).append(value)
    return {name: summary(values) for name, values in ratios.items()}


def order(variants, repetition):
    """Order of the variants in a repetition: it alternates, so that drift affects all equally."""
    return variants if repetition % 2 == 0 else list(reversed(variants))


def table(variants, comparisons):
    """Text lines with the metrics of the variants and their ratios."""
    lines = []
    for name in sorted(next(iter(variants.values()), {})):
        cells = []
        for variant, metrics in variants.items():
            if name in metrics:
                one = metrics[name]
                cells.append(f"{variant} {one['median']:.6g} "
                             f"[{one['min']:.6g}, {one['max']:.6g}]")
        for pair, metrics in comparisons.items():
            if name in metrics:
                one = metrics[name]
                cells.append(f"{pair} x{one['median']:.3f} "
                             f"[{one['min']:.3f}, {one['max']:.3f}]")
        lines.append(f"{name:40} " + "  ".join(cells))
    return lines
