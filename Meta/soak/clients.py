"""Callers: each keeps its connections open and in use until the process at the other end is gone."""

import asyncio
import hashlib
import socket
import time

from fleet import PORTS, SERVICES
from worker import CRASHING_PREFIX, LONG_PREFIX, signature

# Callers come back after a refusal for at most this share of the time they allow.
READ_LIMIT = 1 << 20
DEADLINE_S = 2.0
PATIENCE_S = 0.5
READINESS_PERIOD_S = 0.5
PROBE_PERIOD_S = 0.4
CRASHING_PAUSE_S = 0.3
# Requests that a pipelining caller keeps outstanding; a daemon reads 64 at once.
PIPELINED_FEW = 2
PIPELINED_MANY = 80
PIPELINED_MANY_SHARE = 0.02
# A slow caller takes about a second and a half for a long answer.
SLOW_BYTES_PER_S = 1_000_000
SLOW_BUFFER_BYTES = 32 * 1024
SLOW_PAUSE_S = 0.5
HALF_CLOSE_PAUSE_S = 0.2


async def read_head(reader):
    return (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")


async def read_answer(reader):
    head = await read_head(reader)
    while head[0].split(" ")[1].startswith("1"):
        head = await read_head(reader)
    headers = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:])}
    body = await reader.readexactly(int(headers["content-length"]))
    return int(head[0].split(" ")[1]), headers, body


class Connection:
    """One connection of a caller to the daemon of its VM."""

    def __init__(self, vm):
        self.vm = vm
        self.reader = None
        self.writer = None

    async def open(self):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                self.vm.ip, PORTS["outbound"], limit=READ_LIMIT)

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def exchange(self, request):
        """Returns status, headers and body; raises if the connection ends first."""
        self.writer.write(request)
        await self.writer.drain()
        status, headers, body = await read_answer(self.reader)
        if headers.get("connection", "").lower() == "close":
            self.close()
        return status, headers, body


class Caller:
    def __init__(self, soak, vm, seeded):
        self.soak = soak
        self.history = soak.history
        self.vm = vm
        self.seeded = seeded
        self.connection = Connection(vm)

    async def run(self):
        while not self.soak.is_over:
            if not self.vm.is_ready:
                await asyncio.sleep(0.05)
                continue
            await self.call(*self.choose())
            await asyncio.sleep(self.seeded.expovariate(1 / self.soak.options.pause))

    def choose(self):
        service = self.seeded.choice(SERVICES)
        number = self.seeded.randrange(1 << 30)
        if self.seeded.random() < 0.15:
            return "GET", "moved.example", f"/moved/{number}", True, set(SERVICES), b""
        if self.seeded.random() < 0.3:
            body = self.seeded.randbytes(self.seeded.choice([10, 5000]))
            return "POST", f"{service}.example", f"/book/{number}", False, {service}, body
        return "GET", f"{service}.example", f"/read/{number}", True, {service}, b""

    async def call(self, method, host, target, idempotent, services, body):
        try:
            await self.connection.open()
        except OSError:
            await asyncio.sleep(0.1)
            return None
        attempt = f"{self.seeded.getrandbits(64):016x}"
        allowed = self.seeded.uniform(0.85, 1) * DEADLINE_S
        sent = {"at": time.time(), "vm": self.vm.name, "method": method, "target": target, "idempotent": idempotent,
                "services": services, "deadline": allowed, "caller": self.vm.service,
                "body": hashlib.sha256(body).hexdigest()}
        self.history.sent[attempt] = sent
        request = (f"{method} {target} HTTP/1.1\r\nHost: {host}\r\nAttempt-Id: {attempt}\r\n"
                   f"Deadline-Ms: {int(allowed * 1000)}\r\nCaller-Service: forged\r\n"
                   f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        outcome = {"status": None, "valid": False, "is_cut": False}
        try:
            status, headers, content = await asyncio.wait_for(self.connection.exchange(request), allowed + PATIENCE_S)
            signed = signature(self.soak.secret, attempt, status, content)
            outcome.update(status=status, valid=headers.get("response-signature") == signed)
            outcome["retry_after"] = headers.get("retry-after")
        except asyncio.TimeoutError:
            outcome["late"] = True
            self.connection.close()
        except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError, KeyError) as ended:
            outcome.update(is_cut=True, error=repr(ended)[:80])
            self.connection.close()
        outcome["at"] = time.time()
        self.history.outcomes[attempt] = outcome
        return outcome


class PipeliningCaller(Caller):
    """Keeps requests outstanding on its connection all the time, at times more than a daemon reads at once."""

    async def run(self):
        while not self.soak.is_over:
            if not self.vm.is_ready:
                await asyncio.sleep(0.05)
                continue
            await self.use_connection()
            await asyncio.sleep(0.05)

    async def use_connection(self):
        try:
            await self.connection.open()
        except OSError:
            return
        outstanding = []
        while not self.soak.is_over and self.connection.writer:
            wanted = PIPELINED_MANY if self.seeded.random() < PIPELINED_MANY_SHARE else PIPELINED_FEW
            while len(outstanding) < wanted and not self.connection.writer.is_closing():
                outstanding.append(self.write_next())
            if not outstanding or not await self.read_next(outstanding):
                break
        # Nothing is read from a connection that is over.
        self.connection.close()

    def write_next(self):
        attempt = f"{self.seeded.getrandbits(64):016x}"
        target = f"/read/{self.seeded.randrange(1 << 30)}"
        self.history.sent[attempt] = {
            "at": time.time(), "vm": self.vm.name, "method": "GET", "target": target, "idempotent": True,
            "services": {self.vm.service}, "deadline": DEADLINE_S, "caller": self.vm.service,
            "body": hashlib.sha256(b"").hexdigest()}
        self.connection.writer.write(
            f"GET {target} HTTP/1.1\r\nHost: {self.vm.service}.example\r\nAttempt-Id: {attempt}\r\n"
            f"Deadline-Ms: {int(DEADLINE_S * 1000)}\r\n\r\n".encode())
        return attempt

    async def read_next(self, outstanding):
        """Reads the answer to the first request; returns whether the connection goes on."""
        attempt = outstanding.pop(0)
        outcome = {"status": None, "valid": False, "is_cut": False}
        closes = True
        try:
            answer = await asyncio.wait_for(read_answer(self.connection.reader), DEADLINE_S + PATIENCE_S)
            outcome["status"], headers, content = answer
            outcome["valid"] = headers.get("response-signature") == signature(self.soak.secret, attempt, answer[0], content)
            outcome["retry_after"] = headers.get("retry-after")
            closes = headers.get("connection", "").lower() == "close"
            behind = {"is_behind_close": True}
        except asyncio.TimeoutError:
            outcome["late"] = True
            behind = {"is_behind_close": True}
        except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError, KeyError) as ended:
            outcome.update(is_cut=True, error=repr(ended)[:80])
            behind = {}
        outcome["at"] = time.time()
        self.history.outcomes[attempt] = outcome
        if closes:
            for rest in outstanding:
                self.history.outcomes[rest] = {"status": None, "valid": False, "is_cut": True, "at": time.time(), **behind}
        return not closes


class SlowCaller(Caller):
    """Fetches long answers slowly, on a new connection each."""

    async def run(self):
        while not self.soak.is_over:
            if self.vm.is_ready:
                await self.call("GET", f"{self.vm.service}.example", f"{LONG_PREFIX}{self.seeded.randrange(1 << 30)}", True,
                                {self.vm.service}, b"")
            await asyncio.sleep(self.seeded.expovariate(1 / SLOW_PAUSE_S))

    async def call(self, *request):
        self.connection = SlowConnection(self.vm)
        outcome = await super().call(*request)
        self.connection.close()
        return outcome


class SlowConnection(Connection):
    async def open(self):
        endpoint = socket.socket()
        endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES)
        endpoint.setblocking(False)
        await asyncio.get_running_loop().sock_connect(endpoint, (self.vm.ip, PORTS["outbound"]))
        self.reader, self.writer = await asyncio.open_connection(sock=endpoint, limit=SLOW_BUFFER_BYTES)

    async def exchange(self, request):
        self.writer.write(request)
        head = await self.reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
        body = bytearray()
        while len(body) < length:
            part = await self.reader.read(min(SLOW_BUFFER_BYTES, length - len(body)))
            if not part:
                raise ConnectionError(f"the answer ended after {len(body)} of {length} bytes")
            body += part
            await asyncio.sleep(len(part) / SLOW_BYTES_PER_S)
        # The deadline holds for the begin of an answer; the rest takes as long as the client needs.
        lines = head.decode("latin-1").split("\r\n")
        headers = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])}
        return int(lines[0].split(" ")[1]), headers, bytes(body)


class HalfClosingCaller(Caller):
    """Ends its sending side behind its request, on a new connection each."""

    async def run(self):
        while not self.soak.is_over:
            if self.vm.is_ready:
                await self.call(*self.choose())
            await asyncio.sleep(self.seeded.expovariate(1 / HALF_CLOSE_PAUSE_S))

    async def call(self, *request):
        self.connection = HalfClosingConnection(self.vm)
        outcome = await super().call(*request)
        self.connection.close()
        return outcome


class HalfClosingConnection(Connection):
    async def exchange(self, request):
        self.writer.write(request)
        self.writer.write_eof()
        return await read_answer(self.reader)


class CrashingCaller:
    """Sends one request that crashes its targets again and again, at any VM of one service."""

    def __init__(self, soak, seeded):
        self.soak = soak
        self.seeded = seeded
        service = seeded.choice(SERVICES)
        self.callers = [Caller(soak, vm, seeded) for vm in soak.vms if vm.service == service]
        self.service = seeded.choice(SERVICES)
        self.target = f"{CRASHING_PREFIX}{soak.seed}"

    async def run(self):
        while not self.soak.is_over:
            caller = self.seeded.choice(self.callers)
            if caller.vm.is_ready:
                await caller.call("GET", f"{self.service}.example", self.target, True, {self.service}, b"")
            await asyncio.sleep(self.seeded.expovariate(1 / CRASHING_PAUSE_S))


class Prober(Caller):
    """Asks each daemon for what only newer versions have, and polls its readiness as the platform does."""

    async def run(self):
        misses = 2
        while not self.soak.is_over:
            misses = 0 if await self.is_ready() else misses + 1
            self.vm.is_ready = misses < 2
            if self.history.versions:
                await self.probe(self.seeded.choice(self.history.versions[-3:])[1])
            await asyncio.sleep(PROBE_PERIOD_S)

    async def probe(self, number):
        incarnation = self.vm.incarnation
        outcome = await self.call("GET", "versions.example", f"/since-{number}/x", True, {SERVICES[0]}, b"")
        if outcome and self.vm.incarnation == incarnation:
            self.history.probes.append((outcome["at"], self.vm.name, incarnation, number, outcome["status"]))

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.vm.ip, PORTS["ready_address"]), READINESS_PERIOD_S)
            writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), READINESS_PERIOD_S)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False
