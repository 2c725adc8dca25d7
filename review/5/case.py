"""An executor loses power; how many submissions does the system give as `pending`?"""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
from fleet import BOUNDS, HEARTBEAT_S, TROUBLE, run_case  # noqa: E402

QUEUE = "weigh"
JOBS = 100
POWER_LOST_AT_JOB = 76
STEPS = [{"count": 1, "cpu": 2000, "memMb": 1000, "estimateMs": 800}]


async def scenario(fleet):
    await fleet.start([QUEUE], executors=7, work=lambda task, run, spec: (0.8, "done"))
    accepted = {}

    async def hand_in(n):
        await asyncio.sleep(0.06 * n)
        if TROUBLE and n == POWER_LOST_AT_JOB:
            fleet.busiest_executor().go_dark()
        job = await fleet.submit(QUEUE, STEPS, front=n % 2)
        accepted[job] = time.monotonic()

    await asyncio.gather(*(hand_in(n) for n in range(JOBS)))
    worst = None
    end = time.monotonic() + 12
    bound = BOUNDS["visible_ms"] / 1000 + 2
    while time.monotonic() < end:
        asked = time.monotonic()
        begun = {task.split(".")[0] for _, _, task, _ in fleet.starts}
        status, answer = await fleet.client("GET", QUEUE, "", front=0)
        begun_after = {task.split(".")[0] for _, _, task, _ in fleet.starts}
        owed = [it for it, at in accepted.items() if it not in begun_after and asked - at > bound]
        if status == 200 and owed:
            pending = answer["pending"]
            fleet.record.write("pending", given=pending, not_begun=len(owed), begun=len(begun))
            if 2 * pending < len(owed) and (worst is None or len(owed) - pending > worst[1] - worst[0]):
                worst = (pending, len(owed))
        await asyncio.sleep(0.25)
    if worst:
        return False, f"{worst[0]} given as pending, while {worst[1]} had been accepted over {bound} s before and not begun"
    return True, "pending was never under half of what had been accepted and not begun"


run_case(HERE, scenario)
