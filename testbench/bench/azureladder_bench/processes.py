"""Starts, samples and ends processes. Each process is ended by its id."""

import os
import signal
import subprocess
import time

STOP_TIMEOUT_S = 15
KILL_TIMEOUT_S = 5
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def read_cpu_s(pid):
    """User and system time of a process in seconds."""
    with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
        # The name in parentheses may contain spaces; utime and stime are fields 14 and 15.
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def read_resident_kb(pid):
    """Resident memory of a process in KiB."""
    with open(f"/proc/{pid}/status", encoding="utf-8") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
    return 0


class ManagedProcess:
    """A process with its role, its last observed CPU time and its largest resident memory."""

    def __init__(self, role, name, arguments, output):
        self.role = role
        self.name = name
        self.cpu_s = 0.0
        self.max_resident_kb = 0
        with open(output, "ab") as file:
            self.popen = subprocess.Popen(  # pylint: disable=consider-using-with
                [str(one) for one in arguments], stdin=subprocess.DEVNULL, stdout=file,
                stderr=subprocess.STDOUT)

    def is_running(self):
        """Whether the process has not ended."""
        return self.popen.poll() is None

    def sample(self):
        """Updates CPU time and memory while the process runs."""
        if not self.is_running():
            return
        try:
            self.cpu_s = read_cpu_s(self.popen.pid)
            self.max_resident_kb = max(self.max_resident_kb, read_resident_kb(self.popen.pid))
        except (FileNotFoundError, ProcessLookupError):
            pass

    def send(self, number):
        """Sends a signal if the process runs."""
        self.sample()
        if self.is_running():
            self.popen.send_signal(number)

    def wait(self, timeout_s):
        """Exit status, or None when the process still runs after the limit."""
        try:
            return self.popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None


class ProcessGroup:
    """All processes of a run. Leaving the context ends those that still run."""

    def __init__(self):
        self.processes = []

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.end_all()

    def start(self, role, name, arguments, output):
        """Starts a process that belongs to the group."""
        process = ManagedProcess(role, name, arguments, output)
        self.processes.append(process)
        return process

    def sample(self):
        """Samples all running processes."""
        for process in self.processes:
            process.sample()

    def stop(self, processes):
        """Asks processes to end and returns the names of those that did not end in time."""
        for process in processes:
            process.send(signal.SIGCONT)
            process.send(signal.SIGTERM)
        deadline = time.monotonic() + STOP_TIMEOUT_S
        late = [one for one in processes if one.wait(max(0, deadline - time.monotonic())) is None]
        for process in late:
            process.send(signal.SIGKILL)
            process.wait(KILL_TIMEOUT_S)
        return [process.name for process in late]

    def end_all(self):
        """Ends all processes that still run, in the reverse order of their start."""
        self.stop([one for one in reversed(self.processes) if one.is_running()])

    def usage(self):
        """CPU time and memory by role: sum and largest of one process."""
        usage = {}
        for process in self.processes:
            role = usage.setdefault(
                process.role, {"processes": 0, "cpu_s": 0.0, "max_cpu_s": 0.0,
                               "max_resident_kb": 0})
            role["processes"] += 1
            role["cpu_s"] += process.cpu_s
            role["max_cpu_s"] = max(role["max_cpu_s"], process.cpu_s)
            role["max_resident_kb"] = max(role["max_resident_kb"], process.max_resident_kb)
        return usage
