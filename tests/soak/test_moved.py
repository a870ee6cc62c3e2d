#!/usr/bin/env python3
"""Upstreams that start again on other hosts under the ids that they had.

Six real nodes under load. Again and again a new start takes over the id of an upstream
of the same service on another host, while the former one still runs the requests
that it has. Callers on all hosts keep their connections. Guards against nodes that end
as requests are in progress at the former host, and against requests without an answer.

usage: test_moved.py PROGRAM [SEED [ROUNDS]]
"""

import asyncio
import collections
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from kept_caller import KeptCaller  # noqa: E402
from scenario import run_mesh_scenario  # noqa: E402

HOSTS = 6
CALLERS = 2  # on each host
PAIRS = ((1, 6), (2, 6), (3, 4), (4, 5))  # hosts of one service
ROUND_S = 0.8
CUT_MAX = 3
SEED = int(sys.argv[2]) if len(sys.argv) > 2 else 1
ROUNDS = int(sys.argv[3]) if len(sys.argv) > 3 else 16


async def move(mesh, born, pair):
    """Swap the ids of two hosts' upstreams by new starts."""
    hosts = [mesh.hosts[number - 1] for number in pair]
    former = [host.upstream for host in hosts]
    for host, other in zip(hosts, reversed(former)):
        old = host.upstream
        # New connections reach the new start, the old one ends what it has.
        old.server.close()
        new = host.new_upstream()
        new.id = other.id
        new.slowdown = 4.0
        await new.start()
        mesh.store.put(f"servers/{new.id}", new.entry("ready", 1, 0, born))
    return former


async def play(mesh):
    rng = random.Random(SEED)
    callers = [KeptCaller(host.number, number) for host in mesh.hosts
               for number in range(CALLERS)]
    stop = asyncio.Event()

    async def send_all(caller):
        draw = random.Random(f"{SEED}-{caller.name}")
        number = 0
        while not stop.is_set():
            number += 1
            await caller.send(number, draw.random() < 0.3)
            await asyncio.sleep(draw.uniform(0.02, 0.08))
        caller.close()

    for host in mesh.hosts:
        host.upstream.slowdown = 4.0
    tasks = [asyncio.create_task(send_all(caller)) for caller in callers]
    await asyncio.sleep(1)
    for number in range(ROUNDS):
        await move(mesh, 1000 + number, rng.choice(PAIRS))
        await asyncio.sleep(ROUND_S * rng.uniform(0.3, 1.5))
    stop.set()
    await asyncio.gather(*tasks)
    results = [result for caller in callers for result in caller.results]
    statuses = collections.Counter(
        0 if response is None else response.status
        for _, _, response in results)
    twice = [request for request, unsafe, _ in results
             if unsafe and len(mesh.record.runs.get(request, ())) > 1]
    ended = [h.number for h in mesh.hosts if h.process.returncode is not None]
    print(f"{ROUNDS} moves, {len(results)} requests, statuses "
          f"{dict(statuses)}, {len(twice)} ran twice, nodes ended: {ended}")
    return (not ended and not twice and statuses[0] <= CUT_MAX and
            statuses[200] > len(results) / 2)


if __name__ == "__main__":
    sys.exit(run_mesh_scenario(play, HOSTS))
