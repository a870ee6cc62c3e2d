#!/usr/bin/env python3
"""A restarted upstream serves requests that were meant for its old id.

One real node. Its upstream starts anew at the same address, with another id.
A peer that has not heard of it asks for the old id, then for an id that was
never there, and for the old one after another service has taken the place.

usage: test_replaced.py PROGRAM
"""

import asyncio
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from callers import Callers  # noqa: E402
from case import play  # noqa: E402
from mesh import MESH_PORT, Mesh, STORE  # noqa: E402

LEARN_MAX_S = 8.0  # a node without peers reads a change within 2.4 s
ASK_EACH_S = 0.2


async def ask(request, instance):
    """As a peer's node passes a request on."""
    reader, writer = await asyncio.open_connection("127.2.1.1", MESH_PORT)
    writer.write(f"GET /get/x HTTP/1.1\r\nHost: shop.example\r\n"
                 f"X-Attempt-Id: {request}\r\n"
                 f"X-Trefoilhill-Hop: 1500 300 1 1 0 0\r\n"
                 f"X-Trefoilhill-Instance: {instance}\r\n"
                 f"X-Trefoilhill-Caller: desk\r\n\r\n".encode())
    answer = await asyncio.wait_for(Callers.read(reader), 3)
    writer.transport.abort()
    return answer.status


async def restart(mesh, host):
    """Returns the new id once the node knows it."""
    await host.upstream.crash()
    await host.new_upstream().start()
    mesh.register(host)
    for i in range(int(LEARN_MAX_S / ASK_EACH_S)):
        if await ask(f"known-{i}", host.upstream.id) == 200:
            break
        await asyncio.sleep(ASK_EACH_S)
    return host.upstream.id


async def run(program, directory):
    mesh = Mesh(program, directory, 1, random.Random(1))
    host = mesh.hosts[0]
    await mesh.store.start(*STORE)
    mesh.publish()
    await host.new_upstream().start()
    mesh.register(host)
    old = host.upstream.id
    try:
        await host.start_node()
        await mesh.wait_ready(host)
        new = await restart(mesh, host)
        statuses = [await ask("one", old), await ask("two", new),
                    await ask("three", "i-never")]
        host.service = "other"
        await restart(mesh, host)
        statuses.append(await ask("four", new))
    finally:
        host.send(signal.SIGKILL)
        await host.process.wait()
    runs = {request: [upstream for _, upstream in runs]
            for request, runs in mesh.record.runs.items()
            if not request.startswith("known")}
    print(f"answers {statuses}, runs {runs}")
    return (statuses == [200, 200, 503, 503] and
            runs == {"one": [new], "two": [new]})


if __name__ == "__main__":
    sys.exit(play(run))
