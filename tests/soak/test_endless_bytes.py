#!/usr/bin/env python3
"""An upstream that sends bytes without end does not harm the node.

One real node, two upstreams of its service, of which only the node's own sends
them, in a way that each request asks for by its path: in the head, in interim
responses, in the body, after the response, in one that is not used. It goes on
until the node closes the connection. Each request gets a true response in time,
the node reads a bounded amount of what it doesn't pass on, its memory is
bounded, and other requests are served meanwhile.

usage: test_endless_bytes.py PROGRAM
"""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from callers import Callers  # noqa: E402
from scenario import run_scenario  # noqa: E402
from mesh import CALLER_PORT, Mesh, STORE  # noqa: E402
from upstream import Upstream, body_for  # noqa: E402

DEADLINE_S = 1.0
MARGIN_S = 0.5
REQUESTS = 6  # of each kind at once
GROWTH_MAX_KB = 32 * 1024
# Per connection; the sockets' buffers hold some megabytes of it.
UNUSED_BYTES_MAX = 16 << 20
SLOW_S = 0.3
PIECE = 64 * 1024

OK = "HTTP/1.1 200 x\r\nX-Response-Signature: s\r\nX-Attempt-Id: "
# What comes once, and then without end; {} is the id of the request. The last
# is whether the bytes may be passed on to the caller.
KINDS = {
    "fields": ("HTTP/1.1 200 x\r\n", "A: b\r\n", False),
    "value": ("HTTP/1.1 200 x\r\nA: ", "b", False),
    "name": ("HTTP/1.1 200 x\r\n", "a", False),
    "reason": ("HTTP/1.1 200 ", "x", False),
    "blank": ("", "\r\n", False),
    "noise": ("", "\x01", False),
    "continue": ("", "HTTP/1.1 100 Continue\r\n\r\n", False),
    "hints": ("", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", False),
    "unframed": (OK + "{}\r\n\r\n", "x", True),
    "chunks": (OK + "{}\r\nTransfer-Encoding: chunked\r\n\r\n",
               "4\r\nabcd\r\n", True),
    "extension": (OK + "{}\r\nTransfer-Encoding: chunked\r\n\r\n4;",
                  "a", False),
    "trailers": (OK + "{}\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                 "A: b\r\n", False),
    "after": (OK + "{}\r\nContent-Length: 2\r\n\r\nok", "x", False),
    "shed": ("HTTP/1.1 503 x\r\nX-Not-Executed: 1\r\nX-Attempt-Id: {}\r\n\r\n",
             "x", False),
    "misdirected": ("HTTP/1.1 421 x\r\nX-Attempt-Id: {}\r\n\r\n", "x", False),
    "failed": ("HTTP/1.1 500 x\r\nX-Attempt-Id: {}\r\n\r\n", "x", True),
    "other": (OK + "another\r\n\r\n", "x", False),
    "others": ("", OK + "another\r\nContent-Length: 2\r\n\r\nno", False),
}


class EndlessUpstream(Upstream):
    """Sends bytes without end where the path names a kind of them."""

    taken = 0  # most bytes that a connection has taken

    async def serve_one(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        headers = {name.lower(): value for name, _, value in
                   (line.partition(": ") for line in lines[1:])}
        request = headers.get("x-attempt-id", "")
        kind = lines[0].split(" ")[1].rpartition("/")[2]
        if kind not in KINDS:
            body = body_for(request, 400)
            return await self.reply(writer, 200, body, request)
        once, forever, _ = KINDS[kind]
        writer.write(once.format(request).encode("latin-1"))
        piece = (forever * (PIECE // len(forever))).encode("latin-1")
        taken = 0
        while True:
            writer.write(piece)
            await writer.drain()
            taken += len(piece)
            self.taken = max(self.taken, taken)


async def send(path, request):
    """Return the status, 0 for one that broke off, and the time it took."""
    began = time.monotonic()
    status = 0
    reader, writer = await asyncio.open_connection("127.2.1.1", CALLER_PORT)
    writer.write(f"GET /get/{path} HTTP/1.1\r\nHost: shop.example\r\n"
                 f"X-Attempt-Id: {request}\r\n"
                 f"X-Deadline: {int(DEADLINE_S * 1000)}\r\n\r\n".encode())
    try:
        response = await asyncio.wait_for(Callers.read(reader),
                                          DEADLINE_S + 2 * MARGIN_S)
        status = response.status
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    except asyncio.TimeoutError:
        status = -1
    writer.transport.abort()
    return status, time.monotonic() - began


async def send_others(stop, results):
    number = 0
    while not stop.is_set():
        number += 1
        results.append(await send("x", f"other-{id(results)}-{number}"))
        await asyncio.sleep(0.02)


async def measure_lag(lags):
    """Append by how much this process is late, which also counts in what it
    measures of the node."""
    while True:
        began = time.monotonic()
        await asyncio.sleep(0.01)
        lags.append(time.monotonic() - began - 0.01)


def peak_kb(process):
    for line in open(f"/proc/{process.pid}/status"):
        if line.startswith("VmHWM"):
            return int(line.split()[1])
    return 0


async def play_kind(host, kind):
    """Return what was wrong with one kind of endless bytes."""
    stop, others, lags = asyncio.Event(), [], []
    meter = asyncio.create_task(measure_lag(lags))
    host.upstream.taken = 0
    load = asyncio.create_task(send_others(stop, others))
    results = await asyncio.gather(
        *(send(kind, f"{kind}-{n}") for n in range(REQUESTS)))
    stop.set()
    await load
    meter.cancel()
    # What is left over of a connection is read for a while.
    await asyncio.sleep(1.2)
    allowed = (200,) if kind == "after" else (0, 502, 503, 504)
    wrong = []
    if any(status not in allowed for status, _ in results):
        wrong.append(f"statuses {[status for status, _ in results]}")
    if any(s > DEADLINE_S + MARGIN_S for _, s in results):
        wrong.append(f"took {max(s for _, s in results):.2f} s")
    if not KINDS[kind][2] and host.upstream.taken > UNUSED_BYTES_MAX:
        wrong.append(f"{host.upstream.taken >> 20} MB taken")
    slow = [s for status, s in others if status != 200 or s > SLOW_S]
    if len(slow) > 1:
        wrong.append(f"{len(slow)} of {len(others)} other requests slow or "
                     f"failed, up to {max(slow):.2f} s")
    if wrong:
        wrong.append(f"this process was late by up to {max(lags):.2f} s")
    return wrong


async def run(program, directory):
    mesh = Mesh(program, directory, 1, random.Random(1))
    host = mesh.hosts[0]
    await mesh.store.start(*STORE)
    mesh.publish()
    host.upstream = EndlessUpstream(
        mesh.record, "i-1-1", host.service, host.zone, "127.1.1.1", 7104,
        mesh.rng)
    host.upstream.slots = 40
    await host.upstream.start()
    mesh.register(host)
    failures = {}
    try:
        await host.start_node()
        await mesh.wait_ready(host)
        await send("x", "first")
        before_kb = peak_kb(host.process)
        for kind in sys.argv[2:] or KINDS:
            wrong = await play_kind(host, kind)
            if wrong:
                failures[kind] = wrong
                print(f"{kind}: {'; '.join(wrong)}")
        alive = host.process.returncode is None
        growth_kb = peak_kb(host.process) - before_kb if alive else 0
    finally:
        host.send_signal(9)
        await host.process.wait()
    print(f"{len(KINDS)} kinds, {len(failures)} failed; alive {alive}, "
          f"memory grew by {growth_kb} KB")
    return not failures and alive and growth_kb < GROWTH_MAX_KB


if __name__ == "__main__":
    sys.exit(run_scenario(run))
