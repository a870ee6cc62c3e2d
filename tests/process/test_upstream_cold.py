"""Cold upstreams get no more than they can bear."""

import time
import unittest

from bed_case import BedCase

KINDS = [
    ("GET", "schedule-desk", "size=512&work_ms=10", 60),
    ("POST", "booking-ledger", "size=64&work_ms=10", 40),
]


class FreshUpstreams(BedCase):
    upstream_args = ("--cold",)

    def test_whole_mesh_starts_cold(self):
        load = self.start_load(200, 8, KINDS)
        report = self.end_load(load)
        overloads = [u.counts()["overloads"] for u in self.bed.upstreams]
        self.assertEqual(sum(overloads), 0, overloads)
        self.assertEqual(report["total"]["error"], 0)
        tail = report["per_second"][-2:]
        self.assertEqual([row["ok"] for row in tail], [200, 200])

    def test_replaced_upstream_is_cold(self):
        bed = self.bed
        load = self.start_load(200, 10, KINDS)
        time.sleep(4)
        upstream = bed.upstreams[0]
        upstream.process.kill()
        time.sleep(1)
        upstream.process.start()
        report = self.end_load(load)
        overloads = [u.counts()["overloads"] for u in bed.upstreams]
        self.assertEqual(sum(overloads), 0, overloads)
        self.assertGreater(upstream.counts()["admitted"], 0)
        self.assertEqual(report["total"]["no_answer"], 0)


class TurnedCold(BedCase):
    def test_turned_cold_without_warning(self):
        """The health page lies. Only answers can tell that it turned cold,
        so the one overload that brings the first of them is allowed."""
        bed = self.bed
        load = self.start_load(300, 12, KINDS)
        time.sleep(3)
        upstream = bed.upstreams[0]
        upstream.set_state(cold=True, lie=True, cold_slowdown=3)
        report = self.end_load(load)
        self.assertLessEqual(upstream.counts()["overloads"], 1)
        self.assertEqual(report["total"]["no_answer"], 0)
        tail = report["per_second"][-2:]
        self.assertEqual([row["ok"] for row in tail], [300, 300])


if __name__ == "__main__":
    unittest.main()
