"""A departure that was acknowledged is forgotten, and orders reach the upstream that left.

Three machines, of services "bookings", "bookings" and "catalogue". Clients on the third send orders to
"bookings". The store is down for 4 s. Meanwhile the first upstream sends DELETE, has the
acknowledgement, and goes on serving for `drain` and 8 s longer. Right after the acknowledgement all
processes are killed, and start again. One heartbeat that the upstream had sent before it left arrives
two seconds late. (TROUBLE=0: the store isn't down and nothing is killed; the late heartbeat stays.)
"""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from stand_ins import *

DRAIN_S = 2.0
SERVES_LONGER_S = 8.0
STORE_DOWN_S = 4.0
HEARTBEAT_LATE_S = 2.0
RESTART_S = 0.3


def client_loop(run, machine, stop, sent):
    connection = http.client.HTTPConnection(*machine.outbound, timeout=5)
    while not stop.is_set():
        at = time.monotonic()
        request, _, _, error = send(run.record, connection, "POST", "bookings.example",
                                         "/order/1", 1500, body=b"element 12")
        sent[request] = at
        time.sleep(0.2 if error else 0.05)


def main():
    with Run(FOLDER) as run:
        record = run.record
        store = Store("127.%d.200.1" % run.network)
        machines = [Machine(run, 1, "zone-a", "bookings", store.address),
                    Machine(run, 2, "zone-b", "bookings", store.address),
                    Machine(run, 3, "zone-a", "catalogue", store.address)]
        store.put("op/config", configuration(1, [
            route("order", "bookings.example", "/order/", "non_idempotent", "bookings")],
            ["catalogue", "bookings"]))
        upstreams = [Upstream(record, m, m.service, 0.2) for m in machines]
        leaving = upstreams[0]
        for machine in machines:
            machine.start()
        if not wait_until(lambda: all(m.is_ready() for m in machines), 15):
            print("the nodes are not ready")
            return 2
        for upstream in upstreams:
            upstream.start_heartbeats()
        time.sleep(1.5)
        stop, sent = threading.Event(), {}
        threads = [threading.Thread(target=client_loop,
                                    args=(run, machines[2], stop, sent))
                   for _ in range(6)]
        for thread in threads:
            thread.start()
        time.sleep(CONTACT_S + 1)
        down_at = time.monotonic()
        if trouble():
            store.set_busy(True)
            record.write("store_down")
        time.sleep(0.5)
        # The last heartbeat before the upstream leaves is held up on its way.
        leaving.stopped.set()
        leaving.sequence += 1
        late = (leaving.machine, leaving.id, leaving.address, leaving.service, leaving.machine.zone,
                leaving.born, leaving.sequence, "ready")
        late_sent_at = time.monotonic()
        status = leaving.remove()
        acknowledged = time.monotonic()
        record.write("leave_acknowledged", upstream=leaving.id, status=status)
        if status != 200:
            stop.set()
            print("the case could not run: the departure was not acknowledged")
            return 2
        if trouble():
            for machine in machines:
                machine.process.kill()
            for machine in machines:
                machine.process.wait()
            record.write("all_processes_killed")
            time.sleep(RESTART_S)
            for machine in machines:
                machine.start()
        time.sleep(max(0.0, late_sent_at + HEARTBEAT_LATE_S - time.monotonic()))
        record.write("late_heartbeat", upstream=leaving.id, status=put_heartbeat(*late))
        time.sleep(max(0.0, down_at + STORE_DOWN_S - time.monotonic()))
        store.set_busy(False)
        record.write("store_back")
        calm_since = time.monotonic() if trouble() else acknowledged
        time.sleep(max(0.0, acknowledged + DRAIN_S + SERVES_LONGER_S - time.monotonic()))
        leaving.exit()
        record.write("upstream_exits", upstream=leaving.id)
        time.sleep(1)
        stop.set()
        for thread in threads:
            thread.join()
        # Only orders that were sent when all machines had been in touch again.
        judged = [r["at"] - acknowledged for r in leaving.runs
                  if r["at"] > acknowledged + DRAIN_S and sent[r["request"]] > calm_since + CONTACT_S]
        return finish(record, bool(judged),
                      "DRAIN: %d orders reached the upstream later than drain (%.0f s) after its "
                      "departure was acknowledged, sent by machines in touch, the last %.1f s after it; "
                      "%d running orders were cut off when it exited"
                      % (len(judged), DRAIN_S, max(judged, default=0.0), len(leaving.cut)))


execute(main)
