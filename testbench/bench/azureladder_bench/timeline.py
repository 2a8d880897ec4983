"""Executes the faults and operators' commands of an experiment at their times."""

import signal
import time

from . import network
from .experiment import read_json_with_comments

SIGNALS = {"kill": signal.SIGKILL, "stop": signal.SIGTERM, "pause": signal.SIGSTOP,
           "resume": signal.SIGCONT}
COMMANDS = {"zone_out": ("zone", "out"), "zone_in": ("zone", "in"),
            "server_out": ("server", "out"), "server_in": ("server", "in")}


class Timeline:
    """The actions of one run and their results."""

    def __init__(self, deployment, actions):
        self.deployment = deployment
        self.waiting = list(actions)
        self.commands = []
        self.done = []

    def step(self, elapsed_s):
        """Executes the actions that are due and records commands that have ended."""
        while self.waiting and self.waiting[0]["at_s"] <= elapsed_s:
            action = self.waiting.pop(0)
            entry = {**action, "started_s": round(elapsed_s, 3)}
            self.done.append(entry)
            try:
                self.execute(action, entry)
            except (OSError, RuntimeError, KeyError, ValueError) as error:
                entry["error"] = f"{type(error).__name__}: {error}"
        self.record_finished_commands()

    def execute(self, action, entry):
        """Executes one action."""
        name = action["action"]
        kind, _, scope = name.partition("_")
        if scope in ("router", "backend", "node"):
            self.change_process(kind, scope, action["node"])
        elif name in COMMANDS:
            subject = action.get("zone", action.get("server"))
            self.start_command(self.deployment.command([*COMMANDS[name], subject]), entry)
        elif name == "apply":
            path = self.deployment.experiment.deployment / action["records"]
            self.start_command(self.deployment.apply(read_json_with_comments(path)), entry)
        elif name == "backend":
            address = self.deployment.nodes[action["node"]].backend
            entry["status"] = network.request(address, "POST", "/control/double",
                                              action["faults"])[0]
        elif name == "store":
            entry["status"] = network.request(self.deployment.store_address, "POST", "/control",
                                              action["faults"])[0]
        else:
            self.change_links(name, action, entry)

    def change_links(self, name, action, entry):
        """Changes faults of the proxy."""
        command = {"command": "clear", "link": "*"}
        if name == "link":
            command = {"command": "set", "link": action["link"], "faults": action["faults"],
                       "direction": action.get("direction", "both")}
        entry["reply"] = network.send_line(self.deployment.control_address, command)

    def change_process(self, kind, scope, node):
        """Starts a process of a node or sends it a signal."""
        if scope in ("router", "node"):
            if kind == "start":
                self.deployment.start_router(node)
            else:
                self.deployment.routers[node].send(SIGNALS[kind])
        if scope in ("backend", "node"):
            if kind == "start":
                self.deployment.start_backend(node)
            else:
                self.deployment.backends[node].send(SIGNALS[kind])

    def start_command(self, process, entry):
        """Registers a command that runs while the load continues."""
        self.commands.append((process, entry, time.monotonic()))

    def record_finished_commands(self):
        """Records exit status and duration of commands that have ended."""
        for command in list(self.commands):
            process, entry, started = command
            if process.is_running():
                continue
            entry["exit_status"] = process.popen.returncode
            entry["duration_ms"] = round((time.monotonic() - started) * 1000)
            self.commands.remove(command)
