"""REFUSED: a client is told 401, and its submission runs: the leader is killed while a key is taken away."""

import json
import os
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-3"))
from fleet import PORTS, TROUBLE, NotRun, configuration, job_id, run_case, tenant  # noqa: E402

EXECUTORS = 3
ROUNDS, CLIENTS = 20, 60
KILL_AFTER_MS = (0.5, 1, 1.5, 2, 2.5, 3, 4, 5)
BACK_AFTER_S = 0.5
REJECTIONS = (400, 401, 403, 404, 429, 503)
LONGEST_S = 95


def key_of(n):
    return f"key-{n:04d}-000000000000"


def keys_from(n):
    """The configuration before round n: its key, and another that stays."""
    return [tenant("north", key_of(n), weight=500), tenant("south", "key-south-0000000000")]


def request_of(method, path, body, headers=""):
    data = json.dumps(body).encode()
    return (f"{method} {path} HTTP/1.1\r\nHost: farm.example\r\nContent-Type: application/json\r\n{headers}"
            f"Content-Length: {len(data)}\r\n\r\n").encode() + data


def status_from(it):
    """The status of the answer; 0 if the channel ended or no answer came in time."""
    try:
        data = b""
        while b"\r\n\r\n" not in data:
            part = it.recv(4096)
            if not part:
                return 0
            data += part
        return int(data.split()[1])
    except OSError:
        return 0
    finally:
        it.close()


def leader_of(fleet):
    until = time.monotonic() + 10
    while time.monotonic() < until:
        for host in fleet.cores:
            status, text = fleet.call(f"{host}:{PORTS['metrics']}", "GET", "/metrics", quiet=True)
            if status == 200 and any(it.startswith("teasel_is_leader") and float(it.split()[-1]) == 1 for it in text.splitlines()):
                return host
        time.sleep(0.1)
    raise NotRun("no instance says that it leads")


def scenario(fleet):
    fleet.start_all()
    for n in range(EXECUTORS):
        fleet.start_executor(n)
    fleet.put_configuration(configuration(2, keys_from(0), slackFactor=20.0))
    fleet.await_ready()
    time.sleep(3)
    answers = {}

    def receive(it, out, job):
        out[job] = status_from(it)

    work = {"spec": "work 100", "steps": [{"count": 1, "cpu": 100, "memMb": 100, "estimateMs": 100}]}
    end = time.monotonic() + LONGEST_S
    n = 0
    while n < ROUNDS and time.monotonic() < end - 10:
        time.sleep(1.2)  # the metrics name the leader once a second
        leader = leader_of(fleet)

        # All calls are on open channels, so that they arrive within a few milliseconds.
        sockets = []
        for k in range(CLIENTS):
            job = job_id()
            front = fleet.fronts[k % len(fleet.fronts)]
            it = socket.create_connection((front, PORTS["front"]), timeout=4)
            it.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sockets.append((job, it, request_of("POST", f"/blend/{job}", work, f"Authorization: Bearer {key_of(n)}\r\nDeadline-Ms: 3000\r\n")))
        operator = socket.create_connection((leader, PORTS["control"]), timeout=2)
        operator.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        change = request_of("POST", "/config/put", configuration(3 + n, keys_from(n + 1), slackFactor=20.0))
        process = fleet.processes[f"core-0-{leader.split('.')[3]}"]
        wait = KILL_AFTER_MS[n % len(KILL_AFTER_MS)] / 1000
        for k, (_, it, data) in enumerate(sockets):
            if k == CLIENTS // 2:
                operator.sendall(change)
            it.sendall(data)
        sent = time.monotonic()
        while time.monotonic() < sent + wait:
            pass
        if TROUBLE:
            process.kill()
            fleet.record("killed", name=leader, after_ms=wait * 1000)
        threads = [threading.Thread(target=receive, args=(it, answers, job)) for job, it, _ in sockets]
        for it in threads:
            it.start()
        time.sleep(BACK_AFTER_S)
        if TROUBLE:
            process.wait()
            fleet.start("core", leader)
        for it in threads:
            it.join()
        operator.close()
        fleet.record("round", number=n, answers=sorted(answers[job] for job, _, _ in sockets))
        fleet.put_configuration(configuration(3 + n, keys_from(n + 1), slackFactor=20.0))
        n += 1
    time.sleep(4)
    broken = []
    for it in fleet.seen(event="started"):
        job = it["task"].split(".")[0]
        if answers.get(job) in REJECTIONS:
            broken.append((job, answers[job]))
            fleet.record("ran_though_rejected", task=it["task"], executor=it["executor"], status=answers[job])
    count = {it: list(answers.values()).count(it) for it in sorted(set(answers.values()))}
    return not broken, f"{n} rounds, answers {count}; {len(broken)} submissions ran whose only call was rejected: {broken[:4]}"


run_case(os.path.dirname(os.path.abspath(__file__)), scenario)
