"""A front sends a submission again to the next leader, whose configuration has no longer the key that it was sent with.

Guards against callers that are told 401 about a submission that the killed leader had accepted and that runs (REFUSED).
The moments are drawn from --seed.
"""

import argparse
import copy
import http.client
import json
import os
import random
import socket
import sys
import tempfile
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "tools"))
from checks import Checks  # noqa: E402
from fleet import LOOPBACK_RANGE, lock_loopback_range  # noqa: E402
from job_plane import CALLERS_PORT, CONFIGURATION, CONTROL_PORT, METRICS_PORT, start_instances  # noqa: E402

CORES = [f"127.{1 + LOOPBACK_RANGE}.0.{n + 1}" for n in range(3)]
FRONTS = [f"127.{1 + LOOPBACK_RANGE}.1.{n + 1}" for n in range(2)]
GRACE_S = 4
CLIENTS = 40
DEADLINE_S = 3
LASTING_KEY = "key-south-0000000000"
MAX_KILL_DELAY_S = 0.005
MAX_ROUNDS = 40
REJECTIONS = (400, 401, 403, 404, 429, 503)

JOB = {"spec": "lot", "steps": [{"count": 1, "cpu": 100, "memMb": 100, "estimateMs": 500}]}


def key_of(n):
    return f"key-{n:04d}-000000000000"


def configuration_without_key_of(n):
    """The configuration after round n, which takes that round's key away."""
    out = copy.deepcopy(CONFIGURATION)
    out["version"] += n + 1
    out["routes"][0]["public"] = False
    out["tenants"] = [{"name": name, "apiKeys": [key], "priority": 1, "weight": 100,
                       "cap": {"cpu": 0, "memMb": 0, "gpu": 0}}
                      for name, key in (("north", key_of(n + 1)), ("south", LASTING_KEY))]
    return out


def call(host, port, method, path, body=None, key=None):
    """Returns status and body; status 0 if there was no answer."""
    channel = http.client.HTTPConnection(host, port, timeout=DEADLINE_S + 1)
    headers = {"Host": "farm.example", "Content-Type": "application/json"}
    if key is not None:
        headers["Authorization"] = f"Bearer {key}"
    try:
        channel.request(method, path, None if body is None else json.dumps(body), headers)
        response = channel.getresponse()
        return response.status, response.read().decode()
    except (OSError, http.client.HTTPException):
        return 0, ""
    finally:
        channel.close()


def put_configuration(n):
    while call(random.choice(CORES), CONTROL_PORT, "POST", "/config/put", configuration_without_key_of(n))[0] != 200:
        time.sleep(0.1)  # CTest limits the time


def find_leader():
    while True:
        for n, host in enumerate(CORES):
            _, text = call(host, METRICS_PORT, "GET", "/metrics")
            if any(it.startswith("teasel_is_leader") and float(it.split()[-1]) == 1 for it in text.splitlines()):
                return f"core-{n + 1}"
        time.sleep(0.1)


def request_text(path, body, headers):
    data = json.dumps(body)
    return (f"POST {path} HTTP/1.1\r\nHost: farm.example\r\nContent-Type: application/json\r\n{headers}"
            f"Content-Length: {len(data)}\r\n\r\n{data}").encode()


def receive_status(it, job, statuses):
    """Stores the status of the answer; 0 if the channel ends without one."""
    try:
        it.settimeout(DEADLINE_S + 2)
        head = it.recv(4096)
        statuses[job] = int(head.split()[1]) if head else 0
    except OSError:
        statuses[job] = 0
    finally:
        it.close()


def lose_leader_while_key_is_removed(n, draw, processes, statuses):
    """The calls and the change arrive within milliseconds, so that many calls are replicated and not answered."""
    leader = find_leader()
    calls = []
    for k in range(CLIENTS):
        job = f"{draw.getrandbits(64):016x}"
        it = socket.create_connection((FRONTS[k % len(FRONTS)], CALLERS_PORT), timeout=DEADLINE_S)
        it.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        headers = f"Authorization: Bearer {key_of(n)}\r\nDeadline-Ms: {DEADLINE_S * 1000}\r\n"
        calls.append((job, it, request_text(f"/weigh/{job}", JOB, headers)))
    operator = socket.create_connection((CORES[int(leader[-1]) - 1], CONTROL_PORT), timeout=DEADLINE_S)
    change = request_text("/config/put", configuration_without_key_of(n), "")
    for k, (_, it, data) in enumerate(calls):
        if k == CLIENTS // 2:
            operator.sendall(change)
        it.sendall(data)
    kill_at = time.monotonic() + draw.uniform(0, MAX_KILL_DELAY_S)
    while time.monotonic() < kill_at:
        pass
    processes[leader].kill()
    receivers = [threading.Thread(target=receive_status, args=(it, job, statuses)) for job, it, _ in calls]
    for it in receivers:
        it.start()
    time.sleep(0.5)
    processes[leader].start()
    for it in receivers:
        it.join()
    operator.close()
    put_configuration(n)


def log_of(process):
    with open(process.log_path, encoding="utf-8", errors="replace") as log:
        return log.read()


def scenario(checks, processes, options):
    draw = random.Random(options.seed)
    put_configuration(-1)
    statuses = {}
    rounds, resent = 0, 0
    # In some runs no call of the first rounds is replicated and unanswered at the moment of the kill.
    while rounds < options.rounds or (resent == 0 and rounds < MAX_ROUNDS):
        time.sleep(1.2)  # the metrics name the leader once a second
        lose_leader_while_key_is_removed(rounds, draw, processes, statuses)
        rounds += 1
        resent = sum(log_of(it).count("event=submission_resent") for name, it in processes.items() if name.startswith("core"))
    time.sleep(1)
    answered = {it: list(statuses.values()).count(it) for it in sorted(set(statuses.values()))}
    print(f"seed {options.seed}: {rounds} rounds, answers {answered}, {resent} resent")
    known = {job: call(FRONTS[0], CALLERS_PORT, "GET", f"/weigh/{job}", key=LASTING_KEY)[0] for job in statuses}
    runs = [job for job, status in statuses.items() if status in REJECTIONS and known[job] != 410]
    checks.check("no rejected submission is known", not runs, f"{len(runs)}: {[(it, statuses[it]) for it in runs[:3]]}")
    lost = [job for job, status in statuses.items() if status == 200 and known[job] != 200]
    checks.check("each accepted submission is known", not lost, f"{len(lost)}: {lost[:3]}")
    checks.check("the next leader has confirmed submissions of the killed one", resent > 0, answered)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=8)
    options = parser.parse_args()
    lock = lock_loopback_range()
    checks = Checks()
    with tempfile.TemporaryDirectory(prefix="teasel-") as folder:
        processes = start_instances(options.build, folder, CORES, FRONTS, GRACE_S)
        try:
            scenario(checks, processes, options)
        finally:
            for it in processes.values():
                it.kill()
    lock.close()
    sys.exit(checks.report())


main()
