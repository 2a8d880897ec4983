"""Measures the control-plane cost of a node at several cluster sizes, without callers' requests.

For each size the routers and backend servers run on loopback addresses; after the cluster has
settled, CPU time, resident memory, peer traffic and store calls are sampled over a fixed time. The
report holds the values for each node and a least-squares line over the sizes.
"""

import argparse
import json
import pathlib
import re
import statistics
import sys
import time

from . import network
from .deployment import Deployment
from .experiment import Experiment, Variant
from .processes import ProcessGroup

ZONES = 3
METRIC = re.compile(r"^azureladder_(\w+) ([0-9.eE+-]+)$", re.MULTILINE)


class GeneratedDeployment(Deployment):
    """Nodes of one service divided by key, spread over three zones."""

    def __init__(self, build, directory, group, count, slices):
        rows = [{"node": f"n{number}", "zone": f"zone-{number % ZONES}", "service": "store",
                 "server": f"server-{number}", "slots": 9, "connections": 120,
                 "fencing": "checked"} for number in range(count)]
        (directory / "nodes.json").write_text(json.dumps({"nodes": rows}), encoding="utf-8")
        experiment = Experiment(name="capacity", deployment=directory, load={})
        super().__init__(experiment, Variant(name="only"), build, directory, group)
        self.slices = slices

    def start_all(self, timeout_s):
        """Starts all processes and waits until each slice has an owner."""
        self.start_store()
        for name in self.nodes:
            self.start_router(name)
            self.start_backend(name)
        if not network.wait_until(self.all_ready, timeout_s):
            raise RuntimeError("not all nodes became ready")
        records = [{"kind": "service", "schema_version": 1, "name": "store",
                    "divided_by_key": True, "slices": self.slices, "max_execution_ms": 1000}]
        if self.apply(records).wait(timeout_s) != 0:
            raise RuntimeError("apply of the records failed")
        if not network.wait_until(self.all_slices_owned, timeout_s):
            raise RuntimeError("not all slices have an owner")

    def all_slices_owned(self):
        """Whether the first running node lists an owner for each slice."""
        status, body = network.request(self.running_node().http, "GET", "/_azureladder/v1/status")
        owners = json.loads(body)["slices"].get("store", {}) if status == 200 else {}
        return len(owners) == self.slices

    def metrics(self, node):
        """Gauges and counters of a router by name."""
        _, body = network.request(node.http, "GET", "/_azureladder/v1/metrics")
        return {name: float(value) for name, value in METRIC.findall(body)}

    def snapshot(self):
        """CPU, memory and traffic of each router, and the calls to the store."""
        self.group.sample()
        routers = {}
        for name, process in self.routers.items():
            values = self.metrics(self.nodes[name])
            routers[name] = {"cpu_s": process.cpu_s,
                             "resident_kb": process.max_resident_kb,
                             "sent": values["peer_bytes_sent_total"],
                             "received": values["peer_bytes_received_total"]}
        return {"time": time.monotonic(), "routers": routers, "store": self.store_calls()}


def total_calls(counts):
    """Sum of all numbers in the store's counts."""
    if isinstance(counts, dict):
        return sum(total_calls(value) for value in counts.values())
    return counts if isinstance(counts, (int, float)) and not isinstance(counts, bool) else 0


def measure(build, directory, count, slices, settle_s, sample_s):
    """One cluster size: mean and maximum over the nodes."""
    directory.mkdir(parents=True)
    with ProcessGroup() as group:
        cluster = GeneratedDeployment(build, directory, group, count, slices)
        cluster.start_all(timeout_s=60 + count)
        time.sleep(settle_s)
        before = cluster.snapshot()
        time.sleep(sample_s)
        after = cluster.snapshot()
    elapsed = after["time"] - before["time"]

    def rates(field, scale=1.0):
        return [(after["routers"][name][field] - before["routers"][name][field]) / elapsed * scale
                for name in after["routers"]]

    columns = {
        "cpu_percent": rates("cpu_s", 100.0),
        "resident_mb": [one["resident_kb"] / 1024 for one in after["routers"].values()],
        "sent_bytes_per_s": rates("sent"),
        "received_bytes_per_s": rates("received")}
    result = {"nodes": count, "slices": slices, "sample_s": round(elapsed, 1)}
    for name, values in columns.items():
        result[name] = {"mean": round(statistics.mean(values), 3), "max": round(max(values), 3)}
    calls = total_calls(after["store"]) - total_calls(before["store"])
    result["store_calls_per_s"] = round(calls / elapsed, 2)
    return result


def slope(results, value, by="nodes"):
    """Least-squares line of a value over `by`."""
    xs = [one[by] for one in results]
    ys = [value(one) for one in results]
    if len(set(xs)) < 2:
        return None
    line = statistics.linear_regression(xs, ys)
    return {"slope": line.slope, "intercept": line.intercept}


def main():
    """Runs all sizes and writes the report."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--sizes", default="4,16,64", help="numbers of nodes")
    parser.add_argument("--slices", default="256", help="slices; with several, for each size")
    parser.add_argument("--settle-s", type=float, default=15)
    parser.add_argument("--sample-s", type=float, default=20)
    parser.add_argument("--build", default="build")
    parser.add_argument("--out", required=True)
    options = parser.parse_args()
    out = pathlib.Path(options.out).resolve()
    results = []
    for slices in (int(one) for one in options.slices.split(",")):
        for count in (int(one) for one in options.sizes.split(",")):
            result = measure(options.build, out / f"{count}-nodes-{slices}-slices", count, slices,
                             options.settle_s, options.sample_s)
            print(json.dumps(result), flush=True)
            results.append(result)
    lines = {name: slope(results, lambda one, n=name: one[n]["mean"])
             for name in ("cpu_percent", "resident_mb", "sent_bytes_per_s",
                          "received_bytes_per_s")}
    lines["store_calls_per_s"] = slope(results, lambda one: one["store_calls_per_s"])
    (out / "report.json").write_text(
        json.dumps({"results": results, "by_nodes": lines}, indent=1), encoding="utf-8")
    print(json.dumps(lines, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
