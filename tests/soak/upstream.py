"""Stand-in for one upstream, and the record of all upstreams' runs."""

import asyncio
import random

SIGNATURE = "X-Response-Signature"
HEALTH_PATH = "/h"


class RunRecord:
    """Requests that the upstreams ran, for the checks of the soak test."""

    def __init__(self):
        self.runs = {}  # request id: list of (time, upstream id)
        self.missing_caller = []
        self.tenants = {}  # request id: of each run, all values of X-Tenant
        self.keys_seen = []  # ids of requests that came with a key
        self.open = 0
        self.handle_run = None  # called with (request, upstream)
        self.is_deadly = None  # tells whether (target, caller, body) crashes
        self.handle_deadly = None  # called with the target when it has

    def add_fields(self, request, fields):
        """Record what a request's (name, value) pairs tell of its workspace.
        Some upstreams take an underscore for a hyphen."""
        named = [(name.replace("_", "-"), value) for name, value in fields]
        self.tenants.setdefault(request, []).append(
            [value for name, value in named if name == "x-tenant"])
        if any(name == "api-key" for name, _ in named):
            self.keys_seen.append(request)

    def add_run(self, request, time, upstream):
        self.runs.setdefault(request, []).append((time, upstream.id))
        if self.handle_run is not None:
            self.handle_run(request, upstream)


def body_for(request, size):
    """Return the body for a request, unique to its id, of at least size
    bytes."""
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
        self.resets_when_full = False  # instead of shedding
        self.resets = 0
        self.shed_share = 0.0
        self.cut_share = 0.0
        self.extra_share = 0.0
        self.slowdown = 1.0
        self.cold_until = 0.0
        self.limit_per_s = None  # that it names in its responses
        self.leaving = False  # as above
        self.health_delay_s = 0.0
        self.handle_crash = None  # called when a request has crashed it
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host,
                                                 self.port)

    async def crash(self):
        """Abort all connections, also those with a response in progress."""
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

    @staticmethod
    async def read_head(reader):
        """Return the target of a request and its fields by name."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        return lines[0].split(" ", 2)[1], {
            name.lower(): value.strip() for name, _, value in
            (line.partition(":") for line in lines[1:])}

    @staticmethod
    async def read_body(reader, headers):
        """Return the body of a request."""
        if headers.get("transfer-encoding") != "chunked":
            return await reader.readexactly(
                int(headers.get("content-length", "0")))
        body = bytearray()
        while True:
            size = int((await reader.readuntil(b"\r\n")), 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                return bytes(body)

    async def reply_health(self, writer):
        """Answer a health check of an upstream that is neither cold nor
        leaving."""
        return await self.reply(writer, 200, b"", "",
                                f"X-Instance-Id: {self.id}\r\n")

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
        fields = []
        for line in head.split("\r\n")[1:]:
            name, _, value = line.partition(":")
            fields.append((name.lower(), value.strip()))
        headers = dict(fields)
        sent_body = await self.read_body(reader, headers)
        request = headers.get("x-attempt-id", "")
        if head.split(" ", 2)[1] == HEALTH_PATH:
            await asyncio.sleep(self.health_delay_s)
            left = self.cold_until - asyncio.get_running_loop().time()
            return await self.reply(
                writer, 200, b"", "", f"X-Instance-Id: {self.id}\r\n"
                f"X-Cold-Remaining: {max(int(left * 1000), 0)}\r\n")
        if headers.get("x-expected-instance", self.id) != self.id:
            return await self.reply(writer, 421, b"", request)
        if self.resets_when_full and self.running >= self.slots:
            self.resets += 1
            writer.transport.abort()
            return False
        if (self.running >= self.slots or
                self.rng.random() < self.shed_share):
            return await self.reply(writer, 503, b"", request,
                                    "X-Not-Executed: 1\r\n")
        now = asyncio.get_running_loop().time()
        self.starts.append(now)
        self.record.add_run(request, now, self)
        self.record.add_fields(request, fields)
        if not headers.get("x-caller-service"):
            self.record.missing_caller.append(request)
        self.running += 1
        try:
            await asyncio.sleep(self.rng.uniform(0.005, 0.03) * self.slowdown)
        finally:
            self.running -= 1
        if self.server is not None and self.record.is_deadly is not None and \
                self.record.is_deadly(head.split(" ", 2)[1],
                                      headers.get("x-caller-service"),
                                      sent_body):
            await self.crash()
            self.record.handle_deadly(head.split(" ", 2)[1])
            self.handle_crash(self)
            return False
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

    def head(self, status, length, request, extra_headers=""):
        if self.limit_per_s is not None:
            extra_headers += f"Server-Limit: {self.limit_per_s}\r\n"
        if self.leaving:
            extra_headers += "Server-Leaving: 1\r\n"
        if status != 421 and "X-Not-Executed" not in extra_headers:
            extra_headers += f"{SIGNATURE}: {self.id}.{request}\r\n"
        return (f"HTTP/1.1 {status} x\r\nContent-Length: {length}\r\n"
                f"X-Attempt-Id: {request}\r\n{extra_headers}"
                f"Keep-Alive: timeout=5\r\n\r\n").encode()

    async def reply(self, writer, status, body, request, extra_headers=""):
        writer.write(self.head(status, len(body), request, extra_headers) +
                     body)
        await writer.drain()
        return True
