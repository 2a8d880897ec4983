"""After the connections to the store have gone silent, a new configuration isn't noticed.

Three machines, of services "catalogue", "bookings" and "bookings", reach the store through a proxy. All
connections that are open to the store go silent (TROUBLE=0: they stay as they are); new ones work.
Six seconds later the operator moves the route of the orders from "bookings" to "catalogue".
"""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from stand_ins import *

CHANGE_AFTER_S = 2 * CONTACT_S
OBSERVED_S = 40.0


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
        proxy = Proxy("127.%d.200.2" % run.network, store.address)
        machines = [Machine(run, 1, "zone-a", "catalogue", proxy.address),
                    Machine(run, 2, "zone-b", "bookings", proxy.address),
                    Machine(run, 3, "zone-c", "bookings", proxy.address)]

        def write_configuration(version, service):
            store.put("op/config", configuration(version, [
                route("order", "orders.example", "/order/", "non_idempotent", service)],
                ["catalogue", "bookings"]))
            record.write("configuration_acknowledged", version=version, service=service)
            return time.monotonic()

        write_configuration(1, "bookings")
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
        if trouble():
            record.write("silenced", connections=proxy.silence())
        time.sleep(CHANGE_AFTER_S)
        acknowledged = write_configuration(2, "catalogue")
        time.sleep(OBSERVED_S)
        stop.set()
        for thread in threads:
            thread.join()
        before = [r for u in upstreams[1:] for r in u.runs if r["at"] < acknowledged]
        if len(before) < 30:
            print("the case could not run: the orders were not served before the change")
            return 2
        old = [r for u in upstreams[1:] for r in u.runs
               if sent[r["request"]][0] > acknowledged + CONFIG_APPLY_S]
        new = [r for r in upstreams[0].runs if sent[r["request"]][0] > acknowledged]
        last = max((sent[r["request"]][0] - acknowledged for r in old), default=0.0)
        first = min((sent[r["request"]][0] - acknowledged for r in new), default=-1.0)
        return finish(record, bool(old),
                      "CONFIG: %d orders that were sent later than config_apply (%.0f s) after the "
                      "acknowledgement were run by the former service, the last sent %.1f s after it, "
                      "by machines %s; the first order run by the new service was sent %.1f s after it"
                      % (len(old), CONFIG_APPLY_S, last,
                         sorted({sent[r["request"]][1] for r in old}), first))


execute(main)
