"""One zone loses the platform, the platform is stale, and a node dies."""

import threading
import time
import unittest

from bed_case import BedCase
import deployment as dep

VERSIONS_BEHIND = 50
LIMIT_S = 4
READY_S = 8
SAMPLE_EVERY_S = 0.05


class PlatformCut(BedCase):
    # Short watches: each node that reads meets the faults soon.
    overrides = {"platform": {"watch_ms": 500}}

    def setUp(self):
        super().setUp()
        self.highest = {node: 0 for node in self.bed.nodes}
        self.steps_back = []
        self.samples = 0
        self.stop = threading.Event()
        sampler = threading.Thread(target=self.sample)
        sampler.start()
        self.addCleanup(sampler.join)
        self.addCleanup(self.stop.set)

    def sample(self):
        """Note each step back of a node that serves."""
        while not self.stop.wait(SAMPLE_EVERY_S):
            for node in self.bed.nodes:
                version = self.serving_version(node)
                if version < 0:
                    continue
                self.samples += 1
                if version < self.highest[node]:
                    self.steps_back.append(
                        (node.host.name, self.highest[node], version))
                self.highest[node] = max(self.highest[node], version)

    @staticmethod
    def serving_version(node):
        try:
            status = node.status()
        except RuntimeError:
            return -1
        return status["version"] if status["state"] == "ready" else -1

    def publish_many(self, count):
        for i in range(count):
            revision = self.bed.publish(
                [dep.service_record("reel-vault", 3000 + i)])
        return revision

    def cut_zone(self):
        """Cut one zone off from the platform; return its nodes."""
        zone = self.bed.deployment.zones[1]
        nodes = [self.bed.nodes[i] for i in self.bed.in_zone(zone)]
        self.bed.set_faults(cut=[node.host.name for node in nodes])
        return nodes

    def kill_and_restart(self, node, floor):
        node.process.kill()
        node.process.start()
        self.bed.wait_for("the replaced node to serve", READY_S,
                          lambda: self.serving_version(node) >= 0)
        self.assertGreaterEqual(node.version(), floor)

    def assert_settled(self, revision):
        """All nodes get to the head in time, and none ever stepped back."""
        self.bed.wait_version(revision, timeout_s=LIMIT_S)
        self.assert_same_digest()
        self.stop.set()
        self.assertGreater(self.samples, len(self.bed.nodes))
        self.assertEqual(self.steps_back, [])

    def test_cut_zone_follows(self):
        self.cut_zone()
        for _ in range(10):
            self.bed.wait_version(self.publish_many(1), timeout_s=LIMIT_S)
        self.assert_settled(self.publish_many(5))

    def test_cut_and_stale_and_killed(self):
        bed = self.bed
        old = self.revision
        newest = self.publish_many(VERSIONS_BEHIND)
        bed.wait_version(newest)
        bed.set_faults(down=True)
        time.sleep(1)
        bed.set_faults(down=False, stale_at=old)
        cut = self.cut_zone()
        time.sleep(1)
        self.kill_and_restart(cut[0], newest)
        outside = next(node for node in bed.nodes if node not in cut)
        self.kill_and_restart(outside, newest)
        hidden = self.publish_many(3)
        for node in bed.nodes:
            self.assertGreaterEqual(node.version(), newest, node.host.name)
        bed.set_faults(stale_at=0, cut=[])
        self.assert_settled(hidden)


if __name__ == "__main__":
    unittest.main()
