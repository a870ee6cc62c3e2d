"""SIGTERM ends a node only after the requests in flight."""

import threading
import time
import unittest

from bed_case import BedCase

# 60 chunks of 64 KiB, 60 ms apart: more than 3 s.
DOWNLOAD = "size=3932160&chunk_ms=60"
DOWNLOAD_BYTES = 3932160


class GracefulStop(BedCase):
    def download(self, entry, answers):
        answers.append(self.bed.call(
            entry, "reel-vault", query=DOWNLOAD, timeout_s=20,
            headers={"Trefoilhill-Timeout-Ms": "15000"}))

    def test_sigterm_cuts_off_no_download(self):
        bed = self.bed
        entry = next(n for n in bed.nodes if n.host.service != "reel-vault")
        answers = []
        caller = threading.Thread(
            target=self.download, args=(entry, answers))
        caller.start()
        self.addCleanup(caller.join)
        serving = []

        def find_serving():
            serving[:] = [i for i, u in enumerate(bed.upstreams)
                          if u.counts()["busy"] > 0]
            return serving

        bed.wait_for("download begun", 3, find_serving)
        guard = bed.nodes[serving[0]]
        leaving = [entry, guard]
        started = time.monotonic()
        for node in leaving:
            node.process.terminate()
        time.sleep(0.5)
        for node in leaving:
            self.assertTrue(node.process.running, node.host.name)
            refused = bed.call(node, "schedule-desk")
            self.assertNotEqual(refused.status, 200, node.host.name)
        for node in leaving:
            self.assertEqual(node.process.wait(12), 0, node.host.name)
        caller.join()
        self.assertGreater(time.monotonic() - started, 2)
        self.assertEqual(answers[0].status, 200, answers[0].error)
        self.assertTrue(answers[0].whole, answers[0].error)
        self.assertEqual(len(answers[0].body), DOWNLOAD_BYTES)

    def test_drained_node_gets_no_work(self):
        bed = self.bed
        load = self.start_load(100, 8, [
            ("GET", "schedule-desk", "size=512&work_ms=5", 1),
            ("POST", "booking-ledger", "size=64&work_ms=5", 1)],
            nodes=bed.nodes[1:])
        time.sleep(1.5)
        bed.nodes[0].process.terminate()
        self.assertEqual(bed.nodes[0].process.wait(8), 0)
        begun = bed.upstreams[0].counts()["admitted"]
        time.sleep(2)
        self.assertEqual(bed.upstreams[0].counts()["admitted"], begun)
        total = self.end_load(load)["total"]
        self.assertEqual(total["ok"], 800)


if __name__ == "__main__":
    unittest.main()
