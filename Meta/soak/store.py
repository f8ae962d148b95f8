"""A stand-in of the platform's store: versioned objects, conditional updates, watches, and the ways in which it fails."""

import asyncio
import json
from urllib.parse import parse_qsl, urlsplit

from worker import read_request

PREFIX = "/v1/objects/"
READ_LIMIT = 1 << 21


class Store:
    """Serves on one address. `mode` is how it fails: "", "silent", "busy", "reset", "lost" (writes are done and not
    answered) or "slow"; `victims` limits that to callers of these IP numbers."""

    def __init__(self, seeded):
        self.random = seeded
        self.objects = {}
        self.revision = 1
        self.changes = []
        self.changed = asyncio.Condition()
        self.mode = ""
        self.victims = None
        self.calls = 0

    async def start(self, address):
        host, port = address.rsplit(":", 1)
        return await asyncio.start_server(self.talk, host, int(port), limit=READ_LIMIT)

    async def put(self, key, spec):
        """Writes as the operator does, whatever the mode."""
        self.write(key, spec, None)
        async with self.changed:
            self.changed.notify_all()

    def forget_history(self):
        self.changes.clear()

    def write(self, key, spec, finalizers):
        known = self.objects.get(key)
        self.revision += 1
        meta = {"name": key.split("/", 1)[1], "revision": self.revision, "finalizers": finalizers or [], "deleting": False}
        meta["created_rev"] = known["metadata"]["created_rev"] if known else self.revision
        self.objects[key] = {"metadata": meta, "spec": spec, "status": None}
        self.changes.append((self.revision, key, self.objects[key], False))
        return self.objects[key]

    async def talk(self, reader, writer):
        ip = writer.get_extra_info("peername")[0]
        try:
            while True:
                method, target, _, body = await read_request(reader)
                status, content = await self.fail_or_answer(ip, method, target, body)
                if status is None:
                    break
                text = json.dumps(content).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    async def fail_or_answer(self, ip, method, target, body):
        self.calls += 1
        mode = self.mode if self.victims is None or ip in self.victims else ""
        if mode == "silent":
            await asyncio.sleep(30)
            return None, None
        if mode == "busy":
            return 503, {}
        if mode == "reset":
            return None, None
        if mode == "slow":
            await asyncio.sleep(self.random.uniform(0.2, 0.5))
        status, content = await self.answer(method, target, body)
        if mode == "lost" and method != "GET" and self.random.random() < 0.5:
            return None, None
        return status, content

    async def answer(self, method, target, body):
        parts = urlsplit(target)
        arguments = dict(parse_qsl(parts.query))
        if not parts.path.startswith(PREFIX):
            return 404, {}
        key = parts.path[len(PREFIX):]
        if method == "GET":
            return await self.read(key, arguments)
        content = json.loads(body) if body else {}
        wanted = content.get("metadata", {}).get("revision") or arguments.get("revision")
        if method == "POST":
            key = key + "/" + content["metadata"]["name"]
            if key in self.objects:
                return 409, self.objects[key]
        elif key not in self.objects:
            return 404, {"current_rev": self.revision}
        elif wanted and int(wanted) != self.objects[key]["metadata"]["revision"]:
            return 409, self.objects[key]
        if method == "DELETE":
            removed = self.objects.pop(key)
            self.revision += 1
            self.changes.append((self.revision, key, removed, True))
            result = {}
        else:
            result = self.write(key, content.get("spec"), content["metadata"].get("finalizers"))
        async with self.changed:
            self.changed.notify_all()
        return 200, result

    async def read(self, key, arguments):
        if "watch" in arguments:
            return await self.watch(key, int(arguments["watch"]), int(arguments.get("wait_ms", 0)) / 1000)
        if "/" in key:
            found = self.objects.get(key)
            return (200, found) if found else (404, {"current_rev": self.revision})
        names = sorted(name for name in self.objects if name.startswith(key + "/"))
        items = [self.objects[name] for name in names if name.split("/", 1)[1] > arguments.get("after", "")]
        return 200, {"items": items, "has_more": False, "current_rev": self.revision}

    async def watch(self, key, after, wait):
        def events():
            return [{"object": item, "deleted": gone} for revision, name, item, gone in self.changes
                    if revision > after and (name == key or name.startswith(key + "/"))]
        known = [revision for revision, *_ in self.changes]
        if after < self.revision and (not known or known[0] > after + 1):
            return 410, {}
        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(events), wait)
            except asyncio.TimeoutError:
                pass
        return 200, {"events": events(), "current_rev": self.revision}
