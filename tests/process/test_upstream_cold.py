"""Cold upstreams get no more requests than their reduced limit."""

import time
import unittest

from mesh_test_case import MeshTestCase

KINDS = [
    ("GET", "schedule-desk", "size=512&work_ms=10", 60),
    ("POST", "booking-ledger", "size=64&work_ms=10", 40),
]


class ColdUpstreams(MeshTestCase):
    upstream_args = ("--cold",)

    def test_whole_mesh_starts_cold(self):
        load = self.start_load(200, 8, KINDS)
        report = self.finish_and_check_load(load)
        overloads = [u.counts()["overloads"] for u in self.testbed.upstreams]
        self.assertEqual(sum(overloads), 0, overloads)
        self.assertEqual(report["total"]["error"], 0)
        last_seconds = report["per_second"][-2:]
        self.assertEqual([row["ok"] for row in last_seconds], [200, 200])

    def test_replaced_upstream_is_cold(self):
        testbed = self.testbed
        load = self.start_load(200, 10, KINDS)
        time.sleep(4)
        upstream = testbed.upstreams[0]
        upstream.process.kill()
        time.sleep(1)
        upstream.process.start()
        report = self.finish_and_check_load(load)
        overloads = [u.counts()["overloads"] for u in testbed.upstreams]
        self.assertEqual(sum(overloads), 0, overloads)
        self.assertGreater(upstream.counts()["admitted"], 0)
        self.assertEqual(report["total"]["no_answer"], 0)


class TurnedCold(MeshTestCase):
    def test_turned_cold_without_warning(self):
        """The health page falsely reports a warm upstream, so that only its
        responses show that it is cold. The one overload that causes the
        first such response is allowed."""
        testbed = self.testbed
        load = self.start_load(300, 12, KINDS)
        time.sleep(3)
        upstream = testbed.upstreams[0]
        upstream.set_state(cold=True, lie=True, cold_slowdown=3)
        report = self.finish_and_check_load(load)
        self.assertLessEqual(upstream.counts()["overloads"], 1)
        self.assertEqual(report["total"]["no_answer"], 0)
        last_seconds = report["per_second"][-2:]
        self.assertEqual([row["ok"] for row in last_seconds], [300, 300])


if __name__ == "__main__":
    unittest.main()
