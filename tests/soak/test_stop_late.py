#!/usr/bin/env python3
"""A node that stops answers what it still takes.

A request that comes by an open connection shortly before the node's grace is
over, to an upstream that needs longer, gets a refusal and not a cut.

usage: test_stop_late.py PROGRAM
"""

import asyncio
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from callers import Callers  # noqa: E402
from case import play  # noqa: E402
from mesh import CALLER_PORT, GRACE_MS, Mesh, STORE  # noqa: E402

LATE_S = GRACE_MS / 1000 * 0.75
SLOW = 500.0  # times the usual run: longer than what is left


async def send(reader, writer, request):
    writer.write(f"GET /get/x HTTP/1.1\r\nHost: shop.example\r\n"
                 f"X-Attempt-Id: {request}\r\nX-Deadline: 1500\r\n\r\n"
                 .encode())
    return await asyncio.wait_for(Callers.read(reader), 5)


async def run(program, directory):
    mesh = Mesh(program, directory, 1, random.Random(1))
    host = mesh.hosts[0]
    await mesh.store.start(*STORE)
    mesh.publish()
    await host.new_upstream().start()
    mesh.register(host)
    try:
        await host.start_node()
        await mesh.wait_ready(host)
        reader, writer = await asyncio.open_connection("127.2.1.1",
                                                       CALLER_PORT)
        first = await send(reader, writer, "one")
        host.upstream.slow = SLOW
        host.send(signal.SIGTERM)
        await asyncio.sleep(LATE_S)
        reader, writer = await asyncio.open_connection("127.2.1.1",
                                                       CALLER_PORT)
        try:
            second = (await send(reader, writer, "two")).status
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            second = repr(error)
    finally:
        host.send(signal.SIGKILL)
        await host.process.wait()
    ran = "two" in mesh.record.runs
    print(f"answers {first.status} and {second}, ran: {ran}")
    return first.status == 200 and second == 503 and not ran


if __name__ == "__main__":
    sys.exit(play(run))
