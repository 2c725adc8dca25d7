"""An executor loses power just before the traffic ends; is each accepted submission at work finish_s later?"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
from fleet import BOUNDS, TROUBLE, run_case  # noqa: E402

QUEUE = "weigh"
JOBS = 100
POWER_LOST_AT_JOB = 76  # 1.5 s before the end of the traffic
STEPS = [{"count": 1, "cpu": 2000, "memMb": 1000, "estimateMs": 800}]
IDLE_S = 3  # without a run, from finish_s after the end of the traffic


async def scenario(fleet):
    await fleet.start([QUEUE], executors=7, work=lambda task, run, spec: (0.8, "done"))
    accepted = set()

    async def hand_in(n):
        await asyncio.sleep(0.06 * n)
        if TROUBLE and n == POWER_LOST_AT_JOB:
            fleet.busiest_executor().go_dark()
        accepted.add(await fleet.submit(QUEUE, STEPS, front=n % 2))

    await asyncio.gather(*(hand_in(n) for n in range(JOBS)))
    traffic_ended = fleet.record.now()
    fleet.record.write("traffic_ended")
    await asyncio.sleep(BOUNDS["finish_s"])
    idle = {job for job in accepted if await fleet.state(QUEUE, job) != "completed"}
    since = fleet.record.now()
    fleet.record.write("not_completed", jobs=sorted(idle))
    while idle and fleet.record.now() < since + IDLE_S:
        for it in fleet.executors:
            idle -= {task.split(".")[0] for task in it.runs}
        idle -= {task.split(".")[0] for at, _, task, _ in fleet.starts if at >= since}
        await asyncio.sleep(0.02)
    if not idle:
        return True, "each accepted submission had ended or was at work"
    fleet.record.write("idle", jobs=sorted(idle))
    await asyncio.sleep(12)
    begun = {task.split(".")[0]: round(at - traffic_ended, 1) for at, _, task, _ in fleet.starts}
    when = sorted(begun.get(job, "never") for job in idle)
    return False, (f"{len(idle)} accepted submissions had nothing running from {BOUNDS['finish_s']} s to "
                   f"{BOUNDS['finish_s'] + IDLE_S} s after the end of the traffic, with {len(fleet.executors) - 1} sound "
                   f"executors idle; they began {when} s after it")


run_case(HERE, scenario)
