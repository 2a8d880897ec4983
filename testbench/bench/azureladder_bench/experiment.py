"""Reads and checks the description of an experiment (README.md lists the fields)."""

import dataclasses
import json
import pathlib
import re

MAX_REPETITIONS = 50
MAX_DURATION_S = 600

NODE_ACTIONS = {
    "kill_router", "stop_router", "pause_router", "resume_router", "start_router",
    "kill_backend", "stop_backend", "pause_backend", "resume_backend", "start_backend",
    "kill_node", "pause_node", "resume_node", "start_node",
}
OTHER_ACTIONS = {
    "zone_out": {"zone"}, "zone_in": {"zone"}, "server_out": {"server"}, "server_in": {"server"},
    "backend": {"node", "faults"}, "store": {"faults"}, "link": {"link", "faults"},
    "clear_links": set(), "apply": {"records"},
}


class ExperimentError(Exception):
    """An invalid field of the experiment."""


@dataclasses.dataclass
class Variant:
    """One of the alternatives that are compared, or the only one."""

    name: str
    build: str = ""
    settings: dict = dataclasses.field(default_factory=dict)
    service_fields: dict = dataclasses.field(default_factory=dict)
    load: dict = dataclasses.field(default_factory=dict)
    # Replaces the timeline of the experiment; [] is a run without faults.
    timeline: list | None = None


@dataclasses.dataclass
class Experiment:
    """A deployment, its load, the faults over time and the variants."""

    name: str
    deployment: pathlib.Path
    load: dict
    repetitions: int = 1
    seed: int = 1
    direct: dict = dataclasses.field(default_factory=dict)
    settings: dict = dataclasses.field(default_factory=dict)
    backend: dict = dataclasses.field(default_factory=dict)
    zone_delay_ms: float = 0
    zone_jitter_ms: float = 0
    zone_drop: float = 0
    caller_delay_ms: float = 0
    links: bool = False
    target_zones: list = dataclasses.field(default_factory=list)
    avoid_nodes: list = dataclasses.field(default_factory=list)
    warmup_s: float = 1
    settle_s: float = 1
    timeline: list = dataclasses.field(default_factory=list)
    windows: list = dataclasses.field(default_factory=list)
    variants: list = dataclasses.field(default_factory=list)

    def uses_proxy(self):
        """Whether messages between nodes or of callers pass through the fault proxy."""
        return self.links or self.zone_delay_ms > 0 or self.zone_drop > 0 \
            or self.caller_delay_ms > 0 or any(one["action"] == "link" for one in self.timeline)


def read_json_with_comments(path):
    """Parses JSON in which // and /* */ comments are allowed outside of texts."""
    text = pathlib.Path(path).read_text(encoding="utf-8")
    pattern = r'("(?:\\.|[^"\\])*")|//[^\n]*|/\*.*?\*/'
    plain = re.sub(pattern, lambda match: match.group(1) or " ", text, flags=re.DOTALL)
    try:
        return json.loads(plain)
    except json.JSONDecodeError as error:
        raise ExperimentError(f"{path}: {error}") from error


def merged(base, changes):
    """Copy of `base` with `changes`; objects are merged, other values replaced."""
    result = dict(base)
    for name, value in changes.items():
        is_object = isinstance(value, dict) and isinstance(result.get(name), dict)
        result[name] = merged(result[name], value) if is_object else value
    return result


def check_action(index, action):
    """Raises an error when an action of the timeline is unknown or lacks a field."""
    where = f"timeline[{index}]"
    if not isinstance(action, dict) or not isinstance(action.get("at_s"), (int, float)):
        raise ExperimentError(f"{where}.at_s: expected a number of seconds")
    name = action.get("action")
    if name not in NODE_ACTIONS and name not in OTHER_ACTIONS:
        known = ", ".join(sorted(NODE_ACTIONS | set(OTHER_ACTIONS)))
        raise ExperimentError(f"{where}.action: expected one of {known}")
    needed = {"node"} if name in NODE_ACTIONS else OTHER_ACTIONS[name]
    for field in sorted(needed - set(action)):
        raise ExperimentError(f"{where}.{field}: missing; {name} needs it")


def check(experiment):
    """Raises an error for values that are missing or out of range."""
    if not 1 <= experiment.repetitions <= MAX_REPETITIONS:
        raise ExperimentError(f"repetitions: expected 1 to {MAX_REPETITIONS}")
    if not 0 < experiment.load.get("duration_s", 0) <= MAX_DURATION_S:
        raise ExperimentError(f"load.duration_s: expected a number up to {MAX_DURATION_S}")
    timelines = [one.timeline for one in experiment.variants if one.timeline is not None]
    for timeline in (experiment.timeline, *timelines):
        for index, action in enumerate(timeline):
            check_action(index, action)
    names = [variant.name for variant in experiment.variants]
    if len(set(names)) != len(names):
        raise ExperimentError("variants: expected different names")


def build(document, directory):
    """Experiment of a parsed document; paths are relative to `directory`."""
    known = {field.name for field in dataclasses.fields(Experiment)}
    for name in document:
        if name not in known:
            raise ExperimentError(f"{name}: no such field")
    for name in ("name", "deployment", "load"):
        if name not in document:
            raise ExperimentError(f"{name}: missing")
    fields = dict(document)
    fields["deployment"] = (directory / document["deployment"]).resolve()
    try:
        fields["variants"] = [Variant(**one) for one in document.get("variants", [])]
    except TypeError as error:
        raise ExperimentError(f"variants: {error}") from error
    experiment = Experiment(**fields)
    experiment.variants = experiment.variants or [Variant("only")]
    check(experiment)
    for owner in (experiment, *experiment.variants):
        if owner.timeline is not None:
            owner.timeline = sorted(owner.timeline, key=lambda one: one["at_s"])
    return experiment


def read(path):
    """Reads and checks an experiment file."""
    return build(read_json_with_comments(path), pathlib.Path(path).resolve().parent)
