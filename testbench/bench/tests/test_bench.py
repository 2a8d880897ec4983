"""Tests of the parts of the experiment runner that need no deployment."""

import json
import os
import pathlib
import signal
import sys
import tempfile
import unittest
import xml.etree.ElementTree

from azureladder_bench import comparison, experiment, measures, plot
from azureladder_bench.deployment import Deployment, replace_service_fields
from azureladder_bench.processes import ProcessGroup
from azureladder_bench.timeline import Timeline

DOCUMENT = {"name": "x", "deployment": "d", "load": {"duration_s": 1}}


def call(scheduled_ms, outcome="ok", key="k", server="s1", latency_ms=1):
    """A call of the service "a"."""
    return measures.Call("a", key, scheduled_ms * 1000, (scheduled_ms + latency_ms) * 1000,
                         outcome, "yes" if outcome == "ok" else "no", server)


class ExperimentTest(unittest.TestCase):
    """Guards against experiments that silently do something else than described."""

    def build(self, **fields):
        """Experiment with further fields."""
        return experiment.build({**DOCUMENT, **fields}, pathlib.Path("/tmp"))

    def test_orders_the_timeline(self):
        """Actions may be listed in any order."""
        built = self.build(timeline=[{"at_s": 2, "action": "zone_in", "zone": "z"},
                                     {"at_s": 1, "action": "zone_out", "zone": "z"}])
        self.assertEqual([one["at_s"] for one in built.timeline], [1, 2])

    def test_refuses_wrong_fields(self):
        """The message names the field."""
        wrong = [({"repetition": 3}, "repetition: no such field"),
                 ({"timeline": [{"at_s": 1, "action": "kill"}]}, "timeline[0].action"),
                 ({"timeline": [{"at_s": 1, "action": "kill_router"}]}, "timeline[0].node"),
                 ({"load": {"duration_s": 1e9}}, "load.duration_s"),
                 ({"variants": [{"name": "a"}, {"name": "a"}]}, "variants")]
        for fields, message in wrong:
            with self.assertRaises(experiment.ExperimentError) as raised:
                self.build(**fields)
            self.assertIn(message, str(raised.exception))

    def test_reads_comments(self):
        """Two slashes inside a text are not a comment."""
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write('{"a": "http://x", // comment\n "b": /* c */ 1}')
            file.flush()
            self.assertEqual(experiment.read_json_with_comments(file.name),
                             {"a": "http://x", "b": 1})

    def test_changes_fields_of_services(self):
        """A variant changes the named service and those under "*"."""
        records = [{"kind": "service", "name": "a", "policy": "p"}, {"kind": "zone", "name": "z"}]
        changed = replace_service_fields(records, {"*": {"hedging": True}, "a": {"policy": "q"}})
        self.assertEqual(changed[0], {"kind": "service", "name": "a", "policy": "q",
                                      "hedging": True})
        self.assertEqual(changed[1], records[1])


class DeploymentTest(unittest.TestCase):
    """Guards against callers that use other nodes than the experiment states."""

    def test_callers_use_the_stated_nodes(self):
        """Zones select nodes, and single nodes can be left out."""
        rows = [{"node": f"n{n}", "zone": zone, "service": "a", "server": f"s{n}", "slots": 1,
                 "connections": 1, "fencing": "checked"} for n, zone in enumerate("xxy")]
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory)
            (path / "nodes.json").write_text(json.dumps({"nodes": rows}), encoding="utf-8")
            built = experiment.build({**DOCUMENT, "deployment": directory, "avoid_nodes": ["n1"],
                                      "target_zones": ["x"]}, path)
            deployed = Deployment(built, built.variants[0], "build", path, None)
        self.assertEqual(deployed.caller_targets(), [deployed.nodes["n0"].caller_address])


class MeasuresTest(unittest.TestCase):
    """Guards against measures that hide failures."""

    def test_unavailable_time_of_keys(self):
        """Successes of another key do not end the period of a key."""
        calls = [call(0), call(10, "no_owner"), call(20, key="other"), call(30, "no_owner"),
                 call(40, latency_ms=5)]
        self.assertEqual(measures.unavailable(calls, True)["longest_ms"], 35)
        self.assertEqual(measures.unavailable(calls, False)["longest_ms"], 15)

    def test_unavailable_until_the_end(self):
        """A period without a later success lasts until the last call."""
        self.assertEqual(measures.unavailable([call(0, "timeout", latency_ms=7)], True),
                         {"longest_ms": 7, "periods": 1, "total_ms": 7})

    def test_imbalance_counts_idle_servers(self):
        """Two of three servers share all requests equally."""
        calls = [call(0), call(1, server="s2")]
        self.assertEqual(measures.imbalance(calls, ["s1", "s2", "s3"]), 1.5)

    def test_zone_imbalance_counts_servers(self):
        """A zone with two servers may take twice the requests of a zone with one."""
        zones = {"s1": "a", "s2": "a", "s3": "b"}
        balanced = [call(0), call(1, server="s2"), call(2, server="s3")]
        self.assertEqual(measures.zone_imbalance(balanced, zones), 1)
        self.assertEqual(measures.zone_imbalance([call(0, server="s3")], zones), 3)

    def test_routing_counts_hedges_and_zones(self):
        """Requests of others and lines that are cut do not count; a second dispatch does."""
        lines = [{"event": "request_forwarded", "request_id": "r", "node": "n1", "to": "n2"},
                 {"event": "request_dispatched", "request_id": "r", "node": "n2"},
                 {"event": "request_dispatched", "request_id": "r", "node": "n1"},
                 {"event": "request_dispatched", "request_id": "other", "node": "n1"}]
        calls = [measures.Call("a", "", 0, 7, "ok", "yes", "s1", request_id="r")]
        with tempfile.NamedTemporaryFile("w") as file:
            file.write("\n".join(json.dumps(line, separators=(",", ":")) for line in lines))
            file.flush()
            found = measures.routing_measures([file.name], calls, {"n1": "a", "n2": "b"})
        self.assertEqual((found["forwards"], found["cross_zone_share"]), (1, 1))
        self.assertEqual(found["extra_dispatch_share"], 1)
        self.assertEqual((found["two_hops"]["p50_us"], found["one_hop"]["p50_us"]), (7, 0))

    def test_percentile(self):
        """The 99th percentile of 100 values is the second largest."""
        self.assertEqual(measures.percentile(list(range(1, 101)), 0.99), 99)

    def test_history(self):
        """A cut last line does not end the evaluation."""
        lines = [{"event": "call_started", "request_id": "r", "service": "a", "key": "k",
                  "scheduled_mono_us": 5},
                 {"event": "call_finished", "request_id": "r", "mono_us": 9, "outcome": "ok",
                  "executed": "yes", "server": "s"}]
        with tempfile.NamedTemporaryFile("w") as file:
            file.write("\n".join(json.dumps(line) for line in lines) + '\n{"event": "ca')
            file.flush()
            calls = measures.read_calls(file.name)
        self.assertEqual([one.latency_us() for one in calls], [4])


class ComparisonTest(unittest.TestCase):
    """Guards against ratios of runs that do not belong together."""

    def test_ratios_pair_equal_seeds(self):
        """The ratio is taken for each seed, not of the medians."""
        runs = [{"variant": name, "seed": seed, "metrics": {"m": value}}
                for name, seed, value in [("a", 1, 1), ("b", 1, 2), ("b", 2, 30), ("a", 2, 10),
                                          ("a", 3, 0), ("b", 3, 1)]]
        self.assertEqual(comparison.compare(runs, "a", "b")["m"]["values"], [2, 3])

    def test_order_alternates(self):
        """The first variant is not always the first to run."""
        self.assertEqual([comparison.order(["a", "b"], n)[0] for n in range(4)],
                         ["a", "b", "a", "b"])


class PlotTest(unittest.TestCase):
    """Guards against an image that browsers refuse."""

    def test_is_well_formed(self):
        """Names are escaped."""
        point = {"service": "a", "second": 0, "ok": 1, "failed": 0, "latency_us": {"p99": 1}}
        run = {"variant": "a<b", "load": {"series": [point, {**point, "second": 1}]},
               "timeline": [{"action": "zone_out", "started_s": 0.5}]}
        text = plot.draw("x & y", [run, run])
        self.assertEqual(len(xml.etree.ElementTree.fromstring(text).findall(
            "{http://www.w3.org/2000/svg}polyline")), 6)


class ProcessGroupTest(unittest.TestCase):
    """Guards against processes that outlive a failed run."""

    def test_ends_paused_processes_on_failure(self):
        """A stopped process is continued, so that it can end."""
        process = None
        with tempfile.TemporaryDirectory() as directory:
            with self.assertRaises(RuntimeError):
                with ProcessGroup() as group:
                    process = group.start(
                        "sleeper", "s", [sys.executable, "-c", "import time; time.sleep(60)"],
                        os.path.join(directory, "out"))
                    process.popen.send_signal(signal.SIGSTOP)
                    raise RuntimeError("failed run")
        self.assertIsNotNone(process.popen.returncode)


class TimelineTest(unittest.TestCase):
    """Guards against actions that are lost or executed early."""

    def test_notes_failed_actions(self):
        """A failing action is reported and the following ones are executed."""
        class Broken:
            """Deployment without any node."""
            routers = {}

        timeline = Timeline(Broken(), [{"at_s": 1, "action": "kill_router", "node": "n"},
                                       {"at_s": 2, "action": "kill_router", "node": "m"}])
        timeline.step(1.5)
        self.assertEqual(len(timeline.done), 1)
        self.assertIn("KeyError", timeline.done[0]["error"])
        timeline.step(2)
        self.assertEqual(len(timeline.done), 2)


if __name__ == "__main__":
    unittest.main()
