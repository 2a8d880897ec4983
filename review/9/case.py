"""A machine changes its service, and SIGHUP tells its node of the new settings.

The upstream of alpha on machine 1 ends. Its address goes to an upstream of gamma: the settings file of
the node names gamma, SIGHUP arrives, and the upstream of gamma listens at the address. Its first
heartbeat arrives two seconds late. Meanwhile clients of machine 1 send requests to beta.
TROUBLE=0 does the same with an upstream of alpha as successor, so that the settings stay.
"""
import asyncio
import json
import logging
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from stand_ins_2 import (Folder, Node, Record, Store, Upstream, configuration, request, route,
                         service)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REUSE_AFTER_S = 2.0
HEARTBEAT_DELAY_S = 2.0
REQUESTS = 30
PAUSE_S = 0.05


async def ask(node, identity, record):
    status, _, _ = await request(node.m_host, node.m_caller_port, "GET", "/beta/list",
                                 {"Host": "shop.example", "Azureladder-Request-Id": identity,
                                  "Azureladder-Deadline-Remaining": "1500"})
    record.write(f"sent at {node.m_name}, id={identity}: {status}")
    return status


async def run(folder):
    record = Record(FOLDER)
    store = Store()
    await store.start()
    store.put("op/config", configuration(
        7, [route("beta", "beta", "idempotent", "/beta/")],
        [service("alpha"), service("beta"), service("gamma")]))
    nodes = [Node("sidecar-1", "alpha", store, folder), Node("sidecar-2", "beta", store, folder)]
    try:
        for node in nodes:
            node.start()
        for node in nodes:
            if not await node.wait_ready():
                return 2
        former = Upstream(nodes[0], "i-alpha", record)
        target = Upstream(nodes[1], "i-beta", record)
        await former.start()
        await target.start()
        await asyncio.sleep(3)
        if await ask(nodes[0], "before", record) != 200:
            return 2
        # The upstream of alpha leaves in order.
        former.m_beats = False
        status, _, _ = await request(nodes[0].m_host, nodes[0].m_registry_port, "DELETE",
                                     "/v1/instances/" + former.m_id, {"Host": "control"})
        record.write(f"{former.m_id} has left: {status}")
        await asyncio.sleep(2.5)
        former.crash()
        await asyncio.sleep(REUSE_AFTER_S)
        successor_service = "gamma" if TROUBLE else "alpha"
        with open(nodes[0].m_path, encoding="utf-8") as file:
            text = file.read()
        with open(nodes[0].m_path, "w", encoding="utf-8") as file:
            file.write(text.replace('"service": "alpha"',
                                    f'"service": {json.dumps(successor_service)}'))
        nodes[0].m_service = successor_service
        nodes[0].signal(signal.SIGHUP)
        record.write(f"settings of sidecar-1 name {successor_service}; SIGHUP sent")
        successor = Upstream(nodes[0], "i-" + successor_service + "-2", record)
        await successor.start(beat=False)
        await asyncio.sleep(0.5)
        for number in range(REQUESTS):
            await ask(nodes[0], f"during-{number}", record)
            await asyncio.sleep(PAUSE_S)
        await asyncio.sleep(HEARTBEAT_DELAY_S)
        successor.m_beats = True
        await asyncio.sleep(2)
        await ask(nodes[0], "after", record)
        callers = dict(target.m_callers)
        wrong = [identity for identity, caller in callers.items()
                 if identity.startswith("during") and caller != successor_service]
        for identity, caller in callers.items():
            record.write(f"run id={identity} Azureladder-Caller-Service: {caller}")
        served = sum(identity.startswith("during") for identity in callers)
        if served < REQUESTS / 2 or callers.get("after") != successor_service:
            return 2
        record.write(f"{len(wrong)} of {served} requests ran with another caller service than "
                     f"{successor_service}")
        record.write("rule broken" if wrong else "rule held")
        return 1 if wrong else 0
    finally:
        for node in nodes:
            node.kill()


if __name__ == "__main__":
    logging.disable(logging.CRITICAL)
    with Folder() as path:
        result = asyncio.run(run(path))
    sys.exit(result)
