"""The grace period in the settings changes to a fraction of seconds.

Three machines serve safe requests. Their settings change: graceS is 6.5 instead
of 6; each process gets SIGHUP. Then the machines are stopped and started in
turn. Each must serve again.
"""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins2 import (Backend, Mesh, Unrunnable, ask,  # noqa: E402
                       main, request_text)

HOST = "shop.example"
DEADLINE_MS = 2000
NEW_GRACE_S = 6.5
RESTART_S = 1.0         # the platform's delay
ENDS_MIN = 3            # by the rule, of one process
SERVE_LIMIT_S = 10.0


async def stop_and_start(record, machine, ends):
    """SIGTERM, then starts until the process stays or has ended often."""
    record(f"SIGTERM to {machine.name}")
    machine.signal(signal.SIGTERM)
    try:
        await asyncio.wait_for(machine.process.wait(),
                               machine.mesh.bounds["graceS"])
    except asyncio.TimeoutError:
        machine.signal(signal.SIGKILL)
        await machine.process.wait()
    while ends.get(machine.name, 0) < ENDS_MIN:
        await asyncio.sleep(RESTART_S)
        await machine.start()
        try:
            status = await asyncio.wait_for(machine.process.wait(), 2)
        except asyncio.TimeoutError:
            return
        ends[machine.name] = ends.get(machine.name, 0) + 1
        log = (machine.mesh.directory / f"{machine.name}.log").read_text()
        record(f"{machine.name} has ended by itself with {status}: "
               f"{log.splitlines()[-1]}")


async def count_served(record, mesh, label):
    """Requests of each machine's clients that are served."""
    served = {}
    for machine in mesh.machines:
        for number in range(10):
            attempt = f"{machine.number:04x}{label}{number:08x}"
            answer = await ask(record, machine, request_text(
                "GET", f"/read/{attempt}", HOST, attempt, DEADLINE_MS),
                DEADLINE_MS / 1000)
            served[machine.name] = served.get(machine.name, 0) + (
                answer.complete and answer.status == 200)
    record(f"served of ten: {served}")
    return served


async def play(record, trouble):
    mesh = Mesh(record, [(zone, "catalogue") for zone in "abc"],
                ["catalogue"])
    ends = {}
    try:
        await mesh.start({"read": {
            "host": HOST, "prefix": "/read/", "kind": "safe",
            "service": "catalogue", "timeoutMs": 1000,
            "targetLatencyMs": 300, "priority": 2, "maxAttempts": 2}})
        for machine in mesh.machines:
            backend = Backend(record, f"i-{machine.number}", "catalogue",
                              machine.ip, mesh.ports["app"], machine.zone)
            await backend.start()
            mesh.begin(mesh.beat(backend))
            await machine.start()
        await mesh.wait_ready()
        await asyncio.sleep(3)
        before = await count_served(record, mesh, "aaaa")
        if sum(before.values()) < 20:
            raise Unrunnable("too few answers")
        if trouble:
            mesh.bounds["graceS"] = NEW_GRACE_S
            for machine in mesh.machines:
                path = mesh.directory / f"{machine.name}.ini"
                path.write_text(machine.settings())
                machine.signal(signal.SIGHUP)
            record(f"the settings have graceS = {NEW_GRACE_S}")
        await asyncio.sleep(2)
        for machine in mesh.machines:
            await stop_and_start(record, machine, ends)
        await asyncio.sleep(SERVE_LIMIT_S)
        await count_served(record, mesh, "bbbb")
    finally:
        await mesh.stop()
    often = [name for name, count in ends.items() if count >= ENDS_MIN]
    if len(often) >= 2:
        return (f"Fault: the programs of {', '.join(often)} don't start any "
                f"more, they ended by themselves {ENDS_MIN} times each")
    return None


main(play)
