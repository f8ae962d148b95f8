"""Starts processes of the build and ends each by its own id."""

import ctypes
import os
import select
import signal
import subprocess
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
BINARIES = Path(os.environ.get("MERLINPIER_BIN", ROOT / "build" / "bin"))

START_TIMEOUT_S = 20
STOP_TIMEOUT_S = 5
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PR_SET_PDEATHSIG = 1

LIBC = ctypes.CDLL(None)


class MeasurementError(Exception):
    """The experiment could not be carried out; this says nothing about what it measures."""


def end_with_parent():
    """Lets the kernel end the process if the driver is killed without a chance to do so."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def binary(name):
    path = BINARIES / name
    if not path.exists():
        raise MeasurementError(f"{path} is missing: run Meta/build.sh first")
    return str(path)


class Process:
    """One program of the build that prints "listening" once it is ready."""

    def __init__(self, name, arguments, log):
        self.name = name
        self.log = log
        with open(log, "ab") as errors:
            self.popen = subprocess.Popen(
                [binary(name), *arguments], stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, stderr=errors,
                preexec_fn=end_with_parent)

    def wait_until_listening(self):
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            ready, _, _ = select.select([self.popen.stdout], [], [], 0.1)
            if not ready:
                continue
            line = self.popen.stdout.readline().decode()
            if line.startswith("listening"):
                return
            if not line:
                break
        raise MeasurementError(f"{self.name} did not get ready: {Path(self.log).read_text(errors='replace')[-2000:]}")

    def is_running(self):
        return self.popen.poll() is None

    def send(self, number):
        if self.is_running():
            self.popen.send_signal(number)

    def kill(self):
        self.send(signal.SIGKILL)
        self.popen.wait()

    def begin_stop(self):
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)

    def finish_stop(self, timeout=STOP_TIMEOUT_S):
        try:
            return self.popen.wait(timeout)
        except subprocess.TimeoutExpired:
            self.kill()
            return None
        finally:
            if self.popen.stdout:
                self.popen.stdout.close()

    def processor_seconds(self):
        fields = Path(f"/proc/{self.popen.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S

    def resident_megabytes(self):
        for line in Path(f"/proc/{self.popen.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0
