"""A heartbeat of a service that isn't named replaces the machine's upstream and its service.

Two machines, of services "catalogue" and "bookings". A client on the first sends orders to
"bookings", one on the second sends look-ups to "catalogue". Then one heartbeat of another writer
arrives at the control address of the first machine (TROUBLE=0: it isn't sent). The upstream of the
first machine keeps sending its own heartbeats.
"""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from stand_ins import *

AFTER_S = 12.0


def client_loop(run, machine, method, host, path, stop, statuses):
    connection = http.client.HTTPConnection(*machine.outbound, timeout=5)
    while not stop.is_set():
        _, status, _, _ = send(run.record, connection, method, host, path, 1500,
                               body=b"element 12" if method == "POST" else None)
        statuses.append((time.monotonic(), status))
        time.sleep(0.05)


def main():
    with Run(FOLDER) as run:
        record = run.record
        store = Store("127.%d.200.1" % run.network)
        machines = [Machine(run, 1, "zone-a", "catalogue", store.address),
                    Machine(run, 2, "zone-b", "bookings", store.address)]
        store.put("op/config", configuration(1, [
            route("fitment", "catalogue.example", "/fitment/", "idempotent", "catalogue"),
            route("order", "bookings.example", "/order/", "non_idempotent", "bookings")],
            ["catalogue", "bookings"]))
        upstreams = [Upstream(record, m, m.service) for m in machines]
        for machine in machines:
            machine.start()
        if not wait_until(lambda: all(m.is_ready() for m in machines), 15):
            print("the nodes are not ready")
            return 2
        for upstream in upstreams:
            upstream.start_heartbeats()
        time.sleep(1.5)
        stop, orders, lookups = threading.Event(), [], []
        threads = [threading.Thread(target=client_loop, args=(
                       run, machines[0], "POST", "bookings.example", "/order/1", stop, orders)),
                   threading.Thread(target=client_loop, args=(
                       run, machines[1], "GET", "catalogue.example", "/fitment/1", stop, lookups))]
        for thread in threads:
            thread.start()
        time.sleep(CONTACT_S + 1)
        if trouble():
            status = put_heartbeat(machines[0], "i-0c55d1e7", "%s:9" % machines[0].ip,
                                   "telemetry", "zone-a", int(time.time() * 1000), 1, "ready")
            record.write("other_heartbeat", machine=machines[0].name, service="telemetry",
                         status=status)
        sent_at = time.monotonic()
        time.sleep(AFTER_S)
        stop.set()
        for thread in threads:
            thread.join()
        runs = upstreams[1].runs
        if len(runs) < 20 or any(r["caller_service"] != "catalogue" for r in runs
                                 if r["at"] < sent_at):
            print("the case could not run: the orders were not served before the disruption")
            return 2
        wrong = [r for r in runs if r["caller_service"] != "catalogue"]
        served = sum(1 for at, status in lookups if at > sent_at and status == 200)
        later = sum(1 for at, status in lookups if at > sent_at)
        return finish(record, bool(wrong),
                      "UNASKED: %d of %d orders ran with an Azureladder-Caller-Service that isn't the "
                      "service of their machine (%s); %d of %d later look-ups at the machine's own "
                      "upstream were served" % (len(wrong), len(runs), sorted(
                          {r["caller_service"] for r in wrong}), served, later))


execute(main)
