#!/usr/bin/env python3
"""Callers that send much and read nothing, or that only occupy.

Each case is a crowd of its own; crowd.py says what must hold beside it. The node
may refuse the crowd's requests and close its connections.

usage: test_crowd.py PROGRAM CASE
"""

import itertools
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

import crowd  # noqa: E402
import mesh as mesh_module  # noqa: E402
from mesh import CALLER_PORT, MESH_PORT, READY_PORT  # noqa: E402

BLOCK = 64 * 1024


class UnreadLog:
    """The write end of a pipe that is never read."""

    def __init__(self):
        self.read_end, self.write_end = os.pipe()

    def fileno(self):
        return self.write_end

    def close(self):
        os.close(self.write_end)


def repeated(request, count):
    """Return blocks that have a request count times."""
    each = min(count, max(1, BLOCK // len(request)))
    return [request * each] * (count // each)


def requests(port, target, members, count):
    request = f"GET {target} HTTP/1.1\r\nHost: shop.example\r\n\r\n".encode()
    return [(port, repeated(request, count))] * members


def head(target, method="GET", fields=""):
    return (f"{method} {target} HTTP/1.1\r\nHost: shop.example\r\n"
            f"{fields}").encode()


def unread_refusals():
    """Answers of the node's own to requests that have no route."""
    return requests(CALLER_PORT, "/", 4, 40000)


def unread_nodes():
    """The same where nodes call."""
    return requests(MESH_PORT, "/", 4, 40000)


def unread_ready():
    return requests(READY_PORT, "/ready", 8, 200000)


def unread_metrics():
    return requests(READY_PORT, "/metrics", 8, 4000)


def unread_scrapes():
    """The same at the listener of metrics."""
    return requests(crowd.METRICS_PORT, "/metrics", 8, 4000)


def unread_answers():
    """Answers of upstreams, on many connections."""
    return [(CALLER_PORT, [b"".join(
        head("/bulk/x", fields=f"X-Attempt-Id: u{member}-{number}\r\n"
                               f"X-Deadline: 3000\r\n\r\n")
        for number in range(12))]) for member in range(600)]


def unread_closed():
    """Answers behind which the connection is to be closed."""
    request = head("/metrics", fields="\r\n")
    last = head("/metrics", fields="Connection: close\r\n\r\n")
    return [(READY_PORT, repeated(request, 600) + [last])] * 40


def heads():
    """Heads without an end, on each listener."""
    return [(port, [head("/get/x", fields="A: " + "a" * size)])
            for port, size, members in ((CALLER_PORT, 15000, 500),
                                        (MESH_PORT, 60000, 400),
                                        (READY_PORT, 60000, 400))
            for _ in range(members)]


def bodies():
    """Bodies without an end that are kept until they are complete."""
    return [(CALLER_PORT, [head("/post/x", "POST",
                                f"X-Attempt-Id: b{member}\r\n"
                                "X-Deadline: 30000\r\n"
                                "Content-Length: 65000\r\n\r\n") +
             b"x" * 64000]) for member in range(800)]


def node_bodies():
    """Messages of nodes without an end."""
    return [(MESH_PORT, [head("/trefoilhill/heartbeat", "POST",
                              "Content-Length: 16000000\r\n\r\n")] +
             [b"x" * BLOCK] * 240)] * 6


def pending():
    """Requests behind one whose body has no end, and heads of the next."""
    return [(CALLER_PORT, [head("/get/x", fields=f"X-Attempt-Id: p{member}\r\n"
                                "X-Deadline: 30000\r\n"
                                "Connection: close\r\n\r\n"),
             b"x" * 250000]) for member in range(500)]


def idle_callers():
    return [(CALLER_PORT, [])] * 250


def idle_nodes():
    return [(MESH_PORT, [])] * 250


def idle_operators():
    return [(READY_PORT, [])] * 250


def idle_scrapers():
    return [(crowd.METRICS_PORT, [])] * 250


def idle_unlogged():
    """More callers than descriptors, while nobody reads the node's log."""
    return [(CALLER_PORT, [])] * 2500


def stay_idle():
    """Operators' connections that are never used, and some half used."""
    return ([(READY_PORT, [])] * 40 +
            [(READY_PORT, [head("/ready")])] * 40 +
            [(READY_PORT, [head("/ready", "POST",
                                "Content-Length: 99\r\n\r\n")])] * 40)


def idle_kept():
    """Connections that stay after an answer, on each listener."""
    return list(itertools.chain(*(
        requests(port, target, 90, 1)
        for port, target in ((CALLER_PORT, "/"), (MESH_PORT, "/"),
                             (READY_PORT, "/ready")))))


CASES = (unread_refusals, unread_nodes, unread_ready, unread_metrics,
         unread_scrapes, unread_answers, unread_closed, heads, bodies,
         node_bodies, pending, idle_callers, idle_nodes, idle_operators, idle_scrapers, idle_unlogged,
         idle_kept, stay_idle)

if __name__ == "__main__":
    case = {case.__name__: case for case in CASES}[sys.argv[2]]
    if case.__name__.startswith("idle"):
        crowd.DESCRIPTORS = 200
    if case is idle_unlogged:
        mesh_module.Host.open_log = lambda host: UnreadLog()
    mesh_module.SETTINGS += crowd.metrics_listener()
    mesh_module.SETTINGS += crowd.limits(case is stay_idle)
    mesh_module.prepare_node = crowd.prepare_node
    sys.exit(crowd.run(case(), case is stay_idle))
