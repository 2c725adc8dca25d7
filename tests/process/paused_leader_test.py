"""Leaders of data centres and of the fleet state are paused (SIGSTOP) under load
for longer than their leases. When they resume, they must not act as leaders."""

import signal
import time

from harness import Load, leader_of, prepare, run_test, state_leader


def scenario(fleet, checks):
    accounts = prepare(fleet)
    load = Load(fleet, accounts, seconds=14)
    time.sleep(1)
    for find in (lambda: leader_of(fleet, "dc2"), lambda: state_leader(fleet), lambda: leader_of(fleet, "dc1")):
        victim = find()
        checks.check("there was a leader to pause", victim is not None)
        fleet.processes[victim].signal(signal.SIGSTOP)
        time.sleep(3.5)
        fleet.processes[victim].signal(signal.SIGCONT)
    fleet.wait_serving()
    load.finish(checks)


run_test(scenario)
