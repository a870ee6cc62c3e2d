"""A node dies mid-load: each request ends with a whole answer or an error
that says what is known."""

import time
import unittest

from bed_case import BedCase

KINDS = [
    ("GET", "schedule-desk", "size=2048&work_ms=10", 50),
    ("POST", "booking-ledger", "size=128&work_ms=10", 40),
    ("GET", "reel-vault", "size=2000000&chunk_ms=5", 10, 8000),
]

# 30 chunks of 64 KiB, 30 ms apart: 0.9 s. A node that dies before the head
# has passed leaves a GET that is rightly sent again, so nothing is cut.
IN_ANSWER_S = 0.3
DOWNLOADS = [("GET", "reel-vault", "size=1966080&chunk_ms=30", 1, 8000)]


class NodeKilled(BedCase):
    def test_kill_loses_no_answer_silently(self):
        bed = self.bed
        victim = next(
            n for n in bed.nodes if n.host.service == "booking-ledger")
        others = [n for n in bed.nodes if n is not victim]
        before = victim.version()
        load = self.start_load(150, 10, KINDS, nodes=others)
        time.sleep(3)
        victim.process.kill()
        time.sleep(2)
        victim.process.start()
        bed.wait_version(before, [victim])
        report = self.end_load(load)
        total = report["total"]
        self.assertEqual(total["no_answer"], 0)
        self.assertEqual(total["error"], 0)
        self.assertGreater(total["ok"], 0.9 * 1500)
        tail = report["per_second"][-2:]
        self.assertEqual([row["ok"] for row in tail], [150, 150])

    def test_kill_mid_download_shows(self):
        """The node beside a reel vault dies: a caller can see that its
        download broke off, and the others go on."""
        bed = self.bed
        victim = next(
            n for n in bed.nodes if n.host.service == "reel-vault")
        others = [n for n in bed.nodes if n is not victim]
        load = self.start_load(3, 8, DOWNLOADS, nodes=others)
        bed.wait_for("download at the victim", 4, lambda: bed.upstreams[
            bed.nodes.index(victim)].counts()["busy"] > 0)
        time.sleep(IN_ANSWER_S)
        victim.process.kill()
        report = self.end_load(load)
        total = report["total"]
        self.assertGreaterEqual(total["cut"], 1)
        self.assertEqual(total["no_answer"], 0)
        self.assertEqual(total["error"], 0)
        self.assertGreater(total["ok"], 0)
        self.assertEqual(report["per_second"][-1]["cut"], 0)


if __name__ == "__main__":
    unittest.main()
