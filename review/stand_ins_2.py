"""Stand-ins for the platform's store, backend servers and clients, and a launcher of nodes.

They speak what PROTOCOL.md and DEPLOY.md say, on loopback addresses. Everything runs in one event
loop, except for the nodes, which are separate processes.
"""
import asyncio
import base64
import json
import logging
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

REPOSITORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(REPOSITORY, "target", "bin", "azureladder-sidecar")
TEMPLATE = os.path.join(REPOSITORY, "deploy", "settings.json.template")


# Below the ports from which systems usually choose those of outgoing connections. One of these could
# take a port between its choice and its use.
PORT_RANGE = (20000, 32000)


def free_ports(count, host="127.0.0.1"):
    ports = []
    while len(ports) < count:
        port = random.randrange(*PORT_RANGE)
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, folder, name="record.txt"):
        self.m_file = open(os.path.join(folder, name), "w", encoding="utf-8")
        self.m_start = time.monotonic()

    def now(self):
        return time.monotonic() - self.m_start

    def write(self, text):
        self.m_file.write(f"{self.now():8.3f} {text}\n")
        self.m_file.flush()


# Shorter header lines name no header that the stand-ins look at, and there may be thousands.
MIN_HEADER_LINE_BYTES = 7


async def read_head(reader):
    """First line and headers of a message, with lower-case names; None at the end of the stream."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = [line for line in raw.split(b"\r\n") if len(line) >= MIN_HEADER_LINE_BYTES]
    headers = {}
    for line in lines[1:]:
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0].decode("latin-1"), headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size:
                body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0") or "0"))


def message(first_line, headers, body=b""):
    lines = [first_line] + [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 500: "Internal Server Error", 503: "Service Unavailable"}


def answer(status, headers=None, body=b""):
    return message(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", headers or {}, body)


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.m_items = {}
        self.m_events = []
        self.m_rev = 100
        self.m_leases = 70
        self.m_changed = asyncio.Event()
        self.m_era = None
        # Called with method, path and query before a call is handled; may sleep.
        self.m_before = None

    async def start(self):
        self.m_port = free_ports(1)[0]
        self.m_server = await asyncio.start_server(self.serve, "127.0.0.1", self.m_port,
                                                   limit=1 << 22)
        self.m_address = f"127.0.0.1:{self.m_port}"

    def put(self, key, value):
        self.change([(key, value, 0)], [])

    def change(self, puts, removes):
        self.m_rev += 1
        for key, value, lease in puts:
            created = self.m_items[key]["created"] if key in self.m_items else self.m_rev
            item = {"key": key, "value": base64.b64encode(value).decode(), "rev": self.m_rev,
                    "created": created, "lease": lease}
            self.m_items[key] = item
            self.m_events.append(item)
        for key in removes:
            if self.m_items.pop(key, None):
                self.m_events.append({"key": key, "rev": self.m_rev, "deleted": True})
        changed, self.m_changed = self.m_changed, asyncio.Event()
        changed.set()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ")
                body = await read_body(reader, head[1])
                url = urllib.parse.urlsplit(target)
                query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
                if self.m_before:
                    await self.m_before(method, url.path, query)
                status, result = await self.handle(method, url.path, query, body)
                headers = {"Content-Type": "application/json"}
                if self.m_era is not None:
                    headers["Store-Era"] = self.m_era
                writer.write(answer(status, headers, json.dumps(result).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, method, path, query, body):
        if path == "/v1/kv-key":
            item = self.m_items.get(query["key"])
            return (200, dict(item, current_rev=self.m_rev)) if item else (404, {})
        if path == "/v1/kv-range":
            keys = sorted(k for k in self.m_items
                          if k.startswith(query["prefix"]) and k > query.get("after", ""))
            return 200, {"items": [self.m_items[k] for k in keys[:500]],
                         "has_more": len(keys) > 500, "current_rev": self.m_rev}
        if path == "/v1/kv-watch":
            end = time.monotonic() + int(query["wait_ms"]) / 1000
            while True:
                events = [e for e in self.m_events
                          if e["rev"] > int(query["after"]) and e["key"].startswith(query["prefix"])]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "current_rev": self.m_rev}
                try:
                    await asyncio.wait_for(self.m_changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/v1/kv-txn":
            call = json.loads(body)
            rows = call.get("expected_rev", [])
            current = {r["key"]: self.m_items.get(r["key"]) for r in rows}
            if any((current[r["key"]] or {"rev": 0})["rev"] != r["rev"] for r in rows):
                return 412, {"items": [current[k] or {"key": k, "rev": 0} for k in current]}
            self.change([(p["key"], base64.b64decode(p["value"]), p.get("lease", 0))
                         for p in call.get("puts", [])], call.get("remove", []))
            return 200, {"rev": self.m_rev}
        if path == "/v1/kv-lease":
            self.m_leases += 1
            return 200, {"lease": self.m_leases, "ttl_time": json.loads(body)["ttl_time"]}
        if path.startswith("/v1/kv-keep/"):
            return 200, {"ttl_time": "120s"}
        if path.startswith("/v1/kv-lease-end/"):
            return 200, {}
        return 404, {}


def configuration(version, routes, services, limits=None):
    """op/config. `routes` and `services` are lists of objects."""
    def columns(rows):
        names = sorted({name for row in rows for name in row})
        return {"columns": names, "rows": [[row.get(name) for name in names] for row in rows]}
    return json.dumps({"version": version, "routes": columns(routes),
                       "services": columns(services),
                       "limits": limits or {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                                            "header_timeout": "3000ms",
                                            "idle_timeout": "15000ms"}}).encode()


def route(name, service, kind, prefix, timeout="3000ms", attempts=2):
    return {"name": name, "host": "shop.example", "prefix": prefix, "route_kind": kind,
            "timeout": timeout, "target_latency": "1000ms", "priority": 1, "attempts": attempts,
            "service": service}


def service(name, cold_per_s=9.4, sharded=None):
    return {"name": name, "health_check_path": "/health", "max_connections": 120, "protocol": "h1",
            "tls": False, "cold_start": "3s", "cold_per_s": cold_per_s, "sharded": sharded,
            "warm": "3s" if sharded else None, "grants": "request" if sharded else None}


class Node:
    """One azureladder-sidecar process with settings from the template of the deploy file."""

    def __init__(self, name, service_name, store, folder, host="127.0.0.1", memory_mb=260,
                 zone="zone-a"):
        self.m_name = name
        self.m_service = service_name
        self.m_host = host
        ports = free_ports(6, host)
        (self.m_caller_port, self.m_registry_port, self.m_ready_port, self.m_peer_port,
         self.m_metrics_port, self.m_app_port) = ports
        at = lambda port: f"{host}:{port}"
        values = {"node": name, "zone": zone, "service": service_name,
                  "listen.outbound": at(self.m_caller_port),
                  "listen.control": at(self.m_registry_port),
                  "listen.ready": at(self.m_ready_port), "platform.address": store.m_address,
                  "bounds.grace": "6s", "bounds.drain": "2000ms",
                  "bounds.retry_budget_ratio": 0.2, "bounds.budget_slack": 60,
                  "bounds.quota_window": None, "bounds.quota_over": None,
                  "bounds.quota_slack": None, "limits.link_mbps": 1000.0,
                  "limits.memory_mb": memory_mb}
        with open(TEMPLATE, encoding="utf-8") as file:
            text = file.read()
        text = text.replace("{{ip}}:{{internal_ports.0}}", at(self.m_peer_port))
        text = text.replace("{{ip}}:{{internal_ports.1}}", at(self.m_metrics_port))
        for key, value in values.items():
            text = text.replace("{{" + key + "|json}}", json.dumps(value))
        self.m_path = os.path.join(folder, name + ".json")
        with open(self.m_path, "w", encoding="utf-8") as file:
            file.write(text)
        self.m_log_path = os.path.join(folder, name + ".log")
        self.m_process = None

    def start(self):
        with open(self.m_log_path, "ab") as log:
            self.m_process = subprocess.Popen([PROGRAM, "--settings", self.m_path], stdout=log,
                                              stderr=log, stdin=subprocess.DEVNULL)

    def signal(self, number):
        self.m_process.send_signal(number)

    def kill(self):
        if self.m_process and self.m_process.poll() is None:
            self.m_process.send_signal(signal.SIGCONT)
            self.m_process.kill()
        if self.m_process:
            self.m_process.wait()

    def peak_memory(self):
        with open(f"/proc/{self.m_process.pid}/status", encoding="utf-8") as file:
            for line in file:
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) * 1024
        return 0

    async def wait_ready(self, limit=15.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            try:
                status, _, _ = await request(self.m_host, self.m_ready_port, "GET", "/v1/ready",
                                             {"Host": "node"})
                if status == 200:
                    return True
            except (OSError, EOFError):
                pass
            await asyncio.sleep(0.1)
        return False


async def request(host, port, method, target, headers, body=b"", timeout=10.0):
    """One request on a new connection. Returns status, headers and body."""
    async def exchange():
        reader, writer = await asyncio.open_connection(host, port, limit=1 << 22)
        try:
            writer.write(message(f"{method} {target} HTTP/1.1", headers, body))
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                raise EOFError("closed without an answer")
            return (int(head[0].split(" ")[1]), head[1], await read_body(reader, head[1]))
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), timeout)


class Upstream:
    """A backend server beside a node."""

    def __init__(self, node, identity, record, slots=9, work_s=0.05):
        self.m_node = node
        self.m_id = identity
        self.m_record = record
        self.m_slots = slots
        self.m_work_s = work_s
        self.m_born = int(time.time() * 1000)
        self.m_sequence = 0
        self.m_cold_until = 0.0
        self.m_state = "ready"
        self.m_beats = True
        self.m_running = 0
        self.m_writers = set()
        self.m_runs = []
        self.m_callers = {}
        self.m_server = None
        self.m_beat_task = None
        self.m_handler = None

    async def start(self, beat=True):
        self.m_server = await asyncio.start_server(self.serve, self.m_node.m_host,
                                                   self.m_node.m_app_port, limit=1 << 22,
                                                   reuse_address=True)
        self.m_beats = beat
        self.m_beat_task = asyncio.ensure_future(self.beat_loop())

    def crash(self):
        """Ends as a killed process does: its connections are reset."""
        self.m_server.close()
        self.m_beat_task.cancel()
        for writer in list(self.m_writers):
            writer.transport.abort()

    def cold_left_ms(self):
        return max(0, int((self.m_cold_until - time.monotonic()) * 1000))

    def beat(self):
        """Sends a heartbeat, and does not wait for its answer."""
        self.m_sequence += 1
        body = json.dumps({"address": f"{self.m_node.m_host}:{self.m_node.m_app_port}",
                           "born": self.m_born,
                           "info": {"service": self.m_node.m_service, "version": "v1",
                                    "zone": "zone-a", "slots": self.m_slots},
                           "status": {"state": self.m_state, "seq": self.m_sequence,
                                      "cold_remaining": f"{self.cold_left_ms()}ms"}}).encode()
        asyncio.ensure_future(self.send_beat(self.m_sequence, body))

    async def send_beat(self, _, body):
        try:
            await request(self.m_node.m_host, self.m_node.m_registry_port, "PUT",
                          "/v1/instances/" + self.m_id,
                          {"Host": "control", "Content-Type": "application/json"}, body, 1.0)
        except (OSError, EOFError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass

    async def beat_loop(self):
        while True:
            if self.m_beats:
                self.beat()
            await asyncio.sleep(0.87)

    async def serve(self, reader, writer):
        self.m_writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                if not await self.handle(head[0], head[1], body, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.m_writers.discard(writer)
            writer.close()

    async def handle(self, first_line, headers, body, writer):
        identity = headers.get("azureladder-request-id", "")
        if headers.get("azureladder-expected-instance", self.m_id) != self.m_id:
            writer.write(answer(421, {"Azureladder-Instance-Id": self.m_id,
                                      "Azureladder-Request-Id": identity}))
            return True
        self.m_runs.append((time.monotonic(), identity, first_line, body[:200]))
        self.m_callers[identity] = headers.get("azureladder-caller-service")
        self.m_record.write(f"run {self.m_id} id={identity} {first_line} body={len(body)}")
        if self.m_handler:
            return await self.m_handler(self, identity, first_line, headers, body, writer)
        self.m_running += 1
        await asyncio.sleep(self.m_work_s)
        self.m_running -= 1
        writer.write(answer(200, {"Azureladder-Request-Id": identity,
                                  "Azureladder-Response-Seal": f"seal-{self.m_id}-{identity}"},
                            b"answer to " + identity.encode()))
        await writer.drain()
        return True


class Folder:
    """Temporary folder for settings and logs."""

    def __enter__(self):
        self.m_path = tempfile.mkdtemp(prefix="azureladder-review-")
        return self.m_path

    def __exit__(self, *unused):
        shutil.rmtree(self.m_path, ignore_errors=True)


# Exit code of a case whose rule was broken. An uncaught exception of Python ends with 1, so run.sh
# translates this code to 1 and all others but 0 to 2.
RULE_BROKEN = 10


def run_case(run):
    """Runs a case in a temporary folder and ends the program with its result."""
    logging.disable(logging.CRITICAL)
    # Ends the coroutine of the case as well, which then ends the processes that it has started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    with Folder() as path:
        result = asyncio.run(run(path))
    sys.exit(RULE_BROKEN if result == 1 else result)
