#!/usr/bin/env python3
"""Upstreams whose answers are of odd form.

Six real nodes. A part of the answers are no HTTP/1.1: each part of the message is
varied, in place of the answer, before the request's body is read, behind a whole
answer, on a connection that is idle, in two pieces, or cut off. Others are valid
forms that are seldom seen. Callers beside the upstream and elsewhere keep their
connections and read strictly. Guards against such an answer that reaches a caller,
or ends a node.

usage: test_odd_answers.py PROGRAM [SEED [REQUESTS]]
"""

import asyncio
import collections
import pathlib
import random
import re
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

import mesh as mesh_module  # noqa: E402
from callers import NOT_EXECUTED_STATUSES, Response  # noqa: E402
from kept_caller import KeptCaller  # noqa: E402
from odd_answers import (BODY_BYTES, malformed_answers,  # noqa: E402
                         valid_answers)
from scenario import run_mesh_scenario  # noqa: E402
from upstream import HEALTH_PATH, Upstream, body_for  # noqa: E402

HOSTS = 6
ENTRIES = (1, 4)  # each beside an upstream of one of the services
CALLERS = 12  # at each entry
ODD_SHARE = 0.25
VALID_SHARE = 0.25
CUT_MAX = 3  # connections that may be cut without an answer
SERVED_MIN = 0.99  # of the requests to whose answers nothing was done
SEED = int(sys.argv[2]) if len(sys.argv) > 2 else 1
REQUESTS = int(sys.argv[3]) if len(sys.argv) > 3 else 250  # of each caller

MOMENTS = ("answer", "early", "unrun", "pieces", "cut", "behind", "idle")
STATUS_LINE = re.compile(rb"HTTP/1\.1 [2-5]\d\d [\t -~\x80-\xff]*\Z")
FIELD = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t -~\x80-\xff]*\Z")


class OddUpstream(Upstream):
    played = collections.Counter()  # (moment, form)
    # Requests that were answered as they should be, on a connection on which
    # nothing else was written.
    innocent = set()

    def __init__(self, *args):
        super().__init__(*args)
        self.slots = 100
        self.odd_writers = set()

    async def write_odd(self, writer, moment, text):
        self.odd_writers.add(writer)
        if moment == "cut":
            writer.write(text[:self.rng.randrange(1, len(text))])
            await writer.drain()
            writer.close()
            return
        if moment == "idle":
            await asyncio.sleep(self.rng.uniform(0.0, 0.003))
        if moment == "pieces":
            at = self.rng.randrange(1, len(text))
            writer.write(text[:at])
            await asyncio.sleep(0.002)
            text = text[at:]
        writer.write(text)
        await writer.drain()

    async def serve_one(self, reader, writer):
        target, fields = await self.read_head(reader)
        request = fields.get("x-attempt-id", "")
        if target == HEALTH_PATH:
            return await self.reply_health(writer)
        moment, odd = "", self.rng.random() < ODD_SHARE
        if odd:
            moment = self.rng.choice(MOMENTS)
            form, text = self.rng.choice(
                list(malformed_answers(request, self.id)))
            OddUpstream.played[moment, form] += 1
        if moment == "early":
            await self.write_odd(writer, moment, text)
        await reader.readexactly(int(fields.get("content-length", "0")))
        if moment == "unrun":
            await self.write_odd(writer, moment, text)
            return True
        self.record.add_run(request, asyncio.get_running_loop().time(), self)
        await asyncio.sleep(self.rng.uniform(0.001, 0.006))
        if moment in ("answer", "pieces", "cut"):
            await self.write_odd(writer, moment, text)
            return moment != "cut"
        whole = dict(valid_answers(request, self.id))
        form = "plain"
        if self.rng.random() < VALID_SHARE:
            form = self.rng.choice(list(whole))
        if not odd and writer not in self.odd_writers:
            OddUpstream.innocent.add(request)
            OddUpstream.played["valid", form] += 1
        writer.write(whole[form])
        await writer.drain()
        if moment in ("behind", "idle"):
            await self.write_odd(writer, moment, text)
        return True


class StrictCaller(KeptCaller):
    malformed = []

    @staticmethod
    async def read(reader):
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head[:-4].split(b"\r\n")
        if STATUS_LINE.match(lines[0]) is None:
            StrictCaller.malformed.append(lines[0])
        StrictCaller.malformed += [line for line in lines[1:]
                                   if FIELD.match(line) is None]
        headers = {name.strip().lower().decode("latin-1"):
                   value.strip().decode("latin-1") for name, _, value in
                   (line.partition(b":") for line in lines[1:])}
        if headers.get("transfer-encoding") == "chunked":
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n"))[:-2], 16)
                part = await reader.readexactly(size + 2)
                if part[-2:] != b"\r\n":
                    StrictCaller.malformed.append(part[-2:])
                body += part[:-2]
                if size == 0:
                    break
        else:
            body = await reader.readexactly(int(headers["content-length"]))
        return Response(int(lines[0].split(b" ")[1]), body, headers, True)


async def send_all(caller):
    rng = random.Random(f"{SEED}-{caller.name}")
    for number in range(REQUESTS):
        await caller.send(number, rng.random() < 0.4)
    caller.close()


def check(results, runs):
    """Return lines on what is wrong."""
    wrong = [f"malformed: {line!r}" for line in StrictCaller.malformed]
    for request, unsafe, response in results:
        count = len(runs.get(request, ()))
        status = response.status if response is not None else 0
        if unsafe and count > 1:
            wrong.append(f"{request} ran {count} times")
        if unsafe and count and status in NOT_EXECUTED_STATUSES:
            wrong.append(f"{request} ran, answered {status}")
        if status == 200 and response.body != body_for(request, BODY_BYTES):
            wrong.append(f"{request}: another answer")
        if status not in (0, 200, 502, 503, 504):
            wrong.append(f"{request}: status {status}")
    return wrong


async def play(mesh):
    callers = [StrictCaller(entry, n) for entry in ENTRIES
               for n in range(CALLERS)]
    await asyncio.gather(*map(send_all, callers))
    results = [result for caller in callers for result in caller.results]
    wrong = check(results, mesh.record.runs)
    statuses = collections.Counter(
        0 if response is None else response.status
        for _, _, response in results)
    played = OddUpstream.played
    innocent = [response for request, _, response in results
                if request in OddUpstream.innocent]
    served = sum(response is not None and response.status == 200
                 for response in innocent) / max(len(innocent), 1)
    odd = sum(count for (moment, _), count in played.items()
              if moment != "valid")
    ended = [h.number for h in mesh.hosts if h.process.returncode is not None]
    print(f"{len(results)} requests, {odd} odd answers of {len(played)} kinds, "
          f"statuses {dict(statuses)}, {served:.4f} of the innocent served, "
          f"nodes ended: {ended}, {len(wrong)} wrong: {wrong[:5]}")
    return (not wrong and not ended and statuses[0] <= CUT_MAX and
            served >= SERVED_MIN and odd > len(results) / 8)


if __name__ == "__main__":
    mesh_module.Upstream = OddUpstream
    # Enough for a retry of each request.
    mesh_module.SETTINGS = mesh_module.SETTINGS.replace(
        "retry_allowance=40", "retry_allowance=90000")
    sys.exit(run_mesh_scenario(play, HOSTS))
