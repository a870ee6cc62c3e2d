"""A node is paused under load and resumes with outdated state."""

import time
import unittest

from mesh_test_case import MeshTestCase
import deployment as dep

KINDS = [
    ("GET", "schedule-desk", "size=2048&work_ms=10", 1),
    ("POST", "booking-ledger", "size=128&work_ms=10", 1),
]


class NodeFrozen(MeshTestCase):
    def test_resumed_node_catches_up(self):
        testbed = self.testbed
        frozen = next(
            n for n in testbed.nodes if n.host.service == "booking-ledger")
        others = [n for n in testbed.nodes if n is not frozen]
        load = self.start_load(150, 13, KINDS, nodes=others)
        time.sleep(2)
        frozen.process.suspend()
        time.sleep(1)
        revision = testbed.publish([dep.service_record("reel-vault", 7000)])
        testbed.wait_version(revision, others)
        time.sleep(4)
        frozen.process.resume()
        testbed.wait_version(revision, [frozen], timeout_s=4)
        report = self.finish_and_check_load(load)
        self.assertEqual(report["total"]["no_answer"], 0)
        self.assertEqual(report["total"]["error"], 0)
        last_seconds = report["per_second"][-2:]
        self.assertEqual([row["ok"] for row in last_seconds], [150, 150])
        self.assert_same_digest()


if __name__ == "__main__":
    unittest.main()
