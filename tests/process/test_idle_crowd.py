"""Connections that stay idle leave others their turn at the daemon's listeners.

A crowd connects to the callers' listener of one node, or to its operators' one,
and sends nothing. An ordinary caller must still be answered, and an operator.
"""

import socket
import sys
import unittest

from mesh_test_case import MeshTestCase

CROWD = 120
TRIES = 5


def connect(address):
    host, _, port = address.partition(":")
    return socket.create_connection((host, int(port)), timeout=2)


class IdleCrowd(MeshTestCase):
    overrides = {"node": {"caller_threads": 32}}

    def is_answered(self, ask):
        for _ in range(TRIES):
            try:
                return ask()
            except (OSError, RuntimeError) as error:
                print(f"no answer: {error}", file=sys.stderr)
        return False

    def play(self, address):
        node = self.testbed.nodes[0]
        service = self.testbed.deployment.services[0][0]
        crowd = []
        try:
            for _ in range(CROWD):
                crowd.append(connect(address))
            self.assertTrue(self.is_answered(
                lambda: self.testbed.call(node, service).status == 200),
                "an ordinary caller")
            self.assertTrue(self.is_answered(
                lambda: bool(node.status())), "an operator")
        finally:
            for member in crowd:
                member.close()

    def test_callers(self):
        self.play(self.testbed.nodes[0].host.caller)

    def test_operators(self):
        self.play(self.testbed.nodes[0].host.operator)


if __name__ == "__main__":
    unittest.main()
