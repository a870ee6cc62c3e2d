"""A node is paused under load and wakes with facts of long ago."""

import time
import unittest

from bed_case import BedCase
import deployment as dep

KINDS = [
    ("GET", "schedule-desk", "size=2048&work_ms=10", 1),
    ("POST", "booking-ledger", "size=128&work_ms=10", 1),
]


class NodeFrozen(BedCase):
    def test_frozen_node_wakes_without_old_work(self):
        bed = self.bed
        frozen = next(
            n for n in bed.nodes if n.host.service == "booking-ledger")
        others = [n for n in bed.nodes if n is not frozen]
        load = self.start_load(150, 13, KINDS, nodes=others)
        time.sleep(2)
        frozen.process.freeze()
        time.sleep(1)
        revision = bed.publish([dep.service_record("reel-vault", 7000)])
        bed.wait_version(revision, others)
        time.sleep(4)
        frozen.process.thaw()
        bed.wait_version(revision, [frozen], timeout_s=4)
        report = self.end_load(load)
        self.assertEqual(report["total"]["no_answer"], 0)
        self.assertEqual(report["total"]["error"], 0)
        tail = report["per_second"][-2:]
        self.assertEqual([row["ok"] for row in tail], [150, 150])
        self.assert_same_digest()


if __name__ == "__main__":
    unittest.main()
