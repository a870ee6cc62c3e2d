"""Stand-ins for the scripts of review/11 to review/15: the platform's store,
backends and clients, and nodes that run as processes, on loopback addresses.

Host N has the address 127.NET.N.1, on which its node and its backend listen.
"""

import asyncio
import base64
import json
import logging
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
# As deploy/system.toml starts a node, but for the path of the settings.
PROGRAM = ROOT / "target/trefoilhill-proxy/trefoilhill-proxy"
AUTHORITY = "shop.example"
SLOTS = 12
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2

# deploy/node.ini.template with the values of a machine of ekw-mesh.
SETTINGS = """[node]
host=sidecar-{zone}-{n}
zone={zone}
caller_listen={ip}:{callers}
mesh_listen={ip}:{mesh}
operator_listen={ip}:{ready}
grace_ms=6s
link_mbps=1000.0

[platform]
url=http://{store}

[upstream]
name=sidecar-{zone}-{n}
service={service}
address={ip}:{backend}

[guard]
cold_burst_factor=1.5
cold_allowance=5

[route]
retry_ratio=0.2
retry_window_ms=10s
retry_allowance=60

[mesh]
drain_ms=2000
readers_per_zone=2

[limits]
memory_mb=260
descriptors=4100
"""


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def head(line, fields):
    return (line + "\r\n" + "".join(f"{name}: {value}\r\n"
                                    for name, value in fields)
            + "\r\n").encode()


async def read_head(reader):
    """Return the start line and the fields, whose names are in lower case; None
    at the end of the connection."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(fields.get("content-length", 0)))
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if size == 0:
            return body


def reset(writer):
    """Close a connection with a TCP reset."""
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Store:
    """The platform's store, as far as it can be read."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 100
        self.changed = asyncio.Condition()
        self.server = None

    async def start(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port)

    async def put(self, key, value):
        async with self.changed:
            self.revision += 1
            known = self.items.get(key, {"created": self.revision})
            item = {"key": key, "revision": self.revision,
                    "created": known["created"], "lease": 0,
                    "value": base64.b64encode(
                        json.dumps(value).encode()).decode()}
            self.items[key] = item
            self.events.append(item)
            self.changed.notify_all()

    async def delete(self, key):
        async with self.changed:
            self.revision += 1
            self.items.pop(key, None)
            self.events.append({"key": key, "revision": self.revision,
                                "deleted": True})
            self.changed.notify_all()

    async def wait_for_events(self, prefix, after, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        async with self.changed:
            while True:
                events = [e for e in self.events if e["revision"] > after
                          and e["key"].startswith(prefix)]
                left_s = until - time.monotonic()
                if events or left_s <= 0:
                    return {"events": events, "at": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left_s)
                except asyncio.TimeoutError:
                    pass

    async def answer(self, target):
        url = urllib.parse.urlsplit(target)
        query = {name: values[0] for name, values in urllib.parse.parse_qs(
            url.query, keep_blank_values=True).items()}
        prefix = query.get("prefix", "")
        if url.path == "/kv-watch":
            return await self.wait_for_events(
                prefix, int(query["after"]), int(query["waitMs"]))
        after = query.get("after", "")
        return {"items": [self.items[key] for key in sorted(self.items)
                          if key.startswith(prefix) and key > after],
                "hasMore": False, "at": self.revision}

    async def serve(self, reader, writer):
        try:
            while (message := await read_head(reader)) is not None:
                body = json.dumps(
                    await self.answer(message[0].split(" ")[1])).encode()
                writer.write(head("HTTP/1.1 200 OK", [
                    ("Content-Type", "application/json"), ("Store-Era", 1),
                    ("Content-Length", len(body))]) + body)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.transport.abort()


class Backend:
    """A backend. work is called with it, the connection's reader and writer and
    a request's line and fields, and answers; it returns True to go on."""

    def __init__(self, rig, number, work):
        self.rig = rig
        self.number = number
        self.work = work
        self.id = f"i-{rig.net:02x}{number:06x}"
        self.sequence = 0
        self.born_ms = 0
        self.cold_until = 0.0
        self.server = None
        self.writers = set()

    async def start(self, born_ms=None):
        self.sequence = 0
        self.born_ms = born_ms or int(time.time() * 1000)
        self.server = await asyncio.start_server(
            self.serve, self.rig.ip(self.number), self.rig.ports["backend"])

    def crash(self):
        self.server.close()
        for writer in list(self.writers):
            reset(writer)

    def cold_ms(self):
        return max(0, int((self.cold_until - time.monotonic()) * 1000))

    async def register(self, state="ready"):
        """Report to the store. The report is accepted when this returns."""
        self.sequence += 1
        await self.rig.store.put(f"servers/{self.id}", {
            "address": f"{self.rig.ip(self.number)}:"
                       f"{self.rig.ports['backend']}",
            "born": self.born_ms,
            "info": {"service": self.rig.services[self.number - 1],
                     "zone": self.rig.zone(self.number), "version": "1",
                     "slots": SLOTS},
            "status": {"state": state, "seq": self.sequence,
                       "coldRemainingMs": self.cold_ms()}})

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_head(reader)) is not None:
                line, fields = message
                if line.startswith("GET /health "):
                    writer.write(head("HTTP/1.1 200 OK", [
                        ("X-Instance-Id", self.id),
                        ("X-Cold-Remaining", self.cold_ms()),
                        ("Content-Length", 0)]))
                elif fields.get("x-expected-instance", self.id) != self.id:
                    await read_body(reader, fields)
                    writer.write(head("HTTP/1.1 421 Misdirected Request", [
                        ("X-Attempt-Id", fields["x-attempt-id"]),
                        ("X-Instance-Id", self.id), ("Content-Length", 0)]))
                elif not await self.work(self, reader, writer, line, fields):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


class Rig:
    """Some hosts, each with a node and a backend, and the store."""

    def __init__(self, services, zones):
        self.services = services  # of each host, like zones
        self.zones = zones
        self.store = Store()
        self.processes = {}
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.started = time.monotonic()
        self.record = []
        self.choose_ports()

    def choose_ports(self):
        """Find ports that are free at all addresses."""
        names = ("callers", "mesh", "ready", "backend", "store")
        rng = random.Random()
        while True:
            self.net = rng.randrange(10, 250)
            base = rng.randrange(20000, 30000)
            self.ports = {n: base + i for i, n in enumerate(names)}
            held = []
            try:
                for number in range(len(self.services) + 1):
                    for port in self.ports.values():
                        held.append(socket.socket())
                        held[-1].bind((self.ip(number), port))
                return
            except OSError:
                continue
            finally:
                for each in held:
                    each.close()

    def note(self, text):
        self.record.append(f"{time.monotonic() - self.started:8.3f} {text}")

    def ip(self, number):
        return f"127.{self.net}.{number}.1"

    def zone(self, number):
        return self.zones[number - 1]

    def route(self, prefix, kind, service, timeout_ms):
        return {"host": AUTHORITY, "prefix": prefix, "kind": kind,
                "timeoutMs": timeout_ms, "targetLatencyMs": 400,
                "priority": 1, "maxAttempts": 2, "service": service}

    async def publish(self, version, routes):
        await self.store.put("op/config", {
            "version": version, "routes": routes,
            "services": {name: {"healthPath": "/health",
                                "maxConnections": 120, "coldStartS": 3.0,
                                "coldPerS": 26.0}
                         for name in sorted(set(self.services))},
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})

    async def start_store(self):
        await self.store.start(self.ip(0), self.ports["store"])

    async def start_node(self, number):
        path = self.directory / f"node-{number}.ini"
        path.write_text(SETTINGS.format(
            n=number, zone=self.zone(number), ip=self.ip(number),
            service=self.services[number - 1],
            callers=self.ports["callers"], mesh=self.ports["mesh"],
            ready=self.ports["ready"], backend=self.ports["backend"],
            store=f"{self.ip(0)}:{self.ports['store']}"))
        with open(self.directory / f"node-{number}.log", "ab") as log:
            self.processes[number] = await asyncio.create_subprocess_exec(
                str(PROGRAM), "--config", str(path), cwd=ROOT, stdout=log,
                stderr=log)

    async def wait_ready(self, number, limit_s=10.0):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(
                    self.ip(number), self.ports["ready"])
                writer.write(head("GET /ready HTTP/1.1", [("Host", "node")]))
                message = await asyncio.wait_for(read_head(reader), 1)
                writer.transport.abort()
                if message is not None and " 200 " in message[0]:
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError(f"node {number} isn't ready")

    async def connect(self, number):
        return await asyncio.open_connection(
            self.ip(number), self.ports["callers"])

    def signal(self, number, which):
        process = self.processes[number]
        if process.returncode is None:
            process.send_signal(which)

    async def stop(self):
        for number, process in self.processes.items():
            self.signal(number, signal.SIGCONT)
            self.signal(number, signal.SIGKILL)
            await process.wait()
        shutil.rmtree(self.directory, ignore_errors=True)


def main(folder, services, zones, play):
    """Run play with a rig and end the process. play returns a line on what it
    saw, and whether the rule was broken."""
    logging.disable(logging.CRITICAL)

    async def run():
        rig = Rig(services, zones)
        status = EXIT_NOT_RUN
        try:
            await rig.start_store()
            seen, broken = await play(rig)
            status = EXIT_BROKEN if broken else EXIT_HELD
        except (RuntimeError, OSError, asyncio.TimeoutError) as error:
            seen = f"could not run: {error!r}"
        finally:
            await rig.stop()
        rig.note(seen)
        rig.note({EXIT_HELD: "the rule held", EXIT_BROKEN:
                  "the rule was broken"}.get(status, "not run"))
        (pathlib.Path(folder) / "record.txt").write_text(
            "\n".join(rig.record) + "\n")
        print(seen)
        return status

    loop = asyncio.new_event_loop()
    status = loop.run_until_complete(run())
    sys.stdout.flush()
    os._exit(status)
