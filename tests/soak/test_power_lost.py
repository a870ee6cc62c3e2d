#!/usr/bin/env python3
"""A node that restarts with its upstream serves before its registration.

A host loses power and restarts. Its upstream gets a new id, and until that is
registered the store still lists the old one, which a peer then requests. The
new registration follows later. If another service runs at the address after
a power loss, it must not run requests for the old upstream.

usage: test_power_lost.py PROGRAM
"""

import asyncio
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from scenario import run_scenario  # noqa: E402
from mesh import Mesh, STORE  # noqa: E402
from test_replaced import send_hop_request  # noqa: E402

PROPAGATION_S = 3.0  # a node without peers reads a change within 2.4 s


async def power_cycle(mesh, host):
    host.send_signal(signal.SIGKILL)
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
        statuses = [await send_hop_request("one", old)]
        mesh.register(host)
        await asyncio.sleep(PROPAGATION_S)
        new = host.upstream.id
        statuses.append(await send_hop_request("two", new))
        host.service = "other"
        await power_cycle(mesh, host)
        await asyncio.sleep(0.5)
        statuses.append(await send_hop_request("three", new))
    finally:
        host.send_signal(signal.SIGKILL)
        await host.process.wait()
    runs = {request: [upstream for _, upstream in runs]
            for request, runs in mesh.record.runs.items()}
    print(f"answers {statuses}, runs {runs}")
    return (statuses == [200, 200, 503] and
            runs == {"one": [new], "two": [new]})


if __name__ == "__main__":
    sys.exit(run_scenario(run))
