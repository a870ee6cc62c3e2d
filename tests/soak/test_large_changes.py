#!/usr/bin/env python3
"""More changes at once than one answer of the store may hold.

Six real nodes under load. Another writer leaves entries of the largest size at once,
and again and again; the answers of watches grow beyond what a node reads. After each
time a configuration is published. Guards against nodes that ask for the same changes
without end, and follow the store only when it has forgotten them.

usage: test_large_changes.py PROGRAM
"""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from callers import Callers  # noqa: E402
from scenario import run_mesh_scenario  # noqa: E402
from test_odd_entries import HOSTS, Checks  # noqa: E402

VALUE_BYTES = 1 << 20  # the store's limit
ENTRIES = 10
TIMES = 3
PAUSE_S = 1.0


async def play(mesh):
    rng = random.Random(4)
    checks = Checks(mesh)
    checks.note_processes()
    callers = Callers(mesh, mesh.rng)
    tasks = [asyncio.create_task(callers.run(host)) for host in mesh.hosts]
    await checks.follow("at first")
    calls = mesh.store.calls
    for time in range(TIMES):
        for number in range(ENTRIES):
            mesh.store.put(f"servers/odd-{number}", rng.randbytes(VALUE_BYTES))
        await asyncio.sleep(PAUSE_S)
        await checks.follow(f"after {time + 1} times")
        checks.alive(f"after {time + 1} times")
    await checks.in_use("at the end")
    callers.stopping = True
    await asyncio.gather(*tasks)
    checks.failed += callers.wrong[:3]
    print(f"{TIMES * ENTRIES} large entries, {mesh.store.calls - calls} calls "
          f"to the store, {callers.number} requests {dict(callers.counts)}: "
          f"{checks.failed or 'passed'}")
    return not checks.failed


if __name__ == "__main__":
    sys.exit(run_mesh_scenario(play, HOSTS))
