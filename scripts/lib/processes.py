"""Child processes of a test deployment, and HTTP requests to them."""

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


def _kill_with_parent():
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Process:
    """A child process with its output in a log file. Start it from the main
    thread: the kernel kills it when the thread that started it exits."""

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
                preexec_fn=_kill_with_parent,
            )

    @property
    def running(self):
        return self.child is not None and self.child.poll() is None

    def send_signal(self, number):
        if self.running:
            os.kill(self.child.pid, number)

    def kill(self):
        self.send_signal(signal.SIGKILL)
        if self.child is not None:
            self.child.wait()

    def suspend(self):
        self.send_signal(signal.SIGSTOP)

    def resume(self):
        self.send_signal(signal.SIGCONT)

    def terminate(self):
        self.send_signal(signal.SIGTERM)

    def wait(self, timeout_s):
        """Return the exit status, or None if the timeout expired."""
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
class HttpResponse:
    """An HTTP response; status 0 and an error if none was received."""

    status: int
    headers: dict
    body: bytes
    elapsed_s: float
    error: str = ""
    is_complete: bool = True

    def json(self):
        return json.loads(self.body)

    @property
    def outcome(self):
        return self.headers.get("trefoilhill-outcome", "")


def http_call(address, method, target, body=None, headers=None,
              timeout_s=HTTP_TIMEOUT_S):
    """Send one HTTP request on a new connection. Never raises: a failure is
    returned in the response's error."""
    started = time.monotonic()
    answer = HttpResponse(0, {}, b"", 0)
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, target, body=body, headers=headers or {})
        response = connection.getresponse()
        answer.status = response.status
        answer.headers = {k.lower(): v for k, v in response.getheaders()}
        answer.body = response.read()
    except http.client.IncompleteRead as error:
        answer.body = error.partial
        answer.is_complete = False
        answer.error = "cut"
    except (OSError, http.client.HTTPException) as error:
        answer.is_complete = False
        answer.error = repr(error)
    finally:
        connection.close()
    answer.elapsed_s = time.monotonic() - started
    return answer


def http_json(address, method, target, value=None, timeout_s=HTTP_TIMEOUT_S):
    """Return the decoded JSON body; raise RuntimeError on failure."""
    body = None if value is None else json.dumps(value).encode()
    answer = http_call(address, method, target, body=body,
                       timeout_s=timeout_s)
    if answer.status != 200 or not answer.is_complete:
        raise RuntimeError(
            f"{method} http://{address}{target}: status {answer.status} "
            f"{answer.error} {answer.body[:200]!r}")
    return answer.json()
