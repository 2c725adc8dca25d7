"""Stand-in for one executor of the platform, as PROTOCOL.md describes it: heartbeats, /run-start, /run-stop, /hold.

Runs as a process of its own, so that a test can end it with a signal. It writes one JSON object per event to standard
output, with the time of CLOCK_MONOTONIC in seconds. The specification of a task says what its work does:
"work MS" takes MS milliseconds and ends `done`; "fail MS" ends `failed` after MS milliseconds; "last" runs until it is
stopped. With --die-token FILE the process ends itself when it begins a task while the file exists, before it answers the
start; it removes the file first, so that one executor ends.
"""

import argparse
import json
import os
import socket
import sys
import threading
import time
import urllib.request
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

STOP_S = 0.05  # how long a stop takes; the contract allows killGraceMs
MAX_LISTED = 500
MAX_WAIT_MS = 2000


class Executor:
    def __init__(self, options):
        self.options = options
        self.lock = threading.Condition()
        self.started = time.monotonic()
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.lease_until = 0  # on this executor's clock, in ms
        self.running = {}  # (task, run) -> state
        self.highest = {}  # task -> highest run that was stopped, or has ended here
        self.ends = []
        self.last_end = 0
        self.state = "ready"

    def clock(self):
        return 1000 + int((time.monotonic() - self.started) * 1000)

    def log(self, event, **fields):
        line = json.dumps({"t": round(time.monotonic(), 4), "executor": self.options.id, "event": event, **fields})
        sys.stdout.write(line + "\n")
        sys.stdout.flush()

    def end(self, key, how):
        """The caller holds the lock."""
        if self.running.pop(key, None) is None:
            return
        self.last_end += 1
        self.ends.append([self.last_end, key[0], key[1], how, ""])
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        self.log("ended", task=key[0], run=key[1], how=how)
        self.lock.notify_all()

    def extend(self, deadline):
        self.lease_until = max(self.lease_until, min(deadline, self.clock() + self.options.hold_max_ms))

    def check(self):
        with self.lock:
            now = self.clock()
            for key, it in list(self.running.items()):
                if it["stop_at"] is not None and now >= it["stop_at"]:
                    self.end(key, "stopped")
                elif now >= self.lease_until:
                    self.end(key, "lapsed")
                elif it["ends_at"] is not None and now >= it["ends_at"]:
                    self.end(key, it["how"])

    def fenced(self, body):
        token = body.get("fencingToken", 0)
        if token < self.fence:
            return True
        self.fence = token
        return False

    def must_die(self):
        try:
            os.unlink(self.options.die_token)
            return True
        except OSError:
            return False

    def start(self, body):
        with self.lock:
            key = (body["task"], body["run"])
            if self.fenced(body):
                return 409, {"reason": "fence"}
            if body["deadlineMs"] <= self.clock():
                return 409, {"reason": "late"}
            if key in self.running:
                self.extend(body["deadlineMs"])
                return 200, {}
            if body["run"] <= self.highest.get(body["task"], 0):
                self.extend(body["deadlineMs"])
                return 409, {"reason": "old"}
            self.extend(body["deadlineMs"])
            kind, _, ms = body["spec"].partition(" ")
            ends_at = None if kind == "last" else self.clock() + int(ms)
            self.running[key] = {"how": "failed" if kind == "fail" else "done", "ends_at": ends_at, "stop_at": None}
            self.log("started", task=key[0], run=key[1], spec=body["spec"], fence=body.get("fencingToken", 0),
                     checkpoint=body.get("checkpoint", ""))
            if self.must_die():
                self.log("died", task=key[0], run=key[1])
                os._exit(9)
            return 200, {}

    def stop(self, body):
        with self.lock:
            if self.fenced(body):
                return 409, {"reason": "fence"}
            key = (body["task"], body["run"])
            if key in self.running:
                self.running[key]["stop_at"] = self.clock() + int(STOP_S * 1000)
            else:
                self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
            self.log("stop", task=key[0], run=key[1])
            return 200, {}

    def hold(self, body):
        with self.lock:
            if self.fenced(body):
                return 409, {"reason": "fence"}
            if body.get("deadlineMs"):
                self.extend(body["deadlineMs"])
            self.ends = [it for it in self.ends if it[0] > body.get("lastSeen", 0)]
            until = time.monotonic() + min(MAX_WAIT_MS, body.get("waitMs", 0)) / 1000
            while not self.ends and time.monotonic() < until:
                self.lock.wait(max(0.001, until - time.monotonic()))
            now = self.clock()
            running = [[key[0], key[1], "", 100 if it["ends_at"] is None else 50, 0] for key, it in self.running.items()]
            return 200, {"running": running, "finished": self.ends[:MAX_LISTED], "clockMs": now}


def make_handler(executor):
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def do_GET(self):
            self.reply(200 if self.path == executor.options.health_path else 404, {})

        def do_POST(self):
            body = json.loads(self.rfile.read(int(self.headers.get("Content-Length", 0))))
            if self.headers.get("Expect-Instance", executor.options.id) != executor.options.id:
                return self.reply(421, {})
            action = {"/run-start": executor.start, "/run-stop": executor.stop, "/hold": executor.hold}.get(self.path)
            if action is None:
                return self.reply(404, {})
            return self.reply(*action(body))

        def reply(self, status, body):
            body.setdefault("clockMs", executor.clock())
            body["born"] = executor.born
            data = json.dumps(body).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        def log_message(self, *_):
            pass

    return Handler


def beat(executor):
    options = executor.options
    sequence, node = 0, 0
    while True:
        sequence += 1
        body = {"service": options.service, "address": options.address, "zone": options.zone, "version": "v1", "slots": 8,
                "state": executor.state, "coldRemainingMs": 0,
                "capacity": {"cpu": options.cpu, "memMb": options.mem, "gpu": 0}, "labels": [options.kind, options.rack],
                "clockMs": executor.clock(), "sequence": sequence, "born": executor.born}
        for _ in range(len(options.control)):
            url = f"http://{options.control[node]}/instances/{options.id}/heartbeat"
            request = urllib.request.Request(url, json.dumps(body).encode(), {"Content-Type": "application/json"}, method="POST")
            try:
                with urllib.request.urlopen(request, timeout=1) as response:
                    if 200 <= response.status < 300:
                        break
            except OSError:
                pass
            node = (node + 1) % len(options.control)
        time.sleep(options.heartbeat_ms / 1000)


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128
    address_family = socket.AF_INET

    def handle_error(self, *_):
        pass


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--address", required=True)
    parser.add_argument("--service", default="filling")
    parser.add_argument("--zone", default="dc1")
    parser.add_argument("--kind", default="a")
    parser.add_argument("--rack", default="r1-1")
    parser.add_argument("--cpu", type=int, default=32000)
    parser.add_argument("--mem", type=int, default=131072)
    parser.add_argument("--hold-max-ms", type=int, default=6000)
    parser.add_argument("--heartbeat-ms", type=int, default=1500)
    parser.add_argument("--health-path", default="/health")
    parser.add_argument("--die-token", default="")
    parser.add_argument("control", nargs="+")
    options = parser.parse_args()
    executor = Executor(options)
    host, port = options.address.split(":")
    server = Server((host, int(port)), make_handler(executor))
    threading.Thread(target=server.serve_forever, daemon=True).start()
    threading.Thread(target=beat, args=(executor,), daemon=True).start()
    executor.log("up", born=executor.born)
    while True:
        executor.check()
        time.sleep(0.01)


main()
