"""An executor of the platform as a process of its own: announcements, /run-start, /run-stop and /hold.

Writes a line of JSON for each start and end to standard output, with the time of CLOCK_MONOTONIC. The specification of a
task says what it does: "work MS" takes MS milliseconds, "gang MS COUNT" as well once all its members are present, and
"deadly MS" kills the executor. SIGUSR1 cuts it off, SIGUSR2 ends that.
"""

import argparse
import http.client
import json
import os
import signal
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

STOP_S = 0.05
TICK_S = 0.01
GANG_WAIT_S = 3
MAX_LISTED = 500
MAX_WAIT_MS = 2000
FIRST_CLOCK_MS = 1000
ANNOUNCE_S = 1.0


class Run:
    def __init__(self, key, spec, now):
        self.key = key
        self.kind, *numbers = spec.split()
        self.work_s = int(numbers[0]) / 1000
        self.members = int(numbers[1]) if self.kind == "gang" else 0
        self.started_at, self.stop_at = now, None
        self.ends_at = None if self.members else now + self.work_s


class Executor:
    def __init__(self, options):
        self.options = options
        self.changed = threading.Condition()
        self.started_at = time.monotonic()
        self.born = int(time.time() * 1000)
        self.fence, self.lease_until = 0, 0
        self.running = {}  # by task and run
        self.highest = {}  # run that was stopped or has ended, by task
        self.ends, self.last_end = [], 0
        self.is_reachable = threading.Event()
        self.is_reachable.set()

    def clock(self, now=None):
        return FIRST_CLOCK_MS + int(((now or time.monotonic()) - self.started_at) * 1000 * self.options.clock_rate)

    def lease_end(self):
        return self.started_at + (self.lease_until - FIRST_CLOCK_MS) / 1000 / self.options.clock_rate

    def log(self, event, at, key, **fields):
        line = {"at": at, "executor": self.options.id, "born": self.born, "event": event, "task": key[0], "run": key[1]}
        sys.stdout.write(json.dumps({**line, **fields}) + "\n")
        sys.stdout.flush()

    # ---- Members of a gang see each other through files --------------------

    def gang_file(self, key, suffix):
        return os.path.join(self.options.gangs, f"{key[0].rpartition('.')[0]}.{key[1]}.{suffix}")

    def show_member(self, run):
        path = self.gang_file(run.key, "member." + run.key[0].rpartition(".")[2])
        with open(path + ".new", "w", encoding="ascii") as out:
            out.write(f"{self.lease_end()} {os.getpid()}")
        os.replace(path + ".new", path)

    def members_present(self, run, now):
        present = 0
        for n in range(run.members):
            try:
                with open(self.gang_file(run.key, f"member.{n}"), encoding="ascii") as member:
                    lease_end, process = member.read().split()
                present += float(lease_end) > now and os.path.exists(f"/proc/{process}")
            except OSError:
                pass
        return present

    def advance_gang(self, run, now):
        """Returns how the run ends, if it does."""
        done = self.gang_file(run.key, "done")
        if os.path.exists(done):
            return "done"
        is_complete = self.members_present(run, now) == run.members
        if run.ends_at is None and is_complete:
            run.ends_at = now + run.work_s
        elif run.ends_at is None and now > run.started_at + GANG_WAIT_S:
            return "alone"
        elif run.ends_at is not None and not is_complete:
            return "broken"
        elif run.ends_at is not None and now >= run.ends_at:
            with open(done, "w", encoding="ascii"):
                return "done"
        return None

    # ---- Runs; the caller holds the lock ------------------------------------

    def end(self, run, how, at):
        del self.running[run.key]
        if run.members and how != "done":
            try:
                os.unlink(self.gang_file(run.key, "member." + run.key[0].rpartition(".")[2]))
            except FileNotFoundError:
                pass
        self.last_end += 1
        self.ends.append([self.last_end, *run.key, how, ""])
        self.highest[run.key[0]] = max(self.highest.get(run.key[0], 0), run.key[1])
        self.log("ended", at, run.key, how=how)
        self.changed.notify_all()

    def advance(self):
        now = time.monotonic()
        for run in list(self.running.values()):
            due = [(self.lease_end(), "lapsed")]  # first: what ends in the same moment as the lease has lapsed
            if run.stop_at is not None:
                due.append((run.stop_at, "stopped"))
            if run.ends_at is not None and not run.members:
                due.append((run.ends_at, "done"))
            at, how = min(due, key=lambda it: it[0])
            if at <= now and how == "done" and run.kind == "deadly":
                if now < self.lease_end():
                    os.kill(os.getpid(), signal.SIGKILL)
                self.end(run, "lapsed", self.lease_end())  # It was frozen.
            elif at <= now:
                self.end(run, how, at)
            elif run.members:
                how = self.advance_gang(run, now)
                if how is not None:
                    self.end(run, how, now)

    def extend(self, body):
        granted = min(int(body.get("deadlineMs", 0)), self.clock() + self.options.lease_ms)
        if granted <= self.lease_until:
            return
        self.lease_until = granted
        for run in self.running.values():
            if run.members:
                self.show_member(run)

    def start(self, body):
        key = (body["task"], body["run"])
        if key in self.running:
            self.extend(body)
            return 200, {}
        if body["deadlineMs"] <= self.clock():
            return 409, {"reason": "late"}
        self.extend(body)
        if key[1] <= self.highest.get(key[0], 0) or any(it[0] == key[0] and it[1] > key[1] for it in self.running):
            return 409, {"reason": "old"}
        now = time.monotonic()
        run = self.running[key] = Run(key, body["spec"], now)
        if run.members:
            self.show_member(run)
        self.log("started", now, key)
        return 200, {}

    def stop(self, body):
        key = (body["task"], body["run"])
        if key in self.running:
            self.running[key].stop_at = self.running[key].stop_at or time.monotonic() + STOP_S
        else:
            self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        return 200, {}

    def hold(self, body):
        self.extend(body)
        self.ends = [it for it in self.ends if it[0] > body.get("lastSeen", 0)]
        until = time.monotonic() + min(MAX_WAIT_MS, body.get("waitMs", 0)) / 1000
        while not self.ends and time.monotonic() < until:
            self.changed.wait(max(0.001, until - time.monotonic()))
        self.advance()
        running = [[*it, "", 50, 0] for it in self.running]
        return 200, {"running": running, "finished": self.ends[:MAX_LISTED]}

    def answer(self, path, body):
        action = {"/run-start": self.start, "/run-stop": self.stop, "/hold": self.hold}.get(path)
        if action is None:
            return 404, {}
        with self.changed:
            self.advance()  # An expired lease is not extended.
            fence = body.get("fencingToken", 0)
            if fence < self.fence:
                return 409, {"reason": "fence", "clockMs": self.clock()}
            self.fence = fence
            status, answer = action(body)
            return status, {**answer, "clockMs": self.clock()}

    def announce(self):
        """Sends an announcement every second, to the next core instance if one does not acknowledge it."""
        sequence, node = 0, 0
        while True:
            sequence += 1
            body = {"service": "filling", "address": self.options.address, "zone": "dc1", "version": "v1", "slots": 8,
                    "state": "ready", "coldRemainingMs": 0, "capacity": {"cpu": 8000, "memMb": 32768, "gpu": 0},
                    "labels": ["a", "r1-1"], "clockMs": self.clock(), "sequence": sequence, "born": self.born}
            for _ in self.options.control:
                self.is_reachable.wait()
                channel = http.client.HTTPConnection(self.options.control[node], timeout=1)
                try:
                    channel.request("POST", f"/instances/{self.options.id}/heartbeat", json.dumps(body),
                                    {"Content-Type": "application/json"})
                    if channel.getresponse().status // 100 == 2:
                        break
                except (OSError, http.client.HTTPException):
                    pass
                finally:
                    channel.close()
                node = (node + 1) % len(self.options.control)
            time.sleep(ANNOUNCE_S)


def make_handler(executor):
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def do_GET(self):
            self.reply(200 if self.path == "/health" else 404, {})

        def do_POST(self):
            body = json.loads(self.rfile.read(int(self.headers.get("Content-Length", 0))))
            if self.headers.get("Expect-Instance", executor.options.id) != executor.options.id:
                self.reply(421, {})
            elif not executor.is_reachable.is_set():
                self.lose()
            else:
                self.reply(*executor.answer(self.path, body))

        def lose(self):
            executor.is_reachable.wait()
            self.close_connection = True

        def reply(self, status, body):
            if not executor.is_reachable.is_set():
                return self.lose()
            data = json.dumps({"clockMs": executor.clock(), "born": executor.born, **body}).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            return self.wfile.write(data)

        def log_message(self, *_):
            pass

    return Handler


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, *_):
        pass


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--id", required=True)
    parser.add_argument("--address", required=True)
    parser.add_argument("--gangs", required=True, help="folder that all executors share")
    parser.add_argument("--lease-ms", type=int, required=True)
    parser.add_argument("--clock-rate", type=float, default=1.0)
    parser.add_argument("control", nargs="+")
    options = parser.parse_args()
    executor = Executor(options)
    signal.signal(signal.SIGUSR1, lambda *_: executor.is_reachable.clear())
    signal.signal(signal.SIGUSR2, lambda *_: executor.is_reachable.set())
    host, port = options.address.split(":")
    server = Server((host, int(port)), make_handler(executor))
    threading.Thread(target=server.serve_forever, daemon=True).start()
    threading.Thread(target=executor.announce, daemon=True).start()
    executor.log("ready", executor.started_at, ("", 0))
    while True:
        with executor.changed:
            executor.advance()
        time.sleep(TICK_S)


main()
