"""Half of the nodes die under a stream of changes and come back at once."""

import threading
import time
import unittest

from bed_case import BedCase
import deployment as dep

CHANGE_EVERY_S = 0.1
SAMPLE_EVERY_S = 0.05


class HerdKilled(BedCase):
    def publish_until(self, stop):
        change = 0
        while not stop.wait(CHANGE_EVERY_S):
            change += 1
            self.last = self.bed.publish(
                [dep.service_record("reel-vault", 2000 + change)])

    def sample_until(self, stop):
        """Note each node's highest version, and any step back."""
        while not stop.wait(SAMPLE_EVERY_S):
            for node in self.bed.nodes:
                version = node.version()
                if version < 0 or not node.process.running:
                    continue
                if version < self.highest[node]:
                    self.steps_back.append(
                        (node.host.name, self.highest[node], version))
                self.highest[node] = max(self.highest[node], version)

    def run_until(self, stop, work):
        thread = threading.Thread(target=work, args=(stop,))
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(stop.set)
        return thread

    def serving_version(self, node):
        """The version of a node that serves, else -1."""
        try:
            status = node.status()
        except RuntimeError:
            return -1
        return status["version"] if status["state"] == "ready" else -1

    def test_half_killed_under_changes(self):
        bed = self.bed
        self.last = self.revision
        self.highest = {node: self.revision for node in bed.nodes}
        self.steps_back = []
        stop = threading.Event()
        threads = [self.run_until(stop, self.publish_until)]
        time.sleep(2)
        victims = bed.nodes[::2]
        floors = {node: node.version() for node in victims}
        for node in victims:
            node.process.kill()
        time.sleep(1)
        for node in victims:
            node.process.start()
        for node in victims:
            bed.wait_for(
                "node back", 8, lambda n=node: self.serving_version(n) >= 0)
            self.assertGreaterEqual(
                self.serving_version(node), floors[node], node.host.name)
        threads.append(self.run_until(stop, self.sample_until))
        time.sleep(3)
        stop.set()
        for thread in threads:
            thread.join()
        bed.wait_version(self.last, timeout_s=4)
        self.assert_same_digest()
        self.assertEqual(self.steps_back, [])


if __name__ == "__main__":
    unittest.main()
