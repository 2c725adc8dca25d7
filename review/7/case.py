"""Hundreds of changes of a configuration with many routes, then all processes of the core are killed and started again.
The platform keeps to the memory limit of its machines."""

import json
import os
import random
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-2"))
from standins import Deployment, call, configuration, newId, route, runCase, trouble  # noqa: E402

MEMORY_LIMIT_MB = 256  # of a core machine of neonbilbao; a process that uses more is killed
DISK_LIMIT_MB = 128  # of a core machine of neonbilbao
RESTART_S = 1.0  # a process that was killed is restarted after a short delay
ROUTES = 3
BIG_CONFIG = [410, 410]  # big_config, its largest count on neonbilbao, twice
CHANGES = 375  # "hundreds of changes"
RECOVERY_S = 12  # recoverS
READ_BACK_S = 30  # the operator reads back for at least contactMs, at the end of the day


def memoryMb(pid):
    try:
        with open(f"/proc/{pid}/status", encoding="utf-8") as file:
            for line in file:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) * 1024 / 1e6
    except OSError:
        pass
    return 0


def diskMb(folder):
    return sum(it.stat().st_size for it in os.scandir(folder)) / 1e6


class Platform:
    """Kills a process that exceeds the memory of its machine, and starts each process that has ended again."""

    def __init__(self, record, deployment):
        self.record = record
        self.deployment = deployment
        self.kills = {}
        self.isRunning = True
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        waiting = {}
        while self.isRunning:
            now = time.monotonic()
            for it in self.deployment.cores:
                name = it["name"]
                handle = it["process"].handle
                if name in waiting:
                    if now >= waiting[name] and self.isRunning:
                        del waiting[name]
                        self.deployment.startMachine(it)
                    continue
                if handle.poll() is not None:
                    self.record.add(f"platform: {name} has ended with {handle.returncode}")
                    waiting[name] = now + RESTART_S
                    continue
                used = memoryMb(handle.pid)
                if used > MEMORY_LIMIT_MB:
                    handle.kill()
                    handle.wait()
                    self.kills[name] = self.kills.get(name, 0) + 1
                    self.record.add(f"platform: {name} uses {used:.0f} MB of memory (disk {diskMb(it['data']):.0f} MB)"
                                    f" and is killed, time {self.kills[name]}")
                    waiting[name] = now + RESTART_S
            time.sleep(0.01)

    def stop(self):
        self.isRunning = False
        self.thread.join()


def scenario(record, temporary):
    deployment = Deployment(record, temporary, cores=4, fronts=1, tolerated=1)
    platform = None
    try:
        deployment.start()
        time.sleep(2)
        advice = {"decideMs": 82.0, "intervalMs": 1.2, "validityMs": 2500}

        def makeRoutes(count):
            return [route(f"r-{random.getrandbits(28):07x}", f"/{random.getrandbits(32):08x}/", recommendation=advice)
                    for _ in range(count)]

        routes = makeRoutes(ROUTES)
        version = 3
        deployment.putConfiguration(configuration(version, routes, ["fill-line"]))
        platform = Platform(record, deployment)
        for count in BIG_CONFIG if trouble() else []:
            version += 2
            routes += makeRoutes(count)
            deployment.putConfiguration(configuration(version, routes, ["fill-line"]))
        for n in range(CHANGES):
            version += random.choice([1, 2, 3])
            routes[n % len(routes)]["timeoutMs"] = 3000 + n
            acknowledged = configuration(version, routes, ["fill-line"])
            sendUntilAcknowledged(deployment, acknowledged)
            if (n + 1) % 50 == 0 or n + 1 == CHANGES:
                used = [round(memoryMb(it["process"].handle.pid)) for it in deployment.cores]
                disk = [round(diskMb(it["data"])) for it in deployment.cores]
                record.add(f"operator: {n + 1} changes acknowledged; memory {used} MB, disk {disk} MB")
        if max(diskMb(it["data"]) for it in deployment.cores) > DISK_LIMIT_MB:
            raise RuntimeError("the disks are full")
        if platform.kills:
            raise RuntimeError("a process was killed for its memory before the final fault")
        record.add(f"operator: newest acknowledged version {version}")
        if trouble():
            record.add("all processes of the core are killed")
            for it in deployment.cores:
                it["process"].handle.kill()
        time.sleep(RECOVERY_S)
        # The end of the day: the operator reads the configuration back, at any node, again and again.
        until = time.monotonic() + READ_BACK_S
        answers = {}
        isRead = False
        while time.monotonic() < until and not isRead:
            for control in deployment.controls:
                status, body, _ = call(control, "GET", "/config/get", timeout=2)
                answers[status] = answers.get(status, 0) + 1
                isRead = isRead or (status == 200 and json.loads(body) == acknowledged)
            time.sleep(0.2)
        record.add(f"operator: reads back, answers by status {answers}, newest read: {isRead}")
        status, _ = deployment.client("POST", routes[0]["pathPrefix"] + newId(),
                                      {"spec": "work=100", "steps": [{"count": 1, "cpu": 100, "memMb": 64}]})
        record.add(f"client: POST -> {status}")
        if isRead:
            return []
        return [f"CONFIG: version {version} was acknowledged and isn't read back for {READ_BACK_S} s, from"
                f" {RECOVERY_S} s after the core was killed; processes killed for memory since: {platform.kills}"]
    finally:
        if platform is not None:
            platform.stop()
        deployment.stop()


def sendUntilAcknowledged(deployment, sent):
    """Sends one configuration until it is acknowledged, without a line in the record for each."""
    until = time.monotonic() + 20
    while time.monotonic() < until:
        for control in deployment.controls:
            status, _, _ = call(control, "POST", "/config/put", sent, timeout=2)
            if status == 200:
                return
            if status in (400, 409, 412, 413, 422):
                raise RuntimeError(f"version {sent['version']} refused: {status}")
        time.sleep(0.05)
    raise RuntimeError(f"version {sent['version']} was not acknowledged")


runCase(FOLDER, scenario)
