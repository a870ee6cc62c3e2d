#!/usr/bin/env python3
"""Measure service quality while an availability zone is out of service.

Runs each policy under the same open-loop load, a fixed share of the total
capacity. Takes one zone out of service, returns it with its upstreams cold,
and prints a table per run. --json and --svg write the results and a plot.
"""

import argparse
import dataclasses
import json
import pathlib
import subprocess
import sys
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "scripts" / "lib"))

import deployment as dep  # noqa: E402
from mesh_testbed import MeshTestbed, wait_for_load_report  # noqa: E402
from zone_plot import write_svg  # noqa: E402

WARM_UP_S = 8  # load before the measurement starts
OUT_AT_S = 5
OUT_FOR_S = 20
AFTER_S = 20
NO_WORK_AFTER_S = 3
COLD_BEFORE_BACK_S = 1
LOAD_SHARE = 0.7
WORK_MS = 200
TIMEOUT_MS = 2000
POST_SHARE = 30  # percent
CAPACITY_FILL_S = 4
CAPACITY_S = 8

UNLIMITED = {"slots": 4096, "cold_limit": 4096, "queue_limit": 0,
             "connections": 4096}
POLICIES = {
    "round-robin": {"route": {"policy": "round-robin"}, "guard": UNLIMITED},
    "thin": {"route": {"policy": "thin"},
             "guard": {"cold_limit": dep.UPSTREAM_SLOTS}},
    "hinted": {"route": {"policy": "hinted"}},
}


@dataclasses.dataclass
class Plan:
    """Offered and sustainable load, in requests per second."""

    zone: str
    offered: float
    sustainable_out: float  # load that the other zones can serve
    kinds: list


def make_plan(deployment, hosts):
    """Offer each service a share of its own capacity; select the zone with the
    most upstreams to be taken out."""
    def upstreams(service, zone=None):
        return sum(h.service == service and h.zone != zone for h in hosts)

    per_upstream = dep.UPSTREAM_SLOTS / (WORK_MS / 1000)
    zone = max(deployment.zones,
               key=lambda z: sum(h.zone == z for h in hosts))
    kinds, offered, sustainable = [], 0, 0
    for service, _ in deployment.services:
        rate = LOAD_SHARE * per_upstream * upstreams(service)
        offered += rate
        sustainable += min(rate, per_upstream * upstreams(service, zone))
        for method, share in (("GET", 100 - POST_SHARE), ("POST", POST_SHARE)):
            kinds.append((method, service, f"size=512&work_ms={WORK_MS}",
                          upstreams(service) * share, TIMEOUT_MS))
    return Plan(zone, offered, sustainable, kinds)


def policy_settings(policy, changes):
    """Return the settings of a policy, overridden by SECTION.KEY=VALUE."""
    sections = {name: dict(keys) for name, keys in POLICIES[policy].items()}
    for change in changes:
        name, value = change.split("=", 1)
        section, key = name.split(".", 1)
        sections.setdefault(section, {})[key] = value
    return sections


def run_policy(deployment, policy, build, changes):
    """Run the load and the zone changes once; return the raw results."""
    overrides = policy_settings(policy, changes)
    with MeshTestbed(deployment, build, overrides=overrides) as testbed:
        testbed.start()
        plan = make_plan(testbed.deployment, testbed.hosts)
        zone = [testbed.upstreams[i]
                for i in testbed.host_indices_in_zone(plan.zone)]
        seconds = WARM_UP_S + OUT_AT_S + OUT_FOR_S + AFTER_S
        load = testbed.load(plan.offered, seconds, plan.kinds)
        started = time.monotonic()

        def sleep_until(second):
            time.sleep(max(0, started + WARM_UP_S + second - time.monotonic()))

        sleep_until(OUT_AT_S)
        testbed.set_zone(plan.zone, "out")
        out_at = time.time()
        sleep_until(OUT_AT_S + OUT_FOR_S - COLD_BEFORE_BACK_S)
        for upstream in zone:
            upstream.set_state(cold=True)
        sleep_until(OUT_AT_S + OUT_FOR_S)
        testbed.set_zone(plan.zone, "in")
        back_at = time.time()
        warm = WarmUpWatcher(zone, back_at, AFTER_S - 1)
        report = wait_for_load_report(load)
        warm.join()
        counts = [u.counts() for u in zone]
        metrics = [n.metrics() for n in testbed.nodes]
    return {"policy": policy, "plan": plan, "report": report,
            "out_at": out_at, "back_at": back_at, "warm_s": warm.seconds,
            "zone_counts": counts, "metrics": metrics}


class WarmUpWatcher(threading.Thread):
    """Measures the time from the zone's return until no upstream is cold."""

    def __init__(self, upstreams, back_at, timeout_s):
        super().__init__(daemon=True)
        self.upstreams = upstreams
        self.back_at = back_at
        self.timeout_s = timeout_s
        self.seconds = None
        self.start()

    def run(self):
        while time.time() - self.back_at < self.timeout_s:
            if not any(u.counts()["cold"] for u in self.upstreams):
                self.seconds = time.time() - self.back_at
                return
            time.sleep(0.1)


def measure_capacity(build):
    """Measure the throughput of one saturated upstream stand-in: call it
    directly at 125% of slots / work time, so that its queue is never empty."""
    ideal = dep.UPSTREAM_SLOTS / (WORK_MS / 1000)
    with MeshTestbed("reelkade", build) as testbed:
        testbed.start_standins()
        upstream = testbed.upstreams[0]
        load = subprocess.Popen(
            [str(pathlib.Path(build).resolve() / "trefoilhill-load"
                 / "trefoilhill-load"), "--direct",
             "--upstream", upstream.host.address,
             "--rate", str(1.25 * ideal),
             "--duration", str(CAPACITY_FILL_S + CAPACITY_S + 1),
             "--request", f"GET,,/?size=512&work_ms={WORK_MS},1"],
            stdout=subprocess.DEVNULL)
        time.sleep(CAPACITY_FILL_S)
        began, before = time.monotonic(), upstream.counts()["completed"]
        time.sleep(CAPACITY_S)
        after, ended = upstream.counts()["completed"], time.monotonic()
        load.wait()
    rate = (after - before) / (ended - began)
    print(f"one stand-in, called directly: {rate:.2f}/s, "
          f"{rate / ideal:.2%} of slots / work time")


def per_second_rows(run):
    """Return a row per measured second, from the load and zone upstreams."""
    zone = {}
    for counts in run["zone_counts"]:
        for second, begun, overloads, busy, capacity in counts["per_second"]:
            row = zone.setdefault(second, [0, 0, []])
            row[0] += begun
            row[1] += overloads
            row[2].append((busy, capacity))
    rows = []
    for row in run["report"]["per_second"][WARM_UP_S:]:
        begun, overloads, loads = zone.get(row["at"], [0, 0, []])
        rows.append({
            "second": row["second"] - WARM_UP_S, "good": row["ok"],
            "not_run": row["not_run"], "unknown": row["unknown"],
            "other": row["cut"] + row["wrong"] + row["error"]
            + row["no_answer"],
            "p50_ms": row["latency_us"]["p50"] / 1000,
            "p99_ms": row["latency_us"]["p99"] / 1000,
            "zone_begun": begun, "zone_overloads": overloads,
            "zone_busy": max((b for b, _ in loads), default=0),
            "zone_bears": min((b for _, b in loads), default=0)})
    return rows[:OUT_AT_S + OUT_FOR_S + AFTER_S]


def mean(rows, name):
    return sum(row[name] for row in rows) / max(len(rows), 1)


def recovery_s(rows, before, back):
    """Return the seconds from the zone's return to the first three seconds in
    a row whose mean good rate is at least 99% of that before, or None."""
    for second in range(back, len(rows) - 2):
        if mean(rows[second:second + 3], "good") >= 0.99 * before:
            return second - back
    return None


def summarize(run):
    rows = per_second_rows(run)
    plan, back = run["plan"], OUT_AT_S + OUT_FOR_S
    before = mean(rows[:OUT_AT_S - 1], "good")
    out = rows[OUT_AT_S + NO_WORK_AFTER_S:back - 1]
    late = [s for c in run["zone_counts"] for s, begun, *_ in c["per_second"]
            if begun and run["out_at"] + NO_WORK_AFTER_S < s
            and s + 1 < run["back_at"]]
    total, audit = run["report"]["total"], run["report"]["audit"]
    return {
        "policy": run["policy"], "zone": plan.zone, "offered": plan.offered,
        "carried_out": plan.sustainable_out, "rows": rows,
        "good_before": before, "good_out": mean(out, "good"),
        "good_out_share": mean(out, "good") / plan.sustainable_out,
        "late_work_seconds": len(late),
        "cold_overloads": sum(r["zone_overloads"] for r in rows[back - 1:]),
        "warm_after_s": run["warm_s"],
        "level_after_s": recovery_s(rows, before, back),
        "double_runs": audit["double_runs"],
        "false_not_runs": audit["false_not_runs"],
        "wrong": total["wrong"], "cut": total["cut"],
        "unknown": total["unknown"], "not_run": total["not_run"],
        "error": total["error"], "no_answer": total["no_answer"],
        "p99_before_ms": mean(rows[:OUT_AT_S - 1], "p99_ms"),
        "p99_out_ms": mean(out, "p99_ms"),
        "latency_late_us": run["report"]["late_us"],
        "refused": refusals(run["metrics"]),
    }


def refusals(metrics):
    """Return the sums over nodes of non-zero guard and choice counters."""
    total = {}
    for node in metrics:
        for name, value in node.items():
            if name.startswith(("trefoilhill_guard_", "trefoilhill_choice_")):
                total[name] = total.get(name, 0) + value
    return {name: value for name, value in sorted(total.items()) if value}


SUMMARY = (
    ("good_before", "good/s before", "{:.1f}"),
    ("good_out", "good/s out", "{:.1f}"),
    ("good_out_share", "share of sustainable", "{:.2%}"),
    ("late_work_seconds", "seconds with work after 3 s", "{}"),
    ("cold_overloads", "overloads on return", "{}"),
    ("warm_after_s", "warm after s", "{}"),
    ("level_after_s", "recovered after s", "{}"),
    ("double_runs", "double runs", "{}"),
    ("false_not_runs", "false not-runs", "{}"),
    ("wrong", "wrong", "{}"),
    ("cut", "cut", "{}"),
    ("unknown", "unknown", "{}"),
    ("error", "error", "{}"),
    ("no_answer", "no answer", "{}"),
    ("not_run", "not run", "{}"),
    ("p99_before_ms", "p99 ms before", "{:.0f}"),
    ("p99_out_ms", "p99 ms out", "{:.0f}"),
)


def print_tables(deployment, results, per_second):
    first = results[0]
    print(f"\n{deployment}: {first['offered']:.0f} requests/s offered, "
          f"{first['carried_out']:.0f}/s sustainable without "
          f"{first['zone']}\n")
    print("| |" + "|".join(r["policy"] for r in results) + "|")
    print("|---|" + "---|" * len(results))
    for key, title, form in SUMMARY:
        cells = [form.format(r[key]) if r[key] is not None else "never"
                 for r in results]
        print(f"|{title}|" + "|".join(cells) + "|")
    for result in results if per_second else ():
        print(f"\n{deployment}, {result['policy']}:")
        print("   s  good notrun unkn other   p50   p99 begun over busy/cap")
        for r in result["rows"]:
            print(f"{r['second']:4} {r['good']:5} {r['not_run']:6} "
                  f"{r['unknown']:4} {r['other']:5} {r['p50_ms']:5.0f} "
                  f"{r['p99_ms']:5.0f} {r['zone_begun']:5} "
                  f"{r['zone_overloads']:4} {r['zone_busy']:4}/"
                  f"{r['zone_bears']}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--deployment", action="append",
                        choices=sorted(dep.DEPLOYMENTS))
    parser.add_argument("--policy", action="append", choices=list(POLICIES))
    parser.add_argument("--set", action="append", default=[],
                        metavar="SECTION.KEY=VALUE")
    parser.add_argument("--per-second", action="store_true")
    parser.add_argument("--capacity", action="store_true",
                        help="only measure one stand-in, without nodes")
    parser.add_argument("--json")
    parser.add_argument("--svg")
    args = parser.parse_args()
    if args.capacity:
        measure_capacity(args.build)
        return
    all_results = {}
    for deployment in args.deployment or ["reelkade", "ekwueme"]:
        results = [summarize(run_policy(
            deployment, policy, args.build, args.set))
                   for policy in args.policy or POLICIES]
        print_tables(deployment, results, args.per_second)
        all_results[deployment] = results
    if args.json:
        pathlib.Path(args.json).write_text(json.dumps(all_results, indent=1))
    if args.svg:
        write_svg(args.svg, all_results, OUT_AT_S, OUT_AT_S + OUT_FOR_S)


if __name__ == "__main__":
    main()
