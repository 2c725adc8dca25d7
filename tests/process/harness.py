"""Shared by the process-level tests: starts a fleet, generates load on it, and reports the result."""

import argparse
import json
import os
import shutil
import sys
import tempfile
import time
import traceback

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "tools"))
from checks import Checks, overlapping_tasks  # noqa: E402,F401
from fleet import Fleet, Process  # noqa: E402
from relay import Relay  # noqa: E402

CLASSES = [
    {"name": "weigh-check", "rank": 0, "idempotent": True, "deadline_ms": 4000, "weight": 6},
    {"name": "batch-blend", "rank": 1, "idempotent": False, "deadline_ms": 8000, "weight": 4},
]


class RelayedFleet(Fleet):
    """A fleet whose peer connections all pass through a relay that can interrupt them."""

    def __init__(self, *arguments, **named):
        self.relay = None
        super().__init__(*arguments, **named)

    def peer_address(self, own, peer):
        if own["id"] == peer["id"]:
            return peer["peer_address"]
        if self.relay is None:
            self.relay = Relay()
        return self.relay.link(own["id"], peer["id"], peer["peer_address"])

    def kill_all(self):
        super().kill_all()
        self.relay.close()

    def members(self, data_centre):
        return [it["id"] for it in self.entries + self.states if it["data_centre"] == data_centre]

    def cut_off(self, data_centre):
        inside = self.members(data_centre)
        outside = [it for it in self.entry_ids + self.state_ids if it not in inside]
        self.relay.cut(inside, outside)


class Load:
    """Load from the stand-in caller during a test, whose report is checked at the end."""

    def __init__(self, fleet, accounts, seconds, rate=120, seed=1, servers=None, classes=None):
        self.path = os.path.join(fleet.folder, f"load-{seed}.json")
        plan = {
            "servers": servers or [it["http"] for it in fleet.entries],
            "executors": fleet.executor_addresses,
            "rate": rate,
            "seconds": seconds,
            "seed": seed,
            "accounts": accounts,
            "classes": [dict(it, body_bytes=200) for it in classes or CLASSES],
        }
        plan_path = os.path.join(fleet.folder, f"plan-{seed}.json")
        with open(plan_path, "w", encoding="utf-8") as out:
            json.dump(plan, out)
        command = [os.path.join(fleet.build, "standin-caller"), "--plan", plan_path, "--report", self.path]
        self.process = Process(f"caller-{seed}", command, os.path.join(fleet.folder, f"caller-{seed}.log"))
        fleet.processes[f"caller-{seed}"] = self.process
        self.seconds = seconds
        self.process.start()

    def report(self):
        self.process.popen.wait(self.seconds + 90)
        with open(self.path, encoding="utf-8") as source:
            return json.load(source)

    def finish(self, checks):
        """Waits for the caller to exit and checks the guarantees that hold for every request id."""
        report = self.report()
        for name, count in report["breaches"].items():
            checks.check(f"load: {name}", count == 0, count)
        answered = sum(it["answered"] for it in report["rows"])
        unknown = sum(it["unknown"] for it in report["rows"])
        checks.check("load: every request was answered", unknown == 0, unknown)
        checks.check("load: some requests were answered", answered > 0, answered)
        print(f"sent {report['sent']}, answered {answered}, cuts {report['cuts']}, refusals {report['kinds']}")
        for it in report["cut_details"]:
            print(f"cut: {it}")
        return report


def prepare(fleet, teams=("farm-a", "farm-b"), request_limit=200):
    """Starts the fleet and configures classes and teams. Returns the accounts for the load."""
    fleet.start()
    fleet.wait_serving()
    fleet.wait_endpoints()
    for it in CLASSES:
        fleet.put_class(it["name"], it["rank"], it["idempotent"], it["deadline_ms"])
    return [{"name": it, "key": fleet.create_team(it, 1, request_limit)[1], "weight": 1} for it in teams]


def persist(fleet, entry, path, body, key, headers=None, limit=20):
    """Sends a request, and repeats it while the answer says that it did not run and gives a retry delay."""
    end = time.monotonic() + limit
    while True:
        answer = fleet.call(entry, "POST", path, body, key, headers)
        reply = answer[1] if isinstance(answer[1], dict) else {}
        if reply.get("run") != "did_not_run" or not reply.get("retry_after_ms") or time.monotonic() > end:
            return answer
        time.sleep(min(1.0, reply["retry_after_ms"] / 1000))


def leader_of(fleet, data_centre):
    """Returns the id of the entry instance that leads a data centre; None if there is none."""
    for it in fleet.entries_of(data_centre):
        try:
            if fleet.processes[it["id"]].running() and fleet.status(it["id"])["role"] == "leader":
                return it["id"]
        except OSError:
            continue
    return None


def state_leader(fleet):
    for it in fleet.state_ids:
        try:
            if fleet.processes[it].running() and fleet.status(it)["role"] == "state_leader":
                return it
        except OSError:
            continue
    return None


def run_test(scenario, fleet_type=Fleet, **fleet_arguments):
    """Runs scenario(fleet, checks) on a new fleet and exits with the result of its checks."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    parser.add_argument("--keep", action="store_true", help="keep the folder with settings and logs")
    options = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="teasel-")
    arguments = {"executors": 8, "workers": 8}
    arguments.update(fleet_arguments)
    fleet = fleet_type(options.build, folder, **arguments)
    checks = Checks()
    try:
        scenario(fleet, checks)
    except Exception:  # noqa: BLE001: an exception fails the test
        traceback.print_exc()
        checks.check("the scenario completed", False, "see above")
    finally:
        fleet.kill_all()
        if options.keep or checks.broken:
            print(f"logs: {folder}")
        else:
            shutil.rmtree(folder, ignore_errors=True)
    sys.exit(checks.report())
