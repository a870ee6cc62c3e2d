"""Stand-in for one upstream, and the record of what all upstreams ran."""

import asyncio
import random

SIGNATURE = "X-Response-Signature"
HEALTH_PATH = "/h"


class Record:
    """What upstreams saw: the soak's checks read it."""

    def __init__(self):
        self.runs = {}  # request id: list of (time, upstream id)
        self.wrong_caller = []
        self.open = 0

    def ran(self, request, time, upstream):
        self.runs.setdefault(request, []).append((time, upstream.id))


def body_for(request, size):
    """Each request's answer is its own."""
    return (request.encode() + b".") * (size // (len(request) + 1) + 1)


class Upstream:
    def __init__(self, record, id_, service, zone, host, port, rng):
        self.record = record
        self.id = id_
        self.service = service
        self.zone = zone
        self.host = host
        self.port = port
        self.rng = random.Random(rng.random())
        self.slots = 8
        self.running = 0
        self.starts = []  # times of all requests begun
        self.shed_share = 0.0
        self.cut_share = 0.0
        self.extra_share = 0.0
        self.slow = 1.0
        self.cold_until = 0.0
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host,
                                                 self.port)

    async def crash(self):
        """Gone at once: no answer in progress is finished."""
        if self.server is None:
            return
        self.server.close()
        self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    def entry(self, state="ready", sequence=1, cold_ms=0, born=1):
        return {"address": f"{self.host}:{self.port}", "born": born,
                "info": {"service": self.service, "version": "v1",
                         "zone": self.zone, "slots": self.slots},
                "status": {"state": state, "seq": sequence,
                           "coldRemainingMs": cold_ms}}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self.serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, asyncio.CancelledError,
                ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve_one(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        fields = {}
        for line in head.split("\r\n")[1:]:
            name, _, value = line.partition(":")
            fields[name.lower()] = value.strip()
        length = int(fields.get("content-length", "0"))
        if length:
            await reader.readexactly(length)
        request = fields.get("x-attempt-id", "")
        if head.split(" ", 2)[1] == HEALTH_PATH:
            left = self.cold_until - asyncio.get_running_loop().time()
            return await self.reply(
                writer, 200, b"", "", f"X-Instance-Id: {self.id}\r\n"
                f"X-Cold-Remaining: {max(int(left * 1000), 0)}\r\n")
        if fields.get("x-expected-instance", self.id) != self.id:
            return await self.reply(writer, 421, b"", "")
        if (self.running >= self.slots or
                self.rng.random() < self.shed_share):
            return await self.reply(writer, 503, b"", request,
                                    "X-Not-Executed: 1\r\n")
        now = asyncio.get_running_loop().time()
        self.starts.append(now)
        self.record.ran(request, now, self)
        if not fields.get("x-caller-service"):
            self.record.wrong_caller.append(request)
        self.running += 1
        try:
            await asyncio.sleep(self.rng.uniform(0.005, 0.03) * self.slow)
        finally:
            self.running -= 1
        size = 60000 if "/bulk/" in head.split(" ", 2)[1] else 400
        body = body_for(request, size)
        if self.rng.random() < self.cut_share:
            writer.write(self.head(200, len(body), request) + body[:50])
            await writer.drain()
            writer.transport.abort()
            return False
        await self.reply(writer, 200, body, request)
        if self.rng.random() < self.extra_share:
            await self.reply(writer, 200, b"stale", "an-older-request")
        return True

    def head(self, status, length, request, more=""):
        return (f"HTTP/1.1 {status} x\r\nContent-Length: {length}\r\n"
                f"X-Attempt-Id: {request}\r\n{SIGNATURE}: {self.id}.{request}"
                f"\r\n{more}Keep-Alive: timeout=5\r\n\r\n").encode()

    async def reply(self, writer, status, body, request, more=""):
        writer.write(self.head(status, len(body), request, more) + body)
        await writer.drain()
        return True
