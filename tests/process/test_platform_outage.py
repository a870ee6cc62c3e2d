"""The platform is down, then serves stale state."""

import time
import unittest

from mesh_test_case import MeshTestCase
import deployment as dep

STALE_VERSIONS = 50


class PlatformOutage(MeshTestCase):
    # Short watches: each node that reads encounters the stale answers soon.
    overrides = {"platform": {"watch_ms": 500}}

    def publish_many(self, count):
        for i in range(count):
            revision = self.testbed.publish(
                [dep.service_record("reel-vault", 2000 + i)])
        return revision

    def restart(self, node, minimum_version):
        """Restart a node's process; it must return at the minimum version."""
        node.process.kill()
        node.process.start()
        self.testbed.wait_for(
            "node ready", 8, lambda: self.state(node) == "ready")
        self.assertGreaterEqual(node.version(), minimum_version)

    @staticmethod
    def state(node):
        try:
            return node.status()["state"]
        except RuntimeError:
            return "unreachable"

    def test_down_then_stale(self):
        testbed = self.testbed
        stale_revision = self.revision
        newest_revision = self.publish_many(STALE_VERSIONS)
        testbed.wait_version(newest_revision)
        testbed.set_faults(down=True)
        load = self.start_load(
            100, 12, [("GET", "schedule-desk", "size=512&work_ms=2", 1)],
            nodes=testbed.nodes[2:])
        time.sleep(2)
        self.restart(testbed.nodes[0], newest_revision)
        testbed.set_faults(down=False, stale_at=stale_revision)
        time.sleep(2)
        self.restart(testbed.nodes[1], newest_revision)
        for node in testbed.nodes:
            self.assertGreaterEqual(
                node.version(), newest_revision, node.host.name)
        testbed.set_faults(stale_at=0)
        testbed.wait_version(self.publish_many(1))
        self.assert_same_digest()
        total = self.finish_and_check_load(load)["total"]
        self.assertEqual(total["no_answer"] + total["error"] + total["cut"], 0)
        self.assertGreaterEqual(total["ok"], 0.99 * 1200)


if __name__ == "__main__":
    unittest.main()
