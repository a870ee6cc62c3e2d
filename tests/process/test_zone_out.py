"""An operator takes a zone out of service under load and brings it back."""

import time
import unittest

from mesh_test_case import MeshTestCase

ZONE_OUT_LIMIT_S = 3
RATE = 150
KINDS = [
    ("GET", "schedule-desk", "size=2048&work_ms=5", 60),
    ("POST", "booking-ledger", "size=128&work_ms=5", 30),
    ("GET", "reel-vault", "size=2000000&chunk_ms=20", 10, 10000),
]


class ZoneOut(MeshTestCase):
    def admitted(self, hosts):
        return sum(self.testbed.upstreams[i].counts()["admitted"]
                   for i in hosts)

    def assert_no_new_work(self, hosts, published):
        """No work begins at these hosts after ZONE_OUT_LIMIT_S."""
        time.sleep(max(0, published + ZONE_OUT_LIMIT_S - time.monotonic()))
        admitted_before = self.admitted(hosts)
        time.sleep(2)
        self.assertEqual(self.admitted(hosts), admitted_before)

    def test_zone_out_and_back(self):
        testbed = self.testbed
        zone = testbed.deployment.zones[1]
        hosts = testbed.host_indices_in_zone(zone)
        self.warm_up("reel-vault")
        load = self.start_load(RATE, 12, KINDS)
        time.sleep(1.5)
        admitted_before = self.admitted(hosts)
        time.sleep(0.5)
        self.assertGreater(self.admitted(hosts), admitted_before)
        testbed.set_zone(zone, "out")
        self.assert_no_new_work(hosts, time.monotonic())
        admitted_before = self.admitted(hosts)
        testbed.set_zone(zone, "in")
        testbed.wait_for("work in the zone again", 4,
                         lambda: self.admitted(hosts) > admitted_before)
        total = self.finish_and_check_load(load)["total"]
        for name in ("cut", "unknown", "no_answer", "error"):
            self.assertEqual(total[name], 0, name)
        self.assertGreater(total["ok"], 0.99 * RATE * 12)

    def test_zone_out_while_cut_off_from_platform(self):
        testbed = self.testbed
        zone = testbed.deployment.zones[2]
        hosts = testbed.host_indices_in_zone(zone)
        testbed.set_faults(cut=[testbed.hosts[i].name for i in hosts])
        load = self.start_load(RATE, 8, KINDS[:2])
        time.sleep(1.5)
        testbed.set_zone(zone, "out")
        self.assert_no_new_work(hosts, time.monotonic())
        total = self.finish_and_check_load(load)["total"]
        for name in ("cut", "unknown", "no_answer", "error"):
            self.assertEqual(total[name], 0, name)


if __name__ == "__main__":
    unittest.main()
