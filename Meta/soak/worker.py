"""A stand-in of a target on the users' platform, as a process of its own. It writes one line to standard output for each
thing that the soak checks, before it acts on it, so that a kill loses nothing."""

import argparse
import asyncio
import hashlib
import http.client
import json
import os
import random
import signal
import sys
import time

READ_LIMIT = 1 << 20
HEARTBEAT_TIMEOUT_S = 1.0
# How long a target that leaves goes on serving after its daemon has acknowledged that.
DRAIN_S = 2.0
# How late a heartbeat may arrive.
LATE_S = 2.5
# A request to such a path gets an answer of this size.
LONG_PREFIX = "/read/long-"
LONG_BYTES = 1_500_000
# A target that runs a request to such a path ends.
CRASHING_PREFIX = "/read/crash-"
# Requests a second that a target takes while it names a limit; well below what its callers send.
LIMITS_PER_S = (2, 10)


def tell(**event):
    event["at"] = time.time()
    os.write(1, (json.dumps(event) + "\n").encode())


def signature(secret, attempt, status, body):
    return hashlib.sha256(f"{secret}|{attempt}|{status}|".encode() + body).hexdigest()


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return method, target, headers, body


class Worker:
    def __init__(self, options):
        self.options = options
        self.random = random.Random(options.seed)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.state = "ready"
        self.is_leaving = False
        self.is_silent = False
        # Half of the targets that leave say so in their answers only, until they deregister.
        self.leaves_by_heartbeat = random.Random(options.seed + 1).random() < 0.5
        self.limit = None
        self.has_named_limit = self.has_named_leaving = False
        self.acknowledged = asyncio.Event()

    async def serve(self):
        host, port = self.options.listen.rsplit(":", 1)
        server = await asyncio.start_server(self.talk, host, int(port), limit=READ_LIMIT, reuse_address=True)
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, lambda: asyncio.ensure_future(self.leave()))
        asyncio.get_running_loop().add_signal_handler(signal.SIGALRM, lambda: asyncio.ensure_future(self.leave_late()))
        asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, self.begin_limit)
        asyncio.get_running_loop().add_signal_handler(signal.SIGUSR2, self.end_limit)
        tell(event="started", instance=self.options.id)
        asyncio.ensure_future(self.announce())
        async with server:
            await server.serve_forever()

    def begin_limit(self):
        if self.limit is None:
            self.limit = self.random.randint(*LIMITS_PER_S)
            self.has_named_limit = False

    def end_limit(self):
        self.limit = None
        tell(event="limit_ended", instance=self.options.id)

    def notices(self):
        """What the target says about itself in every answer."""
        notices = {}
        if self.limit is not None:
            notices["Server-Limit"] = f"{self.limit:.1f}"
        if self.is_leaving:
            notices["Server-Leaving"] = "1"
        return notices

    def tell_notices(self):
        if self.limit is not None and not self.has_named_limit:
            self.has_named_limit = True
            tell(event="limit_named", instance=self.options.id, limit=self.limit)
        if self.is_leaving and not self.has_named_leaving:
            self.has_named_leaving = True
            tell(event="leaving_named", instance=self.options.id)

    async def announce(self):
        while not self.is_silent:
            await self.post(f"/v1/Instances.Heartbeat/{self.options.id}", self.heartbeat())
            await asyncio.sleep(self.options.heartbeat)

    def heartbeat(self):
        self.sequence += 1
        info = {"service": self.options.service, "version": "v1", "zone": self.options.zone, "slots": self.options.slots}
        status = {"state": self.state, "sequence": self.sequence, "cold_left_ms": 0}
        return {"address": self.options.listen, "info": info, "status": status, "born": self.born}

    async def post(self, path, content):
        state = self.state
        answered = await asyncio.get_running_loop().run_in_executor(None, self.send, path, content)
        if answered and state == "draining" and not self.acknowledged.is_set():
            tell(event="leaving_acknowledged", instance=self.options.id)
            self.acknowledged.set()

    def send(self, path, content):
        try:
            connection = http.client.HTTPConnection(self.options.control, timeout=HEARTBEAT_TIMEOUT_S)
            connection.request("POST", path, json.dumps(content), {"Content-Type": "application/json"})
            return connection.getresponse().status == 200
        except OSError:
            return False
        except http.client.HTTPException:
            return False

    async def leave(self):
        self.is_leaving = True
        if not self.leaves_by_heartbeat:
            await asyncio.sleep(2 * DRAIN_S + 1)
            return await self.end()
        self.state = "draining"
        asyncio.ensure_future(self.post(f"/v1/Instances.Heartbeat/{self.options.id}", self.heartbeat()))
        try:
            await asyncio.wait_for(self.acknowledged.wait(), 4)
        except asyncio.TimeoutError:
            pass
        await asyncio.sleep(DRAIN_S + 1)
        await self.end()

    async def leave_late(self):
        """Deregisters and serves on, while a heartbeat from before that is under way; it sends no other."""
        self.is_silent = True
        late = self.heartbeat()
        self.state = "draining"
        await self.post(f"/v1/Instances.Deregister/{self.options.id}", {})
        await asyncio.sleep(LATE_S)
        send = asyncio.get_running_loop().run_in_executor
        while not await send(None, self.send, f"/v1/Instances.Heartbeat/{self.options.id}", late):
            await asyncio.sleep(0.1)

    async def end(self):
        """Deregisters, and ends the process when its last request has ended."""
        await self.post(f"/v1/Instances.Deregister/{self.options.id}", {})
        while self.running > 0:
            await asyncio.sleep(0.02)
        os._exit(0)

    async def talk(self, reader, writer):
        try:
            while True:
                method, target, headers, body = await read_request(reader)
                if not await self.answer(writer, method, target, headers, body):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def answer(self, writer, method, target, headers, body):
        attempt = headers.get("attempt-id", "")
        if headers.get("expected-instance", self.options.id) != self.options.id:
            return await self.write(writer, 421, attempt, b"", {"Instance-Id": self.options.id})
        tell(event="arrived", instance=self.options.id)
        if self.running >= self.options.slots:
            # A faulty target writes its refusal twice at times.
            for _ in range(2 if self.random.random() < self.options.spoil else 1):
                await self.write(writer, 503, attempt, b"", {"Not-Executed": "1"})
            return True
        tell(event="run", instance=self.options.id, attempt=attempt, method=method, target=target,
             body=hashlib.sha256(body).hexdigest(), caller=headers.get("caller-service", ""),
             deadline=int(headers.get("deadline-ms", -1)))
        self.running += 1
        try:
            await asyncio.sleep(self.random.uniform(0.5, 1.5) * self.options.work)
        finally:
            self.running -= 1
        if target.startswith(CRASHING_PREFIX):
            tell(event="crashed", instance=self.options.id, target=target)
            os._exit(1)
        content = hashlib.sha256(attempt.encode()).digest() * self.random.choice([1, 10, 160])
        if target.startswith(LONG_PREFIX):
            content = bytes(LONG_BYTES)
        fate = self.random.random()
        if fate < self.options.spoil / 2:
            # Runs the request and loses the answer.
            writer.transport.abort()
            return False
        signed = {"Response-Signature": signature(self.options.secret, attempt, 200, content)}
        if fate < self.options.spoil:
            head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nContent-Length: {len(content)}\r\n"
            head += f"Response-Signature: {signed['Response-Signature']}\r\n\r\n"
            writer.write(head.encode() + content[: len(content) // 2])
            await writer.drain()
            return False
        return await self.write(writer, 200, attempt, content, signed)

    async def write(self, writer, status, attempt, body, more):
        head = f"HTTP/1.1 {status} X\r\nAttempt-Id: {attempt}\r\nContent-Length: {len(body)}\r\n"
        head += f"Server-Load: {self.running},0,{self.options.slots}\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in {**more, **self.notices()}.items())
        writer.write(head.encode() + b"\r\n" + body)
        await writer.drain()
        self.tell_notices()
        return True


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--id", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--control", required=True)
    parser.add_argument("--secret", required=True)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--slots", type=int, default=6)
    parser.add_argument("--work", type=float, default=0.03, help="mean seconds of a request")
    parser.add_argument("--heartbeat", type=float, default=0.5, help="seconds between heartbeats")
    parser.add_argument("--spoil", type=float, default=0.0, help="share of the answers that are lost or cut short")
    try:
        asyncio.run(Worker(parser.parse_args()).serve())
    except (KeyboardInterrupt, BrokenPipeError):
        sys.exit(0)


if __name__ == "__main__":
    main()
