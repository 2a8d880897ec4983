"""A departure is acknowledged while the store is down, and all processes are killed right after it.

Three machines: two upstreams of bookings, clients with orders on the third machine. Heartbeats of the first
upstream arrive late, at their usual intervals. It leaves by DELETE without `draining`, and serves for some
seconds more. TROUBLE=0 does the same, with the same late heartbeats, without the outage and the kills.
"""
import asyncio
import collections
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from stand_ins_2 import (Node, Record, Store, Upstream, configuration, request, route, run_case,
                         service)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_DELAY_S = 2.5
OUTAGE_BEFORE_S = 1.0
DOWN_S = 0.3
PAUSE_S = 0.03
SERVES_FURTHER_S = 9.0
# Bounds of the site.
DRAIN_S = 2.0
CONTACT_S = 3.0


class LateUpstream(Upstream):
    """Its heartbeats arrive HEARTBEAT_DELAY_S after it has sent them, once m_is_late is set."""

    m_is_late = False

    async def send_beat(self, sequence, body):
        if self.m_is_late:
            await asyncio.sleep(HEARTBEAT_DELAY_S)
        self.m_record.write(f"heartbeat {sequence} of {self.m_id} arrives")
        await super().send_beat(sequence, body)


class FailingStore(Store):
    """Answers all calls with 503 while it is down."""

    m_is_down = False

    async def handle(self, method, path, query, body):
        return (503, {}) if self.m_is_down else await super().handle(method, path, query, body)


async def order(node, identity, sent, outcomes, record):
    sent[identity] = time.monotonic()
    try:
        status, _, _ = await request(node.m_host, node.m_caller_port, "POST", "/booking/order",
                                     {"Host": "shop.example", "Azureladder-Request-Id": identity,
                                      "Azureladder-Deadline-Remaining": "1500"}, b"order", 4)
    except (OSError, EOFError, asyncio.TimeoutError) as error:
        status = type(error).__name__
    outcomes[status] += 1
    record.write(f"answered id={identity}: {status}")


async def send_orders(node, sent, outcomes, record):
    number = 0
    while True:
        number += 1
        asyncio.ensure_future(order(node, f"o{number}", sent, outcomes, record))
        await asyncio.sleep(PAUSE_S)


async def run(folder):
    record = Record(FOLDER)
    store = FailingStore()
    await store.start()
    store.put("op/config", configuration(
        7, [route("booking", "bookings", "non_idempotent", "/booking/", "1500ms")],
        [service("bookings"), service("pricing")]))
    nodes = [Node("sidecar-1", "bookings", store, folder),
             Node("sidecar-2", "bookings", store, folder),
             Node("sidecar-3", "pricing", store, folder)]
    tasks = []
    try:
        for node in nodes:
            node.start()
        for node in nodes:
            if not await node.wait_ready():
                return 2
        leaving = LateUpstream(nodes[0], "i-leaving", record)
        for upstream in (leaving, Upstream(nodes[1], "i-stays", record),
                         Upstream(nodes[2], "i-pricing", record)):
            await upstream.start()
        await asyncio.sleep(4)
        outcomes = collections.Counter()
        sent = {}
        tasks.append(asyncio.ensure_future(send_orders(nodes[2], sent, outcomes, record)))
        leaving.m_is_late = True
        await asyncio.sleep(HEARTBEAT_DELAY_S + 2)
        runs_before = len(leaving.m_runs)
        if TROUBLE:
            store.m_is_down = True
            record.write("the store is down")
        await asyncio.sleep(OUTAGE_BEFORE_S)
        leaving.m_beats = False
        status, _, _ = await request(nodes[0].m_host, nodes[0].m_registry_port, "DELETE",
                                     "/v1/instances/" + leaving.m_id, {"Host": "control"})
        acknowledged = time.monotonic()
        record.write(f"DELETE of {leaving.m_id} acknowledged: {status}")
        if status != 200 or runs_before < 10:
            return 2
        if TROUBLE:
            for node in nodes:
                node.kill()
            record.write("all processes are killed")
            await asyncio.sleep(DOWN_S)
            store.m_is_down = False
            for node in nodes:
                node.start()
            record.write("the store is back, all processes are started")
        calm_since = time.monotonic()
        await asyncio.sleep(SERVES_FURTHER_S)
        late = [(at, identity) for at, identity, _, _ in leaving.m_runs
                if at > acknowledged + DRAIN_S]
        # Sent when the machines were in touch again.
        judged = [identity for _, identity in late if sent[identity] > calm_since + CONTACT_S]
        record.write(f"answers: {dict(outcomes)}")
        record.write(f"orders that reached {leaving.m_id} later than drain: {len(late)}; "
                     f"sent by machines in touch: {len(judged)}")
        record.write("rule broken" if judged else "rule held")
        return 1 if judged else 0
    finally:
        for task in tasks:
            task.cancel()
        for node in nodes:
            node.kill()


if __name__ == "__main__":
    run_case(run)
