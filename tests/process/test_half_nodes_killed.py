"""Half of the nodes are killed during a stream of changes and restart
together."""

import threading
import time
import unittest

from mesh_test_case import MeshTestCase
import deployment as dep

CHANGE_EVERY_S = 0.1
SAMPLE_EVERY_S = 0.05


class HalfNodesKilled(MeshTestCase):
    def publish_until(self, stop):
        change_number = 0
        while not stop.wait(CHANGE_EVERY_S):
            change_number += 1
            self.last = self.testbed.publish(
                [dep.service_record("reel-vault", 2000 + change_number)])

    def sample_versions_until(self, stop):
        """Record each node's highest version, and any version regression."""
        while not stop.wait(SAMPLE_EVERY_S):
            for node in self.testbed.nodes:
                version = node.version()
                if version < 0 or not node.process.running:
                    continue
                if version < self.highest_version[node]:
                    self.version_regressions.append(
                        (node.host.name, self.highest_version[node], version))
                self.highest_version[node] = max(
                    self.highest_version[node], version)

    def start_thread(self, stop, work):
        thread = threading.Thread(target=work, args=(stop,))
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(stop.set)
        return thread

    def serving_version(self, node):
        """Return the version of a node that is ready, else -1."""
        try:
            status = node.status()
        except RuntimeError:
            return -1
        return status["version"] if status["state"] == "ready" else -1

    def test_half_killed_under_changes(self):
        testbed = self.testbed
        self.last = self.revision
        self.highest_version = {node: self.revision for node in testbed.nodes}
        self.version_regressions = []
        stop = threading.Event()
        threads = [self.start_thread(stop, self.publish_until)]
        time.sleep(2)
        killed_nodes = testbed.nodes[::2]
        minimum_versions = {node: node.version() for node in killed_nodes}
        for node in killed_nodes:
            node.process.kill()
        time.sleep(1)
        for node in killed_nodes:
            node.process.start()
        for node in killed_nodes:
            testbed.wait_for(
                "node back", 8, lambda n=node: self.serving_version(n) >= 0)
            self.assertGreaterEqual(
                self.serving_version(node), minimum_versions[node],
                node.host.name)
        threads.append(self.start_thread(stop, self.sample_versions_until))
        time.sleep(3)
        stop.set()
        for thread in threads:
            thread.join()
        testbed.wait_version(self.last, timeout_s=4)
        self.assert_same_digest()
        self.assertEqual(self.version_regressions, [])


if __name__ == "__main__":
    unittest.main()
