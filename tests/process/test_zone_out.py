"""Operators take a zone out under load and bring it back."""

import time
import unittest

from bed_case import BedCase

LIMIT_S = 3
RATE = 150
KINDS = [
    ("GET", "schedule-desk", "size=2048&work_ms=5", 60),
    ("POST", "booking-ledger", "size=128&work_ms=5", 30),
    ("GET", "reel-vault", "size=2000000&chunk_ms=20", 10, 10000),
]


class ZoneOut(BedCase):
    def admitted(self, hosts):
        return sum(self.bed.upstreams[i].counts()["admitted"] for i in hosts)

    def assert_leaves(self, hosts, published):
        """No work begins at these hosts later than LIMIT_S."""
        time.sleep(max(0, published + LIMIT_S - time.monotonic()))
        begun = self.admitted(hosts)
        time.sleep(2)
        self.assertEqual(self.admitted(hosts), begun)

    def test_zone_out_and_back(self):
        bed = self.bed
        zone = bed.deployment.zones[1]
        hosts = bed.in_zone(zone)
        self.warm_up("reel-vault")
        load = self.start_load(RATE, 12, KINDS)
        time.sleep(1.5)
        begun = self.admitted(hosts)
        time.sleep(0.5)
        self.assertGreater(self.admitted(hosts), begun)
        bed.set_zone(zone, "out")
        self.assert_leaves(hosts, time.monotonic())
        begun = self.admitted(hosts)
        bed.set_zone(zone, "in")
        bed.wait_for("work in the zone again", 4,
                     lambda: self.admitted(hosts) > begun)
        total = self.end_load(load)["total"]
        for name in ("cut", "unknown", "no_answer", "error"):
            self.assertEqual(total[name], 0, name)
        self.assertGreater(total["ok"], 0.99 * RATE * 12)

    def test_zone_cut_off_from_the_platform_leaves_too(self):
        bed = self.bed
        zone = bed.deployment.zones[2]
        hosts = bed.in_zone(zone)
        bed.set_faults(cut=[bed.hosts[i].name for i in hosts])
        load = self.start_load(RATE, 8, KINDS[:2])
        time.sleep(1.5)
        bed.set_zone(zone, "out")
        self.assert_leaves(hosts, time.monotonic())
        total = self.end_load(load)["total"]
        for name in ("cut", "unknown", "no_answer", "error"):
            self.assertEqual(total[name], 0, name)


if __name__ == "__main__":
    unittest.main()
