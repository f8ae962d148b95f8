"""Relays the connections that other daemons open to one daemon, and harms them."""

import asyncio

READ_BYTES = 65536


class Relay:
    """`mode` is "" (pass), "delay", "silent" (both ways), "silent_in", "silent_out" or "refuse". What a connection has
    lost while it was silent is gone for good, as behind a device that has lost track of it."""

    def __init__(self, listen, to):
        self.listen = listen
        self.to = to
        self.mode = ""
        self.connections = set()

    async def start(self):
        host, port = self.listen.rsplit(":", 1)
        return await asyncio.start_server(self.take, host, int(port))

    def reset(self):
        for writer in list(self.connections):
            writer.transport.abort()

    async def take(self, reader, writer):
        host, port = self.to.rsplit(":", 1)
        if self.mode == "refuse":
            writer.transport.abort()
            return
        try:
            # Keeps the caller's IP number, by which daemons and the store know each other.
            ip = writer.get_extra_info("peername")[0]
            there_reader, there = await asyncio.open_connection(host, int(port), local_addr=(ip, 0))
        except OSError:
            writer.transport.abort()
            return
        self.connections |= {writer, there}
        await asyncio.gather(self.copy(reader, there, "silent_in"), self.copy(there_reader, writer, "silent_out"))
        self.connections -= {writer, there}

    async def copy(self, reader, writer, silent):
        lost = False
        try:
            while data := await reader.read(READ_BYTES):
                lost = lost or self.mode in ("silent", silent)
                if lost:
                    continue
                if self.mode == "delay":
                    await asyncio.sleep(0.15)
                writer.write(data)
                await writer.drain()
            if not lost:
                writer.close()
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
