"""Measures the latency that the relay adds to a call, compared in one run with direct calls of an executor.

Prints one line per figure: `relay METRIC VALUE UNIT BOUND held|short`.
"""

import argparse
import json
import os
import shutil
import sys
import tempfile

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from fleet import Fleet, Process  # noqa: E402

ADDED_MEDIAN_MS = 1.0
ADDED_P99_MS = 5.0
LATENCY_RATE = 2000
THROUGHPUT_RATE = 5000
SECONDS = 10
CLASS = {"name": "bench", "idempotent": True, "deadline_ms": 5000, "body_bytes": 300}


def run_load(fleet, name, servers, key, rate):
    """Sends load and returns (answers per second, p50 in ms, p99 in ms, refusals by kind)."""
    plan = {
        "servers": servers,
        "rate": rate,
        "seconds": SECONDS,
        "accounts": [{"name": "bench", "key": key}],
        "classes": [CLASS],
    }
    plan_path = os.path.join(fleet.folder, f"{name}.plan.json")
    report_path = os.path.join(fleet.folder, f"{name}.report.json")
    with open(plan_path, "w", encoding="utf-8") as out:
        json.dump(plan, out)
    command = [os.path.join(fleet.build, "standin-caller"), "--plan", plan_path, "--report", report_path]
    load = Process(name, command, os.path.join(fleet.folder, f"{name}.log"))
    load.start()
    load.popen.wait(SECONDS + 60)
    with open(report_path, encoding="utf-8") as source:
        report = json.load(source)
    row = report["rows"][0]
    return row["answered"] / SECONDS, row["p50_ms"], row["p99_ms"], report["kinds"]


def print_figure(metric, value, unit, bound, held):
    print(f"relay {metric} {value:.3f} {unit} {bound} {'held' if held else 'short'}")
    return held


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    options = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="teasel-bench-")
    fleet = Fleet(options.build, folder, executors=24, workers=0, entries=[3], settings={"service_ms": 5})
    held = True
    try:
        fleet.start()
        fleet.wait_serving()
        fleet.wait_endpoints()
        fleet.put_class("bench", 0, True, 5000)
        key = fleet.create_team("bench", 1, request_limit=192)[1]
        servers = [it["http"] for it in fleet.entries]
        run_load(fleet, "warm", servers, key, 500)
        direct = run_load(fleet, "direct", fleet.executor_addresses[:1], key, LATENCY_RATE)
        relayed = run_load(fleet, "relayed", servers, key, LATENCY_RATE)
        max_load = run_load(fleet, "most", servers, key, THROUGHPUT_RATE)
        print_figure("direct_p50", direct[1], "ms", "-", True)
        print_figure("direct_p99", direct[2], "ms", "-", True)
        print_figure("relayed_p50", relayed[1], "ms", "-", True)
        print_figure("relayed_p99", relayed[2], "ms", "-", True)
        held &= print_figure("added_p50", relayed[1] - direct[1], "ms", ADDED_MEDIAN_MS, relayed[1] - direct[1] <= ADDED_MEDIAN_MS)
        held &= print_figure("added_p99", relayed[2] - direct[2], "ms", ADDED_P99_MS, relayed[2] - direct[2] <= ADDED_P99_MS)
        held &= print_figure("answered", max_load[0], "1/s", THROUGHPUT_RATE, max_load[0] >= THROUGHPUT_RATE * 0.999)
        print_figure("p99_at_most", max_load[2], "ms", "-", True)
        if relayed[3] or max_load[3]:
            print(f"refusals: {relayed[3]} {max_load[3]}", file=sys.stderr)
    finally:
        fleet.kill_all()
        shutil.rmtree(folder, ignore_errors=True)
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
