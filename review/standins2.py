"""Stand-ins for the second review: store, backends, clients, deployment.

Everything listens on loopback addresses. Machine N has the address 127.X.N.1,
X is drawn for each run; ports are the same on all machines and are drawn until
they are free. Backends, clients and the store behave as PROTOCOL.md says and
are sound unless a case tells them otherwise.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parent
PROGRAM = ROOT / "target/trefoilhill-proxy/trefoilhill-proxy"
TEMPLATE = ROOT / "deploy/node.ini.template"
HEALTH = "/health"
HISTORY_S = 20           # historyS
PAGE_ITEMS = 500         # of kv-range
PAGE_BYTES = 1 << 20
VALUE_BYTES = 1048576    # valueBytes of the settings
# As in the settings of the site ekw-mesh.
BOUNDS = {"drainMs": 2000, "graceS": 6, "lossSlackMs": 200,
          "configApplyMs": 2000, "stableWindowMs": 3000,
          "retryBudgetRatio": 0.2, "retryWindowS": 10,
          "retryBudgetSlack": 60, "coldBurstFactor": 1.5, "coldSlack": 5}


class Unrunnable(Exception):
    """The case can't run here."""


class Record:
    """record.txt: what was sent, answered and run, by time."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def render(template, values):
    """Fill in a settings template as DEPLOY.md tells."""
    def find(name):
        value = values
        for part in name.split("."):
            if not isinstance(value, dict) or part not in value:
                return None
            value = value[part]
        return value

    def section(match):
        return match.group(2) if find(match.group(1)) else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section,
                  template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda m: "" if find(m.group(1)) is None
                  else str(find(m.group(1))), text)


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.events = []          # (revision, key, data), of HISTORY_S
        self.written = []         # when each of them was written
        self.forgotten = 1        # the last revision that is no longer there
        self.changed = asyncio.Event()
        self.server = None
        self.address = None

    async def start(self, host, port):
        self.address = f"{host}:{port}"
        self.server = await asyncio.start_server(self.serve, host, port)

    def put(self, key, value):
        """Write a value: bytes, or what is written as JSON; None deletes
        it."""
        self.revision += 1
        data = value if value is None or isinstance(value, bytes) \
            else json.dumps(value).encode()
        if data is None:
            self.items.pop(key, None)
        else:
            self.items[key] = (data, self.revision)
        self.events.append((self.revision, key, data))
        self.written.append(time.monotonic())
        while self.written[0] < time.monotonic() - HISTORY_S:
            self.forget()
        self.changed.set()
        self.changed = asyncio.Event()

    def forget(self):
        """Discard the oldest event."""
        self.forgotten = self.events.pop(0)[0]
        self.written.pop(0)

    @staticmethod
    def item(key, data, revision):
        if data is None:
            return {"key": key, "revision": revision, "deleted": True}
        return {"key": key, "value": base64.b64encode(data).decode(),
                "revision": revision, "created": revision, "lease": 0}

    async def answer(self, target):
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query,
                                            keep_blank_values=True))
        prefix = query.get("prefix", "")
        if parts.path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix) and
                          k > query.get("after", ""))
            page = []
            size = 0
            for key in keys[:PAGE_ITEMS]:
                size += len(self.items[key][0])
                if page and size > PAGE_BYTES:
                    break
                page.append(self.item(key, *self.items[key]))
            return 200, {"items": page, "hasMore": len(keys) > len(page),
                         "at": self.revision}
        if parts.path != "/kv-watch":
            return 404, {}
        after = int(query["after"])
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            while self.written and \
                    self.written[0] < time.monotonic() - HISTORY_S:
                self.forget()
            if after < self.forgotten:
                return 410, {}
            found = [e for e in self.events
                     if e[0] > after and e[1].startswith(prefix)]
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"events": [self.item(k, d, r)
                                        for r, k, d in found],
                             "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await asyncio.sleep(0.004)
                status, body = await self.answer(
                    head.split(b" ", 2)[1].decode())
                text = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status} OK\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()


def signature(instance, attempt, length):
    return f"{instance}.{attempt}.{length}"


def body_of(attempt, length):
    """The body of the response to an attempt, which no other one has."""
    unit = attempt.encode() + b"."
    return (unit * (length // len(unit) + 1))[:length]


class Backend:
    """One start of a backend."""

    def __init__(self, record, identity, service, host, port, zone):
        self.record = record
        self.id = identity
        self.service = service
        self.host = host
        self.port = port
        self.zone = zone
        self.slots = 12
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.runs = {}        # attempt id: number of runs
        self.work_s = lambda request: 0.07
        self.size = lambda request: 400
        self.server = None
        self.writers = set()
        self.running = 0
        self.beats = True

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host,
                                                 self.port)

    async def stop(self):
        """The process ends: its connections are reset."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    def entry(self):
        self.sequence += 1
        return {"address": f"{self.host}:{self.port}", "born": self.born,
                "info": {"service": self.service, "version": "v1",
                         "zone": self.zone, "slots": self.slots},
                "status": {"state": self.state, "seq": self.sequence,
                           "coldRemainingMs": 0}}

    async def read_request(self, reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        method, target, _ = lines[0].split(" ", 2)
        body = b""
        if "chunked" in fields.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += chunk[:-2]
        elif "content-length" in fields:
            body = await reader.readexactly(int(fields["content-length"]))
        return method, target, fields, body

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await self.read_request(reader)
                if not await self.answer(writer, *request):
                    break
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError,
                ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def send(self, writer, status, fields, body=b""):
        head = f"HTTP/1.1 {status} x\r\n" + "".join(
            f"{name}: {value}\r\n" for name, value in fields)
        writer.write(head.encode() + f"Content-Length: {len(body)}\r\n"
                     "Keep-Alive: timeout=10\r\n\r\n".encode() + body)
        await writer.drain()
        return True

    async def answer(self, writer, method, target, fields, body):
        attempt = fields.get("x-attempt-id", "")
        echo = [("X-Attempt-Id", attempt)] if attempt else []
        if target == HEALTH:
            return await self.send(writer, 200 if self.state == "ready"
                                   else 503, [("X-Instance-Id", self.id)])
        if fields.get("x-expected-instance", self.id) != self.id:
            return await self.send(writer, 421, echo +
                                   [("X-Instance-Id", self.id)])
        if not attempt:
            return await self.send(writer, 400, [("X-Not-Executed", "1")])
        if self.running >= self.slots:
            return await self.send(writer, 503, echo +
                                   [("X-Not-Executed", "1")])
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        self.record(f"backend {self.id} runs {attempt} "
                    f"({method} {target}, {len(body)} bytes)")
        self.running += 1
        try:
            await asyncio.sleep(self.work_s(attempt))
        finally:
            self.running -= 1
        data = body_of(attempt, self.size(attempt))
        await self.send(writer, 200, echo + [
            ("X-Response-Signature", signature(self.id, attempt, len(data)))],
            data)
        self.record(f"backend {self.id} has sent its answer to {attempt}, "
                    f"{len(data)} bytes")
        return True


class Machine:
    """A machine: one node and the address of one backend."""

    def __init__(self, mesh, number, zone, service):
        self.mesh = mesh
        self.number = number
        self.name = f"node-{number}"
        self.zone = zone
        self.service = service
        self.ip = f"127.{mesh.network}.{number}.1"
        self.process = None

    def settings(self):
        port = self.mesh.ports
        return render(TEMPLATE.read_text(), {
            "node": self.name, "zone": self.zone, "service": self.service,
            "appAddr": f"{self.ip}:{port['app']}",
            "listen": {"outbound": f"{self.ip}:{port['outbound']}",
                       "inbound": f"{self.ip}:{port['inbound']}",
                       "readinessAddr": f"{self.ip}:{port['ready']}"},
            "bounds": self.mesh.bounds,
            "limits": {"linkMbps": 1000},
            "platform": {"address": self.mesh.store.address}})

    async def start(self):
        path = self.mesh.directory / f"{self.name}.ini"
        path.write_text(self.settings())
        log = open(self.mesh.directory / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            str(self.mesh.program), "--config", str(path), stdout=log,
            stderr=log, cwd=str(ROOT))
        log.close()
        self.mesh.record(f"{self.name} is started, process "
                         f"{self.process.pid}")

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.is_running():
            self.process.send_signal(number)

    async def ask_ready(self):
        """The platform's question; True for 200."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                self.ip, self.mesh.ports["ready"]), 0.5)
        except (OSError, asyncio.TimeoutError):
            return False
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: node\r\n"
                         b"Connection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.5)
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.transport.abort()


class Mesh:
    """A small deployment: a store, machines, backends."""

    def __init__(self, record, machines, services, bounds=None):
        self.record = record
        self.program = pathlib.Path(os.environ.get("PROGRAM", PROGRAM))
        self.bounds = dict(BOUNDS, **(bounds or {}))
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.network = random.randrange(20, 240)
        self.ports = {}
        self.machines = []
        for number, (zone, service) in enumerate(machines, 1):
            self.machines.append(Machine(self, number, zone, service))
        self.services = services
        self.tasks = []

    def draw_ports(self):
        names = ("app", "outbound", "inbound", "ready")
        for _ in range(50):
            self.network = random.randrange(20, 240)
            for machine in self.machines:
                machine.ip = f"127.{self.network}.{machine.number}.1"
            base = random.randrange(21000, 31000, 8)
            sockets = []
            try:
                for machine in self.machines:
                    for offset in range(len(names)):
                        one = socket.socket()
                        sockets.append(one)
                        one.bind((machine.ip, base + offset))
                one = socket.socket()
                sockets.append(one)
                one.bind((f"127.{self.network}.250.1", base + 5))
                self.ports = {n: base + i for i, n in enumerate(names)}
                return
            except OSError:
                continue
            finally:
                for one in sockets:
                    one.close()
        raise Unrunnable("no free ports")

    async def start(self, routes, version="r5"):
        if not self.program.exists():
            raise Unrunnable(f"{self.program} is not built")
        self.draw_ports()
        await self.store.start(f"127.{self.network}.250.1",
                               self.ports["app"] + 5)
        self.publish(routes, version)

    def publish(self, routes, version):
        self.store.put("op/config", {
            "version": version, "routes": routes,
            "services": {name: {"healthPath": HEALTH, "maxConnections": 120,
                                "coldStartS": 3, "coldPerS": 26}
                         for name in self.services},
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 10000}})
        self.record(f"the operator has written version {version}")

    async def wait_ready(self, machines=None, limit_s=10):
        until = time.monotonic() + limit_s
        for machine in machines or self.machines:
            while not await machine.ask_ready():
                if time.monotonic() > until:
                    raise Unrunnable(f"{machine.name} isn't ready")
                await asyncio.sleep(0.05)

    def begin(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        return task

    def stop_beat(self, backend):
        """The backend writes no more."""
        backend.beats = False

    async def beat(self, backend, period_s=1.5):
        """Report a backend each heartbeat while it runs. The entry changes
        when more than its `seq` changes."""
        written = None
        while backend.server is not None and backend.beats:
            entry = backend.entry()
            if written != (backend.state, backend.born):
                written = (backend.state, backend.born)
                self.store.put(f"servers/{backend.id}", entry)
            await asyncio.sleep(period_s)

    async def stop(self):
        for _ in range(5):  # wait_for may lose a cancellation
            for task in self.tasks:
                task.cancel()
            if self.tasks and not (await asyncio.wait(
                    self.tasks, timeout=0.5))[1]:
                break
        for machine in self.machines:
            if machine.is_running():
                machine.signal(signal.SIGCONT)
                machine.signal(signal.SIGKILL)
                await machine.process.wait()
        if self.store.server is not None:
            self.store.server.close()
        if os.environ.get("KEEP"):
            print(self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


class Answer:
    """What a client has got for an attempt."""

    def __init__(self):
        self.status = 0          # 0: no status line
        self.fields = {}
        self.body = b""
        self.complete = False
        self.end = ""            # how the connection ended, if it did
        self.sent_at = 0.0
        self.ended_at = 0.0

    def __str__(self):
        return (f"status {self.status}, {len(self.body)} bytes, "
                f"{'complete' if self.complete else 'NOT COMPLETE'}"
                f"{', ' + self.end if self.end else ''}, after "
                f"{self.ended_at - self.sent_at:.3f} s")


async def ask(record, machine, request, deadline_s):
    """Send a request on a new connection and read the answer."""
    loop = asyncio.get_running_loop()
    answer = Answer()
    answer.sent_at = record.now()
    attempt = re.search(rb"X-Attempt-Id: (\S+)", request).group(1).decode()
    record(f"client of {machine.name} sends {attempt}, {len(request)} bytes")
    one = socket.socket()
    one.setblocking(False)
    data = b""
    length = None
    until = time.monotonic() + deadline_s
    try:
        await asyncio.wait_for(loop.sock_connect(
            one, (machine.ip, machine.mesh.ports["outbound"])), 1)
        await loop.sock_sendall(one, request)
        while not answer.complete:
            piece = await asyncio.wait_for(
                loop.sock_recv(one, 65536),
                max(until - time.monotonic(), 0.001))
            if not piece:
                answer.end = "closed"
                break
            data += piece
            if length is None and b"\r\n\r\n" in data:
                head, _, _ = data.partition(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                answer.status = int(lines[0].split(" ")[1])
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    answer.fields[name.lower()] = value.strip()
                length = int(answer.fields.get("content-length", -1))
                start = len(head) + 4
            answer.complete = length is not None and length >= 0 and \
                len(data) - start >= length
    except asyncio.TimeoutError:
        answer.end = "the client's deadline has passed"
    except ConnectionRefusedError:
        answer.end = "refused"
    except OSError as error:
        answer.end = f"reset ({error.strerror})"
    finally:
        one.close()
    if length is not None:
        answer.body = data[start:]
    answer.ended_at = record.now()
    record(f"client of {machine.name} has for {attempt}: {answer}")
    return answer


def request_text(method, path, host, attempt, deadline_ms, body=None,
                 fields=()):
    head = [f"{method} {path} HTTP/1.1", f"Host: {host}",
            f"X-Attempt-Id: {attempt}", f"X-Deadline: {deadline_ms}"]
    if body is not None:
        head.append(f"Content-Length: {len(body)}")
    head.extend(fields)
    return "\r\n".join(head).encode() + b"\r\n\r\n" + (body or b"")


def main(play):
    """Run a case: exit with 1 if the rule was broken, 0 if it held, 2 if the
    case couldn't run. TROUBLE=0 leaves the disruption out."""
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("with the disruption" if trouble else "without the disruption")
    try:
        broken = asyncio.run(asyncio.wait_for(play(record, trouble), 110))
    except (Unrunnable, OSError, asyncio.TimeoutError) as error:
        record(f"the case couldn't run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    record(f"the rule was broken: {broken}" if broken else "the rule held")
    print(broken or "the rule held")
    sys.exit(1 if broken else 0)
