"""A small deployment on loopback: core and front instances started with the commands and templates of the deploy file,
stand-ins for executors as processes of their own, and calls of clients and of the operator.

All processes are ended by their id. What was sent, answered and run is written to record.txt in the folder of the case.
"""

import http.client
import json
import os
import random
import re
import shutil
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEPT, BROKEN, NOT_RUN = 0, 1, 2
HEARTBEAT_MS = 1500
BOUNDS = {"graceS": 6, "holdMaxMs": 6000, "killGraceMs": 200, "gangTimeoutMs": 3000, "remotePenalty": 1.5, "restoreMs": 100}


class NotRun(Exception):
    """The case could not run."""


def render(template, values):
    """Fills a template of the deploy file: values, JSON values and sections, as DEPLOY.md describes them."""

    def look_up(path, scopes):
        for scope in scopes:
            value = scope
            for part in [] if path == "." else path.split("."):
                if isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                elif isinstance(value, dict) and part in value:
                    value = value[part]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def text_of(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(str(it) for it in value)
        return json.dumps(value) if isinstance(value, dict) else str(value)

    def fill(text, scopes):
        def section(match):
            value = look_up(match.group(1), scopes)
            if value in (None, False):
                return ""
            if isinstance(value, dict):
                entries = list(value.items())
            elif isinstance(value, list):
                entries = list(enumerate(value))
            else:
                return fill(match.group(2), [value] + scopes)
            out = []
            for n, (key, entry) in enumerate(entries):
                body = match.group(2).replace("{{@}}", str(key)).replace("{{,}}", "," if n + 1 < len(entries) else "")
                out.append(fill(body, [entry] + scopes))
            return "".join(out)

        text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
        text = re.sub(r"\{\{([\w.]+)\|json\}\}", lambda m: json.dumps(look_up(m.group(1), scopes)), text)
        return re.sub(r"\{\{([\w.]+)\}\}", lambda m: text_of(look_up(m.group(1), scopes)), text)

    return fill(template, [values])


def free_net():
    """The first two numbers of loopback addresses at which the ports of this test are free, and a socket that reserves
    them for this test as long as it is open."""
    for _ in range(100):
        net = f"127.{random.SystemRandom().randint(30, 250)}"
        guard = socket.socket()
        try:
            guard.bind((f"{net}.3.1", PORTS["control"]))
            for host in (f"{net}.0.1", f"{net}.1.1", f"{net}.2.1"):
                for port in PORTS.values():
                    with socket.socket() as it:
                        it.bind((host, port))
            return net, guard
        except OSError:
            guard.close()
    raise NotRun("no free loopback addresses")


PORTS = {"control": 18180, "front": 18183, "ready": 18184, "peer": 18460, "metrics": 18461, "executor": 18500}


class Fleet:
    def __init__(self, case_folder, cores=3, fronts=2, bounds=None):
        self.folder = tempfile.mkdtemp(prefix="teasel-review-")
        self.record_path = os.path.join(case_folder, "record.txt")
        self.record_file = open(self.record_path, "w", encoding="utf-8")
        self.record_lock = threading.Lock()
        self.begun = time.monotonic()
        self.processes = {}
        self.events = []  # of the executors
        self.events_lock = threading.Lock()
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.net, self.guard = free_net()
        self.cores = [f"{self.net}.0.{n + 1}" for n in range(cores)]
        self.fronts = [f"{self.net}.1.{n + 1}" for n in range(fronts)]
        self.control = [f"{it}:{PORTS['control']}" for it in self.cores]
        self.executors = {}
        self.bootstrap = True
        self.is_closing = False
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self.record("settings", trouble=TROUBLE, bounds=self.bounds)

    # ---- Record ------------------------------------------------------------

    def record(self, what, **fields):
        line = f"{time.monotonic() - self.begun:8.3f} {what} " + " ".join(f"{k}={json.dumps(v)}" for k, v in fields.items())
        with self.record_lock:
            if not self.record_file.closed:
                self.record_file.write(line.replace(self.net + ".", "127.x.").replace(self.folder, "TEMP") + "\n")
                self.record_file.flush()

    # ---- Processes -----------------------------------------------------------

    def settings(self, role, host):
        name = f"{role}-{host.split('.')[2]}-{host.split('.')[3]}"
        return name, {
            "nodeName": name, "role": role, "ip": host, "zone": "dc1", "region": "r1",
            "internalPorts": [PORTS["peer"], PORTS["metrics"]], "seeds": self.control[:3], "bootstrap": self.bootstrap,
            "dataDir": os.path.join(self.folder, name + "-data"), "recommendation": "", "zones": {"dc1": "r1"},
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0}, "bounds": self.bounds,
            "listen": {it: f"{host}:{PORTS[it]}" for it in ("front", "ready", "control")}}

    def start(self, role, host):
        name, values = self.settings(role, host)
        if role == "core":
            os.makedirs(values["dataDir"], exist_ok=True)
        with open(os.path.join(ROOT, self.roles[role]["template"]), encoding="utf-8") as file:
            text = render(file.read(), values)
        path = os.path.join(self.folder, name + ".yaml")
        with open(path, "w", encoding="utf-8") as out:
            out.write(text)
        if self.is_closing:
            return name
        program = self.roles[role]["run"].split()[0]
        if not os.path.exists(os.path.join(ROOT, program)):
            raise NotRun(f"{program} is not built")
        with open(os.path.join(self.folder, name + ".log"), "ab") as log:
            self.processes[name] = subprocess.Popen([program, path], cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.record("process_started", name=name)
        return name

    def start_all(self):
        for it in self.cores:
            self.start("core", it)
        for it in self.fronts:
            self.start("front", it)
        self.bootstrap = False

    def start_executor(self, number, *options, incarnation=0):
        host = f"{self.net}.2.{number + 1}"
        name = f"i-{number:04x}{incarnation:04x}"
        command = [sys.executable, os.path.join(ROOT, "review", "common-3", "executor.py"), "--id", name, "--address",
                   f"{host}:{PORTS['executor']}", "--hold-max-ms", str(self.bounds["holdMaxMs"]),
                   "--rack", f"r1-{number // 6}", *options, *self.control]
        process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, stdin=subprocess.DEVNULL, text=True)
        self.processes[name] = process
        self.executors[name] = process
        threading.Thread(target=self.read_events, args=(process,), daemon=True).start()
        return name

    def read_events(self, process):
        for line in process.stdout:
            event = json.loads(line)
            with self.events_lock:
                self.events.append(event)
            fields = {k: v for k, v in event.items() if k not in ("t", "event")}
            self.record("executor_" + event["event"], **fields)

    def seen(self, **wanted):
        """The events of executors that have these fields."""
        with self.events_lock:
            return [it for it in self.events if all(it.get(k) == v for k, v in wanted.items())]

    def kill(self, name):
        self.record("killed", name=name)
        self.processes[name].kill()
        self.processes[name].wait()

    def close(self):
        self.is_closing = True
        for it in list(self.processes.values()):
            if it.poll() is None:
                it.kill()
        for it in list(self.processes.values()):
            it.wait()
        self.record_file.close()
        self.guard.close()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)

    # ---- Calls -----------------------------------------------------------------

    def call(self, address, method, path, body=None, headers=None, timeout=4.0, quiet=False):
        """Returns status and body; status 0 if there was no answer."""
        channel = http.client.HTTPConnection(*address.split(":"), timeout=timeout)
        sent = time.monotonic()
        try:
            data = None if body is None else json.dumps(body)
            channel.request(method, path, data, {"Content-Type": "application/json", **(headers or {})})
            response = channel.getresponse()
            status, text = response.status, response.read().decode()
        except (OSError, http.client.HTTPException) as error:
            status, text = 0, repr(error)
        finally:
            channel.close()
        if not quiet:
            note = body if body is None or len(json.dumps(body)) < 400 else "(long)"
            self.record("call", to=address, method=method, path=path, body=note, status=status, answer=text[:200],
                        took_ms=int((time.monotonic() - sent) * 1000))
        return status, text

    def client(self, method, path, key="", body=None, host="farm.example", quiet=False):
        headers = {"Host": host, "Deadline-Ms": "3000"}
        if key:
            headers["Authorization"] = f"Bearer {key}"
        return self.call(f"{random.choice(self.fronts)}:{PORTS['front']}", method, path, body, headers, quiet=quiet)

    def submit(self, path, key, body, seconds=10):
        """Hands a submission in again until there is a clear answer. Returns the status."""
        until = time.monotonic() + seconds
        while True:
            status, _ = self.client("POST", path, key, body)
            if status not in (0, 502, 504) or time.monotonic() > until:
                return status
            time.sleep(0.1)

    def state(self, path, key, quiet=False):
        status, text = self.client("GET", path, key, quiet=quiet)
        return json.loads(text).get("state") if status == 200 else f"status {status}"

    def put_configuration(self, configuration, seconds=20):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            for it in random.sample(self.control, len(self.control)):
                status, _ = self.call(it, "POST", "/config/put", configuration)
                if status == 200:
                    return
                if status in (400, 409, 412, 413, 422):
                    raise NotRun(f"the configuration was refused with {status}")
            time.sleep(0.2)
        raise NotRun("the configuration was not acknowledged")

    def await_ready(self, seconds=20):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if all(self.call(f"{it}:{PORTS['ready']}", "GET", "/readiness", quiet=True)[0] == 200 for it in self.fronts):
                return
            time.sleep(0.1)
        raise NotRun("the fronts are not ready")


def job_id():
    return f"{random.getrandbits(64):016x}"


def task_name(job, index, step=0, occurrence=0):
    return f"{job}.{occurrence}.{step}.{index}"


def configuration(version, tenants, **queue):
    route = {"name": "blend", "host": "farm.example", "pathPrefix": "/blend/", "kind": "non_idempotent", "timeoutMs": 3000,
             "targetLatencyMs": 3000, "priority": 1, "service": "filling", "maxAttempts": 3, "slackFactor": 4.0, "public": False}
    route.update(queue)
    return {"version": version, "routes": [route],
            "services": [{"name": "filling", "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": False,
                          "admissionCheck": False, "standby": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": tenants}


def tenant(name, key, cpu=0, mem=0, weight=50):
    return {"name": name, "apiKeys": [key], "priority": 1, "weight": weight, "cap": {"cpu": cpu, "memMb": mem, "gpu": 0}}


def run_case(case_folder, scenario, **options):
    """Runs the scenario with a fleet; it returns whether the rule was kept, and a sentence."""
    fleet = None
    try:
        fleet = Fleet(case_folder, **options)
        kept, verdict = scenario(fleet)
        code = KEPT if kept else BROKEN
    except NotRun as error:
        code, verdict = NOT_RUN, str(error)
    except Exception as error:  # the processes are ended whatever happens
        code, verdict = NOT_RUN, f"the case failed: {error!r}"
    if fleet is not None:
        if os.environ.get("KEEP_LOGS"):
            print("logs:", fleet.folder)
        fleet.record("verdict", exit=code, verdict=verdict)
        fleet.close()
    print({KEPT: "kept", BROKEN: "BROKEN", NOT_RUN: "not run"}[code] + ":", verdict)
    sys.exit(code)
