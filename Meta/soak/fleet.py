"""The daemons and targets of a soak as processes, each on an IP number of its own on loopback."""

import asyncio
import json
import os
import resource
import signal
import subprocess
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "measure"))
from processes import binary, end_with_parent  # noqa: E402

from relay import Relay  # noqa: E402

ZONES = ("a", "b", "c")
SERVICES = ("slots", "bookings", "halls")
STORE_PORT = 8309
PORTS = {"outbound": 8304, "inbound": 8300, "ready_address": 8302, "control": 8306}
TARGET_PORT = 8301
RELAY_PORT = 9300
METRICS_PORT = 9464
GRACE_S = 6
# Descriptors that a daemon may have.
MAX_FDS = 500
RESTART_S = (0.1, 0.8)
# An address may be used by another target no sooner than this.
REUSE_S = 2.0


def store_address(network):
    return f"127.{network}.0.1:{STORE_PORT}"


class Vm:
    """A daemon with its target and the relay before its peer listener."""

    def __init__(self, number, network, folder, seeded, history):
        zone = number % len(ZONES)
        self.name = f"vm-{ZONES[zone]}-{number // len(ZONES) + 1}"
        self.zone = ZONES[zone]
        self.ip = f"127.{network}.{zone + 1}.{number // len(ZONES) + 10}"
        self.store_address = store_address(network)
        self.service = SERVICES[(number // len(ZONES)) % len(SERVICES)]
        self.folder = folder
        self.seeded = seeded
        self.history = history
        self.incarnation = 0
        self.target_life = 0
        self.daemon = None
        self.target = None
        self.is_ready = False
        # Whether the target has begun to handle the signals for limits.
        self.takes_limits = False
        # When each process of the daemon was first asked to stop.
        self.stopped = {}
        self.is_over = False
        self.relay = Relay(self.address(RELAY_PORT), self.address(PORTS["inbound"]))

    def address(self, port):
        return f"{self.ip}:{port}"

    def settings(self):
        return {"node": self.name, "role": "daemon", "ip": self.ip, "zone": self.zone, "service": self.service,
                "listen": {name: self.address(port) for name, port in PORTS.items()},
                "app_addr": self.address(TARGET_PORT), "beat_interval_ms": 500, "limits": {"link_mbps": 1000, "max_fds": MAX_FDS},
                "platform": {"address": self.store_address},
                "bounds": ["retry_budget_ratio=0.2", "budget_window_s=10", "budget_min_retries=56", f"grace_s={GRACE_S}"]}

    async def start_daemon(self):
        self.incarnation += 1
        path = self.folder / f"{self.name}.json"
        # Once: a write blocks for seconds while the disk is busy, and with it the clocks of all checks.
        if self.incarnation == 1:
            path.write_text(json.dumps(self.settings()))
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.daemon = await asyncio.create_subprocess_exec(
                binary("merlinpier-sidecar"), "--metrics-port", str(METRICS_PORT), "--advertise",
                self.address(RELAY_PORT), stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env={**os.environ, "MERLINPIER_CONFIG": str(path)}, preexec_fn=limit_daemon)
        asyncio.ensure_future(self.keep_daemon(self.daemon, time.time()))

    async def keep_daemon(self, process, started):
        """Starts the daemon again when it has ended, whatever ended it."""
        await process.wait()
        if not self.is_over:
            self.history.ends.append({"vm": self.name, "code": process.returncode, "at": time.time(),
                                      "started": started, "stopped": self.stopped.pop(process, None)})
            await asyncio.sleep(self.seeded.uniform(*RESTART_S))
            if not self.is_over:
                await self.start_daemon()

    async def start_target(self, secret, work, spoil):
        self.target_life += 1
        self.takes_limits = False
        identity = f"i-{self.name}-{self.target_life}"
        self.target = await asyncio.create_subprocess_exec(
            sys.executable, "-B", str(Path(__file__).with_name("worker.py")), "--id", identity, "--service", self.service,
            "--zone", self.zone, "--listen", self.address(TARGET_PORT), "--control", self.address(PORTS["control"]),
            "--secret", secret, "--seed", str(self.seeded.randrange(1 << 30)), "--work", str(work), "--spoil", str(spoil),
            stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, preexec_fn=end_with_parent)
        asyncio.ensure_future(self.read_target(self.target))
        asyncio.ensure_future(self.keep_target(self.target, secret, work, spoil))

    async def read_target(self, process):
        while line := await process.stdout.readline():
            told = json.loads(line)
            if told["event"] == "started":
                self.takes_limits = True
            elif told["event"] == "run":
                self.history.runs[told["attempt"]].append({**told, "service": self.service})
            elif told["event"] == "leaving_acknowledged":
                self.history.leaving[told["instance"]] = told["at"]
            elif told["event"] == "leaving_named":
                self.history.leaving_named[told["instance"]] = told["at"]
            elif told["event"] == "crashed":
                self.history.crashes[told["target"]].append(told["at"])
            elif told["event"] == "arrived":
                self.history.arrivals[told["instance"]].append(told["at"])
            elif told["event"] == "limit_named":
                self.history.limits.append({"vm": self.name, "instance": told["instance"], "limit": told["limit"],
                                            "at": told["at"], "until": float("inf")})
            elif told["event"] == "limit_ended":
                for limit in self.history.limits:
                    if limit["instance"] == told["instance"]:
                        limit["until"] = min(limit["until"], told["at"])

    async def keep_target(self, process, *options):
        await process.wait()
        if not self.is_over:
            await asyncio.sleep(REUSE_S + self.seeded.uniform(*RESTART_S))
            if not self.is_over:
                await self.start_target(*options)

    def signal_daemon(self, number):
        if number == signal.SIGTERM:
            self.stopped.setdefault(self.daemon, time.time())
        send(self.daemon, number)

    def signal_target(self, number):
        send(self.target, number)

    def signal_limit(self, number):
        if self.takes_limits:
            send(self.target, number)

    async def end(self):
        """Ends daemon and target by their ids, paused ones included."""
        self.is_over = True
        for process in (self.daemon, self.target):
            if process:
                send(process, signal.SIGCONT)
                send(process, signal.SIGKILL)
                await process.wait()


def limit_daemon():
    end_with_parent()
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS))


def send(process, number):
    if process and process.returncode is None:
        process.send_signal(number)
