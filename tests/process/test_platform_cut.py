"""A zone is cut off from the platform, the platform serves stale state, and
nodes are killed."""

import threading
import time
import unittest

from mesh_test_case import MeshTestCase
import deployment as dep

STALE_VERSIONS = 50
CONVERGENCE_LIMIT_S = 4
READY_LIMIT_S = 8
SAMPLE_EVERY_S = 0.05


class PlatformCut(MeshTestCase):
    # Short watches: each node that reads encounters the faults soon.
    overrides = {"platform": {"watch_ms": 500}}

    def setUp(self):
        super().setUp()
        self.highest_version = {node: 0 for node in self.testbed.nodes}
        self.version_regressions = []
        self.samples = 0
        self.stop = threading.Event()
        sampler = threading.Thread(target=self.sample_versions)
        sampler.start()
        self.addCleanup(sampler.join)
        self.addCleanup(self.stop.set)

    def sample_versions(self):
        """Record each version regression of a ready node."""
        while not self.stop.wait(SAMPLE_EVERY_S):
            for node in self.testbed.nodes:
                version = self.serving_version(node)
                if version < 0:
                    continue
                self.samples += 1
                if version < self.highest_version[node]:
                    self.version_regressions.append(
                        (node.host.name, self.highest_version[node], version))
                self.highest_version[node] = max(
                    self.highest_version[node], version)

    @staticmethod
    def serving_version(node):
        try:
            status = node.status()
        except RuntimeError:
            return -1
        return status["version"] if status["state"] == "ready" else -1

    def publish_many(self, count):
        for i in range(count):
            revision = self.testbed.publish(
                [dep.service_record("reel-vault", 3000 + i)])
        return revision

    def cut_zone(self):
        """Cut one zone off from the platform and return its nodes."""
        zone = self.testbed.deployment.zones[1]
        nodes = [self.testbed.nodes[i]
                 for i in self.testbed.host_indices_in_zone(zone)]
        self.testbed.set_faults(cut=[node.host.name for node in nodes])
        return nodes

    def kill_and_restart(self, node, minimum_version):
        node.process.kill()
        node.process.start()
        self.testbed.wait_for("restarted node ready", READY_LIMIT_S,
                              lambda: self.serving_version(node) >= 0)
        self.assertGreaterEqual(node.version(), minimum_version)

    def assert_converged(self, revision):
        """All nodes reach the revision in time, and none ever regressed."""
        self.testbed.wait_version(revision, timeout_s=CONVERGENCE_LIMIT_S)
        self.assert_same_digest()
        self.stop.set()
        self.assertGreater(self.samples, len(self.testbed.nodes))
        self.assertEqual(self.version_regressions, [])

    def test_cut_zone_follows(self):
        self.cut_zone()
        for _ in range(10):
            self.testbed.wait_version(self.publish_many(1),
                                      timeout_s=CONVERGENCE_LIMIT_S)
        self.assert_converged(self.publish_many(5))

    def test_cut_and_stale_and_killed(self):
        testbed = self.testbed
        stale_revision = self.revision
        newest_revision = self.publish_many(STALE_VERSIONS)
        testbed.wait_version(newest_revision)
        testbed.set_faults(down=True)
        time.sleep(1)
        testbed.set_faults(down=False, stale_at=stale_revision)
        cut = self.cut_zone()
        time.sleep(1)
        self.kill_and_restart(cut[0], newest_revision)
        outside = next(node for node in testbed.nodes if node not in cut)
        self.kill_and_restart(outside, newest_revision)
        latest_revision = self.publish_many(3)
        for node in testbed.nodes:
            self.assertGreaterEqual(
                node.version(), newest_revision, node.host.name)
        testbed.set_faults(stale_at=0, cut=[])
        self.assert_converged(latest_revision)


if __name__ == "__main__":
    unittest.main()
