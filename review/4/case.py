"""A front freezes with a call in its channel; the client leaves and cancels at another front."""

import asyncio
import os
import random
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
from fleet import BOUNDS, TROUBLE, run_case  # noqa: E402

QUEUE = "weigh"
STEPS = [{"count": 2, "cpu": 2000, "memMb": 1000, "estimateMs": 800}]
FREEZE_S = 3.5
LEAVES_AFTER_S = 0.25


async def scenario(fleet):
    await fleet.start([QUEUE], executors=4, work=lambda task, run, spec: (0.8, "done"))
    await fleet.submit(QUEUE, STEPS, front=0)
    await asyncio.sleep(1)
    job = f"{random.getrandbits(64):016x}"
    if TROUBLE:
        fleet.record.write("front_freezes", front=0)
        fleet.front[0].signal(signal.SIGSTOP)
        asyncio.get_running_loop().call_later(FREEZE_S, fleet.front[0].signal, signal.SIGCONT)
        await asyncio.sleep(0.05)  # the stop takes effect a moment after the signal
    await fleet.client("POST", QUEUE, job, {"spec": f"work of {job}", "steps": STEPS}, front=0, timeout=LEAVES_AFTER_S)
    fleet.record.write("client_leaves", job=job)
    cancelled = None
    for front in (1, 2, 3):
        status, _ = await fleet.client("DELETE", QUEUE, job, front=front)
        if status in (200, 410):
            cancelled = fleet.record.now()
            break
    if cancelled is None:
        return True, "the cancelling was not acknowledged"
    await asyncio.sleep(10)
    bound = cancelled + BOUNDS["cancel_ms"] / 1000
    late = [it for it in fleet.starts if it[2].startswith(job) and it[0] > bound]
    on = [it for it in fleet.ends if it[2].startswith(job) and it[0] > bound + BOUNDS["killGraceMs"] / 1000]
    state = await fleet.state(QUEUE, job)
    if late:
        after = late[0][0] - cancelled
        return False, f"{len(late)} tasks started {after:.1f} s after the cancelling was acknowledged; state: {state}"
    return not on, "no task of it started or ran on after the cancelling" if not on else "a task of it ran on"


run_case(HERE, scenario, fronts=6)
