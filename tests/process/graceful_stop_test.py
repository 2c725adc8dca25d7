"""Restarts every entry instance and every state replica gracefully, one after another, under load.

No request may be cut off without an answer by a graceful stop.
"""

from harness import Load, prepare, run_test


def scenario(fleet, checks):
    accounts = prepare(fleet)
    load = Load(fleet, accounts, seconds=25)
    for name in fleet.entry_ids + fleet.state_ids:
        code = fleet.processes[name].stop()
        checks.check(f"{name} exited with code 0", code == 0, code)
        fleet.processes[name].start()
        if name in fleet.entry_ids:
            fleet.wait_serving([name])
    report = load.finish(checks)
    checks.check("no request was cut off", report["cuts"] == 0, report["cuts"])


run_test(scenario)
