"""Eight changes of a large configuration are in progress at once."""

import json
import os
import random
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-2"))
from standins import Deployment, Executor, call, configuration, newId, route, runCase, trouble  # noqa: E402

BIG_CONFIG = [1250, 1250]  # routes more, each; 1,400 is the largest count of big_config
AT_ONCE = 8  # "Up to eight orders may be in progress at once"
LONGEST_S = 80  # no further wave after this time
GAP_S = 0.002  # between two orders of a wave
MEMORY_MB = 384  # of a core machine of neonbilbao-grown
FINISH_S = 14  # after the end of the traffic
WINDOW_S = 3
CORES = 16000
TWO_STEPS = {"spec": "work=2000 cpu=4000",
             "steps": [{"count": 2, "cpu": 4000, "memMb": 1024, "estimateMs": 2000},
                       {"count": 2, "cpu": 4000, "memMb": 1024, "estimateMs": 2000, "dependsOn": [0]}]}


def makeRoute(advice):
    key = f"{random.getrandbits(32):08x}"
    return {**route(f"weigh-check-of-member-{key}", f"/members/{key}/lines/3/weigh-check/", recommendation=advice),
            "host": f"{key}.weigh-check.filling-hall.huonville.example"}


def peakMemoryMb(pid):
    with open(f"/proc/{pid}/status", encoding="utf-8") as file:
        return max(int(it.split()[1]) // 1024 for it in file if it.startswith("VmHWM:"))


def sendWave(record, deployment, control, versions, routes):
    """Sends one change for each version, in order, without waiting for answers. Returns the statuses."""
    statuses = {}

    def put(n, body):
        time.sleep(n * GAP_S)
        statuses[versions[n]] = call(control, "POST", "/config/put", body, timeout=4)[0]

    bodies = []
    for n, version in enumerate(versions):
        changed = [dict(it, timeoutMs=3000 + version) for it in routes]
        bodies.append(json.dumps(configuration(version, changed, ["fill-line"])).encode())
    threads = [threading.Thread(target=put, args=it) for it in enumerate(bodies)]
    for it in threads:
        it.start()
    for it in threads:
        it.join()
    record.add(f"operator: versions {versions[0]} to {versions[-1]}, {len(bodies[-1])} bytes each -> {statuses}")
    return statuses, bodies


def watch(record, deployment, executors, starts, path, accepted, unanswered):
    """After a wave: until the second step of the submission starts, or finish_s and 3 s have passed."""
    step = path.rsplit("/", 1)[1] + ".0.1."
    ended = time.monotonic()  # of the traffic
    while time.monotonic() < ended + FINISH_S + WINDOW_S:
        if sum(it.startswith(step) for it in starts) == 2:
            record.add("the second step has started")
            return []
        if unanswered:  # The operator sends the newest change again, to any node; a client hands in another submission.
            again = [call(it, "POST", "/config/put", unanswered[-1], timeout=3)[0] for it in deployment.controls]
            status, _ = deployment.client("POST", "/blend/" + newId(), TWO_STEPS)
            record.add(f"operator: the newest version again, to each node -> {again}; client: POST -> {status}")
        time.sleep(0.5)
    record.add(f"client: GET {path} -> {deployment.state(path)}")
    if any(run.task.startswith(path.rsplit("/", 1)[1]) for it in executors for run in it.runList()):
        raise RuntimeError("the submission still runs")
    return [f"LOST: {path} has had nothing running for over {WINDOW_S} s, {time.monotonic() - accepted:.0f} s after it was"
            " accepted; its second step's turn has come and all executors are free"]


def scenario(record, temporary):
    deployment = Deployment(record, temporary)
    starts = []

    def onEvent(kind, executor, task, run, **_):
        if kind == "started":
            starts.append(task)

    executors = [Executor(record, f"w{n}", deployment.executorAddress(), deployment.controls, onEvent=onEvent,
                          cpu=CORES, zone=list(deployment.zones)[n % 3], rack=f"r{n}-1") for n in range(4)]
    try:
        deployment.start()
        time.sleep(2)
        advice = {"decideMs": 82.0, "intervalMs": 1.2, "validityMs": 2000}
        routes = [route("r-blend", "/blend/")]
        version = 3
        deployment.putConfiguration(configuration(version, routes, ["fill-line"]))
        for it in executors:
            it.start()
        for count in BIG_CONFIG if trouble() else []:
            routes += [makeRoute(advice) for _ in range(count)]
            version += 2
            deployment.putConfiguration(configuration(version, routes, ["fill-line"]))
        time.sleep(4)
        began = time.monotonic()
        while time.monotonic() < began + LONGEST_S - FINISH_S - WINDOW_S - 10:
            leader = deployment.leader()
            if leader is None:
                time.sleep(0.2)
                continue
            path = "/blend/" + newId()
            if not deployment.submit(path, TWO_STEPS):
                raise RuntimeError("a submission was not accepted")
            accepted = time.monotonic()
            versions = [version + 1 + n for n in range(AT_ONCE)]
            version = versions[-1]
            statuses, bodies = sendWave(record, deployment, leader["control"], versions, routes)
            isAnswered = all(it == 200 for it in statuses.values())
            broken = watch(
                record, deployment, executors, starts, path, accepted, [] if isAnswered else bodies)
            if broken:
                memory = {it["name"]: peakMemoryMb(it["process"].handle.pid) for it in deployment.cores}
                now = deployment.leader()
                record.add(f"peak memory in MB: {memory}; {leader['name']} led, {now and now['name']} leads")
                if max(memory.values()) > MEMORY_MB:
                    raise RuntimeError("a process used more memory than its machine has")
                return broken
        return []
    finally:
        deployment.stop()
        for line in deployment.logs():
            if any(it in line for it in ("event=configuration_", "event=leadership_", "event=storage")):
                record.add(line[:200])


runCase(FOLDER, scenario)
