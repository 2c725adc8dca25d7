"""Large urgent submissions that only a few executors may run keep all other submissions from starting."""

import json
import http.server
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-2"))
from standins import Deployment, Executor, QuietServer, configuration, newId, route, runCase, trouble  # noqa: E402

EXECUTORS = 12
CORES = 32000  # of an executor, in thousandths
KIND_B = 2  # executors of the kind that the large submissions need
FINISH_S = 14  # after the end of the traffic
WINDOW_S = 3
ADVICE = {"decideMs": 9.3, "intervalMs": 0.13, "validityMs": 2500}  # as for weigh-check
LARGE = {"spec": "work=8000 cpu=5900",
         "steps": [{"count": 60, "cpu": 5900, "memMb": 4000, "estimateMs": 8000, "requiredLabel": "b"}]}
SMALL = {"spec": "work=800 cpu=2800", "steps": [{"count": 2, "cpu": 2800, "memMb": 4000, "estimateMs": 800}]}


class LabelledExecutor(Executor):
    kind = "a"

    def pingBody(self):
        body = super().pingBody()
        body["labels"] = [self.kind, self.rack]
        return body


def startAdvice(record, address):
    """The recommendation service: grants every executor that a call names, one call at a time for each caller."""
    callers = {}

    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def log_message(self, *_):
            pass

        def do_POST(self):
            body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
            with callers.setdefault(self.client_address[0], threading.Lock()):
                time.sleep((ADVICE["decideMs"] + ADVICE["intervalMs"] * len(body["workers"])) / 1000)
            record.add(f"advice: {body['step']} for {len(body['workers'])} executors")
            data = json.dumps({"granted": [[it, f"ticket-{it}"] for it in body["workers"]]}).encode()
            self.send_response(200)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

    host, port = address.rsplit(":", 1)
    server = QuietServer((host, int(port)), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()


def scenario(record, temporary):
    deployment = Deployment(record, temporary)
    deployment.advice = f"{deployment.block}.90:{deployment.ports['advice']}"
    startAdvice(record, deployment.advice)
    zones = list(deployment.zones)
    executors = [LabelledExecutor(record, f"w{n}", deployment.executorAddress(), deployment.controls, cpu=CORES,
                                  memMb=131072, zone=zones[n % 3], rack=f"r{n % 3}-{n // 6}", needsTicket=lambda _: True)
                 for n in range(EXECUTORS)]
    for it in executors[:KIND_B]:
        it.kind = "b"
    try:
        deployment.start()
        time.sleep(2)
        routes = [route("r-urgent", "/urgent/", priority=0, recommendation=ADVICE),
                  route("r-plain", "/plain/", priority=1, recommendation=ADVICE)]
        version = configuration(3, routes, ["fill-line"])
        version["tenants"].append({"name": "member-2", "apiKeys": ["key-of-the-tenant-0002"], "priority": 1,
                                   "weight": 40, "cap": {"cpu": 192000, "memMb": 786432, "gpu": 0}})
        deployment.putConfiguration(version)
        for it in executors:
            it.start()
        time.sleep(3)
        if trouble():
            for _ in range(2):
                if not deployment.submit("/urgent/" + newId(), LARGE):
                    raise RuntimeError("a large submission was not accepted")
        time.sleep(1)
        small = "/plain/" + newId()
        status, _ = deployment.client("POST", small, SMALL, key="key-of-the-tenant-0002")
        record.add(f"client: POST {small} -> {status}")
        if status != 200:
            raise RuntimeError("the small submission was not accepted")
        ended = time.monotonic()  # of the traffic
        hasRun = False
        lowest = 1.0
        highest = 0.0
        state = None
        while time.monotonic() < ended + FINISH_S + WINDOW_S:
            job = small.rsplit("/", 1)[1]
            runs = [run.task for it in executors for run in it.runList()]
            hasRun = hasRun or any(it.startswith(job) for it in runs)
            if time.monotonic() >= ended + FINISH_S:
                share = sum(it.used() for it in executors) / (EXECUTORS * CORES)
                lowest, highest = min(lowest, share), max(highest, share)
            was, state = state, deployment.client("GET", small, key="key-of-the-tenant-0002")[1].decode()
            if state != was:
                record.add(f"client: GET {small} -> {state}")
            if "completed" in state:
                break
            time.sleep(0.02)
        if highest > 0:
            record.add(f"in the last {WINDOW_S} s between {lowest:.2f} and {highest:.2f} of the cores were in use")
        if "completed" in state or hasRun:
            return []
        if highest >= 0.5:
            raise RuntimeError("half of the service's capacity was in use")
        return [f"LOST: {small} has had nothing running for {FINISH_S + WINDOW_S} s, while at most"
                f" {highest:.2f} of the cores were in use and its tenant ran nothing"]
    finally:
        deployment.stop()
        for line in deployment.logs():
            if "event=job_" in line or "event=capacity_use" in line:
                record.add(line[:420])


runCase(FOLDER, scenario)
