"""Runs a small fleet under a minute of mixed load and injects failures.

Starts 9 entry instances in four data centres, 3 state replicas, executors and
workers on loopback addresses; sends an open-loop mix of requests and a few
jobs; kills and restarts one entry process and one state process; revokes a
key; then checks every request id and every task.
"""

import argparse
import json
import os
import random
import shutil
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from checks import Checks, overlapping_tasks  # noqa: E402
from fleet import Fleet, Process  # noqa: E402

MIXES = {
    "cooperative": {
        "classes": [
            {"name": "weigh-check", "rank": 0, "idempotent": True, "deadline_ms": 2000, "weight": 5},
            {"name": "label-run", "rank": 1, "idempotent": True, "deadline_ms": 10000, "weight": 3},
            {"name": "batch-blend", "rank": 2, "idempotent": False, "deadline_ms": 20000, "weight": 2},
        ],
        "teams": [("farm-a", 3, 5), ("farm-b", 3, 4), ("farm-c", 2, 2), ("farm-d", 1, 1), ("farm-e", 1, 1), ("line", 2, 1)],
    },
    "bilbao": {
        "classes": [
            {"name": "fault-check", "rank": 0, "idempotent": True, "deadline_ms": 2000, "weight": 4},
            {"name": "gas-fill-lookup", "rank": 1, "idempotent": True, "deadline_ms": 5000, "weight": 4},
            {"name": "tube-bending", "rank": 2, "idempotent": False, "deadline_ms": 20000, "weight": 2},
        ],
        "teams": [("tram", 3, 4), ("shops", 3, 4), ("vans", 2, 2), ("bars", 1, 1), ("hotels", 1, 1), ("pharmacies", 2, 1)],
    },
}


def parse_arguments():
    parser = argparse.ArgumentParser(prog="tools/demo.sh", description=__doc__)
    parser.add_argument("--build", default="build", help=argparse.SUPPRESS)
    parser.add_argument("--folder", default="run/demo", help="folder for settings, logs and data of the run (default: %(default)s)")
    parser.add_argument("--mix", choices=sorted(MIXES), default="cooperative", help="which mix of load to send (default: %(default)s)")
    parser.add_argument("--seconds", type=float, default=60, help="duration of the load in seconds (default: %(default)s)")
    parser.add_argument("--rate", type=float, default=300, help="requests per second (default: %(default)s)")
    parser.add_argument("--executors", type=int, default=24, help="number of executors (default: %(default)s)")
    parser.add_argument("--workers", type=int, default=24, help="number of workers (default: %(default)s)")
    parser.add_argument("--seed", type=int, default=1, help="random seed of the load (default: %(default)s)")
    parser.add_argument("--keep", action="store_true", help="keep the fleet running at the end until Ctrl-C")
    return parser.parse_args()


def configure(fleet, mix):
    """Creates classes, teams and keys; returns the accounts of the load."""
    for it in mix["classes"]:
        fleet.put_class(it["name"], it["rank"], it["idempotent"], it["deadline_ms"])
    accounts = []
    for name, share, weight in mix["teams"]:
        team_id, key = fleet.create_team(name, share, request_limit=150)
        accounts.append({"name": name, "key": key, "weight": weight, "share": share, "id": team_id})
    return accounts


def start_load(fleet, mix, accounts, options):
    plan = {
        "servers": [it["http"] for it in fleet.entries],
        "executors": fleet.executor_addresses,
        "rate": options.rate,
        "seconds": options.seconds,
        "seed": options.seed,
        "accounts": [{k: it[k] for k in ("name", "key", "weight")} for it in accounts],
        "classes": [dict(it, body_bytes=300) for it in mix["classes"]],
    }
    plan_path = os.path.join(fleet.folder, "plan.json")
    report_path = os.path.join(fleet.folder, "report.json")
    with open(plan_path, "w", encoding="utf-8") as out:
        json.dump(plan, out)
    if os.path.exists(report_path):
        os.remove(report_path)
    command = [os.path.join(fleet.build, "standin-caller"), "--plan", plan_path, "--report", report_path]
    load = Process("caller", command, os.path.join(fleet.folder, "caller.log"))
    load.start()
    fleet.processes["caller"] = load
    return load, report_path


def submit_jobs(fleet, accounts, rng):
    """Submits a service, batch jobs and a gang; returns (job id, kind, key of the owner) of each."""
    kinds = [("JOB_KIND_SERVICE", 4, 0), ("JOB_KIND_BATCH", 12, 2000), ("JOB_KIND_GANG", 6, 3000), ("JOB_KIND_BATCH", 6, 1000)]
    jobs = []
    for number, (kind, tasks, run_ms) in enumerate(kinds):
        account = rng.choice(accounts)
        spec = {"name": f"job-{number}", "kind": kind, "tasks": tasks, "run_ms": run_ms, "can_checkpoint": True}
        spec["resources"] = {"milli_cpus": 1000, "memory_mib": 1024}
        status, answer, _ = fleet.call(rng.choice(fleet.entry_ids), "POST", "/v1/jobs", spec, account["key"])
        if status != 200:
            print(f"  job-{number} was not accepted: {status} {answer}")
            continue
        jobs.append((answer["job_id"], kind, account["key"]))
    return jobs


def inject_failures(fleet, checks, seconds, seed):
    """Kills and restarts one entry and one state process under load."""
    rng = random.Random(seed)
    entry = rng.choice(fleet.entry_ids)
    state = rng.choice(fleet.state_ids)
    start = time.monotonic()
    plan = [(0.25, "kill", entry), (0.4, "start", entry), (0.5, "kill", state), (0.7, "start", state)]
    for fraction, action, name in plan:
        time.sleep(max(0, start + fraction * seconds - time.monotonic()))
        print(f"  {fraction * seconds:5.1f} s  {action} {name}")
        if action == "kill":
            fleet.processes[name].kill()
        else:
            fleet.processes[name].start()
    time.sleep(max(0, start + 0.8 * seconds - time.monotonic()))
    check_key_revocation(fleet, checks, [it for it in fleet.entry_ids if it != entry])


def check_key_revocation(fleet, checks, entries):
    """Grants a key, checks that it works, revokes it, and checks that every instance refuses it."""
    team_id, key = fleet.create_team("visitor", 1, request_limit=4)
    class_name = fleet.call(entries[0], "GET", "/v1/config", key=fleet.operator_key)[1]["classes"][0]["name"]
    path = f"/v1/requests/{class_name}"
    headers = {"Teasel-Request-Id": "visitor-1"}
    before = fleet.call(entries[0], "POST", path, b"x", key, headers)[0]
    answer = fleet.must_change([{"withdraw_key": "visitor-key"}])
    after = [fleet.call(it, "POST", path, b"x", key, headers)[0] for it in fleet.entry_ids if fleet.processes[it].running()]
    checks.check("a granted key works", before in (200, 429), before)
    checks.check("a revoked key is refused at every instance", all(it == 401 for it in after), (answer["state"], after))
    return team_id


def print_report(report, accounts):
    print(f"\n{'team':12} {'class':16} {'sent':>6} {'answered':>8} {'refused':>7} {'unknown':>7} {'p50 ms':>8} {'p99 ms':>8}")
    for it in report["rows"]:
        print(
            f"{it['team']:12} {it['class']:16} {it['sent']:6} {it['answered']:8} {it['refused']:7} "
            f"{it['may_have_run'] + it['unknown']:7} {it['p50_ms']:8.1f} {it['p99_ms']:8.1f}"
        )
    answered = {it["name"]: 0 for it in accounts}
    sent = dict(answered)
    for it in report["rows"]:
        answered[it["team"]] += it["answered"]
        sent[it["team"]] += it["sent"]
    shares = sum(it["share"] for it in accounts)
    total = max(1, sum(answered.values()))
    print(f"\n{'team':12} {'target share':>12} {'load share':>12} {'served share':>12}")
    for it in accounts:
        name = it["name"]
        print(
            f"{name:12} {it['share'] / shares:12.1%} {sent[name] / max(1, sum(sent.values())):12.1%} "
            f"{answered[name] / total:12.1%}"
        )
    print(f"\nbroken connections: {report['cuts']}; refusals: {report['kinds'] or 'none'}")


def check_load(checks, report):
    breaches = report["breaches"]
    checks.check("no request ran more often than allowed", breaches["doubled"] == 0, breaches["doubled"])
    checks.check("every answer belongs to its request", breaches["crossed"] == 0, breaches["crossed"])
    checks.check("no request refused as not run was run", breaches["false_refusals"] == 0, breaches["false_refusals"])
    checks.check("no executor exceeded its slots", breaches["over_slots"] == 0, breaches["over_slots"])
    checks.check("every answered request was run", breaches["lost"] == 0, breaches["lost"])
    unknown = sum(it["unknown"] for it in report["rows"])
    checks.check("every request had an answer", unknown == 0, unknown)
    answered = sum(it["answered"] for it in report["rows"])
    checks.check("work was done", answered > 0, answered)


def check_jobs(fleet, checks, jobs):
    for job_id, kind, key in jobs:
        expected_phase = "JOB_PHASE_RUNNING" if kind == "JOB_KIND_SERVICE" else "JOB_PHASE_SUCCEEDED"

        def done(job_id=job_id, key=key, expected_phase=expected_phase):
            status, answer, _ = fleet.call(fleet.entry_ids[0], "GET", f"/v1/jobs/{job_id}", key=key)
            return status == 200 and answer["jobs"][0]["phase"] == expected_phase

        try:
            fleet.wait_until(done, 40, f"{kind} {job_id}")
            checks.check(f"{kind[9:].lower()} job reached its phase", True)
        except RuntimeError as error:
            checks.check(f"{kind[9:].lower()} job reached its phase", False, str(error))
    journals = [fleet.journal(it) for it in fleet.processes if it.startswith("w")]
    overlaps, starts = overlapping_tasks(journals)
    checks.check("no task ran in two places at once", not overlaps, overlaps[:3])
    checks.check("tasks ran", starts > 0, starts)


def run(fleet, options, checks):
    mix = MIXES[options.mix]
    print(f"starting {len(fleet.processes)} processes")
    fleet.start()
    fleet.wait_serving()
    fleet.wait_endpoints()
    accounts = configure(fleet, mix)
    print(f"sending {options.rate:.0f} requests a second for {options.seconds:.0f} s")
    load, report_path = start_load(fleet, mix, accounts, options)
    jobs = submit_jobs(fleet, accounts, random.Random(options.seed))
    inject_failures(fleet, checks, options.seconds, options.seed)
    load.popen.wait(options.seconds + 60)
    with open(report_path, encoding="utf-8") as source:
        report = json.load(source)
    print_report(report, accounts)
    check_load(checks, report)
    check_jobs(fleet, checks, jobs)


def main():
    options = parse_arguments()
    shutil.rmtree(options.folder, ignore_errors=True)
    fleet = Fleet(options.build, options.folder, options.executors, options.workers)
    checks = Checks()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    try:
        run(fleet, options, checks)
        if options.keep:
            print(f"the fleet keeps running; entry instances: {' '.join(it['http'] for it in fleet.entries)}")
            print(f"operator's key: {fleet.operator_key}\nCtrl-C stops it")
            signal.pause()
        codes = fleet.stop()
        failed = {name: code for name, code in codes.items() if code != 0}
        checks.check("every process ended gracefully", not failed, failed)
    except KeyboardInterrupt:
        print("interrupted")
        return 1
    finally:
        fleet.kill_all()
    return checks.report()


if __name__ == "__main__":
    sys.exit(main())
