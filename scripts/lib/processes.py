"""Processes that a bed starts, and HTTP calls to them."""

import ctypes
import dataclasses
import http.client
import json
import os
import signal
import subprocess
import time

PR_SET_PDEATHSIG = 1
HTTP_TIMEOUT_S = 5


def _die_with_parent():
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Process:
    """One child process; its output goes to a file. Start it from the main
    thread: it's killed when the thread that started it ends."""

    def __init__(self, name, command, log_path):
        self.name = name
        self.command = command
        self.log_path = log_path
        self.child = None

    def start(self):
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen(
                self.command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=_die_with_parent,
            )

    @property
    def running(self):
        return self.child is not None and self.child.poll() is None

    def send(self, number):
        if self.running:
            os.kill(self.child.pid, number)

    def kill(self):
        self.send(signal.SIGKILL)
        if self.child is not None:
            self.child.wait()

    def freeze(self):
        self.send(signal.SIGSTOP)

    def thaw(self):
        self.send(signal.SIGCONT)

    def terminate(self):
        self.send(signal.SIGTERM)

    def wait(self, timeout_s):
        """The exit status, or None when it still runs after the timeout."""
        try:
            return self.child.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def peak_rss_kib(self):
        with open(f"/proc/{self.child.pid}/status", encoding="ascii") as f:
            for line in f:
                if line.startswith("VmHWM:"):
                    return int(line.split()[1])
        return 0

    def log_tail(self, lines=20):
        with open(self.log_path, encoding="utf-8", errors="replace") as f:
            return "".join(f.readlines()[-lines:])


@dataclasses.dataclass
class Answer:
    """What a caller got: a status of 0 and an error when there was none."""

    status: int
    headers: dict
    body: bytes
    elapsed_s: float
    error: str = ""
    whole: bool = True

    def json(self):
        return json.loads(self.body)

    @property
    def outcome(self):
        return self.headers.get("trefoilhill-outcome", "")


def http_call(address, method, target, body=None, headers=None,
              timeout_s=HTTP_TIMEOUT_S):
    """One HTTP request over a connection of its own; never raises."""
    started = time.monotonic()
    answer = Answer(0, {}, b"", 0)
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, target, body=body, headers=headers or {})
        response = connection.getresponse()
        answer.status = response.status
        answer.headers = {k.lower(): v for k, v in response.getheaders()}
        answer.body = response.read()
    except http.client.IncompleteRead as error:
        answer.body = error.partial
        answer.whole = False
        answer.error = "cut"
    except (OSError, http.client.HTTPException) as error:
        answer.whole = False
        answer.error = repr(error)
    finally:
        connection.close()
    answer.elapsed_s = time.monotonic() - started
    return answer


def http_json(address, method, target, value=None, timeout_s=HTTP_TIMEOUT_S):
    """Call and decode a JSON answer; raise RuntimeError on anything else."""
    body = None if value is None else json.dumps(value).encode()
    answer = http_call(address, method, target, body=body,
                       timeout_s=timeout_s)
    if answer.status != 200 or not answer.whole:
        raise RuntimeError(
            f"{method} http://{address}{target}: status {answer.status} "
            f"{answer.error} {answer.body[:200]!r}")
    return answer.json()
