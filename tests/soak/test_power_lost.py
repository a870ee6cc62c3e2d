#!/usr/bin/env python3
"""A node that comes back with its upstream serves before it is registered.

The power of one host goes and comes back: the upstream starts anew with
another id, and its registration takes a while, so that the store still lists
the old one. A peer asks for that one. Later the new registration comes. When
another service has taken the place meanwhile, nothing may run there for the old
one.

usage: test_power_lost.py PROGRAM
"""

import asyncio
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from case import play  # noqa: E402
from mesh import Mesh, STORE  # noqa: E402
from test_replaced import ask  # noqa: E402

LEARN_S = 3.0  # a node without peers reads a change within 2.4 s


async def power_cycle(mesh, host):
    host.send(signal.SIGKILL)
    await host.process.wait()
    await host.upstream.crash()
    await host.new_upstream().start()
    await host.start_node()
    await mesh.wait_ready(host)


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
        await power_cycle(mesh, host)
        await asyncio.sleep(0.5)
        statuses = [await ask("one", old)]
        mesh.register(host)
        await asyncio.sleep(LEARN_S)
        new = host.upstream.id
        statuses.append(await ask("two", new))
        host.service = "other"
        await power_cycle(mesh, host)
        await asyncio.sleep(0.5)
        statuses.append(await ask("three", new))
    finally:
        host.send(signal.SIGKILL)
        await host.process.wait()
    runs = {request: [upstream for _, upstream in runs]
            for request, runs in mesh.record.runs.items()}
    print(f"answers {statuses}, runs {runs}")
    return (statuses == [200, 200, 503] and
            runs == {"one": [new], "two": [new]})


if __name__ == "__main__":
    sys.exit(play(run))
