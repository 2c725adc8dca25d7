"""Leases of executors expire, one after the other and several at a time, and the leader is lost beside that.

Guards against jobs that are shown as failed though none of their tasks failed or crashed its executors (LOST, issue 66).
The moments are drawn from --seed. Core instances and executors are frozen, cut off, killed and started again.
"""

import argparse
import heapq
import http.client
import json
import os
import random
import signal
import sys
import tempfile
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "tools"))
from checks import Checks  # noqa: E402
from fleet import LOOPBACK_RANGE, Process, lock_loopback_range  # noqa: E402
from job_plane import CALLERS_PORT, CONFIGURATION, CONTROL_PORT, METRICS_PORT, start_instances  # noqa: E402

CORES = [f"127.{1 + LOOPBACK_RANGE}.0.{n + 1}" for n in range(3)]
FRONTS = [f"127.{1 + LOOPBACK_RANGE}.1.{n + 1}" for n in range(2)]
EXECUTORS = [f"127.{1 + LOOPBACK_RANGE}.2.{n + 1}:18190" for n in range(8)]
EXECUTOR_PROGRAM = os.path.join(os.path.dirname(os.path.abspath(__file__)), "executor_process.py")
GRACE_S = 4
DEADLINE_S = 3
CATCH_UP_S = 3  # of a core instance that is back
MAX_ATTEMPTS = CONFIGURATION["routes"][0]["maxAttempts"]
MAX_INNOCENT_CRASHES = 1  # of executors, under one task
MAX_DEADLY_STARTS = 5
MIN_PURSUED_LAPSES = 4
MAX_AWAY = 4  # executors that a random fault leaves unreachable
PURSUED_MS, PURSUED_CPU = 4000, 7500  # on an executor without deadly tasks
GANG_MS, GANG = 2000, 3
DEADLY_MS = (100, 400, 900)
MAX_PURSUIT_DELAY_S = 0.8
# Silence beyond a lease. The leader counts the lease from the last renewal that it sent, up to 2 s into the silence.
MIN_SILENCE_S, MIN_PURSUED_SILENCE_S, MAX_SILENCE_S = 1, 2.5, 4


def call(host, port, method, path, body=None):
    """Returns status and body; status 0 if there was no answer."""
    channel = http.client.HTTPConnection(host, port, timeout=DEADLINE_S + 1)
    headers = {"Host": "farm.example", "Content-Type": "application/json", "Deadline-Ms": str(DEADLINE_S * 1000)}
    try:
        channel.request(method, path, None if body is None else json.dumps(body), headers)
        response = channel.getresponse()
        return response.status, response.read().decode()
    except (OSError, http.client.HTTPException):
        return 0, ""
    finally:
        channel.close()


def find_leader():
    for n, host in enumerate(CORES):
        _, text = call(host, METRICS_PORT, "GET", "/metrics")
        if any(it.startswith("teasel_is_leader") and float(it.split()[-1]) == 1 for it in text.splitlines()):
            return f"core-{n + 1}"
    return None


class Client(threading.Thread):
    """Submits jobs and asks for their states."""

    def __init__(self, seed):
        super().__init__()
        self.random = random.Random(seed)
        self.submissions, self.specs, self.states = [], {}, {}  # by job
        self.over = threading.Event()

    def submit(self, spec, count, cpu=1000, is_gang=False):
        job = f"{self.random.getrandbits(64):016x}"
        step = {"count": count, "cpu": cpu, "memMb": 100, "estimateMs": int(spec.split()[1])}
        if is_gang:
            step["gangScheduled"] = True
        self.submissions.append((job, {"spec": spec, "steps": [step]}))
        self.specs[job] = spec
        return job

    def open_jobs(self):
        return [it for it in list(self.specs) if self.states.get(it) not in ("completed", "failed", "cancelled")]

    def run(self):
        while not self.over.wait(0.2):
            while self.submissions:
                job, body = self.submissions[0]
                # A rejected submission never runs and may be sent again like one without an answer.
                if call(self.random.choice(FRONTS), CALLERS_PORT, "POST", f"/weigh/{job}", body)[0] != 200:
                    break
                self.submissions.pop(0)
                self.states[job] = "accepted"
            for job in self.open_jobs():
                if job not in self.states:
                    continue
                status, text = call(self.random.choice(FRONTS), CALLERS_PORT, "GET", f"/weigh/{job}")
                if status in (200, 410):
                    self.states[job] = json.loads(text)["state"] if status == 200 else "unknown"


class Executors:
    """The executors' processes, the faults that hit them, and what they ran."""

    def __init__(self, folder, lease_ms, draw):
        gangs = os.path.join(folder, "gangs")
        os.mkdir(gangs)
        self.processes, self.read_to = {}, {}
        self.ready, self.lost, self.killed = set(), set(), set()  # lost: frozen or cut off
        self.runs = {}  # [start, end, how] by executor, its start time, task and run
        self.faults = []
        for n, address in enumerate(EXECUTORS):
            name = f"x{n + 1}"
            command = [sys.executable, EXECUTOR_PROGRAM, "--id", name, "--address", address, "--gangs", gangs, "--lease-ms",
                       str(lease_ms), "--clock-rate", str(draw.choice((0.98, 1.0)))]
            command += [f"{it}:{CONTROL_PORT}" for it in CORES]
            self.processes[name] = Process(name, command, os.path.join(folder, f"{name}.log"))
            self.read_to[name] = 0
            self.processes[name].start()

    def read(self):
        for name, process in self.processes.items():
            with open(process.log_path, "rb") as log:
                log.seek(self.read_to[name])
                text = log.read()
            text = text[:text.rfind(b"\n") + 1]
            self.read_to[name] += len(text)
            for line in text.decode().splitlines():
                if line.startswith("{"):
                    self.take(name, json.loads(line))

    def take(self, name, it):
        key = (name, it["born"], it["task"], it["run"])
        if it["event"] == "ready":
            self.ready.add(name)
        elif it["event"] == "started":
            self.runs[key] = [it["at"], None, None]
        elif it["event"] == "ended":
            self.runs[key][1:] = [it["at"], it["how"]]

    def record(self, fault, name):
        self.faults.append((time.time(), fault, name))

    def reachable(self):
        return sorted(self.ready - self.lost)

    def lose(self, name, is_frozen):
        self.record("frozen" if is_frozen else "cut", name)
        self.lost.add(name)
        self.processes[name].signal(signal.SIGSTOP if is_frozen else signal.SIGUSR1)

    def regain(self, name):
        if name in self.lost:  # It may have crashed meanwhile.
            self.lost.remove(name)
            self.record("back", name)
            self.processes[name].signal(signal.SIGCONT)
            self.processes[name].signal(signal.SIGUSR2)

    def kill(self, name):
        self.record("killed", name)
        self.killed.add(name)
        self.processes[name].kill()
        self.end_crashed(name)

    def start(self, name):
        self.record("started", name)
        self.killed.discard(name)
        self.processes[name].start()

    def reap(self):
        """Returns the executors that a deadly task has killed since."""
        out = [name for name, it in self.processes.items() if not it.running() and name not in self.killed]
        for name in out:
            self.record("crashed", name)
            self.killed.add(name)
            self.end_crashed(name)
        return out

    def end_crashed(self, name):
        self.read()
        self.ready.discard(name)
        self.lost.discard(name)
        for key, run in self.runs.items():
            if key[0] == name and run[1] is None:
                run[1:] = [time.monotonic(), "crashed"]

    def executor_of(self, job):
        """A reachable executor that runs a task of the job."""
        names = [key[0] for key, run in self.runs.items() if key[2].startswith(job) and run[1] is None]
        return next((it for it in names if it in self.ready and it not in self.lost), None)

    def starts_of(self, job):
        return sum(key[2].startswith(job) for key in self.runs)

    def most_ends(self, job, how):
        """The highest number of such ends of one task of the job."""
        ends = {}
        for key, run in self.runs.items():
            if key[2].startswith(job) and run[2] == how:
                ends[key[2]] = ends.get(key[2], 0) + 1
        return max(ends.values(), default=0)

    def overlaps(self):
        """Runs of one task that were in progress at once."""
        by_task, out = {}, []
        for (name, _, task, run), (start, end, how) in self.runs.items():
            if end is None or end > start:
                by_task.setdefault(task, []).append((start, end or time.monotonic(), name, run, how))
        for task, runs in by_task.items():
            runs.sort()
            latest = runs[0]
            for it in runs[1:]:
                if it[0] < latest[1]:
                    out.append((task, latest, it))
                latest = max(latest, it, key=lambda run: run[1])
        return out


class Trouble:
    """Faults and jobs at drawn moments."""

    def __init__(self, draw, cores, executors, client, lease_ms):
        self.draw, self.cores, self.executors, self.client = draw, cores, executors, client
        self.lease_s = lease_ms / 1000
        self.due, self.number = [], 0  # time, number, function
        self.is_over = False
        self.is_core_away, self.has_killed_for_good = False, False
        self.pursued, self.is_pursuing = [], False
        self.counts = {}

    def after(self, seconds, function, *arguments):
        self.number += 1
        heapq.heappush(self.due, (time.monotonic() + seconds, self.number, lambda: function(*arguments)))

    def count(self, fault):
        self.counts[fault] = self.counts.get(fault, 0) + 1

    def lose(self, name, shortest_s=MIN_SILENCE_S):
        is_frozen = self.draw.random() < 0.5
        self.count("frozen" if is_frozen else "cut off")
        self.executors.lose(name, is_frozen)
        self.after(self.lease_s + self.draw.uniform(shortest_s, MAX_SILENCE_S), self.executors.regain, name)

    def kill(self, name, is_back):
        self.count("killed" if is_back else "killed for good")
        self.executors.kill(name)
        if is_back:
            self.after(self.draw.uniform(0.1, 2 * self.lease_s), self.executors.start, name)

    def hit_any(self):
        if self.is_over:
            return None
        self.after(self.draw.uniform(0.5, 4), self.hit_any)
        names = self.executors.reachable()
        if len(EXECUTORS) - len(names) >= MAX_AWAY:
            return None
        name, fault = self.draw.choice(names), self.draw.random()
        if fault < 0.6:
            return self.lose(name)
        is_back = fault < 0.9 or self.has_killed_for_good
        self.has_killed_for_good = self.has_killed_for_good or not is_back
        return self.kill(name, is_back)

    def pursue(self):
        """The executors of one task are lost, one after the other."""
        self.is_pursuing = False
        name = self.executors.executor_of(self.pursued[-1])
        if name is None or self.is_over:
            return
        if self.draw.random() < 0.5:
            self.after(self.draw.uniform(0, self.lease_s), self.hit_leader)
        self.lose(name, MIN_PURSUED_SILENCE_S)

    def hit_leader(self):
        leader = None if self.is_core_away or self.is_over else find_leader()
        if leader is None:
            return
        self.is_core_away = True
        process = self.cores[leader]
        is_frozen = self.draw.random() < 0.5
        self.count("leader frozen" if is_frozen else "leader killed")
        self.executors.record("frozen" if is_frozen else "killed", leader)
        if is_frozen:
            process.signal(signal.SIGSTOP)
        else:
            process.kill()
        self.after(self.draw.uniform(0.3, 4), self.return_core, leader)

    def return_core(self, name):
        self.executors.record("back", name)
        if self.cores[name].running():
            self.cores[name].signal(signal.SIGCONT)
        else:
            self.cores[name].start()
        self.after(CATCH_UP_S, self.allow_core_faults)

    def allow_core_faults(self):
        self.is_core_away = False

    def submit_ordinary(self):
        if not self.is_over:
            self.client.submit(f"work {self.draw.randint(300, 3000)}", self.draw.randint(1, 4))
            self.after(self.draw.uniform(0.5, 3), self.submit_ordinary)

    def pass_until(self, end, is_over=lambda: False):
        while time.monotonic() < end and not is_over():
            while self.due and self.due[0][0] <= time.monotonic():
                heapq.heappop(self.due)[2]()
            for name in self.executors.reap():
                self.after(self.draw.uniform(0.1, 2 * self.lease_s), self.executors.start, name)
            self.executors.read()
            if not self.is_over and self.pursued[-1] not in self.client.open_jobs():
                self.submit_pursued()
            if not self.is_pursuing and self.executors.executor_of(self.pursued[-1]) is not None:
                self.is_pursuing = True
                self.after(self.draw.uniform(0, MAX_PURSUIT_DELAY_S), self.pursue)
            time.sleep(0.04)

    def run(self, seconds, settle_s):
        """Returns the deadly job."""
        self.submit_pursued()
        self.client.submit(f"gang {GANG_MS} {GANG}", GANG, is_gang=True)
        deadly = self.client.submit(f"deadly {self.draw.choice(DEADLY_MS)}", 1)
        self.submit_ordinary()
        self.hit_any()
        self.pass_until(time.monotonic() + seconds)
        self.pass_until(time.monotonic() + seconds / 2, self.has_lost_series)
        self.is_over = True
        self.pass_until(time.monotonic() + settle_s, lambda: not self.client.open_jobs() and not self.executors.lost)
        return deadly

    def submit_pursued(self):
        self.pursued.append(self.client.submit(f"work {PURSUED_MS}", 1, PURSUED_CPU))

    def has_lost_series(self):
        failed = any(self.client.states.get(it) == "failed" for it in self.pursued)
        return failed or max(self.executors.most_ends(it, "lapsed") for it in self.pursued) >= MIN_PURSUED_LAPSES


def check_jobs(checks, client, executors, pursued, deadly):
    failed = [it for it in client.specs if client.states.get(it) == "failed" and it != deadly]
    explained = [it for it in failed if executors.most_ends(it, "failed") >= MAX_ATTEMPTS
                 or executors.most_ends(it, "crashed") > MAX_INNOCENT_CRASHES]
    wrong = [(it, client.specs[it]) for it in failed if it not in explained]
    checks.check("a failed job has a task that failed or that crashed executors", not wrong, wrong)
    others = [(it, client.specs[it], client.states.get(it)) for it in client.specs
              if it not in failed and it != deadly and client.states.get(it) != "completed"]
    checks.check("all other jobs complete", not others, others)
    starts = executors.starts_of(deadly)
    checks.check("the deadly job is given up", client.states.get(deadly) == "failed", (client.states.get(deadly), starts))
    checks.check("the deadly task starts at most five times", starts <= MAX_DEADLY_STARTS, starts)
    overlaps = executors.overlaps()
    checks.check("no task runs twice at a time", not overlaps, overlaps[:3])
    lapses = max(executors.most_ends(it, "lapsed") for it in pursued)
    checks.check("a task lost several executors in series", lapses >= MIN_PURSUED_LAPSES, lapses)
    return f"{lapses} lapses of one task, {starts} deadly starts, {len(explained)} failed after crashes"


def scenario(checks, processes, folder, options):
    draw = random.Random(options.seed)
    while call(CORES[0], CONTROL_PORT, "POST", "/config/put", CONFIGURATION)[0] != 200:  # CTest limits the time
        time.sleep(0.1)
    client = Client(draw.random())
    executors = Executors(folder, options.lease_ms, draw)
    cores = {name: it for name, it in processes.items() if name.startswith("core")}
    trouble = Trouble(draw, cores, executors, client, options.lease_ms)
    client.start()
    began = time.monotonic()
    try:
        deadly = trouble.run(options.seconds, options.settle_s)
    finally:
        client.over.set()
        client.join()
        for it in executors.processes.values():
            it.kill()
        with open(os.path.join(folder, "faults.log"), "w", encoding="utf-8") as out:
            out.writelines(json.dumps(it) + "\n" for it in executors.faults)
    executors.read()
    text = check_jobs(checks, client, executors, trouble.pursued, deadly)
    print(f"seed {options.seed}: {time.monotonic() - began:.0f} s, {len(client.specs)} jobs, {trouble.counts}, {text}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=int, default=24, help="of faults")
    parser.add_argument("--settle-s", type=int, default=30, help="for the jobs to end after the faults")
    parser.add_argument("--lease-ms", type=int, default=2000)
    parser.add_argument("--folder", help="keeps logs and settings there")
    options = parser.parse_args()
    lock = lock_loopback_range()
    checks = Checks()
    with tempfile.TemporaryDirectory(prefix="teasel-") as temporary:
        folder = options.folder or temporary
        processes = start_instances(options.build, folder, CORES, FRONTS, GRACE_S, {"max_lease_ms": options.lease_ms})
        try:
            scenario(checks, processes, folder, options)
        finally:
            for it in processes.values():
                it.kill()
    lock.close()
    sys.exit(checks.report())


main()
