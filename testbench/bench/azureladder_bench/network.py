"""Small HTTP and TCP helpers on loopback addresses."""

import http.client
import json
import random
import socket
import time

CONTROL_TIMEOUT_S = 2
POLL_INTERVAL_S = 0.05


# Below the kernel's range of ephemeral ports (32768 to 60999): an outgoing connection could take a
# port of that range between its selection and the start of the process.
LISTEN_PORTS = range(10000, 30000)


def free_port():
    """A port that is free for TCP and UDP at the moment."""
    while True:
        port = random.choice(LISTEN_PORTS)
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as stream, \
                socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
            try:
                stream.bind(("127.0.0.1", port))
                datagrams.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


class AddressAllocator:
    """Allocates free loopback addresses, each only once."""

    def __init__(self):
        self.used = set()

    def allocate(self):
        """A loopback address that was not allocated before."""
        while True:
            port = free_port()
            if port not in self.used:
                self.used.add(port)
                return f"127.0.0.1:{port}"


def split_address(address):
    """Host and port of "host:port"."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def request(address, method, path, body=None, headers=None):
    """Status and body of one HTTP request over its own connection; status 0 without answer."""
    connection = http.client.HTTPConnection(*split_address(address), timeout=CONTROL_TIMEOUT_S)
    try:
        content = None if body is None else json.dumps(body)
        connection.request(method, path, content, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read().decode("utf-8", "replace")
    except (OSError, http.client.HTTPException):
        return 0, ""
    finally:
        connection.close()


def accepts_connections(address):
    """Whether the address accepts TCP connections."""
    try:
        with socket.create_connection(split_address(address), CONTROL_TIMEOUT_S):
            return True
    except OSError:
        return False


def send_line(address, command):
    """Sends a command as one JSON line and returns the reply."""
    with socket.create_connection(split_address(address), CONTROL_TIMEOUT_S) as connection:
        connection.sendall((json.dumps(command) + "\n").encode("utf-8"))
        with connection.makefile("r", encoding="utf-8") as lines:
            return json.loads(lines.readline())


def wait_until(condition, timeout_s):
    """Polls a condition; returns whether it became true within the limit."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            return False
        time.sleep(POLL_INTERVAL_S)
    return True
