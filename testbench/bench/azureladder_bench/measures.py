"""Computes the measures of one run from the caller's history, the logs and /proc."""

import collections
import dataclasses
import json
import math

US_PER_MS = 1000
US_PER_S = 1000000
LATENCY_SHARES = {"p50_us": 0.5, "p90_us": 0.9, "p99_us": 0.99, "p99.9_us": 0.999, "max_us": 1.0}


@dataclasses.dataclass
class Call:
    """One call of the history."""

    service: str
    key: str
    scheduled_us: int
    finished_us: int
    outcome: str
    executed: str
    server: str
    request_class: str = ""
    request_id: str = ""

    def latency_us(self):
        """Time from the scheduled arrival to the end of the call."""
        return self.finished_us - self.scheduled_us

    def is_ok(self):
        """Whether the caller received a success."""
        return self.outcome == "ok"


def json_lines(path):
    """Objects of a JSON-lines file; lines that cannot be parsed are left out."""
    with open(path, encoding="utf-8", errors="replace") as file:
        for line in file:
            try:
                yield json.loads(line)
            except json.JSONDecodeError:
                continue


def read_calls(path):
    """Finished calls of a history in the order of their scheduled arrival."""
    started = {}
    calls = []
    for line in json_lines(path):
        if line["event"] == "call_started":
            started[line["request_id"]] = line
        elif line["event"] == "call_finished" and line["request_id"] in started:
            start = started.pop(line["request_id"])
            calls.append(Call(start["service"], start["key"], start["scheduled_mono_us"],
                              line["mono_us"], line["outcome"], line["executed"],
                              line["server"], start.get("class", ""), line["request_id"]))
    calls.sort(key=lambda call: call.scheduled_us)
    return calls


def percentile(values, share):
    """Smallest of the sorted values that is at least as large as the given share of them."""
    return values[max(0, math.ceil(share * len(values)) - 1)] if values else 0


def latencies(calls):
    """Percentiles of the latencies of the successful calls."""
    values = sorted(call.latency_us() for call in calls if call.is_ok())
    return {name: percentile(values, share) for name, share in LATENCY_SHARES.items()}


def outcomes(calls):
    """Number of calls by outcome and by the execution status received by the caller."""
    by_outcome = collections.Counter(call.outcome for call in calls)
    by_executed = collections.Counter(call.executed for call in calls)
    return {"outcomes": dict(by_outcome), "executed": dict(by_executed)}


def unavailable_times_us(calls):
    """Lengths of the periods from a first failed call to the end of the next successful one."""
    periods = []
    first_failed_us = None
    for call in calls:
        if not call.is_ok():
            first_failed_us = first_failed_us or call.scheduled_us
        elif first_failed_us is not None:
            periods.append(call.finished_us - first_failed_us)
            first_failed_us = None
    if first_failed_us is not None:
        periods.append(calls[-1].finished_us - first_failed_us)
    return periods


def unavailable(calls, is_divided):
    """Longest and total unavailable time, for each key when the service is divided by key."""
    groups = collections.defaultdict(list)
    for call in calls:
        groups[call.key if is_divided else ""].append(call)
    periods = [period for group in groups.values() for period in unavailable_times_us(group)]
    return {"longest_ms": max(periods, default=0) / US_PER_MS, "periods": len(periods),
            "total_ms": sum(periods) / US_PER_MS}


def imbalance(calls, servers):
    """Requests of the busiest server divided by the mean of all servers of the service."""
    counts = collections.Counter(call.server for call in calls if call.server)
    total = sum(counts.values())
    return max(counts.values()) * len(servers) / total if total and servers else 0


def zone_imbalance(calls, servers):
    """As `imbalance`, with the requests for each server of a zone; `servers` gives the zones."""
    sizes = collections.Counter(servers.values())
    counts = collections.Counter(servers[call.server] for call in calls if call.server in servers)
    total = sum(counts.values())
    busiest = max((count / sizes[zone] for zone, count in counts.items()), default=0)
    return busiest * len(servers) / total if total else 0


def by_class(calls):
    """Calls, successes and latency of each class."""
    groups = collections.defaultdict(list)
    for call in calls:
        groups[call.request_class].append(call)
    return {name: {"calls": len(group), "ok": sum(call.is_ok() for call in group),
                   "latency": latencies(group)} for name, group in sorted(groups.items())}


def goodput(calls):
    """Successes per second between the first and the last scheduled arrival."""
    span_us = max(calls[-1].scheduled_us - calls[0].scheduled_us, 1) if calls else 1
    return sum(call.is_ok() for call in calls) * US_PER_S / span_us


def last_failure_s(calls):
    """Time from the first call to the arrival of the last failed one; 0 without failures."""
    failed = [call.scheduled_us for call in calls if not call.is_ok()]
    return (max(failed) - calls[0].scheduled_us) / US_PER_S if failed else 0


def service_measures(calls, is_divided, servers):
    """All measures of one service in a period."""
    ok_count = sum(call.is_ok() for call in calls)
    return {"calls": len(calls), "ok": ok_count,
            "ok_share": ok_count / len(calls) if calls else 0, "goodput": goodput(calls),
            "last_failure_s": last_failure_s(calls), "classes": by_class(calls),
            "zone_imbalance": zone_imbalance(calls, servers),
            "latency": latencies(calls), "unavailable": unavailable(calls, is_divided),
            "imbalance": imbalance(calls, servers), **outcomes(calls)}


def in_window(calls, start_us, window):
    """Calls that arrived in a window of seconds after the start of the load."""
    first_us = start_us + window["from_s"] * US_PER_S
    last_us = start_us + window["to_s"] * US_PER_S
    return [call for call in calls if first_us <= call.scheduled_us < last_us]


def by_service(calls, divided, servers):
    """Measures of each service and of all calls together."""
    result = {}
    for service in sorted(servers):
        service_calls = [call for call in calls if call.service == service]
        if service_calls:
            result[service] = service_measures(service_calls, service in divided, servers[service])
    result["all"] = service_measures(calls, False, {})
    return result


def ownership_changes(logs, since_us):
    """Number of slices that got an owner after a time, by the reason in the logs."""
    reasons = collections.Counter()
    for path in logs:
        with open(path, encoding="utf-8", errors="replace") as file:
            relevant = [line for line in file if '"ownership_started"' in line]
        for text in relevant:
            try:
                line = json.loads(text)
            except json.JSONDecodeError:
                continue
            if line.get("event") == "ownership_started" and line.get("mono_us", 0) >= since_us:
                reasons[str(line.get("reason", "unknown"))] += 1
    return dict(reasons)


def log_events(logs, names):
    """Lines of the logs whose event is one of `names`."""
    marks = [f'"event":"{name}"' for name in names]
    for path in logs:
        with open(path, encoding="utf-8", errors="replace") as file:
            relevant = [line for line in file if any(mark in line for mark in marks)]
        for text in relevant:
            try:
                yield json.loads(text)
            except json.JSONDecodeError:
                continue


def routing_measures(logs, calls, zones, compared=()):
    """Forwards, dispatches and latencies by hops; `zones` maps nodes to zones.

    Latencies by hops are those of the services `compared` with direct calls, or of all.
    """
    request_ids = {call.request_id for call in calls}
    forwards = cross_zone = 0
    forwarded = set()
    dispatches = collections.Counter()
    for line in log_events(logs, ("request_forwarded", "request_dispatched")):
        if line["request_id"] not in request_ids:
            continue
        if line["event"] == "request_dispatched":
            dispatches[line["request_id"]] += 1
            continue
        forwards += 1
        cross_zone += zones[line["node"]] != zones[line["to"]]
        forwarded.add(line["request_id"])
    hops = {True: [], False: []}
    for call in calls:
        if compared and call.service not in compared:
            continue
        hops[call.request_id in forwarded].append(call)
    return {"forwards": forwards, "cross_zone_share": cross_zone / forwards if forwards else 0,
            "extra_dispatch_share":
                sum(dispatches.values()) / len(dispatches) - 1 if dispatches else 0,
            "one_hop": latencies(hops[False]), "two_hops": latencies(hops[True])}


def overloaded_executions(logs):
    """Executions that a cold backend server started above its bound."""
    return sum(bool(line.get("overload")) for line in log_events(logs, ("execution_started",)))


def difference(after, before):
    """Difference of the numbers of two flat objects."""
    return {name: value - before.get(name, 0) for name, value in after.items()
            if isinstance(value, (int, float))}


def proxy_traffic(links):
    """Bytes and units that passed and were dropped, by pair of zones."""
    traffic = {}
    for link in links:
        source, _, target = link["name"].partition("->")
        pair = f"{source.partition('/')[0]}->{target.partition('/')[0]}"
        sums = traffic.setdefault(pair, collections.Counter())
        for direction in ("forward", "backward"):
            for field in ("passed_bytes", "passed_units", "dropped_units"):
                sums[field] += link[direction][field]
    return {pair: dict(sums) for pair, sums in traffic.items()}


def flat_metrics(run):
    """Numbers of a run that are compared between variants."""
    metrics = {}
    for service, values in run["services"].items():
        metrics[f"{service}.ok_share"] = values["ok_share"]
        for name in ("p50_us", "p99_us", "p99.9_us"):
            metrics[f"{service}.{name}"] = values["latency"][name]
        metrics[f"{service}.unavailable_longest_ms"] = values["unavailable"]["longest_ms"]
        if service != "all":
            metrics[f"{service}.imbalance"] = values["imbalance"]
            metrics[f"{service}.zone_imbalance"] = values["zone_imbalance"]
    router = run["usage"].get("router", {})
    calls = run["services"]["all"]["calls"]
    metrics["router.cpu_s"] = router.get("cpu_s", 0)
    metrics["router.cpu_us_per_call"] = router.get("cpu_s", 0) * US_PER_S / max(calls, 1)
    metrics["router.max_resident_kb"] = router.get("max_resident_kb", 0)
    routing = run["routing"]
    metrics["router.max_cpu_us_per_call"] = \
        router.get("max_cpu_s", 0) * US_PER_S / max(calls, 1)
    metrics["routing.cross_zone_share"] = routing["cross_zone_share"]
    metrics["routing.extra_dispatch_share"] = routing["extra_dispatch_share"]
    metrics["backend.overloaded_executions"] = run["overloaded_executions"]
    for hops in ("one_hop", "two_hops"):
        metrics[f"routing.{hops}_p50_us"] = routing[hops]["p50_us"]
        if run["direct"]:
            metrics[f"routing.{hops}_added_p50_us"] = \
                routing[hops]["p50_us"] - run["direct"]["p50_us"]
    metrics["ownership_changes"] = sum(run["ownership_changes"].values())
    metrics["violations"] = run["audit"]["violations"]
    for window, services in run["windows"].items():
        metrics[f"{window}.ok_share"] = services["all"]["ok_share"]
        for service, values in services.items():
            for share in ("p99_us", "p99.9_us", "max_us"):
                metrics[f"{window}.{service}.{share}"] = values["latency"][share]
            metrics[f"{window}.{service}.unavailable_longest_ms"] = \
                values["unavailable"]["longest_ms"]
            metrics[f"{window}.{service}.imbalance"] = values["imbalance"]
            metrics[f"{window}.{service}.goodput"] = values["goodput"]
            metrics[f"{window}.{service}.last_failure_s"] = values["last_failure_s"]
            for name, one in values["classes"].items():
                metrics[f"{window}.{service}.{name}.ok_share"] = one["ok"] / one["calls"]
    return metrics
