"""One wrong byte in an upstream's answer to a release ends the processes of two other machines' nodes.

Four machines: one of service "catalogue", three of the sharded service "reporting". Eight clients
on the machine of the first owner send requests to "catalogue" over kept connections. Then the
upstream of another owner drains, as before a planned shutdown, and its node takes its keys back. The
answer to that release bears a handover with one spoiled byte (TROUBLE=0: an ordinary handover).
"""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from stand_ins import *

CLIENTS = 8
MIN_ANSWERS_BEFORE_GARBLE = 60  # One spoiled answer of these is less than x = 0.02.
MAX_LOST = 3


def client_loop(run, machine, number, stop, lost):
    connection = http.client.HTTPConnection(*machine.outbound, timeout=5)
    answered = 0
    while not stop.is_set():
        request, status, body, error = send(run.record, connection, "GET", "catalogue.example",
                                            "/fitment/%d" % number, 1200)
        if error and answered > 0:
            lost.append(request)
        answered = answered + 1 if status else 0
        if error:
            time.sleep(0.2)


def keyed_loop(run, machine, stop, answers):
    connection = http.client.HTTPConnection(*machine.outbound, timeout=5)
    key = 100
    while not stop.is_set():
        key = (key + 7919) % 65536
        _, status, _, _ = send(run.record, connection, "GET", "reporting.example", "/sales/x", 3000,
                               key=key)
        answers[status] = answers.get(status, 0) + 1
        time.sleep(0.02)


def main():
    with Run(FOLDER) as run:
        record = run.record
        store = Store("127.%d.200.1" % run.network)
        services = ["catalogue", "reporting"]
        machines = [Machine(run, 1, "zone-a", "reporting", store.address),
                    Machine(run, 2, "zone-b", "reporting", store.address),
                    Machine(run, 3, "zone-c", "reporting", store.address),
                    Machine(run, 4, "zone-a", "catalogue", store.address)]
        store.put("op/config", configuration(1, [
            route("fitment", "catalogue.example", "/fitment/", "idempotent", "catalogue", "1200ms",
                  "500ms"),
            route("sales", "reporting.example", "/sales/", "idempotent", "reporting", "2000ms",
                  "1200ms")], services, sharded=["reporting"]))
        upstreams = [Upstream(record, m, m.service, 0.3 if m.service == "catalogue" else 0.03,
                              m.service == "reporting") for m in machines]
        for machine in machines:
            machine.start()
        if not wait_until(lambda: all(m.is_ready() for m in machines), 15):
            print("the nodes are not ready")
            return 2
        for upstream in upstreams:
            upstream.start_heartbeats()
        leaving = upstreams[2]
        if not wait_until(lambda: all(u.held for u in upstreams[:3]), 20):
            print("the keys were not granted")
            return 2
        stop, lost, keyed = threading.Event(), [], {}
        threads = [threading.Thread(target=client_loop, args=(run, machines[0], i, stop, lost))
                   for i in range(CLIENTS)]
        threads += [threading.Thread(target=keyed_loop, args=(run, machines[1], stop, keyed))
                    for _ in range(3)]
        for thread in threads:
            thread.start()
        ready = wait_until(lambda: len(leaving.runs) >= MIN_ANSWERS_BEFORE_GARBLE, 30)
        time.sleep(CONTACT_S)
        ordinary = leaving.release_handover
        spoiled = []

        def handover():
            if trouble() and not spoiled:
                spoiled.append(1)
                return "5c0e7a21d94b\xff6f8"
            return ordinary()

        leaving.release_handover = handover
        lost_before = len(lost)
        exits = []
        if ready:
            leaving.state = "draining"
            record.write("draining", upstream=leaving.id, machine=leaving.machine.name)
            end = time.monotonic() + 6
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
        if not ready or lost_before:
            print("the case could not run: %d runs, %d lost before" % (len(leaving.runs),
                                                                       lost_before))
            return 2
        ran = {run["request"] for u in upstreams for run in u.runs}
        passed_on = [request for request in lost if request in ran]
        return finish(record, len(passed_on) > MAX_LOST,
                      "LOST: %d requests on kept connections were passed on to a sound upstream and "
                      "got no answer (at most %d); processes that ended by themselves: %s; "
                      "keyed answers by status: %s" % (len(passed_on), MAX_LOST,
                                                       ", ".join(exits) or "none", keyed))


execute(main)
