"""An upstream that turns cold without a warning is sent more than it bears, and orders are lost.

Two machines, of services "bookings" and "catalogue". Clients on the second one send orders to
"bookings". Just after a heartbeat, the upstream of "bookings" turns cold for `cold_start` (TROUBLE=0:
it doesn't). It says so in its health responses from that moment on, and in its next heartbeat. It
crashes at three times `cold_per_s`.
"""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from stand_ins import *

CLIENTS = 16
WORK_S = 0.1
COLD_START_S = 3.0
COLD_PER_S = 9.4
BOUND = COLD_PER_S * 1.5 + 5  # cold_per_s x cold_over + cold_slack
CRASH_PER_S = 3 * COLD_PER_S


class ColdUpstream(Upstream):
    """Counts what arrives while it is cold, and crashes when that is far above `cold_per_s`."""

    cold_until = 0.0
    turns_cold = False
    turned_cold_at = None
    crashed = False
    lost = 0

    def __init__(self, *arguments):
        self.cold_arrivals = []
        super().__init__(*arguments)

    def cold_remaining_ms(self):
        return max(0, int((self.cold_until - time.monotonic()) * 1000))

    def beat(self):
        super().beat()
        if self.turns_cold and self.turned_cold_at is None:
            self.turned_cold_at = time.monotonic()
            self.cold_until = self.turned_cold_at + COLD_START_S
            self.record.write("turns_cold", upstream=self.id)

    def on_request(self, call, body):
        if self.crashed:
            call.close_connection = True
            return
        now = time.monotonic()
        if now < self.cold_until:
            with self.lock:
                self.cold_arrivals.append(now)
                if sum(1 for at in self.cold_arrivals if at > now - 1) > CRASH_PER_S:
                    self.crash()
        super().on_request(call, body)

    def crash(self):
        self.crashed = True
        self.stopped.set()
        self.record.write("upstream_crashes", upstream=self.id, cold_arrivals=len(self.cold_arrivals))
        threading.Thread(target=self.server.server_close, daemon=True).start()


def reply_unless_crashed(handler, upstream):
    """Makes a crashed upstream close its connections without an answer."""
    original = handler.reply

    def reply(self, *arguments, **options):
        if upstream().crashed:
            upstream().lost += 1
            self.close_connection = True
            return
        original(self, *arguments, **options)

    handler.reply = reply


def client_loop(run, machine, stop, statuses, sent):
    connection = http.client.HTTPConnection(*machine.outbound, timeout=5)
    while not stop.is_set():
        at = time.monotonic()
        request, status, _, _ = send(run.record, connection, "POST", "bookings.example", "/order/1",
                                     1500, body=b"element 12")
        sent[request] = at
        statuses[status] = statuses.get(status, 0) + 1
        time.sleep(0.05)


def main():
    with Run(FOLDER) as run:
        record = run.record
        store = Store("127.%d.200.1" % run.network)
        machines = [Machine(run, 1, "zone-a", "bookings", store.address),
                    Machine(run, 2, "zone-b", "catalogue", store.address)]
        store.put("op/config", configuration(1, [
            route("order", "bookings.example", "/order/", "non_idempotent", "bookings")],
            ["catalogue", "bookings"]))
        cold = ColdUpstream(record, machines[0], "bookings", WORK_S)
        reply_unless_crashed(cold.server.RequestHandlerClass, lambda: cold)
        other = Upstream(record, machines[1], "catalogue")
        for machine in machines:
            machine.start()
        if not wait_until(lambda: all(m.is_ready() for m in machines), 15):
            print("the nodes are not ready")
            return 2
        cold.start_heartbeats()
        other.start_heartbeats()
        time.sleep(1.5)
        stop, statuses, sent = threading.Event(), {}, {}
        threads = [threading.Thread(target=client_loop,
                                    args=(run, machines[1], stop, statuses, sent))
                   for _ in range(CLIENTS)]
        for thread in threads:
            thread.start()
        time.sleep(CONTACT_S + 1)
        if statuses.get(200, 0) < 50:
            stop.set()
            print("the case could not run: %s" % statuses)
            return 2
        cold.turns_cold = trouble()
        time.sleep(COLD_START_S + HEARTBEAT_S)
        stop.set()
        for thread in threads:
            thread.join()
        # Requests that were sent and arrived inside the same second, while the upstream was cold.
        arrivals = [(r["at"], sent[r["request"]]) for r in cold.runs
                    if cold.turned_cold_at is not None
                    and cold.turned_cold_at <= r["at"] < cold.turned_cold_at + COLD_START_S]
        most = max((sum(1 for at, sent_at in arrivals if start <= sent_at and at < start + 1)
                    for _, start in arrivals), default=0)
        return finish(record, most > BOUND,
                      "FAILBACK: a cold upstream got %d requests in one second (at most %.1f); it "
                      "crashed: %s, with %d orders unanswered; answers by status: %s"
                      % (most, BOUND, cold.crashed, cold.lost, statuses))


execute(main)
