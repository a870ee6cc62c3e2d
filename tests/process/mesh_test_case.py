"""Base class of the process tests: a deployment for each test, and the checks
that every run must pass."""

import os
import pathlib
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "scripts" / "lib"))

import deployment as dep  # noqa: E402
from mesh_testbed import MeshTestbed, wait_for_load_report  # noqa: E402

BUILD_DIR = os.environ.get("TREFOILHILL_BUILD", str(ROOT / "build"))

WARM_UP_RATE = 400
WARM_UP_S = 6
WARM_UP_WORK_MS = 100


class MeshTestCase(unittest.TestCase):
    """Starts one deployment, published and ready, before each test."""

    deployment = "reelkade"
    overrides = {}
    upstream_args = ()

    def setUp(self):
        testbed = MeshTestbed(self.deployment, BUILD_DIR, self.overrides,
                              self.upstream_args)
        testbed.keep_directory = "TREFOILHILL_KEEP_LOGS" in os.environ
        self.testbed = self.enterContext(testbed)
        self.revision = self.testbed.start()

    def start_load(self, rate, seconds, kinds, nodes=None, args=()):
        """Start a load generator; it is killed at the end of the test."""
        load = self.testbed.load(rate, seconds, kinds, nodes, args)
        self.addCleanup(load.wait)
        self.addCleanup(load.kill)
        self.addCleanup(load.stdout.close)
        return load

    def warm_up(self, service):
        """Raise the concurrency limits of a service's guards to the slots of
        their upstreams. A new guard assumes that its upstream is cold, and
        raises its limit only after requests have used the limit up."""
        self.finish_and_check_load(self.start_load(WARM_UP_RATE, WARM_UP_S, [
            ("GET", service, f"size=64&work_ms={WARM_UP_WORK_MS}", 1)]))
        limits = [node.status()["guard"]["limit"]
                  for node in self.testbed.nodes
                  if node.host.service == service]
        self.assertEqual(set(limits), {dep.UPSTREAM_SLOTS}, limits)

    def finish_and_check_load(self, load):
        """Wait for a load, make the checks of every run, return its report."""
        report = wait_for_load_report(load)
        total = report["total"]
        summary = {name: count for name, count in total.items()
                   if name != "latency_us"}
        print(f"load: {summary} audit: {report['audit']}", file=sys.stderr)
        self.assertEqual(total["wrong"], 0, summary)
        self.assertEqual(report["audit"]["double_runs"], 0)
        self.assertEqual(report["audit"]["false_not_runs"], 0)
        return report

    def assert_same_digest(self):
        digests = {node.status()["digest"] for node in self.testbed.nodes}
        self.assertEqual(len(digests), 1, digests)
