"""A platform, daemons over three zones, targets and relays, as separate processes on loopback addresses."""

import concurrent.futures
import http.client
import json
import os
import shutil
import tempfile
import time
from pathlib import Path

from processes import MeasurementError, Process

MAXIMUM_PROCESSES = 200
ZONES = ["a", "b", "c"]
SERVICE = "bench"

PEER_PORT = 7000
RELAY_PORT = 7100
RELAY_CONTROL_PORT = 7200
HTTP_PORT = 8000
TARGET_PORT = 9000
PLATFORM_PORT = 8100
PLATFORM_RELAY_PORT = 8200

REQUEST_TIMEOUT_S = 10
IN_FORCE_TIMEOUT_S = 30
POLL_PERIOD_S = 0.05

SLOTS_PER_COPY = 6
DEADLINE_MS = 2000


def request(address, method, path, body=None, timeout=REQUEST_TIMEOUT_S):
    """Sends one request on a connection of its own; returns status and decoded JSON, or None for an empty body."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        payload = None if body is None else json.dumps(body)
        connection.request(method, path, payload, {"Content-Type": "application/json"} if payload else {})
        answer = connection.getresponse()
        content = answer.read()
        is_json = content[:1] in (b"{", b"[")
        return answer.status, json.loads(content) if is_json else content.decode()
    finally:
        connection.close()


def questionnaire(copies, drain_time_ms=5000, deadline_ms=DEADLINE_MS, slots=SLOTS_PER_COPY):
    """The answers of the service that experiments call."""
    return {
        "service": SERVICE, "owner": "measurement", "dependencies": [], "allowed_callers": ["*"],
        "entry_points": [
            {"name": "read", "method": "GET", "path": "/items/{id}", "idempotent": True, "class": "interactive",
             "deadline_ms": deadline_ms},
            {"name": "book", "method": "POST", "path": "/items/{id}/bookings", "idempotent": False,
             "class": "confirmation", "deadline_ms": deadline_ms},
        ],
        "licences": [f"licence-{i}" for i in range(copies)],
        "slots_per_copy": slots, "drain_time_ms": drain_time_ms,
    }


class Cluster:
    """Starts everything that an experiment needs and ends it. VM number n lies in zone n modulo three."""

    running = []
    started = 0

    def __init__(self, daemons, settings=None, with_relays=False, target_options=(), copies=None):
        self.daemon_count = daemons
        self.settings = settings or {}
        self.with_relays = with_relays
        self.target_options = list(target_options)
        self.copies = daemons if copies is None else copies
        # Another cluster of this machine has another number.
        self.network = f"127.{60 + (os.getpid() * 4 + Cluster.started) % 180}"
        Cluster.started += 1
        self.folder = Path(tempfile.mkdtemp(prefix="merlinpier-measure-"))
        self.platform = None
        self.daemons = {}
        self.targets = {}
        self.relays = []
        self.revision = 0
        self.version = 0
        self.answers = questionnaire(self.copies)
        Cluster.running.append(self)

    # Addresses

    def ip(self, vm):
        return f"{self.network}.{vm % len(ZONES) + 1}.{vm // len(ZONES) + 1}"

    def zone_prefix(self, zone):
        return f"{self.network}.{zone + 1}."

    def http(self, vm):
        return f"{self.ip(vm)}:{HTTP_PORT}"

    def target_address(self, vm):
        return f"{self.ip(vm)}:{TARGET_PORT}"

    def platform_address(self):
        return f"{self.network}.250.1:{PLATFORM_PORT}"

    def advertised(self, vm):
        return f"{self.ip(vm)}:{RELAY_PORT if self.with_relays else PEER_PORT}"

    def platform_relay(self, zone):
        return f"{self.network}.250.{zone + 2}"

    def vms(self):
        return range(self.daemon_count)

    def vms_of_zone(self, zone):
        return [vm for vm in self.vms() if vm % len(ZONES) == zone]

    # Life

    def start(self):
        platform_options = ["--listen", self.platform_address()]
        self.platform = Process("merlinpier-platform", platform_options, self.folder / "platform.log")
        self.platform.wait_until_listening()
        if self.with_relays:
            self.start_relays()
        for vm in self.vms():
            self.start_daemon(vm)
        for daemon in self.daemons.values():
            daemon.wait_until_listening()
        for vm in range(self.copies):
            self.start_target(vm)
        for target in self.targets.values():
            target.wait_until_listening()
        self.wait_for(lambda: self.alive_members(0) == self.daemon_count, "all daemons to find each other")
        self.change(0)
        self.wait_in_force()
        self.wait_for(lambda: len(self.routes(0)) == self.copies, "all targets to be routed to")
        return self

    def start_relays(self):
        for zone in range(len(ZONES)):
            self.add_relay(f"{self.platform_relay(zone)}:{PLATFORM_RELAY_PORT}", self.platform_address(),
                           f"{self.platform_relay(zone)}:{RELAY_CONTROL_PORT}")
        for vm in self.vms():
            self.add_relay(self.advertised(vm), f"{self.ip(vm)}:{PEER_PORT}", f"{self.ip(vm)}:{RELAY_CONTROL_PORT}")
        for relay in self.relays:
            relay.wait_until_listening()

    def add_relay(self, listen, to, control):
        arguments = ["--listen", listen, "--to", to, "--control", control]
        self.relays.append(Process("merlinpier-byte-relay", arguments, self.folder / "relays.log"))

    def start_daemon(self, vm):
        zone = vm % len(ZONES)
        platform = f"{self.platform_relay(zone)}:{PLATFORM_RELAY_PORT}" if self.with_relays else self.platform_address()
        settings = {
            "vm": f"vm-{vm}", "zone": ZONES[zone], "peer_address": f"{self.ip(vm)}:{PEER_PORT}",
            "http_address": self.http(vm), "platform": platform,
            "seeds": [self.advertised(seed) for seed in range(min(3, self.daemon_count)) if seed != vm],
            "log_level": "warning", **self.settings,
        }
        if self.with_relays:
            settings["advertised_address"] = self.advertised(vm)
        path = self.folder / f"vm-{vm}.json"
        path.write_text(json.dumps(settings))
        self.daemons[vm] = Process("merlinpier-daemon", ["--settings", str(path)], self.folder / f"vm-{vm}.log")

    def start_target(self, vm):
        arguments = ["--daemon", self.http(vm), "--id", f"target-{vm}", "--service", SERVICE,
                     "--licence", f"licence-{vm}", "--listen", self.target_address(vm), *self.target_options]
        self.targets[vm] = Process("merlinpier-target", arguments, self.folder / f"target-{vm}.log")

    def stop(self):
        everything = [*self.targets.values(), *self.daemons.values(), *self.relays]
        if self.platform:
            everything.append(self.platform)
        # Daemons go without a drain: nothing depends on it any more.
        for process in everything:
            process.begin_stop() if process.name == "merlinpier-platform" else process.kill()
        for process in everything:
            process.finish_stop()
        if self in Cluster.running:
            Cluster.running.remove(self)
        shutil.rmtree(self.folder, ignore_errors=True)

    @staticmethod
    def stop_all():
        for cluster in list(Cluster.running):
            cluster.stop()

    # Operations

    def change(self, vm, copies=None):
        """Submits the answers with another drain time through a daemon; returns the version that was accepted."""
        self.answers["drain_time_ms"] = 5000 + self.revision
        body = {"id": f"change-{os.getpid()}-{time.monotonic_ns()}", "kind": "submit", "service": SERVICE,
                "answers": self.answers, "base_revision": self.revision}
        status, answer = request(self.http(vm), "POST", "/config/submissions", body)
        if status != 200:
            raise MeasurementError(f"a change was refused with {status}: {answer}")
        self.revision = answer["revision"]
        self.version = answer["version"]
        return self.version

    def status(self, vm, version=None):
        path = "/status" if version is None else f"/status?version={version}"
        return request(self.http(vm), "GET", path)[1]

    def applied(self, vm):
        """The version that a daemon says it has applied, or None while it cannot be asked."""
        try:
            return self.status(vm)["applied"]
        except (OSError, http.client.HTTPException, KeyError, TypeError, json.JSONDecodeError):
            return None

    def alive_members(self, vm):
        try:
            return sum(1 for member in self.status(vm)["members"] if member["state"] == "alive")
        except (OSError, http.client.HTTPException, KeyError, TypeError):
            return 0

    def routes(self, vm):
        return request(self.http(vm), "GET", "/state")[1]["routes"].get(SERVICE, [])

    def wait_in_force(self, version=None, vms=None):
        """Waits until every daemon has applied the version."""
        wanted = self.version if version is None else version
        asked = list(self.vms() if vms is None else vms)
        self.wait_for(lambda: all((self.applied(vm) or 0) >= wanted for vm in asked), f"version {wanted} everywhere")

    def wait_for(self, holds, what, timeout=IN_FORCE_TIMEOUT_S, period=POLL_PERIOD_S):
        deadline = time.monotonic() + timeout
        while not holds():
            if time.monotonic() > deadline:
                raise MeasurementError(f"waited {timeout} s in vain for {what}; {self.summary()}")
            time.sleep(period)

    def summary(self):
        applied = {f"vm-{vm}": self.applied(vm) for vm in self.vms()}
        return f"applied versions: {applied}; logs were in {self.folder}"

    def set_relay_mode(self, vm, mode, **details):
        self.control(f"{self.ip(vm)}:{RELAY_CONTROL_PORT}", mode, details)

    def set_platform_relay_mode(self, zone, mode, **details):
        self.control(f"{self.platform_relay(zone)}:{RELAY_CONTROL_PORT}", mode, details)

    @staticmethod
    def control(address, mode, details):
        status, answer = request(address, "POST", "/mode", {"mode": mode, **details})
        if status != 200:
            raise MeasurementError(f"the relay refused a change of mode: {answer}")

    # Figures

    def platform_totals(self):
        return request(self.platform_address(), "GET", "/totals")[1]

    def metric(self, vm, name):
        for line in request(self.http(vm), "GET", "/metrics")[1].splitlines():
            if line.startswith(name + " "):
                return float(line.split()[1])
        raise MeasurementError(f"vm-{vm} has no metric {name}")

    def sum_metric(self, name):
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            return sum(pool.map(lambda vm: self.metric(vm, name), self.vms()))
