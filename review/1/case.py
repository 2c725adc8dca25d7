"""Each core machine loses its disk once, one after the other, and is repaired; does the system still answer?"""

import asyncio
import os
import random
import shutil
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
from fleet import BOUNDS, CannotRun, TROUBLE, http, run_case  # noqa: E402

QUEUE = "weigh"
STEPS = [{"count": 1, "cpu": 2000, "memMb": 1000, "estimateMs": 800}]
DOWN_S = 1
# A machine counts as lost for catchUpS (4 s) after it is back; the next one is lost twice that time later.
BETWEEN_S = 8
ASKED_FOR_S = 30  # recoveryS (12 s), and more


async def read_configuration(fleet, seconds):
    """The version that any core instance answers with; None if none does."""
    end = fleet.record.now() + seconds
    while fleet.record.now() < end:
        for control in fleet.controls:
            status, answer = await http("GET", control, "/config/get", timeout=1)
            if status == 200:
                return answer["version"]
        await asyncio.sleep(0.2)
    return None


async def scenario(fleet):
    await fleet.start([QUEUE], executors=3, work=lambda task, run, spec: (0.8, "done"))
    jobs = [await fleet.submit(QUEUE, STEPS, front=n % 2) for n in range(10)]
    for n, core in enumerate(fleet.core):
        if TROUBLE:
            fleet.record.write("disk_lost", core=n)
            core.kill()
            folder = os.path.join(fleet.folder, core.name)
            shutil.rmtree(folder)
            os.makedirs(folder)
            await asyncio.sleep(DOWN_S)
            core.restart_settings()  # bootstrap = false
            core.start()
            fleet.record.write("back_with_an_empty_disk", core=n)
        if n + 1 == len(fleet.core):
            break
        await asyncio.sleep(BETWEEN_S)
        # Between the losses, the system works.
        version = await read_configuration(fleet, BOUNDS["recoveryS"])
        fleet.record.write("configuration_read", version=version)
        if version != fleet.version:
            return False, f"version {version} is read after {n + 1} losses, {fleet.version} was acknowledged"
        for _ in range(3):
            jobs.append(await fleet.submit(QUEUE, STEPS, front=random.randrange(2)))
    version = await read_configuration(fleet, ASKED_FOR_S)
    fleet.record.write("configuration_read", version=version)
    states = {job: await fleet.state(QUEUE, job) for job in jobs[-3:]}
    fleet.record.write("states", **states)
    unknown = sum(1 for it in states.values() if it in (None, "410"))
    if not all(it.is_running() for it in fleet.core):
        raise CannotRun("a core instance ended by itself")
    text = f"{ASKED_FOR_S} s after the last repair: version {fleet.version} acknowledged, {version} read; " \
           f"{unknown} of {len(states)} accepted submissions unknown or without an answer"
    return version == fleet.version and unknown == 0, text


run_case(HERE, scenario)
