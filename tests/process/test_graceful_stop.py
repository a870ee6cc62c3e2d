"""A node that gets SIGTERM exits only after its requests in flight."""

import threading
import time
import unittest

from mesh_test_case import MeshTestCase

# 60 chunks of 64 KiB, 60 ms apart: more than 3 s.
DOWNLOAD = "size=3932160&chunk_ms=60"
DOWNLOAD_BYTES = 3932160


class GracefulStop(MeshTestCase):
    def download(self, entry, answers):
        answers.append(self.testbed.call(
            entry, "reel-vault", query=DOWNLOAD, timeout_s=20,
            headers={"Trefoilhill-Timeout-Ms": "15000"}))

    def test_sigterm_completes_download(self):
        testbed = self.testbed
        entry = next(
            n for n in testbed.nodes if n.host.service != "reel-vault")
        answers = []
        caller = threading.Thread(
            target=self.download, args=(entry, answers))
        caller.start()
        self.addCleanup(caller.join)
        serving = []

        def find_serving():
            serving[:] = [i for i, u in enumerate(testbed.upstreams)
                          if u.counts()["busy"] > 0]
            return serving

        testbed.wait_for("download begun", 3, find_serving)
        guard = testbed.nodes[serving[0]]
        leaving = [entry, guard]
        started = time.monotonic()
        for node in leaving:
            node.process.terminate()
        time.sleep(0.5)
        for node in leaving:
            self.assertTrue(node.process.running, node.host.name)
            refused = testbed.call(node, "schedule-desk")
            self.assertNotEqual(refused.status, 200, node.host.name)
        for node in leaving:
            self.assertEqual(node.process.wait(12), 0, node.host.name)
        caller.join()
        self.assertGreater(time.monotonic() - started, 2)
        self.assertEqual(answers[0].status, 200, answers[0].error)
        self.assertTrue(answers[0].is_complete, answers[0].error)
        self.assertEqual(len(answers[0].body), DOWNLOAD_BYTES)

    def test_stopped_node_gets_no_work(self):
        testbed = self.testbed
        load = self.start_load(100, 8, [
            ("GET", "schedule-desk", "size=512&work_ms=5", 1),
            ("POST", "booking-ledger", "size=64&work_ms=5", 1)],
            nodes=testbed.nodes[1:])
        time.sleep(1.5)
        testbed.nodes[0].process.terminate()
        self.assertEqual(testbed.nodes[0].process.wait(8), 0)
        admitted_before = testbed.upstreams[0].counts()["admitted"]
        time.sleep(2)
        self.assertEqual(testbed.upstreams[0].counts()["admitted"],
                         admitted_before)
        total = self.finish_and_check_load(load)["total"]
        self.assertEqual(total["ok"], 800)


if __name__ == "__main__":
    unittest.main()
