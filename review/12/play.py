"""A backend starts, and its entry is removed again, while a node is frozen.

Thirty hosts. In each round three nodes of a zone freeze, two of them before the
backend beside the third registers, and all wake after its entry was removed.
The backend goes on serving, and exits. The rounds end with the first in which
the rule is broken.
"""

import asyncio
import pathlib
import signal
import socket
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins3  # noqa: E402
from standins3 import (AUTHORITY, Backend, has_trouble, head,  # noqa: E402
                       main, read_body, read_head)

SERVICES = ["matchdesk"] * 30
ZONES = ["z1"] * 5 + ["z2"] * 8 + ["z3"] * 8 + ["z4"] * 9
CALLERS = range(1, 11)  # hosts
ROUNDS = 14
READERS_PER_ZONE = 2
IN_TOUCH_S = 3.0       # stableWindowMs
DRAIN_S = 2.5          # drainMs
COLD_S = 3.0
# Times of a round.
REGISTERED_S = 0.1
BESIDE_FREEZES_S = 1.1
REMOVED_S = 1.2
OTHERS_WAKE_S = 2.2
BESIDE_WAKES_S = 2.3
EXIT_S = 6.6
ROUND_S = 6.9
RUN_S = 0.04
# Bounds of the site in the settings.
standins3.SETTINGS = standins3.SETTINGS.replace(
    "drain_ms=2000", "drain_ms=2500").replace(
    "retry_allowance=60", "retry_allowance=200").replace(
    "cold_allowance=5", "cold_allowance=8")


def reader_rank(ip):
    """The order in which the nodes of a zone read the store."""
    number = int.from_bytes(socket.inet_aton(ip), "little")
    return (number * 0x9e3779b97f4a7c15 & (1 << 64) - 1) >> 32


class Play:
    def __init__(self, rig):
        self.rig = rig
        self.arrivals = []  # time, backend's id, request
        self.sent = {}      # request: time
        self.answers = {}
        self.running = {}   # request: backend's id
        self.cut = {}
        self.removed = set()  # ids whose entries were removed
        self.ended = False

    async def work(self, backend, reader, writer, line, fields):
        request = fields["x-attempt-id"]
        await read_body(reader, fields)
        self.rig.note(f"backend {backend.id} runs {request}")
        self.arrivals.append((time.monotonic(), backend.id, request))
        self.running[request] = backend.id
        await asyncio.sleep(RUN_S)
        self.running.pop(request)
        leaving = backend.id in self.removed
        writer.write(head("HTTP/1.1 200 OK", [
            ("X-Attempt-Id", request), ("X-Response-Signature", "3e1b.07"),
            ("Content-Length", 2)]
            + [("Connection", "close")] * leaving) + b"ok")
        await writer.drain()
        return not leaving

    async def call(self, host):
        """Send requests to the node of a host, one after the other."""
        count = 0
        while not self.ended:
            try:
                reader, writer = await self.rig.connect(host)
                while not self.ended:
                    count += 1
                    request = f"h{host}-{count}"
                    self.sent[request] = time.monotonic()
                    self.rig.note(f"{request}: sent")
                    writer.write(head("POST /events/new HTTP/1.1", [
                        ("Host", AUTHORITY), ("X-Attempt-Id", request),
                        ("X-Deadline", 2000), ("Content-Length", 4)])
                        + b"goal")
                    message = await asyncio.wait_for(read_head(reader), 4)
                    if message is None:
                        break
                    await read_body(reader, message[1])
                    status = message[0].split(" ")[1]
                    self.rig.note(f"{request}: {message[0]}")
                    if request in self.cut:
                        self.rig.note(f"{request}: ran when its backend "
                                      f"exited, answered {status}")
                    self.answers[status] = self.answers.get(status, 0) + 1
                    await asyncio.sleep(0.02)
            except (OSError, asyncio.IncompleteReadError,
                    asyncio.TimeoutError):
                await asyncio.sleep(0.05)

    async def play_round(self, number, others, beside, backend_id):
        """Return the late requests of a round."""
        rig = self.rig
        began = time.monotonic()

        async def at(offset_s):
            await asyncio.sleep(max(0, began + offset_s - time.monotonic()))

        def freeze(host):
            if has_trouble():
                rig.signal(host, signal.SIGSTOP)
                rig.note(f"node {host} is frozen")

        def wake(host):
            rig.signal(host, signal.SIGCONT)
            rig.note(f"node {host} goes on")

        backend = Backend(rig, beside, self.work)
        backend.id = backend_id
        for host in others:
            freeze(host)
        await at(REGISTERED_S)
        backend.cold_until = time.monotonic() + COLD_S
        await backend.start()
        await backend.register()
        rig.note(f"backend {backend.id} registers")
        await at(BESIDE_FREEZES_S)
        freeze(beside)
        await at(REMOVED_S)
        await rig.store.delete(f"servers/{backend.id}")
        accepted = time.monotonic()
        self.removed.add(backend.id)
        rig.note(f"backend {backend.id} leaves: its entry is removed")
        await at(OTHERS_WAKE_S)
        for host in others:
            wake(host)
        await at(BESIDE_WAKES_S)
        wake(beside)
        in_touch = time.monotonic() + IN_TOUCH_S
        await at(EXIT_S)
        cut = {request for request, where in self.running.items()
               if where == backend.id}
        self.cut.update(dict.fromkeys(cut, backend.id))
        backend.crash()
        rig.note(f"backend {backend.id} exits while it runs {sorted(cut)}")
        late = [request for arrived, where, request in self.arrivals
                if where == backend.id and arrived > accepted + DRAIN_S
                and self.sent[request] > in_touch]
        rig.note(f"round {number}: {len(late)} requests arrived late")
        await at(ROUND_S)
        return late, cut


async def play(rig):
    state = Play(rig)
    await rig.publish("r2", {
        "events": rig.route("/events/", "unsafe", "matchdesk", 2000)})
    hosts = range(1, len(SERVICES) + 1)
    zone = sorted((n for n in hosts if rig.zone(n) == "z1"),
                  key=lambda n: reader_rank(rig.ip(n)))
    *others, beside = zone[READERS_PER_ZONE:]
    for number in hosts:
        if number != beside:
            backend = Backend(rig, number, state.work)
            await backend.start()
            await backend.register()
    for number in hosts:
        await rig.start_node(number)
    for number in hosts:
        await rig.wait_ready(number)
    callers = [asyncio.create_task(state.call(n)) for n in CALLERS]
    await asyncio.sleep(2)
    for number in range(1, ROUNDS + 1):
        late, cut = await state.play_round(
            number, others, beside, f"i-{rig.net:02x}{number:06x}f")
        if late:
            break
    await asyncio.sleep(0.5)
    state.ended = True
    await asyncio.gather(*callers)
    rig.note(f"answers by status: {state.answers}")
    if "200" not in state.answers:
        raise RuntimeError("no request was served")
    return (f"round {number}: {len(late)} requests reached a backend later "
            f"than {DRAIN_S} s after the store had accepted that it leaves; "
            f"it ran {len(cut)} when it exited", len(late) > 0)


if __name__ == "__main__":
    main(FOLDER, SERVICES, ZONES, play)
