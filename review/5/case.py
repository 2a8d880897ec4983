"""A stopping node reads requests and closes their connections without an answer.

Two machines, of services "catalogue" and "bookings". Ten clients on the second one send look-ups to
"catalogue". Each keeps its connection open and sends its next look-up 0.3 s after the former one,
also while that one is unanswered, two at a time at most; a look-up takes 0.8 s. Then the second
machine gets SIGTERM (TROUBLE=0: it doesn't). After an answer with `Connection: close` a client sends
nothing more on that connection.
"""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from stand_ins import *

CLIENTS = 10
WORK_S = 0.8
INTERVAL_S = 0.3
MAX_OPEN = 2
LOSS_SLACK_S = 0.2
GRACE_S = 6.0


class Connection:
    """One kept connection of a client, with its unanswered look-ups in order."""

    def __init__(self, run, machine, lost, answered):
        self.record = run.record
        self.lost = lost
        self.answered = answered
        self.open = []
        self.may_send = True
        self.is_closed = False
        self.lock = threading.Lock()
        self.socket = socket.create_connection(machine.outbound, timeout=5)
        self.socket.settimeout(8)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader = threading.Thread(target=self._read)
        self.reader.start()

    def send(self):
        with self.lock:
            if not self.may_send or len(self.open) >= MAX_OPEN:
                return
            request = "%016x" % random.getrandbits(64)
            head = ("GET /fitment/1 HTTP/1.1\r\nHost: catalogue.example\r\n"
                    "Azureladder-Request-Id: %s\r\nAzureladder-Deadline-Remaining: 4000\r\n\r\n"
                    % request)
            try:
                self.socket.sendall(head.encode())
            except OSError:
                self.may_send = False
                return
            self.open.append((request, time.monotonic()))
        self.record.write("sent", request=request)

    def _read(self):
        stream = self.socket.makefile("rb")
        try:
            while True:
                status_line = stream.readline()
                if not status_line:
                    break
                length, closes = 0, False
                while True:
                    name, _, value = stream.readline().decode("latin-1").partition(":")
                    if not name.strip():
                        break
                    if name.lower() == "content-length":
                        length = int(value)
                    closes |= name.lower() == "connection" and value.strip().lower() == "close"
                if len(stream.read(length)) < length:
                    break
                with self.lock:
                    request, _ = self.open.pop(0)
                    self.may_send &= not closes
                self.record.write("answered", request=request, status=status_line.split()[1].decode(),
                                  closes=closes)
                self.answered.append(request)
        except OSError:
            pass
        now = time.monotonic()
        with self.lock:
            self.may_send = False
            self.is_closed = True
            unanswered, self.open = self.open, []
        for request, at in unanswered:
            self.record.write("no_answer", request=request, after_s="%.3f" % (now - at))
            self.lost.append((request, at, now))


def client_loop(run, machine, stop, lost, answered):
    connection = None
    while not stop.is_set():
        if connection is None or connection.is_closed:
            try:
                connection = Connection(run, machine, lost, answered)
            except OSError:
                time.sleep(0.2)
                continue
        connection.send()
        time.sleep(INTERVAL_S)
    if connection is not None:
        wait_until(lambda: not connection.open, 4)
        try:
            connection.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass


def main():
    with Run(FOLDER) as run:
        record = run.record
        store = Store("127.%d.200.1" % run.network)
        machines = [Machine(run, 1, "zone-a", "catalogue", store.address),
                    Machine(run, 2, "zone-b", "bookings", store.address)]
        store.put("op/config", configuration(1, [
            route("fitment", "catalogue.example", "/fitment/", "idempotent", "catalogue", "3000ms",
                  "1200ms")], ["catalogue", "bookings"]))
        upstreams = [Upstream(record, m, m.service, WORK_S) for m in machines]
        upstreams[0].slots = 40
        for machine in machines:
            machine.start()
        if not wait_until(lambda: all(m.is_ready() for m in machines), 15):
            print("the nodes are not ready")
            return 2
        for upstream in upstreams:
            upstream.start_heartbeats()
        time.sleep(1.5)
        stop, lost, answered = threading.Event(), [], []
        threads = [threading.Thread(target=client_loop,
                                    args=(run, machines[1], stop, lost, answered))
                   for _ in range(CLIENTS)]
        for thread in threads:
            thread.start()
        time.sleep(CONTACT_S + 1)
        if lost or len(answered) < CLIENTS:
            stop.set()
            print("the case could not run: look-ups failed before the stop")
            return 2
        stopped_at = time.monotonic()
        if trouble():
            machines[1].process.send_signal(signal.SIGTERM)
            record.write("sigterm", machine=machines[1].name)
            wait_until(lambda: machines[1].process.poll() is not None, GRACE_S)
            record.write("process_ended", machine=machines[1].name,
                         code=machines[1].process.poll())
        else:
            time.sleep(GRACE_S)
        stop.set()
        for thread in threads:
            thread.join()
        late = [(at - stopped_at, end - at) for _, at, end in lost
                if end - at > LOSS_SLACK_S and end < stopped_at + GRACE_S + 1]
        return finish(record, bool(late),
                      "LOST: %d look-ups had no answer when their connection ended more than "
                      "loss_slack (%.1f s) after their last byte was sent; longest %.2f s; sent "
                      "between %.2f and %.2f s after the SIGTERM; %d answered"
                      % (len(late), LOSS_SLACK_S, max((d for _, d in late), default=0.0),
                         min((s for s, _ in late), default=0.0),
                         max((s for s, _ in late), default=0.0), len(answered)))


execute(main)
