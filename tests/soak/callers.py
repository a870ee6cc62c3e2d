"""Callers of the mesh: they keep connections open and check every answer."""

import asyncio
import collections

from mesh import CALLER_PORT
from upstream import body_for

DEADLINE_S = 2.0
LEAVE_S = 0.01
PROMISES = (429, 503, 408, 421)  # not run, and never will be


class Answer:
    def __init__(self, status=0, body=b"", fields=None, whole=False):
        self.status = status
        self.body = body
        self.fields = fields or {}
        self.whole = whole


class Callers:
    def __init__(self, mesh, rng):
        self.mesh = mesh
        self.rng = rng
        self.number = 0
        self.counts = collections.Counter()
        self.posts = set()  # ids of all that can not be repeated
        self.refused = set()  # ids of what can't be repeated and was refused
        self.wrong = []
        self.answers = []  # (time, ok) of plain reads
        self.stopping = False
        # What those that give up name as their deadline; they leave at LEAVE_S.
        self.give_up_deadline_s = LEAVE_S

    def next_id(self):
        self.number += 1
        return f"q{self.number:08x}"

    async def run(self, host):
        """One caller beside a host: requests one after the other."""
        reader = writer = None
        while not self.stopping:
            if writer is None:
                try:
                    reader, writer = await asyncio.wait_for(
                        asyncio.open_connection(f"127.2.{host.number}.1",
                                                CALLER_PORT), 1)
                except (OSError, asyncio.TimeoutError):
                    self.counts["no_connection"] += 1
                    await asyncio.sleep(0.2)
                    continue
            kind = self.rng.choices(("get", "post", "bulk", "give_up"),
                                    (60, 25, 10, 5))[0]
            keep = await self.one(kind, reader, writer)
            if not keep:
                writer.transport.abort()
                reader = writer = None
            await asyncio.sleep(self.rng.uniform(0.02, 0.12))
        if writer is not None:
            writer.transport.abort()

    async def one(self, kind, reader, writer):
        request = self.next_id()
        prefix = "get" if kind == "give_up" else kind
        method = "POST" if kind == "post" else "GET"
        body = b"order" if kind == "post" else b""
        if kind == "post":
            self.posts.add(request)
        limit_s = LEAVE_S if kind == "give_up" else DEADLINE_S
        deadline_s = (self.give_up_deadline_s if kind == "give_up"
                      else DEADLINE_S)
        text = (f"{method} /{prefix}/x HTTP/1.1\r\nHost: shop.example\r\n"
                f"X-Attempt-Id: {request}\r\n"
                f"X-Deadline: {int(deadline_s * 1000)}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        now = asyncio.get_running_loop().time()
        try:
            writer.write(text)
            answer = await asyncio.wait_for(self.read(reader),
                                            limit_s + (kind != "give_up"))
        except asyncio.TimeoutError:
            self.counts["left" if kind == "give_up" else "deadline"] += 1
            if kind == "get":
                self.answers.append((now, False))
            return False
        except (OSError, asyncio.IncompleteReadError, ValueError):
            answer = Answer()
        self.check(kind, request, answer)
        if kind == "get":
            self.answers.append((now, answer.status == 200))
        return answer.whole and \
            answer.fields.get("connection", "") != "close"

    def check(self, kind, request, answer):
        self.counts[answer.status if answer.whole else "cut"] += 1
        if not answer.whole:
            return
        if answer.status in PROMISES and kind == "post":
            self.refused.add(request)
        if answer.status // 100 != 2:
            if answer.status not in PROMISES + (502, 504):
                self.wrong.append(f"{request}: status {answer.status}")
            return
        signature = answer.fields.get("x-response-signature", "")
        size = 60000 if kind == "bulk" else 400
        if not signature.endswith("." + request) or \
                answer.body != body_for(request, size):
            self.wrong.append(f"{request}: not its own whole answer")

    @staticmethod
    async def read(reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            fields[name.lower()] = value.strip()
        status = int(lines[0].split(" ")[1])
        if "content-length" in fields:
            body = await reader.readexactly(int(fields["content-length"]))
            return Answer(status, body, fields, True)
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return Answer(status, body, fields, True)
