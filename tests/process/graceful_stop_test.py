"""Every entry instance and every state replica is stopped gracefully in turn and started again, under load."""

from harness import Load, prepare, run_test


def scenario(fleet, checks):
    accounts = prepare(fleet)
    load = Load(fleet, accounts, seconds=25)
    for name in fleet.entry_ids + fleet.state_ids:
        code = fleet.processes[name].stop()
        checks.check(f"{name} ended gracefully", code == 0, code)
        fleet.processes[name].start()
        if name in fleet.entry_ids:
            fleet.wait_serving([name])
    report = load.finish(checks)
    checks.check("no request was cut", report["cuts"] == 0, report["cuts"])


run_test(scenario)
