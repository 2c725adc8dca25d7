"""LOST: after a change of the configuration that lowers a tenant's cap below one task, an accepted submission never runs."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-3"))
from fleet import TROUBLE, NotRun, configuration, job_id, run_case, tenant  # noqa: E402

EXECUTORS, EXECUTOR_CPU = 4, 32000
TASK_CPU = 9000  # the mean of batch-blend
CAP = 64000
LOWERED_CAP = 6000
FINISH_S, IDLE_S = 14, 3  # the rule: 3 s without a run, finish_s after the end of the traffic
EVERYTHING_S = 2


def tenants(cap):
    return [tenant("north", "key-north-0000000000", cpu=cap, mem=4 * 131072), tenant("south", "key-south-0000000000", cpu=CAP)]


def submission():
    return {"spec": "work 800", "steps": [{"count": 1, "cpu": TASK_CPU, "memMb": 33000, "estimateMs": 800}]}


def await_state(fleet, path, key, wanted, seconds):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if fleet.state(path, key, quiet=True) == wanted:
            return True
        time.sleep(0.2)
    return False


def scenario(fleet):
    fleet.start_all()
    for n in range(EXECUTORS):
        fleet.start_executor(n)
    fleet.put_configuration(configuration(7, tenants(CAP)))
    fleet.await_ready()
    time.sleep(2 * 1.5)  # every executor has registered

    before = f"/blend/{job_id()}"
    if fleet.submit(before, "key-north-0000000000", submission()) != 200:
        raise NotRun("the first submission was not accepted")
    if not await_state(fleet, before, "key-north-0000000000", "completed", 10):
        raise NotRun("the first submission did not end, without any disruption")

    fleet.put_configuration(configuration(9, tenants(LOWERED_CAP if TROUBLE else CAP)))
    time.sleep(EVERYTHING_S)  # configApplyMs
    job, other = job_id(), job_id()
    accepted = fleet.submit(f"/blend/{job}", "key-north-0000000000", submission())
    fleet.submit(f"/blend/{other}", "key-south-0000000000", submission())
    end_of_traffic = time.monotonic()
    if accepted != 200:
        return True, f"the submission was refused with {accepted}, so that nothing is owed"
    if not await_state(fleet, f"/blend/{other}", "key-south-0000000000", "completed", 10):
        raise NotRun("the submission of the other tenant did not end")
    while time.monotonic() < end_of_traffic + FINISH_S + IDLE_S + 1:
        time.sleep(0.5)
    state = fleet.state(f"/blend/{job}", "key-north-0000000000")
    starts = [it for it in fleet.seen(event="started") if it["task"].startswith(job)]
    if state == "completed":
        return True, f"completed after {len(starts)} start"
    if starts:
        return True, f"it has started; state {state}"
    return False, (f"accepted with 200, state {state}, no start within {FINISH_S + IDLE_S} s after the end of the traffic; "
                   f"{EXECUTORS * EXECUTOR_CPU} mcpu are idle, the tenant runs nothing")


run_case(os.path.dirname(os.path.abspath(__file__)), scenario)
