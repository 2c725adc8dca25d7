"""Stand-ins for the scripts of this review: executors, clients and the operator, as the users' pages describe them, and
a small deployment of the project's own programs on loopback addresses. Standard library only."""

import http.client
import http.server
import json
import os
import random
import re
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))

# Bounds of the deployment huon-fill, as in the settings example of DEPLOY.md.
BOUNDS = {"graceS": 6, "holdMaxMs": 6000, "killGraceMs": 200, "gangTimeoutMs": 3000, "remotePenalty": 1.5,
          "restoreMs": 100, "contactMs": 3000, "drainMs": 2000, "configApplyMs": 2000}
HEARTBEAT_S = 1.5
PING_TIMEOUT_S = 1.0
CHECKPOINT_INTERVAL_S = 1.0
KEY = "key-of-the-tenant-0001"
HOST = "fill.example"


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.out = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def add(self, text):
        with self.lock:
            if not self.out.closed:
                self.out.write(f"{self.now():8.3f} {text}\n")
                self.out.flush()

    def close(self):
        with self.lock:
            self.out.close()


# ---- HTTP -------------------------------------------------------------------


def call(address, method, path, body=None, headers=None, timeout=3.0):
    """Returns status, body and headers; status 0 when there was no answer."""
    host, port = address.rsplit(":", 1)
    data = None if body is None else (body if isinstance(body, bytes) else json.dumps(body).encode())
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, data, {"Content-Type": "application/json", **(headers or {})})
        response = connection.getresponse()
        return response.status, response.read(), dict(response.getheaders())
    except (OSError, http.client.HTTPException):
        return 0, b"", {}
    finally:
        connection.close()


class QuietServer(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    request_queue_size = 128
    allow_reuse_address = True

    def handle_error(self, request, client_address):
        pass


# ---- Executors --------------------------------------------------------------


class Run:
    def __init__(self, task, run, spec, checkpoint):
        self.task = task
        self.run = run
        self.spec = spec
        self.startedAt = time.monotonic()
        self.checkpoint = checkpoint
        self.workMs = int(re.search(r"work=(\d+)", spec).group(1))
        self.saves = "saves" in spec
        self.baseMs = int(checkpoint[:8], 16) if checkpoint else 0
        self.together = True  # members of a gang wait for the others

    def doneMs(self):
        if not self.together:
            return self.baseMs
        restore = BOUNDS["restoreMs"] if self.baseMs else 0
        return self.baseMs + max(0, (time.monotonic() - self.startedAt) * 1000 - restore)

    def saved(self, atStop=False):
        """The latest checkpoint: one for each interval of work, and one at a stop."""
        if not self.saves:
            return ""
        done = self.doneMs()
        if not atStop:
            step = CHECKPOINT_INTERVAL_S * 1000
            done = max(self.baseMs, int(done / step) * step)
        return f"{int(done):08x}{self.task[:8]}" if done > 0 else ""


class Executor:
    """One machine that runs executors one after the other; `start` begins a new life."""

    def __init__(self, record, name, address, controls, service="fill-line", cpu=32000, memMb=65536, zone="zone-a",
                 rack="r1-1", onEvent=None, needsTicket=None):
        self.record = record
        self.name = name
        self.address = address
        self.controls = controls
        self.service = service
        self.capacity = {"cpu": cpu, "memMb": memMb, "gpu": 0}
        self.zone = zone
        self.rack = rack
        self.onEvent = onEvent or (lambda kind, **fields: None)
        self.needsTicket = needsTicket or (lambda task: False)
        self.lock = threading.RLock()
        self.wake = threading.Condition(self.lock)
        self.life = 0
        self.up = False
        self.dark = False  # gets no packets, and answers none
        self.answersOrders = True
        self.server = None
        self.connections = set()
        self.id = None

    # Life

    def start(self, newId=True):
        with self.lock:
            self.life += 1
            if newId or self.id is None:
                self.id = f"i-{self.name}-{self.life}"
            self.born = int(time.time() * 1000)
            self.clockStart = time.monotonic()
            self.fence = 0
            self.runs = {}
            self.finished = []
            self.lastEnd = 0
            self.barred = {}  # highest run stopped or ended, by task
            self.deadlineMs = 0
            self.sequence = 0
            self.state = "ready"
            self.remainingMs = 0
            self.up = True
            self.dark = False
            life = self.life
        outer = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def setup(self):
                super().setup()
                outer.connections.add(self.connection)

            def finish(self):
                outer.connections.discard(self.connection)
                try:
                    super().finish()
                except OSError:
                    pass

            def log_message(self, *_):
                pass

            def do_POST(self):
                length = int(self.headers.get("Content-Length", "0"))
                body = json.loads(self.rfile.read(length) or b"{}")
                if outer.dark or outer.life != life or not outer.up:
                    outer.waitWhileDark(life)
                    self.close_connection = True
                    return
                outer.handle(self, self.path, body, life)

            def reply(self, status, body):
                data = json.dumps(body).encode()
                try:
                    self.send_response(status)
                    self.send_header("Content-Type", "application/json")
                    self.send_header("Content-Length", str(len(data)))
                    self.end_headers()
                    self.wfile.write(data)
                except OSError:
                    self.close_connection = True

        host, port = self.address.rsplit(":", 1)
        self.server = QuietServer((host, int(port)), Handler)
        threading.Thread(target=self.server.serve_forever, kwargs={"poll_interval": 0.02}, daemon=True).start()
        threading.Thread(target=self.pingLoop, args=(life,), daemon=True).start()
        threading.Thread(target=self.workLoop, args=(life,), daemon=True).start()
        self.record.add(f"executor {self.id} starts at {self.address}, service {self.service}, born {self.born}")

    def waitWhileDark(self, life):
        while self.dark and self.life == life:
            time.sleep(0.05)

    def crash(self, dark=False):
        """Everything that runs here ends at once, without a word. With `dark`, connections hang instead of ending."""
        with self.lock:
            if not self.up:
                return
            running = [(it.task, it.run) for it in self.runs.values()]
            self.up = False
            self.dark = dark
            self.runs = {}
            self.wake.notify_all()
            self.record.add(f"executor {self.id} crashes under {running}")
            for task, run in running:
                self.onEvent("crashed", executor=self, task=task, run=run)
        if not dark:
            self.closeServer()

    def closeServer(self):
        server, self.server = self.server, None
        if server is None:
            return
        server.shutdown()
        server.server_close()
        for it in list(self.connections):
            try:
                it.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self.connections.clear()

    def end(self):
        """Ends without leaving anything running, for good."""
        with self.lock:
            self.up = False
            self.dark = False
            self.life += 1
            self.wake.notify_all()
        self.closeServer()

    def leave(self):
        """After draining: tells the system that it leaves, and ends; what still runs ends with it."""
        for control in self.controls:
            status, _, _ = call(control, "POST", f"/instances/{self.id}/leave", {"born": self.born}, timeout=1)
            if 200 <= status < 300:
                break
        with self.lock:
            running = [(it.task, it.run) for it in self.runs.values()]
            self.record.add(f"executor {self.id} has left, under {running}")
        self.end()

    # Pings

    def pingBody(self):
        with self.lock:
            self.sequence += 1
            body = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": 8,
                    "state": self.state, "coldRemainingMs": 0, "capacity": self.capacity,
                    "labels": ["a", self.rack], "clockMs": self.clockMs(), "sequence": self.sequence,
                    "born": self.born}
            if self.state == "draining":
                body["remainingMs"] = self.remainingMs
            return body

    def ping(self):
        """Calls one node after the other until one acknowledges within a second. Returns whether one has."""
        body = self.pingBody()
        for control in self.controls:
            status, _, _ = call(control, "POST", f"/instances/{self.id}/heartbeat", body, timeout=PING_TIMEOUT_S)
            if 200 <= status < 300:
                return True
        return False

    def pingLoop(self, life):
        while self.life == life and self.up:
            if not self.dark:
                self.ping()
            time.sleep(HEARTBEAT_S)

    # Work

    def clockMs(self):
        return int((time.monotonic() - self.clockStart) * 1000) + 1000

    def addEnd(self, it, how, saved=""):
        self.lastEnd += 1
        self.finished.append([self.lastEnd, it.task, it.run, how, saved])
        self.barred[it.task] = max(self.barred.get(it.task, 0), it.run)
        self.runs.pop(it.task, None)
        self.record.add(f"executor {self.id}: {it.task} run {it.run} ends: {how} saved={saved!r}")
        self.onEvent("ended", executor=self, task=it.task, run=it.run, how=how)
        self.wake.notify_all()

    def workLoop(self, life):
        while self.life == life and self.up:
            with self.lock:
                if self.runs and self.clockMs() >= self.deadlineMs:
                    for it in list(self.runs.values()):
                        self.addEnd(it, "lapsed", it.saved())
                for it in list(self.runs.values()):
                    if it.doneMs() >= it.workMs:
                        self.addEnd(it, "done")
            time.sleep(0.01)

    def runList(self):
        with self.lock:
            return list(self.runs.values())

    def used(self):
        return sum(int(re.search(r"cpu=(\d+)", it.spec).group(1)) for it in self.runList() if "cpu=" in it.spec)

    # Orders

    def handle(self, http, path, body, life):
        if http.headers.get("Expect-Instance") not in (None, self.id):
            return http.reply(421, {"clockMs": self.clockMs()})
        if not self.answersOrders:
            time.sleep(5)
            http.close_connection = True
            return None
        with self.lock:
            fence = body.get("fencingToken", 0)
            isOld = fence < self.fence
            self.fence = max(self.fence, fence)
            if isOld:
                return http.reply(409, {"clockMs": self.clockMs(), "reason": "fence"})
        if path == "/run-start":
            return http.reply(*self.startRun(body))
        if path == "/run-stop":
            return http.reply(*self.stopRun(body))
        if path == "/hold":
            return self.hold(http, body, life)
        if path == "/pace":
            return http.reply(200, {"clockMs": self.clockMs()})
        return http.reply(404, {"clockMs": self.clockMs()})

    def extend(self, deadlineMs):
        self.deadlineMs = max(self.deadlineMs, min(deadlineMs, self.clockMs() + BOUNDS["holdMaxMs"]))

    def startRun(self, body):
        with self.lock:
            task, run = body["task"], body["run"]
            answer = {"clockMs": self.clockMs()}

            def refuse(reason):
                self.record.add(f"executor {self.id} refuses {task} run {run}: {reason}")
                return 409, {**answer, "reason": reason}

            if body.get("deadlineMs", 0) <= self.clockMs():
                return refuse("late")
            known = self.runs.get(task)
            if known is not None and known.run == run:
                self.extend(body["deadlineMs"])
                return 200, answer
            if run <= self.barred.get(task, 0) or (known is not None and known.run > run):
                self.extend(body["deadlineMs"])
                return refuse("old")
            if self.needsTicket(task) and body.get("ticket", "") == "":
                return refuse("ticket")
            self.extend(body["deadlineMs"])
            it = Run(task, run, body["spec"], body.get("checkpoint", ""))
            self.runs[task] = it
            self.record.add(f"executor {self.id} starts {task} run {run} checkpoint={body.get('checkpoint', '')!r}"
                            f" state={self.state} used={self.used()} of {self.capacity['cpu']}")
            self.onEvent("started", executor=self, task=task, run=run, checkpoint=body.get("checkpoint", ""))
            return 200, answer

    def stopRun(self, body):
        with self.lock:
            task, run = body["task"], body["run"]
            it = self.runs.get(task)
            self.barred[task] = max(self.barred.get(task, 0), run)
            if it is not None and it.run <= run:
                self.addEnd(it, "stopped", it.saved(atStop=True))
            return 200, {"clockMs": self.clockMs()}

    def lists(self):
        return {"clockMs": self.clockMs(), "born": self.born,
                "running": [[it.task, it.run, it.saved(), min(100, int(100 * it.doneMs() / it.workMs)), 0]
                            for it in self.runs.values()],
                "finished": self.finished[:500]}

    def hold(self, http, body, life):
        with self.lock:
            lastSeen = body.get("lastSeen", 0)
            self.finished = [it for it in self.finished if it[0] > lastSeen]
            if body.get("deadlineMs"):
                self.extend(body["deadlineMs"])
            until = time.monotonic() + min(2000, body.get("waitMs", 0)) / 1000
            while not self.finished and time.monotonic() < until and self.life == life and self.up:
                self.wake.wait(timeout=max(0, until - time.monotonic()))
            if self.life != life or not self.up:
                gone = True
            else:
                gone = False
                answer = self.lists()
        if gone:
            self.waitWhileDark(life)
            http.close_connection = True
            return None
        return http.reply(200, answer)


# ---- The deployment ---------------------------------------------------------


def renderTemplate(text, values):
    """Fills a settings template as DEPLOY.md tells."""

    def lookup(name, scopes):
        if name == ".":
            return scopes[-1][0]
        if name == "@":
            return scopes[-1][1]
        for scope, _ in reversed(scopes):
            it = scope
            for part in name.split("."):
                if isinstance(it, dict) and part in it:
                    it = it[part]
                elif isinstance(it, list) and part.isdigit() and int(part) < len(it):
                    it = it[int(part)]
                else:
                    it = None
                    break
            if it is not None:
                return it
        return None

    def show(it, asJson):
        if asJson or isinstance(it, dict):
            return json.dumps(it)
        if it is None:
            return ""
        if isinstance(it, list):
            return ",".join(show(x, False) for x in it)
        return str(it).lower() if isinstance(it, bool) else str(it)

    def render(text, scopes, isLast=True):
        out = ""
        while True:
            found = re.search(r"\{\{([#^]?)([^}|]+)(\|json)?\}\}", text)
            if found is None:
                return out + text
            out += text[:found.start()]
            kind, name, asJson = found.groups()
            text = text[found.end():]
            if kind == "":
                out += ("" if isLast else ",") if name == "," else show(lookup(name, scopes), asJson)
                continue
            close = text.index("{{/" + name + "}}")
            inner, text = text[:close], text[close + len(name) + 5:]
            it = lookup(name, scopes)
            if kind == "^":
                out += "" if it else render(inner, scopes)
            elif isinstance(it, dict):
                rows = list(it.items())
                for n, (key, value) in enumerate(rows):
                    out += render(inner, scopes + [(value, key)], n == len(rows) - 1)
            elif isinstance(it, list):
                for n, value in enumerate(it):
                    out += render(inner, scopes + [(value, n)], n == len(it) - 1)
            elif it is not None and it is not False:
                out += render(inner, scopes + [(it, "")])

    return render(text, [(values, "")])


class Process:
    def __init__(self, name, command, log):
        self.name = name
        self.command = command
        self.log = log
        self.handle = None

    def start(self):
        with open(self.log, "ab") as out:
            self.handle = subprocess.Popen(self.command, stdout=out, stderr=out, cwd=ROOT)

    def signal(self, number):
        if self.handle is not None and self.handle.poll() is None:
            self.handle.send_signal(number)

    def kill(self):
        if self.handle is None:
            return
        if self.handle.poll() is None:
            self.handle.kill()
        self.handle.wait()


def findFreeAddresses():
    """A block of loopback addresses and the ports used there, the same on all machines."""
    names = ["control", "front", "ready", "peer", "metrics", "executor", "advice"]
    for _ in range(100):
        block = f"127.{random.randint(20, 200)}.{random.randint(1, 250)}"
        base = random.randint(21, 31) * 1000
        ports = {name: base + 1 + n for n, name in enumerate(names)}
        try:
            for port in ports.values():
                with socket.socket() as it:
                    it.bind((f"{block}.10", port))
            return block, ports
        except OSError:
            continue
    raise RuntimeError("no free loopback addresses")


class Deployment:
    """Core and front processes with the commands and templates of the deploy file."""

    def __init__(self, record, folder, cores=3, fronts=1, tolerated=1, advice=""):
        self.record = record
        self.folder = folder
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.deploy = tomllib.load(file)
        self.block, self.ports = findFreeAddresses()
        self.tolerated = tolerated
        self.advice = advice
        zones = ["zone-a", "zone-b", "zone-c"]
        self.zones = {it: "area-1" for it in zones}
        self.cores = [self.makeMachine("core", n, f"{self.block}.{10 + n}", zones[n % 3]) for n in range(cores)]
        self.fronts = [self.makeMachine("front", n, f"{self.block}.{40 + n}", zones[n % 3]) for n in range(fronts)]
        self.controls = [it["control"] for it in self.cores]
        self.seeds = self.controls[:3]
        self.executors = 0

    def makeMachine(self, kind, n, ip, zone):
        return {"name": f"{kind}-{n + 1}", "kind": kind, "ip": ip, "zone": zone, "bootstrap": True,
                "control": f"{ip}:{self.ports['control']}", "front": f"{ip}:{self.ports['front']}",
                "data": os.path.join(self.folder, f"{kind}-{n + 1}")}

    def executorAddress(self):
        self.executors += 1
        return f"{self.block}.{100 + self.executors}:{self.ports['executor']}"

    def start(self):
        for it in self.cores + self.fronts:
            self.startMachine(it)

    def startMachine(self, it):
        role = self.deploy["roles"][it["kind"]]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            template = file.read()
        values = {"nodeName": it["name"], "ip": it["ip"], "zone": it["zone"], "region": "area-1",
                  "internalPorts": [self.ports["peer"], self.ports["metrics"]], "seeds": self.seeds,
                  "bootstrap": it["bootstrap"], "dataDir": it["data"], "zones": self.zones, "bounds": BOUNDS,
                  "recommendation": self.advice,
                  "listen": {"control": it["control"], "front": it["front"],
                             "ready": f"{it['ip']}:{self.ports['ready']}"},
                  "faultTolerance": {"machines": self.tolerated, "zones": 1, "regions": 0}}
        path = os.path.join(self.folder, it["name"] + ".yaml")
        with open(path, "w", encoding="utf-8") as out:
            out.write(renderTemplate(template, values))
        if it["kind"] == "core":
            os.makedirs(it["data"], exist_ok=True)
        words = role["run"].split()
        command = [os.path.join(ROOT, words[0])] + [path if x.startswith("/etc/") else x for x in words[1:]]
        it["process"] = Process(it["name"], command, os.path.join(self.folder, it["name"] + ".log"))
        it["process"].start()
        it["bootstrap"] = False
        self.record.add(f"{it['name']} starts at {it['ip']}")

    def stop(self):
        for it in self.cores + self.fronts:
            if "process" in it:
                it["process"].signal(signal.SIGCONT)
                it["process"].kill()

    def logs(self):
        out = []
        for it in self.cores + self.fronts:
            path = os.path.join(self.folder, it["name"] + ".log")
            if os.path.exists(path):
                with open(path, encoding="utf-8", errors="replace") as file:
                    out += [f"{it['name']} {line.rstrip()}" for line in file]
        return out

    def leader(self):
        """The core instance that says that it leads, by its own metrics; None if none does."""
        for it in self.cores:
            if it["process"].handle.poll() is not None:
                continue
            status, body, _ = call(f"{it['ip']}:{self.ports['metrics']}", "GET", "/metrics", timeout=0.5)
            if status == 200 and re.search(rb"^teasel_is_leader(\{[^}]*\})? 1", body, re.M):
                return it
        return None

    # Operator

    def putConfiguration(self, configuration, within=20):
        """Sends a configuration until it is acknowledged, to any node. Returns the time of the acknowledgement."""
        until = time.monotonic() + within
        while time.monotonic() < until:
            for control in self.controls:
                status, body, _ = call(control, "POST", "/config/put", configuration, timeout=2)
                if status == 200:
                    self.record.add(f"operator: version {configuration['version']} acknowledged by {control}")
                    return time.monotonic()
                if 400 <= status < 500 and status not in (408, 429):
                    raise RuntimeError(f"version {configuration['version']} refused: {status} {body!r}")
            time.sleep(0.1)
        raise RuntimeError("no configuration was acknowledged")

    # Clients

    def client(self, method, path, body=None, key=KEY, timeout=3.0, front=0):
        status, data, _ = call(self.fronts[front]["front"], method, path, body,
                               {"Host": HOST, "Authorization": f"Bearer {key}", "Deadline-Ms": str(int(timeout * 1000))},
                               timeout=timeout)
        return status, data

    def submit(self, path, body, within=20):
        """Hands a submission in, again after no clear answer or a refusal, until it is accepted."""
        until = time.monotonic() + within
        while time.monotonic() < until:
            status, data = self.client("POST", path, body)
            self.record.add(f"client: POST {path} -> {status} {data.decode(errors='replace')}")
            if 200 <= status < 300:
                return True
            if status in (400, 401, 404, 409, 413, 422):
                raise RuntimeError(f"the submission was refused: {status} {data!r}")
            time.sleep(0.3)
        return False

    def state(self, path):
        """The state that a GET shows; None without an answer."""
        status, data = self.client("GET", path)
        if status == 200:
            return json.loads(data)["state"]
        return f"{status}" if status else None


def route(name, prefix, service="fill-line", priority=1, attempts=3, **more):
    return {"name": name, "host": HOST, "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": 3000,
            "targetLatencyMs": 3000, "priority": priority, "service": service, "maxAttempts": attempts,
            "slackFactor": 4.0, "public": False, **more}


def service(name):
    return {"name": name, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": False,
            "admissionCheck": False, "standby": False}


def configuration(version, routes, services, cap=None):
    return {"version": version, "routes": routes, "services": [service(it) for it in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "member-1", "apiKeys": [KEY], "priority": 1, "weight": 40,
                         "cap": cap or {"cpu": 0, "memMb": 0, "gpu": 0}}]}


def newId():
    return f"{random.getrandbits(64):016x}"


def runCase(folder, scenario):
    """Runs `scenario(record, temporary folder)`, which returns a list of broken rules. Ends the process with 1 if a rule
    was broken, 0 if all held and 2 if the case could not run."""
    record = Record(os.path.join(folder, "record.txt"))
    record.add(f"TROUBLE={1 if trouble() else 0}")
    code = 2
    with tempfile.TemporaryDirectory(prefix="teasel-review-") as temporary:
        try:
            broken = scenario(record, temporary)
            for it in broken:
                record.add(f"BROKEN {it}")
                print(it)
            code = 1 if broken else 0
        except Exception as error:  # the case could not run
            record.add(f"could not run: {type(error).__name__}: {error}")
            print(f"could not run: {type(error).__name__}: {error}")
    record.add(f"exit {code}")
    record.close()
    sys.stdout.flush()
    os._exit(code)
