"""Stand-ins for the platform's store, backends and clients, and a small
deployment of real nodes on loopback addresses.

The nodes are started with the command of deploy/system.toml, with settings
made from deploy/node.ini.template.
"""

import asyncio
import base64
import collections
import json
import os
import pathlib
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEARTBEAT_MS = 1500
RESTART_DELAY_S = 0.5  # of a process that was killed or has exited
STABLE_WINDOW_S = 3.0
CLIENT_DELAY_S = 0.008  # one way, between a client and its machine
SEGMENT_BYTES = 16 * 1024  # of a body, that a client sends at once
HEALTH_PATH = "/health"
HOST = "jepu9.example"
IDLE_CLOSE_S = 10  # of a backend's connections
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 3000, "ackMs": 4000,
    "catchUpS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200,
    "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000,
    "retryBudgetRatio": 0.2, "retryWindowS": 10, "retryBudgetSlack": 60,
    "coldBurstFactor": 1.5, "coldSlack": 5, "evacuationMs": 5000,
    "recoveryS": 15}


def now():
    return asyncio.get_running_loop().time()


class Record:
    """What was sent, answered and run, as lines of record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begun = time.monotonic()
        self.runs = collections.defaultdict(list)  # id: (time, backend)
        self.sent = {}  # id: time
        self.changed = []  # ids of runs with another body than was sent

    def write(self, event, **fields):
        at = round(time.monotonic() - self.begun, 4)
        self.file.write(json.dumps({"at": at, "event": event, **fields}) +
                        "\n")

    def close(self):
        self.file.close()


class Store:
    """The platform's metadata store: kv-range and kv-watch."""

    PAGE = 50

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.items = {}  # key: (value, revision)
        self.events = []  # (revision, key, value; None: deleted)
        self.changed = asyncio.Event()
        self.server = None

    async def start(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port)

    def put(self, key, value):
        if value is None and key not in self.items:
            return
        data = None if value is None else json.dumps(value).encode()
        self.revision += 1
        if data is None:
            del self.items[key]
        else:
            self.items[key] = (data, self.revision)
        self.events.append((self.revision, key, data))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                status, body = await self.answer(
                    head.split(b" ", 2)[1].decode())
                text = json.dumps(body).encode()
                writer.write(f"HTTP/1.1 {status} x\r\nContent-Type: "
                             f"application/json\r\nContent-Length: "
                             f"{len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError,
                ConnectionError):
            pass
        finally:
            writer.transport.abort()

    async def answer(self, target):
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query,
                                            keep_blank_values=True))
        prefix = query.get("prefix", "")
        if parts.path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix) and
                          k > query.get("after", ""))
            page = keys[:self.PAGE]
            return 200, {"items": [self.item(k, *self.items[k])
                                   for k in page],
                         "hasMore": len(keys) > len(page),
                         "at": self.revision}
        if parts.path == "/kv-watch":
            return await self.watch(prefix, int(query["after"]),
                                    now() + int(query["waitMs"]) / 1000)
        return 404, {}

    @staticmethod
    def item(key, value, revision):
        if value is None:
            return {"key": key, "revision": revision, "deleted": True}
        return {"key": key, "value": base64.b64encode(value).decode(),
                "revision": revision, "created": revision, "lease": 0}

    async def watch(self, prefix, after, until):
        while True:
            found = [e for e in self.events
                     if e[0] > after and e[1].startswith(prefix)]
            if found or until <= now():
                return 200, {"events": [self.item(k, v, r)
                                        for r, k, v in found],
                             "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), until - now())
            except asyncio.TimeoutError:
                pass


class Message:
    """The head of a request or response."""

    def __init__(self, text):
        lines = text.decode("latin-1").split("\r\n")
        self.first = lines[0].split(" ", 2)
        self.fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            self.fields[name.lower()] = value.strip()

    def get(self, name, default=""):
        return self.fields.get(name, default)


async def read_body(reader, message):
    """Read a body with a length or in chunks."""
    if message.get("transfer-encoding") != "chunked":
        return await reader.readexactly(
            int(message.get("content-length", "0")))
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += (await reader.readexactly(size + 2))[:-2]
        if size == 0:
            return body


def body_of(request, size):
    """The bytes of a request's body, or of its answer: its own."""
    return ((request + ".").encode() * (size // (len(request) + 1) + 1))[:size]


class Backend:
    """One incarnation of a backend."""

    def __init__(self, deployment, name, service, machine):
        self.record = deployment.record
        self.deployment = deployment
        self.id = name
        self.service = service
        self.machine = machine
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.slots = 12
        self.queue = 48
        self.work_s = 0.09
        self.answer_bytes = 5000
        self.running = 0
        self.waiting = 0
        self.accepted = set()  # ids of requests that run or wait here
        self.cut = set()  # of those, the ones that a crash has ended
        self.shed_share = 0.0  # of requests rejected without a reason
        self.cold_until = 0.0
        self.crash_rate = 0  # requests a second that it crashes at, if cold
        self.arrivals = []  # (time, request), without what gets 421
        self.callers = []  # (request, X-Caller-Service) of each run
        self.server = None
        self.beat = None
        self.tasks = set()
        self.free = asyncio.Condition()

    async def start(self, registers=True):
        self.server = await asyncio.start_server(
            self.serve, self.machine.ip, self.machine.ports["app"])
        self.record.write("backend started", backend=self.id,
                          service=self.service, machine=self.machine.name)
        if registers:
            self.register()

    def register(self):
        self.write_entry()
        self.beat = asyncio.create_task(self.write_entries())

    async def write_entries(self):
        while True:
            await asyncio.sleep(HEARTBEAT_MS / 1000)
            self.write_entry()

    def cold_ms(self):
        return max(0, int((self.cold_until - now()) * 1000))

    def write_entry(self):
        self.sequence += 1
        self.deployment.store.put(f"servers/{self.id}", {
            "address": f"{self.machine.ip}:{self.machine.ports['app']}",
            "born": self.born,
            "info": {"service": self.service, "version": "v1",
                     "zone": self.machine.zone, "slots": self.slots},
            "status": {"state": self.state, "seq": self.sequence,
                       "coldRemainingMs": self.cold_ms()}})

    def crash(self):
        """End without a word. The store drops the entry after three
        heartbeat intervals of silence."""
        self.cut = set(self.accepted)
        self.record.write("backend crashed", backend=self.id,
                          running=self.running, cut=sorted(self.cut))
        if self.beat is not None:
            self.beat.cancel()
        if self.server is not None:
            self.server.close()
            self.server = None
        for task in list(self.tasks):
            task.cancel()
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_MS / 1000, self.deployment.store.put,
            f"servers/{self.id}", None)

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while await self.serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, asyncio.CancelledError,
                asyncio.TimeoutError, ConnectionError):
            pass
        finally:
            self.tasks.discard(task)
            writer.transport.abort()

    async def serve_one(self, reader, writer):
        message = Message(await asyncio.wait_for(
            reader.readuntil(b"\r\n\r\n"), IDLE_CLOSE_S))
        body = await read_body(reader, message)
        target = message.first[1]
        request = message.get("x-attempt-id")
        expected = message.get("x-expected-instance", self.id)
        if target == HEALTH_PATH:
            status = 200 if self.state == "ready" else 503
            return await self.reply(
                writer, status, "", b"", f"X-Instance-Id: {self.id}\r\n"
                f"X-Cold-Remaining: {self.cold_ms()}\r\n")
        if expected != self.id:
            self.record.write("misdirected", request=request, at_=self.id)
            return await self.reply(writer, 421, request, b"",
                                    f"X-Instance-Id: {self.id}\r\n")
        self.arrivals.append((now(), request))
        if self.crash_rate and self.cold_ms() > 0 and sum(
                t > now() - 1 for t, _ in self.arrivals) >= self.crash_rate:
            self.crash()
        if self.deployment.rng.random() < self.shed_share or \
                self.running + self.waiting >= self.slots + self.queue:
            self.record.write("rejected", request=request, backend=self.id,
                              body_bytes=len(body))
            return await self.reply(writer, 503, request, b"",
                                    "X-Not-Executed: 1\r\n")
        self.accepted.add(request)
        try:
            return await self.run(reader, writer, message, request, body)
        finally:
            self.accepted.discard(request)

    async def run(self, reader, writer, message, request, body):
        deadline = now() + int(message.get("x-deadline", "10000")) / 1000
        self.waiting += 1
        async with self.free:
            await self.free.wait_for(lambda: self.running < self.slots)
        self.waiting -= 1
        self.running += 1
        caller = message.get("x-caller-service")
        self.callers.append((request, caller))
        self.record.runs[request].append((now(), self.id))
        expected = self.deployment.bodies.get(request, body)
        if body != expected:
            self.record.changed.append(request)
        self.record.write("run", request=request, backend=self.id,
                          target=message.first[1], caller=caller,
                          body_bytes=len(body), as_sent=body == expected)
        if self.deployment.handle_run is not None:
            self.deployment.handle_run(request, message, self)
        try:
            await self.work(reader, min(deadline, now() + self.work_s))
        finally:
            self.running -= 1
            async with self.free:
                self.free.notify()
        if now() >= deadline:
            return await self.reply(writer, 504, request, b"", "")
        self.record.write("answered", request=request, backend=self.id)
        return await self.reply(writer, 200, request,
                                body_of(request, self.answer_bytes), "")

    async def work(self, reader, until):
        """Work until a time; stops if the connection ends."""
        while now() < until:
            if reader.at_eof():
                raise ConnectionError
            await asyncio.sleep(min(0.01, max(until - now(), 0)))

    async def reply(self, writer, status, request, body, fields):
        sign = "" if not request or "Not-Executed" in fields or \
            status == 421 else \
            f"X-Response-Signature: {self.id}.{request}\r\n"
        echo = f"X-Attempt-Id: {request}\r\n" if request else ""
        writer.write((f"HTTP/1.1 {status} x\r\nContent-Length: {len(body)}"
                      f"\r\n{echo}{sign}{fields}Keep-Alive: timeout="
                      f"{IDLE_CLOSE_S}\r\n\r\n").encode() + body)
        await writer.drain()
        return True


class Machine:
    """A machine with one node, and the address of its backend."""

    def __init__(self, deployment, number, zone, service):
        self.deployment = deployment
        self.name = f"sidecar-{zone}-{number}"
        self.zone = zone
        self.service = service
        self.ip = f"{deployment.net}.{number}"
        self.ports = deployment.ports
        self.process = None
        self.backend = None
        self.ends = []  # exit statuses of processes that ended by themselves
        self.expected_end = False
        self.task = None
        self.started = 0.0

    def settings(self):
        address = {name: f"{self.ip}:{port}"
                   for name, port in self.ports.items()}
        return {
            "node": self.name, "zone": self.zone, "service": self.service,
            "appAddr": address["app"],
            "listen": {"inbound": address["inbound"],
                       "outbound": address["outbound"],
                       "readinessAddr": address["ready"]},
            "limits": {"linkMbps": 1000.0}, "bounds": BOUNDS,
            "platform": {"address": self.deployment.store_address}}

    def write_settings(self):
        path = self.deployment.directory / f"{self.name}.ini"
        path.write_text(render(self.deployment.template, self.settings()))
        return path

    async def start(self):
        path = self.write_settings()
        words = [str(path) if word == "/etc/trefoilhill/settings.toml"
                 else word for word in self.deployment.command]
        log = open(self.deployment.directory / f"{self.name}.log", "ab")
        self.expected_end = False
        self.started = now()
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"],
                 "TREFOILHILL_SETTINGS": str(path)})
        log.close()
        self.deployment.record.write("node started", machine=self.name,
                                     service=self.service)
        self.task = asyncio.create_task(self.watch(self.process))

    async def watch(self, process):
        """Start the node again after a short delay when it has ended."""
        status = await process.wait()
        self.deployment.record.write(
            "node ended", machine=self.name, status=status,
            by_itself=not self.expected_end)
        if not self.expected_end:
            self.ends.append(status)
        await asyncio.sleep(0 if self.deployment.stopping else RESTART_DELAY_S)
        if not self.deployment.stopping:
            await self.start()

    def signal(self, number):
        self.expected_end = number in (signal.SIGKILL, signal.SIGTERM)
        self.deployment.record.write("signal", machine=self.name,
                                     number=int(number))
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            status, _ = await asyncio.wait_for(
                fetch(self.ip, self.ports["ready"], "/ready"), 1)
            return status == 200
        except (OSError, ValueError, asyncio.IncompleteReadError,
                asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit_s=10):
        until = now() + limit_s
        while not await self.is_ready():
            if now() > until:
                raise RuntimeError(f"{self.name} isn't ready")
            await asyncio.sleep(0.02)


async def fetch(ip, port, path):
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        message = Message(await reader.readuntil(b"\r\n\r\n"))
        return int(message.first[1]), message
    finally:
        writer.transport.abort()


def render(template, fields):
    """Fill in a settings template: values, and sections without lists."""
    def find(name):
        value = fields
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    template = re.sub(
        r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?",
        lambda m: m[2] if find(m[1]) else "", template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda m: "" if find(m[1]) is None else str(find(m[1])),
                  template)


class Deployment:
    """Nodes, backends and store. machines: pairs of zone and service."""

    def __init__(self, record, directory, machines, routes, seed=1):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["node"]
        self.record = record
        self.directory = pathlib.Path(directory)
        self.command = role["run"].split()
        self.template = (ROOT / role["template"]).read_text()
        self.rng = random.Random(seed)
        self.stopping = False
        self.store = Store(record)
        self.net, self.ports = free_addresses(len(machines))
        self.store_address = f"{self.net}.250:{self.ports['store']}"
        self.machines = [Machine(self, i + 1, zone, service)
                         for i, (zone, service) in enumerate(machines)]
        self.services = sorted({service for _, service in machines})
        self.routes = routes
        self.version = 0
        self.started = 0
        self.backends = []
        self.clients = []
        self.bodies = {}  # of requests, by id
        self.handle_run = None  # called with (request, message, backend)

    def new_backend(self, machine, service=None):
        self.started += 1
        backend = Backend(self, f"i-{self.started:04x}",
                          service or machine.service, machine)
        machine.backend = backend
        self.backends.append(backend)
        return backend

    def publish(self):
        self.version += 3
        self.store.put("op/config", {
            "version": f"r{self.version}", "routes": self.routes,
            "services": {name: {
                "healthPath": HEALTH_PATH, "maxConnections": 120,
                "protocol": "h1", "tls": False, "coldStartS": 3.0,
                "coldPerS": 26.0} for name in self.services},
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})

    async def start(self):
        await self.store.start(f"{self.net}.250", self.ports["store"])
        self.publish()
        for machine in self.machines:
            await self.new_backend(machine).start()
        for machine in self.machines:
            await machine.start()
        for machine in self.machines:
            await machine.wait_ready()
        # From here on all machines are in touch.
        await asyncio.sleep(STABLE_WINDOW_S + 1.5)

    async def stop(self):
        """End all processes that this deployment started."""
        self.stopping = True
        for machine in self.machines:
            # A node that was just being started again has another task.
            while machine.task is not None and not machine.task.done():
                if machine.process.returncode is None:
                    machine.expected_end = True
                    machine.process.kill()
                await asyncio.wait([machine.task], timeout=1)
        for client in self.clients:
            client.close()
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
        await asyncio.sleep(0.1)


def free_addresses(count):
    """Return a loopback network and ports that are free on its addresses."""
    names = ("app", "ready", "inbound", "outbound", "store")
    rng = random.Random()
    for _ in range(50):
        net = f"127.{rng.randrange(10, 250)}.{rng.randrange(1, 250)}"
        base = rng.randrange(7000, 30000, 8)
        ports = {name: base + i for i, name in enumerate(names)}
        if all(is_free(f"{net}.{n}", port) for n in (*range(1, count + 1), 250)
               for port in ports.values()):
            return net, ports
    raise RuntimeError("no free addresses")


def is_free(ip, port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


class Answer:
    def __init__(self, status=0, body=b"", message=None, failure=""):
        self.status = status
        self.body = body
        self.message = message
        self.failure = failure  # of the connection; empty: complete


class Client:
    """A client of a machine, which keeps its connection."""

    number = 0

    def __init__(self, deployment, machine):
        self.deployment = deployment
        self.machine = machine
        self.reader = self.writer = None
        self.used = 0  # requests on this connection
        deployment.clients.append(self)

    @classmethod
    def next_id(cls):
        cls.number += 1
        return f"{cls.number:016x}"

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.machine.ip,
                                    self.machine.ports["outbound"]), 1)
        self.used = 0

    async def send(self, method, path, body=b"", deadline_ms=2000,
                   request=None):
        """Send one client attempt; return (id, answer, kept)."""
        request = request or self.next_id()
        record = self.deployment.record
        answer = Answer()
        try:
            if self.writer is None:
                await self.connect()
        except (OSError, asyncio.TimeoutError) as error:
            return request, Answer(failure=f"connect: {error!r}"), False
        kept = self.used > 0
        self.used += 1
        record.sent[request] = now()
        self.deployment.bodies[request] = body
        record.write("sent", request=request, machine=self.machine.name,
                     method=method, path=path, body_bytes=len(body),
                     kept=kept)
        try:
            self.writer.write(
                (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                 f"X-Attempt-Id: {request}\r\nX-Deadline: {deadline_ms}\r\n"
                 f"Content-Length: {len(body)}\r\n\r\n").encode())
            for start in range(0, len(body), SEGMENT_BYTES):
                if start > 0:
                    await asyncio.sleep(CLIENT_DELAY_S)
                self.writer.write(body[start:start + SEGMENT_BYTES])
            answer = await asyncio.wait_for(self.read(),
                                            deadline_ms / 1000 + 0.5)
        except asyncio.TimeoutError:
            answer = Answer(failure="no answer by the deadline")
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            answer = Answer(failure=f"connection ended: {error!r}")
        record.write("answer", request=request, status=answer.status,
                     bytes=len(answer.body), failure=answer.failure)
        if answer.failure or \
                answer.message.get("connection").lower() == "close":
            self.close()
        return request, answer, kept

    async def read(self):
        message = Message(await self.reader.readuntil(b"\r\n\r\n"))
        body = await read_body(self.reader, message)
        return Answer(int(message.first[1]), body, message)


def route(prefix, kind, service, timeout_ms=1000, priority=2, **more):
    return {"host": HOST, "prefix": prefix, "kind": kind,
            "timeoutMs": timeout_ms, "targetLatencyMs": 300,
            "priority": priority, "service": service, "maxAttempts": 2,
            **more}


def main(play, machines, routes):
    """Play a case: a coroutine of (deployment, trouble) that returns whether
    the rule held. Return the exit status, 2 if the case could not run."""
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run(record, directory):
        # The processes are ended also when the case itself is.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel)
        deployment = Deployment(record, directory, machines, routes)
        try:
            async with asyncio.timeout(110):
                await deployment.start()
                return await play(deployment, trouble)
        finally:
            await deployment.stop()

    record = Record(folder / "record.txt")
    try:
        with tempfile.TemporaryDirectory() as directory:
            held = asyncio.run(run(record, directory))
    except (Exception, asyncio.CancelledError) as error:
        record.write("could not run", error=repr(error))
        print(f"could not run: {error!r}")
        return 2
    finally:
        record.close()
    print("the rule held" if held else "the rule was broken")
    return 0 if held else 1
