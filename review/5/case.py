"""After the store has lost the answers to the watches, a new configuration isn't noticed.

Three machines, of services "catalogue", "bookings" and "bookings". The operator writes three
configurations, one a second. The third moves the route of the orders from "bookings" to "catalogue".
The store loses the answers that would tell of it, one for each node (TROUBLE=0: it loses none). All
other calls and all new connections are answered at once.
"""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from stand_ins import *

OBSERVED_S = 36.0

# The store counts as disturbed while it loses answers, and `contact` longer.
JUDGED_AFTER_S = CONTACT_S + CONFIG_APPLY_S


def client_loop(run, machine, stop, sent):
    connection = http.client.HTTPConnection(*machine.outbound, timeout=5)
    while not stop.is_set():
        at = time.monotonic()
        request, status, _, _ = send(run.record, connection, "POST", "orders.example", "/order/1",
                                     1500, body=b"element 12")
        sent[request] = (at, machine.name, status)
        time.sleep(0.1)


def main():
    with Run(FOLDER) as run:
        record = run.record
        store = Store("127.%d.200.1" % run.network)
        machines = [Machine(run, 1, "zone-a", "catalogue", store.address),
                    Machine(run, 2, "zone-b", "bookings", store.address),
                    Machine(run, 3, "zone-c", "bookings", store.address)]

        def write_configuration(version, service, timeout):
            revision = store.put("op/config", configuration(version, [
                route("order", "orders.example", "/order/", "non_idempotent", service, timeout)],
                ["catalogue", "bookings"]))
            record.write("configuration_acknowledged", version=version, service=service)
            return revision, time.monotonic()

        write_configuration(1, "bookings", "1500ms")
        upstreams = [Upstream(record, m, m.service) for m in machines]
        for machine in machines:
            machine.start()
        if not wait_until(lambda: all(m.is_ready() for m in machines), 15):
            print("the nodes are not ready")
            return 2
        for upstream in upstreams:
            upstream.start_heartbeats()
        time.sleep(1.5)
        stop, sent = threading.Event(), {}
        threads = [threading.Thread(target=client_loop, args=(run, m, stop, sent))
                   for m in machines]
        for thread in threads:
            thread.start()
        time.sleep(CONTACT_S)
        told, lost = [], []
        moved_at_revision = [None]

        def loses_answer(answer):
            if not answer["events"]:
                return False
            told.append(answer["current_rev"])
            # Each connection loses one answer; later calls on new connections are answered.
            if moved_at_revision[0] is None or len(lost) >= len(machines):
                return False
            lost.append(answer["current_rev"])
            record.write("answer_lost", call="kv-watch", current_rev=answer["current_rev"])
            return True

        store.loses_answer = loses_answer
        write_configuration(2, "bookings", "1400ms")
        time.sleep(1.0)
        write_configuration(3, "bookings", "1300ms")
        time.sleep(1.0)
        if trouble():
            moved_at_revision[0] = store.revision + 1
        _, acknowledged = write_configuration(4, "catalogue", "1300ms")
        time.sleep(OBSERVED_S)
        stop.set()
        for thread in threads:
            thread.join()
        before = [r for u in upstreams[1:] for r in u.runs if r["at"] < acknowledged]
        if len(before) < 30 or (trouble() and len(lost) != len(machines)):
            print("the case could not run: %d orders before the change, %d answers lost"
                  % (len(before), len(lost)))
            return 2
        old = [r for u in upstreams[1:] for r in u.runs
               if sent[r["request"]][0] > acknowledged + JUDGED_AFTER_S]
        new = [r for r in upstreams[0].runs if sent[r["request"]][0] > acknowledged]
        last = max((sent[r["request"]][0] - acknowledged for r in old), default=0.0)
        first = min((sent[r["request"]][0] - acknowledged for r in new), default=-1.0)
        return finish(record, bool(old),
                      "CONFIG: %d orders that were sent later than %.0f s (contact + config_apply) "
                      "after the acknowledgement were run by the former service, the last sent %.1f s "
                      "after it, by machines %s; the first order run by the new service was sent %.1f s "
                      "after it; %d of %d answers to watches lost"
                      % (len(old), JUDGED_AFTER_S, last,
                         sorted({sent[r["request"]][1] for r in old}), first, len(lost), len(told)))


execute(main)
