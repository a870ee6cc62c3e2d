"""What the process tests share: a bed for each test, and the checks that
hold in every run."""

import os
import pathlib
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "scripts" / "lib"))

import deployment as dep  # noqa: E402
from mesh_bed import MeshBed, finish_load  # noqa: E402

BUILD_DIR = os.environ.get("TREFOILHILL_BUILD", str(ROOT / "build"))

WARM_UP_RATE = 400
WARM_UP_S = 6
WARM_UP_WORK_MS = 100


class BedCase(unittest.TestCase):
    """One deployment, published and ready, before each test."""

    deployment = "reelkade"
    overrides = {}
    upstream_args = ()

    def setUp(self):
        bed = MeshBed(self.deployment, BUILD_DIR, self.overrides,
                      self.upstream_args)
        bed.keep_directory = "TREFOILHILL_KEEP_LOGS" in os.environ
        self.bed = self.enterContext(bed)
        self.revision = self.bed.start()

    def start_load(self, rate, seconds, kinds, nodes=None, args=()):
        """Start a load that is ended with the test at the latest."""
        load = self.bed.load(rate, seconds, kinds, nodes, args)
        self.addCleanup(load.wait)
        self.addCleanup(load.kill)
        self.addCleanup(load.stdout.close)
        return load

    def warm_up(self, service):
        """Let the guards of a service learn what their upstreams bear: a new
        guard takes its upstream for cold, and allows more at once only after
        it has seen what it allows used up."""
        self.end_load(self.start_load(WARM_UP_RATE, WARM_UP_S, [
            ("GET", service, f"size=64&work_ms={WARM_UP_WORK_MS}", 1)]))
        limits = [node.status()["guard"]["limit"] for node in self.bed.nodes
                  if node.host.service == service]
        self.assertEqual(set(limits), {dep.UPSTREAM_SLOTS}, limits)

    def end_load(self, load):
        """The report of a load, after the checks that every run must pass."""
        report = finish_load(load)
        total = report["total"]
        summary = {name: count for name, count in total.items()
                   if name != "latency_us"}
        print(f"load: {summary} audit: {report['audit']}", file=sys.stderr)
        self.assertEqual(total["wrong"], 0, summary)
        self.assertEqual(report["audit"]["double_runs"], 0)
        self.assertEqual(report["audit"]["false_not_runs"], 0)
        return report

    def assert_same_digest(self):
        digests = {node.status()["digest"] for node in self.bed.nodes}
        self.assertEqual(len(digests), 1, digests)
