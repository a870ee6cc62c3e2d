"""Another writer leaves entries of odd content in the platform's store.

Six machines of 88 MB, as the smaller ones of reelkade-mesh-grown, serve safe
requests. Then another writer writes entries under servers/ that hold no
backend: each is a list of empty objects, of valueBytes at most. The platform
kills a process that exceeds memoryMb and starts it again.
"""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins2 import (VALUE_BYTES, Backend, Mesh,  # noqa: E402
                       Unrunnable, ask, main, request_text)

HOST = "cinema.example"
DEADLINE_MS = 2000      # of schedule-lookup in reelkade-mesh-grown
MEMORY_MB = 88          # memoryMb of most machines there
ENTRIES = 16
WRITE_GAP_S = 0.3
RESTART_S = 1.0         # the platform's delay
WATCH_S = 30
ENDS_MIN = 3            # by the rule, of one process
ODD_ENTRY = b"[" + b"{}," * ((VALUE_BYTES - 4) // 3) + b"{}]"


def peak_mb(process):
    """The most memory that a process has had, MB; 0 if it has ended."""
    try:
        with open(f"/proc/{process.pid}/status", encoding="ascii") as file:
            for line in file:
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0


class Platform:
    """Kills processes that exceed memoryMb, and starts them again."""

    def __init__(self, record):
        self.record = record
        self.ends = {}
        self.peaks = {}

    async def look_after(self, machine):
        while True:
            await asyncio.sleep(0.02)
            if machine.is_running():
                peak = peak_mb(machine.process)
                self.peaks[machine.name] = max(
                    peak, self.peaks.get(machine.name, 0))
                if peak <= MEMORY_MB:
                    continue
                self.record(f"{machine.name} has {peak:.1f} MB of "
                            f"{MEMORY_MB}: it is killed")
                machine.signal(signal.SIGKILL)
            await machine.process.wait()
            self.ends[machine.name] = self.ends.get(machine.name, 0) + 1
            await asyncio.sleep(RESTART_S)
            await machine.start()


async def call(record, machine, counts):
    number = 0
    while True:
        number += 1
        attempt = f"{machine.number:04x}{number:012x}"
        answer = await ask(record, machine, request_text(
            "GET", f"/schedule/{attempt}", HOST, attempt, DEADLINE_MS),
            DEADLINE_MS / 1000)
        kind = str(answer.status) if answer.complete else "none"
        counts[kind] = counts.get(kind, 0) + 1
        await asyncio.sleep(0.05)


async def play(record, trouble):
    mesh = Mesh(record, [(zone, "schedule-desk") for zone in "aabbcc"],
                ["schedule-desk"])
    platform = Platform(record)
    counts = {}
    try:
        await mesh.start({"schedule": {
            "host": HOST, "prefix": "/schedule/", "kind": "safe",
            "service": "schedule-desk", "timeoutMs": DEADLINE_MS,
            "targetLatencyMs": 800, "priority": 2, "maxAttempts": 2}})
        for machine in mesh.machines:
            backend = Backend(record, f"i-{machine.number}", "schedule-desk",
                              machine.ip, mesh.ports["app"], machine.zone)
            backend.work_s = lambda attempt: 0.22
            await backend.start()
            mesh.begin(mesh.beat(backend))
            await machine.start()
        await mesh.wait_ready()
        for machine in mesh.machines:
            mesh.begin(platform.look_after(machine))
            mesh.begin(call(record, machine, counts))
        await asyncio.sleep(5)
        record(f"before: answers {counts}, peaks {platform.peaks}")
        if counts.get("200", 0) < 50:
            raise Unrunnable("too few answers")
        counts.clear()
        if trouble:
            for number in range(ENTRIES):
                mesh.store.put(f"servers/zz-{number}", ODD_ENTRY)
                record(f"another writer has written servers/zz-{number}, "
                       f"{len(ODD_ENTRY)} bytes")
                await asyncio.sleep(WRITE_GAP_S)
        await asyncio.sleep(WATCH_S)
        record(f"after: answers {counts}, peaks {platform.peaks}, ends "
               f"{platform.ends}")
    finally:
        await mesh.stop()
    often = [name for name, ends in platform.ends.items() if ends >= ENDS_MIN]
    if len(often) >= max(2, len(mesh.machines) / 10):
        return (f"Fault: {len(often)} of {len(mesh.machines)} machines have "
                f"processes that ended {ENDS_MIN} times or more: "
                f"{platform.ends}; answers meanwhile {counts}")
    return None


main(play)
