"""Runs a whole deployment as real processes on loopback addresses.

Each host has its own loopback address, selected at run time, so that several
deployments can run in parallel and no port is in the ephemeral port range.
"""

import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

import deployment as dep
from processes import Process, http_call, http_json

PLATFORM_PORT = 7100
SEEDS = 3
POLL_S = 0.01


class TestbedError(RuntimeError):
    """The deployment did not reach an expected state in time."""


def _free_ip_prefix():
    for _ in range(50):
        prefix = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        with socket.socket() as probe:
            try:
                probe.bind((f"{prefix}.1", PLATFORM_PORT))
                return prefix
            except OSError:
                continue
    raise TestbedError("no free loopback addresses")


class Upstream:
    """An upstream stand-in of the deployment."""

    def __init__(self, host, process):
        self.host = host
        self.process = process

    def counts(self):
        return http_json(self.host.address, "GET", "/standin/counts")

    def runs(self):
        return http_json(self.host.address, "GET", "/standin/runs")["runs"]

    def set_state(self, **state):
        http_json(self.host.address, "PUT", "/standin/state", state)


class Node:
    """A node of the deployment."""

    def __init__(self, host, process):
        self.host = host
        self.process = process

    def status(self):
        return http_json(self.host.operator, "GET", "/v1/status", timeout_s=2)

    def metrics(self):
        """Return metric values by name, with labels."""
        text = http_call(self.host.operator, "GET", "/v1/metrics").body
        rows = (line.rsplit(" ", 1) for line in text.decode().splitlines()
                if line and not line.startswith("#"))
        return {name: float(value) for name, value in rows}

    def events(self, after=0):
        text = http_call(
            self.host.operator, "GET", f"/v1/events?after={after}").body
        return [json.loads(line) for line in text.decode().splitlines()]

    def version(self):
        """Return the version in force, or -1 if the node does not answer."""
        try:
            return self.status()["version"]
        except (RuntimeError, ValueError, KeyError):
            return -1


class MeshTestbed:
    """A context manager; on exit it stops all processes that it started."""

    def __init__(self, deployment="reelkade", build_dir="build", overrides=None,
                 upstream_args=(), copies=1, with_upstreams=True):
        self.deployment = dep.DEPLOYMENTS[deployment]
        self.build = pathlib.Path(build_dir).resolve()
        self.prefix = _free_ip_prefix()
        self.platform_address = f"{self.prefix}.1:{PLATFORM_PORT}"
        self.hosts = dep.make_hosts(self.deployment, self.prefix, copies)
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="trefoilhill-"))
        self.keep_directory = False
        self.processes = []
        self.platform = self._process(
            "platform",
            [self._binary("standin-platform", "trefoilhill-standin-platform"),
             "--listen", self.platform_address, "--name", "platform"])
        self.upstreams = [self._upstream(h, upstream_args)
                          for h in self.hosts if with_upstreams]
        seeds = [host.mesh for host in self.hosts[:SEEDS]]
        self.nodes = [self._node(h, seeds, overrides or {})
                      for h in self.hosts]

    def _binary(self, directory, name):
        return str(self.build / directory / name)

    def _process(self, name, command):
        process = Process(name, command, self.directory / f"{name}.log")
        self.processes.append(process)
        return process

    def _upstream(self, host, args):
        command = [
            self._binary("standin-upstream", "trefoilhill-standin-upstream"),
            "--listen", host.address, "--name", host.upstream,
            "--slots", str(dep.UPSTREAM_SLOTS),
            "--connections", str(self.deployment.connections), *args]
        return Upstream(host, self._process(host.upstream, command))

    def _node(self, host, seeds, overrides):
        config = self.directory / f"{host.name}.ini"
        config.write_text(dep.node_settings(
            host, seeds, self.platform_address, self.deployment, overrides))
        return Node(host, self._process(
            host.name,
            [self._binary("trefoilhilld", "trefoilhilld"),
             "--config", str(config)]))

    def __enter__(self):
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
        try:
            self.start_standins()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, kind, *_):
        if kind is not None:
            self.keep_directory = True
        self.stop()

    def start_standins(self):
        """Start the platform and upstreams and wait until they answer."""
        self.platform.start()
        for upstream in self.upstreams:
            upstream.process.start()
        self.wait_for("stand-ins", 10, lambda: all(
            http_call(address, "GET", "/standin/counts").status == 200
            for address in [self.platform_address]
            + [u.host.address for u in self.upstreams]))

    def start_nodes(self):
        for node in self.nodes:
            node.process.start()

    def start(self):
        """Publish the configuration, start all nodes and wait until ready."""
        revision = self.publish(dep.all_records(self.deployment, self.hosts))
        self.set_host_list()
        self.start_nodes()
        self.wait_ready(revision)
        return revision

    def stop(self):
        """Stop all started processes by process id; kill those still running
        after 4 s."""
        for process in self.processes:
            process.resume()
            process.terminate()
        deadline = time.monotonic() + 4
        for process in self.processes:
            if process.running:
                process.wait(max(0.01, deadline - time.monotonic()))
            process.kill()
        if self.keep_directory:
            print(f"logs are kept in {self.directory}", file=sys.stderr)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)

    def wait_for(self, what, timeout_s, condition):
        """Wait until a condition is true; return the elapsed seconds."""
        started = time.monotonic()
        while not condition():
            if time.monotonic() - started > timeout_s:
                raise TestbedError(f"{what}: timed out after {timeout_s} s")
            time.sleep(POLL_S)
        return time.monotonic() - started

    def publish(self, records=(), remove=()):
        answer = http_json(self.platform_address, "POST", "/v1/publish",
                           {"set": list(records), "remove": list(remove)})
        return answer["revision"]

    def set_host_list(self, leaving=()):
        """Set the platform's list of live and leaving hosts."""
        http_json(self.platform_address, "PUT", "/standin/hosts", {"hosts": [
            {"name": h.name, "zone": h.zone, "node": h.mesh,
             "state": "leaving" if h.name in leaving else "live"}
            for h in self.hosts]})

    def set_faults(self, **faults):
        http_json(self.platform_address, "PUT", "/standin/faults", faults)

    def set_zone(self, zone, state):
        return self.publish([dep.zone_record(zone, state)])

    def platform_counts(self):
        return http_json(self.platform_address, "GET", "/standin/counts")

    def host_indices_in_zone(self, zone):
        """Return the indices of the hosts in a zone."""
        return [i for i, h in enumerate(self.hosts) if h.zone == zone]

    def wait_version(self, revision, nodes=None, timeout_s=10):
        """Wait until nodes have a version or a later one in force. Return the
        seconds until the last of them had it."""
        waiting = list(self.nodes if nodes is None else nodes)

        def none_left():
            waiting[:] = [n for n in waiting if n.version() < revision]
            return not waiting

        try:
            return self.wait_for(f"version {revision}", timeout_s, none_left)
        except TestbedError as error:
            late = ", ".join(f"{n.host.name} at {n.version()}" for n in waiting)
            raise TestbedError(f"{error}: {late}") from None

    def wait_ready(self, revision, timeout_s=15):
        self.wait_version(revision, timeout_s=timeout_s)
        return self.wait_for("all nodes ready", timeout_s, lambda: all(
            node.status()["state"] == "ready" for node in self.nodes))

    def call(self, node, service, method="GET", query="size=1024",
             request=None, timeout_s=5, headers=None):
        """Send a caller's request to a service through a node."""
        all_headers = {"Host": dep.authority(service), **(headers or {})}
        if request is not None:
            all_headers["Trefoilhill-Request"] = request
        return http_call(node.host.caller, method, f"/?{query}",
                         body=b"{}" if method == "POST" else None,
                         headers=all_headers, timeout_s=timeout_s)

    def load(self, rate, seconds, kinds, nodes=None, args=()):
        """Start trefoilhill-load; wait_for_load_report takes the result. kinds
        are tuples (method, service, query, weight[, timeout_ms])."""
        nodes = self.nodes if nodes is None else nodes
        command = [self._binary("trefoilhill-load", "trefoilhill-load"),
                   "--node", ",".join(n.host.caller for n in nodes),
                   "--upstream", ",".join(h.address for h in self.hosts),
                   "--rate", str(rate), "--duration", str(seconds),
                   "--json", "--per-second", *args]
        for method, service, query, *rest in kinds:
            fields = [method, dep.authority(service), f"/?{query}"]
            command += ["--request", ",".join(map(str, fields + rest))]
        return subprocess.Popen(command, stdout=subprocess.PIPE)


def wait_for_load_report(load):
    """Wait for the load generator to exit; return its report."""
    output, _ = load.communicate()
    if not output:
        raise TestbedError(f"trefoilhill-load exited with {load.returncode}")
    report = json.loads(output)
    report["exit"] = load.returncode
    return report


def source_root():
    return pathlib.Path(os.path.abspath(__file__)).parents[2]
