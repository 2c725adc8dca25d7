"""Kills the leaders of two data centres and of the fleet state under load, one after another."""

import time

from harness import Load, leader_of, persist, prepare, run_test, state_leader


def scenario(fleet, checks):
    accounts = prepare(fleet)
    load = Load(fleet, accounts, seconds=14)
    for data_centre in ("dc1", "dc2"):
        victim = leader_of(fleet, data_centre)
        checks.check(f"{data_centre} had a leader", victim is not None)
        fleet.processes[victim].kill()
        fleet.wait_until(lambda: leader_of(fleet, data_centre) not in (None, victim), 20, "a new leader")
        fleet.processes[victim].start()
        fleet.wait_serving([victim])
    victim = state_leader(fleet)
    checks.check("the fleet state had a leader", victim is not None)
    fleet.processes[victim].kill()
    fleet.wait_until(lambda: state_leader(fleet) not in (None, victim), 20, "a new state leader")
    time.sleep(1)
    fleet.processes[victim].start()
    report = load.finish(checks)
    checks.check("load was sent during the kills", report["sent"] > 1000, report["sent"])
    fleet.wait_serving()
    for it in fleet.entry_ids:
        for account in accounts:
            answer = persist(fleet, it, "/v1/requests/weigh-check", b"x", account["key"])
            checks.check(f"{it} serves each team after the kills", answer[0] == 200, answer[1])


run_test(scenario)
