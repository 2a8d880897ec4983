"""A heartbeat from another writer, whose id has bytes that can't be read, ends the node's process.

Two machines, of services "catalogue" and "bookings". Eight clients on the first send requests to
"bookings" over kept connections. Then one PUT arrives at the control address of the first machine
whose id isn't UTF-8 (TROUBLE=0: it isn't sent).
"""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from stand_ins import *

CLIENTS = 8
MAX_LOST = 3


def client_loop(run, machine, number, stop, lost):
    connection = http.client.HTTPConnection(*machine.outbound, timeout=5)
    answered = 0
    while not stop.is_set():
        request, status, body, error = send(run.record, connection, "POST", "bookings.example",
                                            "/order/%d" % number, 1500, body=b"element 12")
        if error and answered > 0:
            lost.append(request)
        answered = answered + 1 if status else 0
        if error:
            time.sleep(0.2)


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
        upstreams = [Upstream(record, m, m.service, 0.3) for m in machines]
        for machine in machines:
            machine.start()
        if not wait_until(lambda: all(m.is_ready() for m in machines), 15):
            print("the nodes are not ready")
            return 2
        for upstream in upstreams:
            upstream.start_heartbeats()
        time.sleep(1.5)
        stop, lost = threading.Event(), []
        threads = [threading.Thread(target=client_loop, args=(run, machines[0], i, stop, lost))
                   for i in range(CLIENTS)]
        for thread in threads:
            thread.start()
        time.sleep(CONTACT_S + 1)
        if lost or len(upstreams[1].runs) < CLIENTS:
            stop.set()
            print("the case could not run: requests failed before the disruption")
            return 2
        if trouble():
            status = put_heartbeat(machines[0], b"i-7f3a\xff91c2", upstreams[0].address, "catalogue",
                                   "zone-a", upstreams[0].born, 1, "draining")
            record.write("other_heartbeat", machine=machines[0].name, status=status)
        exits = []
        end = time.monotonic() + 5
        while time.monotonic() < end:
            for machine in machines:
                code = machine.process.poll()
                if code is not None:
                    record.write("process_ended", machine=machine.name, code=code)
                    exits.append("%s (code %d)" % (machine.name, code))
                    time.sleep(0.3)
                    machine.start()
            time.sleep(0.05)
        stop.set()
        for thread in threads:
            thread.join()
        ran = {run["request"] for u in upstreams for run in u.runs}
        passed_on = [request for request in lost if request in ran]
        return finish(record, len(passed_on) > MAX_LOST,
                      "LOST: %d requests on kept connections were passed on to a sound upstream and "
                      "got no answer (at most %d); processes that ended by themselves: %s"
                      % (len(passed_on), MAX_LOST, ", ".join(exits) or "none"))


execute(main)
