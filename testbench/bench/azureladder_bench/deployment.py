"""Starts the processes of a deployment: store, routers, backend servers and fault proxy."""

import dataclasses
import json
import pathlib

from . import network
from .experiment import ExperimentError, merged, read_json_with_comments

START_TIMEOUT_S = 30
PROBE_KEYS = 64


@dataclasses.dataclass
class Node:
    """One router, the backend server beside it and their addresses."""

    name: str
    zone: str
    service: str
    server: str
    slots: int
    connections: int
    fencing: str
    http: str = ""
    peer: str = ""
    backend: str = ""
    caller_address: str = ""

    def link_name(self, to):
        """Name of the proxy link from this node to another."""
        return f"{self.zone}/{self.name}->{to.zone}/{to.name}"


def read_nodes(directory):
    """Nodes of examples/<deployment>/nodes.json."""
    path = directory / "nodes.json"
    try:
        rows = read_json_with_comments(path)["nodes"]
        return [Node(name=row["node"], zone=row["zone"], service=row["service"],
                     server=row["server"], slots=row["slots"], connections=row["connections"],
                     fencing=row["fencing"]) for row in rows]
    except (KeyError, OSError) as error:
        raise ExperimentError(f"{path}: {error}") from error


def replace_service_fields(records, service_fields):
    """Records in which the fields of services are replaced; "*" stands for all services."""
    rows = records if isinstance(records, list) else records["records"]
    changed = []
    for row in rows:
        if row.get("kind") == "service":
            row = merged(row, service_fields.get("*", {}))
            row = merged(row, service_fields.get(row["name"], {}))
        changed.append(row)
    return changed if isinstance(records, list) else {**records, "records": changed}


class Deployment:
    """The processes of one run."""

    def __init__(self, experiment, variant, build, directory, group):
        self.experiment = experiment
        self.variant = variant
        self.binaries = pathlib.Path(variant.build or build) / "bin"
        self.directory = directory
        self.group = group
        self.nodes = {node.name: node for node in read_nodes(experiment.deployment)}
        self.routers = {}
        self.backends = {}
        self.routes = {}
        self.addresses = network.AddressAllocator()
        self.store_address = self.addresses.allocate()
        self.control_address = ""
        self.commands = 0
        for node in self.nodes.values():
            node.http = node.caller_address = self.addresses.allocate()
            node.peer = self.addresses.allocate()
            node.backend = self.addresses.allocate()

    def program(self, name):
        """Path of a program of the build."""
        return self.binaries / name

    def start(self):
        """Starts all processes, applies the records and waits until all services answer."""
        self.start_store()
        if self.experiment.uses_proxy():
            self.start_proxy()
        for name in self.nodes:
            self.start_router(name)
            self.start_backend(name)
        ready = network.wait_until(self.all_ready, START_TIMEOUT_S)
        if not ready:
            raise RuntimeError("not all nodes became ready; see the .out files in "
                               f"{self.directory}")
        records = read_json_with_comments(self.experiment.deployment / "records.json")
        status = self.apply(replace_service_fields(records, self.variant.service_fields)).wait(
            START_TIMEOUT_S)
        if status != 0:
            raise RuntimeError(f"apply of the records ended with status {status}")
        if not network.wait_until(self.all_services_answer, START_TIMEOUT_S):
            raise RuntimeError("not all services answered after the records were applied")

    def start_store(self):
        """Starts the store double."""
        self.group.start("store", "store",
                         [self.program("azureladder-store-double"), "--listen",
                          self.store_address], self.directory / "store.out")
        if not network.wait_until(lambda: network.accepts_connections(self.store_address),
                                  START_TIMEOUT_S):
            raise RuntimeError("the store double does not accept connections")

    def proxy_links(self):
        """Links between the nodes, and from the callers to the nodes."""
        across = {"delay_ms": self.experiment.zone_delay_ms,
                  "jitter_ms": self.experiment.zone_jitter_ms, "drop": self.experiment.zone_drop}
        for node in self.nodes.values():
            for other in self.nodes.values():
                if node.name != other.name:
                    faults = across if node.zone != other.zone else {}
                    yield {"name": node.link_name(other), "protocol": "both",
                           "listen": "127.0.0.1:0", "target": other.peer, "forward": faults,
                           "backward": faults}
            faults = {"delay_ms": self.experiment.caller_delay_ms}
            yield {"name": f"caller->{node.zone}/{node.name}", "protocol": "tcp",
                   "listen": "127.0.0.1:0", "target": node.http, "forward": faults,
                   "backward": faults}

    def start_proxy(self):
        """Starts the fault proxy and reads the addresses of its links."""
        path = self.directory / "proxy.json"
        settings = {"seed": self.experiment.seed, "links": list(self.proxy_links())}
        path.write_text(json.dumps(settings, indent=1), encoding="utf-8")
        output = self.directory / "proxy.out"
        proxy = self.group.start(
            "proxy", "proxy", [self.program("azureladder-fault-proxy"), "--config", path], output)
        network.wait_until(lambda: not proxy.is_running()
                           or output.read_text(encoding="utf-8").endswith("\n"), START_TIMEOUT_S)
        if not proxy.is_running():
            raise RuntimeError(f"the fault proxy did not start; see {output}")
        listening = json.loads(output.read_text(encoding="utf-8").splitlines()[0])
        self.control_address = listening["control"]
        for node in self.nodes.values():
            node.caller_address = listening["links"][f"caller->{node.zone}/{node.name}"]
            self.routes[node.name] = {
                other.name: listening["links"][node.link_name(other)]
                for other in self.nodes.values() if other.name != node.name}

    def start_router(self, name):
        """Starts the router of a node with generated settings."""
        node = self.nodes[name]
        settings = {
            "node": node.name, "availability_zone": node.zone, "http": {"listen": node.http},
            "peer": {"listen": node.peer}, "store": {"address": self.store_address},
            "log": {"file": str(self.directory / f"{name}.log")}}
        if name in self.routes:
            settings["peer"]["routes"] = self.routes[name]
        settings = merged(merged(settings, self.experiment.settings), self.variant.settings)
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings, indent=1), encoding="utf-8")
        self.routers[name] = self.group.start(
            "router", name, [self.program("azureladderd"), "--settings", path],
            self.directory / f"{name}.out")

    def start_backend(self, name):
        """Starts the backend server double of a node."""
        node = self.nodes[name]
        options = merged({"service_time_ms": 2, "cold_ms": 0, "cold_slots": 2},
                         self.experiment.backend.get("*", {}))
        options = merged(options, self.experiment.backend.get(node.service, {}))
        arguments = {
            "listen": node.backend, "server": node.server, "service": node.service,
            "zone": node.zone, "slots": node.slots, "connections": node.connections,
            "announce": node.http, "fencing": node.fencing,
            "execution-log": self.directory / f"{name}.executions"}
        arguments.update({key.replace("_", "-"): value for key, value in options.items()})
        flat_arguments = [text for key, value in arguments.items() for text in (f"--{key}", value)]
        self.backends[name] = self.group.start(
            "backend", name, [self.program("azureladder-backend-double"), *flat_arguments],
            self.directory / f"{name}.backend.out")

    def all_ready(self):
        """Whether each router is ready."""
        return all(network.request(node.http, "GET", "/_azureladder/v1/ready")[0] == 200
                   for node in self.nodes.values())

    def all_services_answer(self):
        """Whether each service answers probes for a number of keys."""
        entry = next(iter(self.nodes.values()))
        services = sorted({node.service for node in self.nodes.values()})
        return all(
            network.request(entry.http, "GET", f"/{service}/probe",
                            headers={"Azureladder-Key": f"probe-{key}"})[0] == 200
            for service in services for key in range(PROBE_KEYS))

    def running_node(self):
        """A node whose router runs; operators' commands go to it."""
        for name, router in self.routers.items():
            if router.is_running():
                return self.nodes[name]
        raise RuntimeError("no router is running")

    def command(self, arguments):
        """Starts the operators' command line."""
        self.commands += 1
        return self.group.start(
            "command", " ".join(str(one) for one in arguments),
            [self.program("azureladder"), "--node", self.running_node().http, *arguments],
            self.directory / f"command-{self.commands}.out")

    def apply(self, records):
        """Starts `azureladder apply` with the records."""
        path = self.directory / f"records-{self.commands + 1}.json"
        path.write_text(json.dumps(records, indent=1), encoding="utf-8")
        return self.command(["apply", path])

    def caller_targets(self):
        """Addresses that callers use."""
        zones = self.experiment.target_zones
        return [node.caller_address for node in self.nodes.values()
                if (not zones or node.zone in zones)
                and node.name not in self.experiment.avoid_nodes]

    def logs(self):
        """Logs of routers and backend servers for the audit."""
        return sorted(path for path in self.directory.iterdir()
                      if path.suffix in (".log", ".executions"))

    def store_calls(self):
        """Number of calls that the store double counted, by kind."""
        status, body = network.request(self.store_address, "GET", "/control/counts")
        return json.loads(body) if status == 200 else {}

    def proxy_status(self):
        """Status of all proxy links; empty without proxy."""
        if not self.control_address:
            return []
        return network.send_line(self.control_address, {"command": "status"})["links"]
