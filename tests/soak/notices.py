"""Checks what nodes do with what upstreams say of themselves in responses.

A node is bound by a response from the time that it has passed it on, as long as
its process runs without a pause; for a limit also as long as it isn't cut off.
"""

import asyncio

DRAIN_LIMIT_S = 2.0  # for new requests to a leaving upstream to end
LIMIT_KNOWN_S = 0.5  # after which a node's requests count
LIMIT_SETTLED_S = 3.0  # after the first response that names the limit
WINDOW_S = 4.0


class Notices:
    def __init__(self):
        self.sent = {}  # request: (host number, time)
        self.told_limit = {}  # (host number, upstream id): time
        self.told_leaving = {}
        self.limited = {}  # upstream id: [limit, named, ended, run times]
        self.failures = []

    @staticmethod
    def now():
        return asyncio.get_running_loop().time()

    def name_limit(self, upstream, limit_per_s):
        upstream.limit_per_s = limit_per_s
        self.limited[upstream.id] = [limit_per_s, None, None, []]

    def end_limit(self, upstream):
        upstream.limit_per_s = None
        self.limited[upstream.id][2] = self.now()

    def handle_response(self, host, response):
        """Called when a node has passed on a response."""
        id_ = response.headers.get("x-response-signature", "").split(".")[0]
        if "server-leaving" in response.headers:
            self.told_leaving.setdefault((host.number, id_), self.now())
        limited = self.limited.get(id_)
        if "server-limit" in response.headers and limited is not None:
            self.told_limit.setdefault((host.number, id_), self.now())
            limited[1] = limited[1] or self.now()

    def handle_run(self, request, upstream):
        """Called when an upstream begins a request."""
        number, sent = self.sent.get(request, (0, 0))
        told = self.told_leaving.get((number, upstream.id))
        if told is not None and sent > told + DRAIN_LIMIT_S:
            self.failures.append(
                f"{request}: reached {upstream.id} {sent - told:.2f} s after "
                f"node {number} knew that it leaves")
        told = self.told_limit.get((number, upstream.id))
        if told is not None and self.now() >= told + LIMIT_KNOWN_S:
            self.limited[upstream.id][3].append(self.now())

    def handle_cut(self, host):
        for key in [k for k in self.told_limit if k[0] == host.number]:
            del self.told_limit[key]

    def handle_restart(self, host):
        self.handle_cut(host)
        for key in [k for k in self.told_leaving if k[0] == host.number]:
            del self.told_leaving[key]

    def check_limits(self):
        """Append to failures the upstreams that got more than they take."""
        for id_, (limit, named, ended, runs) in self.limited.items():
            if named is None:
                continue
            allowed = 1.5 * limit * WINDOW_S + 5
            runs = [t for t in runs if t >= named + LIMIT_SETTLED_S and
                    (ended is None or t < ended)]
            most = max((sum(first <= t < first + WINDOW_S for t in runs)
                        for first in runs), default=0)
            if most > allowed:
                self.failures.append(
                    f"{id_}: {most} requests in {WINDOW_S:.0f} s, its limit "
                    f"of {limit} a second allows {allowed:.0f}")
