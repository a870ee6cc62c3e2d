"""A node is killed under load: each request ends with a complete response or
an error that says whether the request ran."""

import time
import unittest

from mesh_test_case import MeshTestCase

KINDS = [
    ("GET", "schedule-desk", "size=2048&work_ms=10", 50),
    ("POST", "booking-ledger", "size=128&work_ms=10", 40),
    ("GET", "reel-vault", "size=2000000&chunk_ms=5", 10, 8000),
]

# 30 chunks of 64 KiB, 30 ms apart: 0.9 s. Killing the node before the response
# headers are forwarded would not cut the download: a GET may then be retried.
RESPONSE_STARTED_S = 0.3
DOWNLOADS = [("GET", "reel-vault", "size=1966080&chunk_ms=30", 1, 8000)]


class NodeKilled(MeshTestCase):
    def test_kill_loses_no_answer_silently(self):
        testbed = self.testbed
        killed_node = next(
            n for n in testbed.nodes if n.host.service == "booking-ledger")
        others = [n for n in testbed.nodes if n is not killed_node]
        before = killed_node.version()
        load = self.start_load(150, 10, KINDS, nodes=others)
        time.sleep(3)
        killed_node.process.kill()
        time.sleep(2)
        killed_node.process.start()
        testbed.wait_version(before, [killed_node])
        report = self.finish_and_check_load(load)
        total = report["total"]
        self.assertEqual(total["no_answer"], 0)
        self.assertEqual(total["error"], 0)
        self.assertGreater(total["ok"], 0.9 * 1500)
        last_seconds = report["per_second"][-2:]
        self.assertEqual([row["ok"] for row in last_seconds], [150, 150])

    def test_kill_during_download_is_detectable(self):
        """The node of a reel-vault upstream is killed: a caller can detect
        that its download was cut off, and other downloads continue."""
        testbed = self.testbed
        killed_node = next(
            n for n in testbed.nodes if n.host.service == "reel-vault")
        others = [n for n in testbed.nodes if n is not killed_node]
        load = self.start_load(3, 8, DOWNLOADS, nodes=others)
        testbed.wait_for(
            "download at the node to kill", 4, lambda: testbed.upstreams[
                testbed.nodes.index(killed_node)].counts()["busy"] > 0)
        time.sleep(RESPONSE_STARTED_S)
        killed_node.process.kill()
        report = self.finish_and_check_load(load)
        total = report["total"]
        self.assertGreaterEqual(total["cut"], 1)
        self.assertEqual(total["no_answer"], 0)
        self.assertEqual(total["error"], 0)
        self.assertGreater(total["ok"], 0)
        self.assertEqual(report["per_second"][-1]["cut"], 0)


if __name__ == "__main__":
    unittest.main()
