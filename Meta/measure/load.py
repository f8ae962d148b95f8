"""Runs merlinpier-load beside an experiment and reads its result."""

import json
import subprocess

from processes import MeasurementError, binary, end_with_parent
from cluster import SERVICE

READ = ["--service", SERVICE, "--method", "GET", "--path", "/items/{id}", "--class", "interactive", "--idempotent"]
BOOK = ["--service", SERVICE, "--method", "POST", "--path", "/items/{id}/bookings", "--class", "confirmation"]
# Beyond the length of the run: the last calls end and the ledgers are read.
EXTRA_TIME_S = 30


class Load:
    """A run of the load tool in the background."""

    running = []

    def __init__(self, cluster, seed, rate, seconds, calls=tuple(READ), entry_vms=None, direct=False, more=()):
        vms = cluster.vms() if entry_vms is None else entry_vms
        arguments = [binary("merlinpier-load"), "--json", "--seed", str(seed), "--rate", str(rate),
                     "--seconds", str(seconds), *calls, *more]
        for vm in vms:
            arguments += ["--daemon", cluster.http(vm)]
        for vm in cluster.targets:
            arguments += ["--ledger", cluster.target_address(vm)]
            if direct:
                arguments += ["--direct", cluster.target_address(vm)]
        self.seconds = seconds
        self.popen = subprocess.Popen(
            arguments, stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True,
            preexec_fn=end_with_parent)

    def result(self):
        """Waits for the end; exit code 1 is a finding, which the JSON shows."""
        try:
            output, errors = self.popen.communicate(timeout=self.seconds + EXTRA_TIME_S)
        except BaseException as failure:
            self.popen.kill()
            self.popen.wait()
            if isinstance(failure, subprocess.TimeoutExpired):
                raise MeasurementError("merlinpier-load did not end") from failure
            raise
        lines = [line for line in output.splitlines() if line.startswith("{")]
        if not lines:
            raise MeasurementError(f"merlinpier-load gave no result: {errors[-2000:]}")
        return json.loads(lines[-1])
