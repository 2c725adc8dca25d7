"""A route moves to another service, whose executors are idle, and the executors of the former one are taken away."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-2"))
from standins import Deployment, Executor, configuration, newId, route, runCase, trouble  # noqa: E402

CORES = 16000  # of an executor, in thousandths
FIRST = {"spec": "work=6000 cpu=12000", "steps": [{"count": 2, "cpu": 12000, "memMb": 1024, "estimateMs": 6000}]}
SECOND = {"spec": "work=1000 cpu=12000", "steps": [{"count": 1, "cpu": 12000, "memMb": 1024, "estimateMs": 1000}]}
LEAVE_AFTER_S = 9  # from the drain on; both tasks of the first submission have ended by then
FINISH_S = 14  # after the end of the traffic
WINDOW_S = 3
SERVICES = ["fill-line", "fill-line-2"]


def routesTo(service):
    return [route("r-blend", "/blend/", service=service), route("r-label", "/label/", service="fill-line-2")]


def scenario(record, temporary):
    deployment = Deployment(record, temporary)
    zones = list(deployment.zones)

    def makeExecutors(name, service):
        return [Executor(record, f"{name}{n}", deployment.executorAddress(), deployment.controls, service=service,
                         cpu=CORES, zone=zones[n % 3], rack=f"{name}-{n}") for n in range(2)]

    former = makeExecutors("a", "fill-line")
    idle = makeExecutors("b", "fill-line-2")
    try:
        deployment.start()
        time.sleep(2)
        cap = {"cpu": 64000, "memMb": 262144, "gpu": 0}
        deployment.putConfiguration(configuration(3, routesTo("fill-line"), SERVICES, cap))
        for it in former + idle:
            it.start()
        time.sleep(3)
        first = "/blend/" + newId()
        second = "/blend/" + newId()
        # The first submission leaves no room for the second on the executors of the service.
        if not deployment.submit(first, FIRST) or not deployment.submit(second, SECOND):
            raise RuntimeError("a submission was not accepted")
        ended = time.monotonic()  # of the traffic
        if trouble():
            deployment.putConfiguration(configuration(5, routesTo("fill-line-2"), SERVICES, cap))
            for it in former:
                it.remainingMs = LEAVE_AFTER_S * 1000
                it.state = "draining"
                if not it.ping():
                    raise RuntimeError("a drain was not acknowledged")
                record.add(f"executor {it.id} reports draining and is acknowledged")
        drained = time.monotonic()
        states = {}
        hasLeft = not trouble()
        while time.monotonic() < ended + FINISH_S + WINDOW_S:
            for path in (first, second):
                state = deployment.state(path)
                if state != states.get(path):
                    record.add(f"client: GET {path} -> {state}")
                states[path] = state
            if all(it == "completed" for it in states.values()):
                return []
            if not hasLeft and time.monotonic() > drained + LEAVE_AFTER_S:
                hasLeft = True
                for it in former:
                    it.leave()
            time.sleep(0.1)
        if states[first] != "completed":
            raise RuntimeError("the first submission has not ended")
        used = sum(it.used() for it in idle)
        return [f"LOST: {second} is {states[second]} {FINISH_S + WINDOW_S} s after the end of the traffic and has had"
                f" nothing running for {WINDOW_S} s and more; {len(idle) * CORES - used} of {len(idle) * CORES}"
                " thousandths of a core are free at the service of its queue"]
    finally:
        deployment.stop()
        for line in deployment.logs():
            if "event=job_" in line or "event=run_" in line or "event=configuration_in_force" in line:
                record.add(line[:330])


runCase(FOLDER, scenario)
