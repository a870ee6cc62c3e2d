#!/usr/bin/env python3
"""Signals that arrive while a node starts are handled once it runs.

usage: test_early_signal.py PROGRAM
"""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from scenario import run_mesh_scenario  # noqa: E402

STARTS = 4


async def play(mesh):
    host = mesh.hosts[0]
    statuses = []
    for _ in range(STARTS):
        await host.stop_node(signal.SIGKILL)
        await host.start_node()
        host.send_signal(signal.SIGHUP)
        statuses.append(await host.stop_node(signal.SIGTERM))
    log = (mesh.directory / "node-1.log").read_text()
    reloads = log.count('"event":"settings_taken"')
    print(f"{reloads} reloads, statuses {set(statuses)} in {STARTS} starts")
    return set(statuses) == {0} and reloads == STARTS


if __name__ == "__main__":
    sys.exit(run_mesh_scenario(play, 1))
