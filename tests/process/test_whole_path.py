"""Requests through every node, and publications that take effect."""

import sys
import unittest

from mesh_test_case import MeshTestCase
import deployment as dep

REEL_BYTES = 256 * 1024 * 1024
RSS_GROWTH_KIB = 64 * 1024


class EndToEnd(MeshTestCase):
    def test_every_service_through_every_node(self):
        load = self.start_load(150, 3, [
            ("GET", service, "size=3000&work_ms=2", 1)
            for service, _ in self.testbed.deployment.services]
            + [("POST", "booking-ledger", "size=20&work_ms=2", 1)])
        total = self.finish_and_check_load(load)["total"]
        self.assertEqual(total["ok"], 450)
        for node in self.testbed.nodes:
            for service, _ in self.testbed.deployment.services:
                answer = self.testbed.call(node, service)
                self.assertEqual(answer.status, 200, answer)
                served_by = answer.headers["x-standin-name"]
                self.assertTrue(served_by.startswith(service), served_by)

    def test_unknown_route_is_refused_as_not_run(self):
        answer = self.testbed.call(self.testbed.nodes[0], "no-such-service")
        self.assertEqual(answer.status, 404)
        self.assertEqual(answer.outcome, "not-run")
        self.assertIn("error", answer.json())

    def test_publications_are_atomic(self):
        testbed = self.testbed
        bad = testbed.publish([
            dep.service_record("extra"),
            dep.route_record("extra", "extra", "extra.example"),
            dep.route_record("broken", "missing", "broken.example")])
        good = testbed.publish([dep.route_record(
            "alias", "schedule-desk", "alias.example")])
        self.assertEqual(good, bad + 1)
        testbed.wait_version(good)
        self.assert_same_digest()
        for node in testbed.nodes:
            self.assertEqual(testbed.call(node, "alias").status, 200)
            for name in ("extra", "broken"):
                answer = testbed.call(node, name)
                self.assertEqual((answer.status, answer.outcome),
                                 (404, "not-run"))

    def test_download_keeps_memory_bounded(self):
        testbed = self.testbed
        entry = next(
            n for n in testbed.nodes if n.host.service != "reel-vault")
        before = {n: n.process.peak_rss_kib() for n in testbed.nodes}
        load = self.start_load(
            1, 1, [("GET", "reel-vault", f"size={REEL_BYTES}", 1, 20000)],
            nodes=[entry])
        self.assertEqual(self.finish_and_check_load(load)["total"]["ok"], 1)
        for node, rss_kib in before.items():
            peak_kib = node.process.peak_rss_kib()
            growth = peak_kib - rss_kib
            print(f"peak RSS of {node.host.name}: {rss_kib} KiB before, "
                  f"{peak_kib} KiB after", file=sys.stderr)
            self.assertLess(growth, RSS_GROWTH_KIB, node.host.name)


if __name__ == "__main__":
    unittest.main()
