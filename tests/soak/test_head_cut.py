#!/usr/bin/env python3
"""Upstreams that stop in the middle of an answer and close.

Six real nodes. Each answer is cut at one byte after the other, in its head and
behind it, with a length, in chunks and without either, after interim answers
and in HTTP/1.0, closed in order or reset. Callers beside the upstream and
elsewhere keep their connections. Guards against a short answer that is framed
as a whole one.

usage: test_head_cut.py PROGRAM
"""

import asyncio
import collections
import pathlib
import socket
import struct
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

import mesh as mesh_module  # noqa: E402
from kept_caller import KeptCaller  # noqa: E402
from scenario import run_mesh_scenario  # noqa: E402
from upstream import HEALTH_PATH, SIGNATURE, Upstream, body_for  # noqa: E402

HOSTS = 6
ENTRIES = (1, 4)  # each beside an upstream of one of the services
CALLERS = 10  # at each entry
BODY_BYTES = 60
FRAMINGS = ("length", "chunks", "end", "interim", "old version", "length last")
LINGER_NONE = struct.pack("ii", 1, 0)  # a close is a reset
WHOLE_EVERY = 4  # answers of which one is not cut


def format_answer(framing, request, name):
    """Return an answer, and from where on an orderly close completes it."""
    body = body_for(request, BODY_BYTES)
    version = "1.0" if framing == "old version" else "1.1"
    fields = [f"X-Attempt-Id: {request}", f"{SIGNATURE}: {name}.{request}"]
    if framing == "chunks":
        fields.insert(0, "Transfer-Encoding: chunked")
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    elif framing == "length last":
        fields.append(f"Content-Length: {len(body)}")
    elif framing != "end":
        fields.insert(0, f"Content-Length: {len(body)}")
    head = (f"HTTP/{version} 200 OK\r\n" + "\r\n".join(fields) +
            "\r\n\r\n").encode()
    if framing == "interim":
        head = b"HTTP/1.1 100 Continue\r\n\r\n" + head
    # Nothing but the close ends a body without framing.
    return head + body, len(head) if framing == "end" else None


class CuttingUpstream(Upstream):
    cuts = []  # (framing, offset, is reset), to be played; shared by all
    played = collections.Counter()

    def __init__(self, *args):
        super().__init__(*args)
        self.served = 0

    async def serve_one(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        fields = {name.lower(): value.strip() for name, _, value in
                  (line.partition(":") for line in lines[1:])}
        request = fields.get("x-attempt-id", "")
        await reader.readexactly(int(fields.get("content-length", "0")))
        if lines[0].split(" ")[1] == HEALTH_PATH:
            return await self.reply(writer, 200, b"", "",
                                    f"X-Instance-Id: {self.id}\r\n")
        self.record.add_run(request, asyncio.get_running_loop().time(), self)
        self.served += 1
        if not self.cuts or self.served % WHOLE_EVERY == 0:
            return await self.reply(
                writer, 200, body_for(request, BODY_BYTES), request)
        framing, offset, is_reset = self.cuts.pop()
        answer, enough = format_answer(framing, request, self.id)
        self.played[framing] += 1
        answer = answer[:offset]
        writer.write(answer)
        await writer.drain()
        if is_reset:
            # The bytes may arrive before the reset, or not.
            await asyncio.sleep(self.rng.choice((0, 0.002)))
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
            writer.transport.abort()
        return False


def all_cuts():
    """Each place of each framing, for each kind of request and each entry."""
    cuts = []
    for framing in FRAMINGS:
        answer, enough = format_answer(framing, "e1c10-00000", "i-1-1")
        for offset in range(len(answer)):
            ends = (False, True) if offset < (enough or len(answer)) else (
                True,)
            cuts += [(framing, offset, is_reset) for is_reset in ends
                     for _ in range(2)]
    return cuts


async def send_all(caller):
    """Send requests, safe and unsafe in turn, while there are cuts left."""
    number = 0
    while CuttingUpstream.cuts:
        number += 1
        await caller.send(number, number % 2 == 1)
    caller.close()


async def play(mesh):
    CuttingUpstream.cuts = all_cuts()
    mesh.rng.shuffle(CuttingUpstream.cuts)
    callers = [KeptCaller(entry, n) for entry in ENTRIES for n in range(CALLERS)]
    await asyncio.gather(*map(send_all, callers))
    results = [result for caller in callers for result in caller.results]
    statuses = collections.Counter(
        0 if response is None else response.status
        for _, _, response in results)
    wrong = [request for request, _, response in results
             if response is not None and response.status // 100 == 2 and
             response.body != body_for(request, BODY_BYTES)]
    wrong += [request for request, unsafe, _ in results
              if unsafe and len(mesh.record.runs.get(request, ())) > 1]
    alive = all(h.process.returncode is None for h in mesh.hosts)
    played = CuttingUpstream.played
    print(f"{len(results)} requests, statuses {dict(statuses)}, cut "
          f"{dict(played)}, alive {alive}, wrong {wrong[:5]}")
    return (not wrong and alive and statuses[200] > 0 and
            sum(played.values()) > 2000)


if __name__ == "__main__":
    mesh_module.Upstream = CuttingUpstream
    # Enough for a retry of each request.
    mesh_module.SETTINGS = mesh_module.SETTINGS.replace(
        "retry_allowance=40", "retry_allowance=90000")
    sys.exit(run_mesh_scenario(play, HOSTS))
