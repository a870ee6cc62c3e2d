"""The platform is down, then answers as of long ago."""

import time
import unittest

from bed_case import BedCase
import deployment as dep

STALE_VERSIONS = 50


class PlatformOutage(BedCase):
    # Short watches: each node that reads meets the stale answers soon.
    overrides = {"platform": {"watch_ms": 500}}

    def publish_many(self, count):
        for i in range(count):
            revision = self.bed.publish(
                [dep.service_record("reel-vault", 2000 + i)])
        return revision

    def restart(self, node, floor):
        """Replace a node's process; it must come back at the floor."""
        node.process.kill()
        node.process.start()
        self.bed.wait_for("node ready", 8, lambda: self.state(node) == "ready")
        self.assertGreaterEqual(node.version(), floor)

    @staticmethod
    def state(node):
        try:
            return node.status()["state"]
        except RuntimeError:
            return "unreachable"

    def test_down_then_stale(self):
        bed = self.bed
        old = self.revision
        newest = self.publish_many(STALE_VERSIONS)
        bed.wait_version(newest)
        bed.set_faults(down=True)
        load = self.start_load(
            100, 12, [("GET", "schedule-desk", "size=512&work_ms=2", 1)],
            nodes=bed.nodes[2:])
        time.sleep(2)
        self.restart(bed.nodes[0], newest)
        bed.set_faults(down=False, stale_at=old)
        time.sleep(2)
        self.restart(bed.nodes[1], newest)
        for node in bed.nodes:
            self.assertGreaterEqual(node.version(), newest, node.host.name)
        bed.set_faults(stale_at=0)
        bed.wait_version(self.publish_many(1))
        self.assert_same_digest()
        total = self.end_load(load)["total"]
        self.assertEqual(total["no_answer"] + total["error"] + total["cut"], 0)
        self.assertGreaterEqual(total["ok"], 0.99 * 1200)


if __name__ == "__main__":
    unittest.main()
