"""Starts a small fleet on loopback addresses of this machine and operates it.

Each data centre has its own address range (127.1.0.0/16 and so on) and each
process its own address. Only processes started here are ended, by their id.
"""

import base64
import fcntl
import hashlib
import json
import os
import secrets
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

DATA_CENTRES = ["dc1", "dc2", "dc3", "dc4"]
ENTRIES_PER_DATA_CENTRE = [3, 2, 2, 2]
STATE_DATA_CENTRES = [0, 1, 2]
HTTP_PORT = 18080
PEER_PORT = 17000
STATE_PEER_PORT = 17100
STATE_HTTP_PORT = 18100
EXECUTOR_PORT = 19000

# Added to the second number of every address, so that two fleets can run side by side.
LOOPBACK_RANGE = int(os.environ.get("TEASEL_LOOPBACK_RANGE", "0"))


def make_key(key_id):
    """Returns a new key in the form that callers send, with the salt and hash that the fleet stores."""
    secret = secrets.token_hex(16)
    salt = secrets.token_bytes(16)
    digest = hashlib.sha256(salt + secret.encode()).digest()
    return f"{key_id}.{secret}", salt, digest


def lock_loopback_range(name=LOOPBACK_RANGE):
    """Waits until no other fleet uses the addresses; the lock is held until the process ends."""
    lock = open(os.path.join(tempfile.gettempdir(), f"teaselrelay-fleet-{name}.lock"), "w", encoding="utf-8")
    fcntl.flock(lock, fcntl.LOCK_EX)
    return lock


class Process:
    """A process with its log file."""

    def __init__(self, name, command, log_path):
        self.name = name
        self.command = command
        self.log_path = log_path
        self.popen = None
        self.stop_requested = False

    def start(self):
        with open(self.log_path, "ab") as log:
            self.popen = subprocess.Popen(self.command, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.stop_requested = False

    def running(self):
        return self.popen is not None and self.popen.poll() is None

    def signal(self, number):
        if self.running():
            self.popen.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.popen:
            self.popen.wait()

    def request_stop(self):
        """Requests a graceful shutdown, but only once: a second request would end the process at once."""
        if not self.stop_requested:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGTERM)
        self.stop_requested = True

    def stop(self, limit=40):
        """Shuts down gracefully and returns the exit code; kills the process after `limit` seconds."""
        if not self.running():
            return self.popen.returncode if self.popen else 0
        self.request_stop()
        try:
            return self.popen.wait(limit)
        except subprocess.TimeoutExpired:
            self.kill()
            return -1


class Fleet:
    """The settings and processes of a fleet, and calls to it."""

    def __init__(self, build, folder, executors=24, workers=24, entries=None, settings=None):
        self.lock = lock_loopback_range()
        self.build = os.path.abspath(build)
        self.folder = os.path.abspath(folder)
        os.makedirs(os.path.join(self.folder, "data"), exist_ok=True)
        self.entries_per_data_centre = entries or ENTRIES_PER_DATA_CENTRE
        self.extra_settings = settings or {}
        self.processes = {}
        self.executor_addresses = []
        self.operator_key, salt, digest = make_key("operator")
        self.bootstrap = (salt.hex(), digest.hex())
        self.entry_ids = []
        self.state_ids = []
        self._assign_addresses()
        self._add_daemons()
        self._add_executors(executors)
        self._add_workers(workers)

    # ---- Settings and processes ------------------------------------------

    def _assign_addresses(self):
        self.entries = []
        self.states = []
        for data_centre_index, count in enumerate(self.entries_per_data_centre):
            for number in range(count):
                host = f"127.{data_centre_index + 1 + LOOPBACK_RANGE}.0.{number + 1}"
                self.entries.append(
                    {
                        "id": f"{DATA_CENTRES[data_centre_index]}-e{number + 1}",
                        "data_centre": DATA_CENTRES[data_centre_index],
                        "peer_address": f"{host}:{PEER_PORT}",
                        "http": f"{host}:{HTTP_PORT}",
                    }
                )
        for data_centre_index in STATE_DATA_CENTRES:
            host = f"127.{data_centre_index + 1 + LOOPBACK_RANGE}.0.100"
            self.states.append(
                {
                    "id": f"{DATA_CENTRES[data_centre_index]}-s1",
                    "data_centre": DATA_CENTRES[data_centre_index],
                    "peer_address": f"{host}:{STATE_PEER_PORT}",
                    "http": f"{host}:{STATE_HTTP_PORT}",
                }
            )

    def _peer_lines(self, kind, items, own=None):
        lines = [f"{kind}:"]
        for it in items:
            lines.append(f"  - id: {it['id']}")
            lines.append(f"    data_centre: {it['data_centre']}")
            lines.append(f"    peer_address: \"{self.peer_address(own, it)}\"")
        return lines

    def peer_address(self, own, peer):
        """The address at which `own` reaches `peer`; a subclass may put a relay between them."""
        return peer["peer_address"]

    def _write_settings(self, it, state):
        lines = [
            "instance:",
            f"  id: {it['id']}",
            f"  data_centre: {it['data_centre']}",
            f"  peer_address: \"{it['peer_address']}\"",
            f"http_address: \"{it['http']}\"",
        ]
        lines += self._peer_lines("entries", self.entries, it)
        lines += self._peer_lines("states", self.states, it)
        if state:
            lines += [
                f"data_folder: \"{self.data_folder(it['id'])}\"",
                "bootstrap:",
                "  operator_key_id: operator",
                f"  operator_key_salt: \"{self.bootstrap[0]}\"",
                f"  operator_key_hash: \"{self.bootstrap[1]}\"",
                "  schemes: [asset, dns, legacy]",
            ]
        lines += self.extra_settings.get("state" if state else "entry", [])
        path = os.path.join(self.folder, f"{it['id']}.yaml")
        with open(path, "w", encoding="utf-8") as out:
            out.write("\n".join(lines) + "\n")
        return path

    def data_folder(self, state_id):
        return os.path.join(self.folder, "data", state_id)

    def _add_process(self, name, program, arguments):
        command = [os.path.join(self.build, program)] + arguments
        self.processes[name] = Process(name, command, os.path.join(self.folder, f"{name}.log"))

    def _add_daemons(self):
        for it in self.states:
            self._add_process(it["id"], "teasel-state", [self._write_settings(it, True)])
            self.state_ids.append(it["id"])
        for it in self.entries:
            self._add_process(it["id"], "teasel-entry", [self._write_settings(it, False)])
            self.entry_ids.append(it["id"])

    def http_of(self, entry_id):
        return next(it["http"] for it in self.entries + self.states if it["id"] == entry_id)

    def entries_of(self, data_centre):
        return [it for it in self.entries if it["data_centre"] == data_centre]

    def _entry_arguments(self, data_centre):
        out = []
        for it in self.entries_of(data_centre):
            out += ["--entry", it["http"]]
        return out

    def _add_executors(self, count):
        for number in range(count):
            data_centre_index = number % len(self.entries_per_data_centre)
            data_centre = DATA_CENTRES[data_centre_index]
            address = f"127.{data_centre_index + 1 + LOOPBACK_RANGE}.1.{number // len(self.entries_per_data_centre) + 1}:{EXECUTOR_PORT}"
            self.executor_addresses.append(address)
            arguments = ["--name", f"x{number + 1}", "--address", address, "--data-centre", data_centre]
            arguments += ["--label", f"line=l{number % 3 + 1}", "--seed", str(number + 1)]
            arguments += ["--service-ms", str(self.extra_settings.get("service_ms", 20))]
            self._add_process(f"x{number + 1}", "standin-executor", arguments + self._entry_arguments(data_centre))

    def _add_workers(self, count):
        for number in range(count):
            data_centre_index = number % len(self.entries_per_data_centre)
            data_centre = DATA_CENTRES[data_centre_index]
            arguments = ["--name", f"w{number + 1}", "--data-centre", data_centre]
            arguments += ["--rack", f"{data_centre}-r{number // len(self.entries_per_data_centre) // 6 + 1}"]
            arguments += ["--journal", self.journal(f"w{number + 1}"), "--seed", str(number + 1)]
            arguments += ["--accelerators", "4" if number % 6 == 0 else "0"]
            self._add_process(f"w{number + 1}", "standin-worker", arguments + self._entry_arguments(data_centre))

    def journal(self, worker):
        return os.path.join(self.folder, f"{worker}.journal")

    # ---- Start and stop --------------------------------------------------

    def start(self, names=None):
        for name in names or list(self.processes):
            self.processes[name].start()

    def stop(self):
        """Stops all processes: endpoints first, then entry instances, then state replicas; returns the exit codes."""
        order = [it for it in self.processes if it not in self.entry_ids + self.state_ids]
        for it in order:
            self.processes[it].request_stop()
        codes = {it: self.processes[it].stop(10) for it in order}
        for group in (self.entry_ids, self.state_ids):
            for it in group:
                self.processes[it].request_stop()
            codes.update({it: self.processes[it].stop() for it in group})
        return codes

    def kill_all(self):
        for it in self.processes.values():
            it.kill()

    # ---- Calls -----------------------------------------------------------

    def call(self, entry_id, method, path, body=None, key=None, headers=None, limit=10):
        """Makes an HTTP call and returns (status, parsed JSON or text, headers)."""
        data = None
        if body is not None:
            data = body if isinstance(body, bytes) else json.dumps(body).encode()
        request = urllib.request.Request(f"http://{self.http_of(entry_id)}{path}", data=data, method=method)
        if key:
            request.add_header("Authorization", f"Bearer {key}")
        for name, value in (headers or {}).items():
            request.add_header(name, value)
        try:
            with urllib.request.urlopen(request, timeout=limit) as answer:
                return answer.status, parse_body(answer.read()), dict(answer.headers)
        except urllib.error.HTTPError as error:
            return error.code, parse_body(error.read()), dict(error.headers)

    def status(self, entry_id):
        return self.call(entry_id, "GET", "/v1/status")[1]

    def wait_until(self, condition, limit=30, what="the fleet"):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            try:
                if condition():
                    return
            except (OSError, ValueError):
                pass
            time.sleep(0.05)
        raise RuntimeError(f"{what} was not ready within {limit} s")

    def wait_serving(self, entries=None, limit=30):
        for it in entries or self.entry_ids:
            self.wait_until(lambda it=it: self.status(it)["may_serve"], limit, f"{it} serving")

    def wait_endpoints(self, limit=30):
        """Waits until the leaders of all data centres know all executors and workers."""

        def known():
            endpoint_counts = {}
            for it in self.entry_ids:
                status = self.status(it)
                if status["role"] == "leader":
                    endpoint_counts[status["data_centre"]] = (status["executors"], status["workers"])
            executors = sum(it[0] for it in endpoint_counts.values())
            workers = sum(it[1] for it in endpoint_counts.values())
            wanted_workers = sum(1 for it in self.processes if it.startswith("w"))
            return executors >= len(self.executor_addresses) and workers >= wanted_workers

        self.wait_until(known, limit, "endpoints")

    def change(self, edits, entry_id=None, change_id=None, base_revision=0, wait_ms=5000, key=None):
        body = {"change_id": change_id or secrets.token_hex(8), "base_revision": base_revision, "edits": edits}
        return self.call(
            entry_id or self.entry_ids[0],
            "POST",
            "/v1/config/changes",
            body,
            key or self.operator_key,
            {"Teasel-Wait-Ms": str(wait_ms)},
            limit=wait_ms / 1000 + 10,
        )

    def must_change(self, edits, **arguments):
        status, answer, _ = self.change(edits, **arguments)
        if status != 200:
            raise RuntimeError(f"change not accepted: {status} {answer}")
        return answer

    def create_team(self, name, share=1.0, request_limit=100, cpus=400, memory_gib=2000, accelerators=16, key_id=None):
        """Creates a team with one key; returns (team id, key)."""
        team = {"name": name, "share": share, "request_limit": request_limit}
        team["task_limit"] = {
            "milli_cpus": cpus * 1000,
            "memory_mib": memory_gib * 1024,
            "accelerators": accelerators,
        }
        answer = self.must_change([{"put_team": team}])
        team_id = answer["team_ids"][0]
        return team_id, self.grant_key(team_id, key_id or f"{name}-key")

    def grant_key(self, team_id, key_id):
        key, salt, digest = make_key(key_id)
        stored = {"id": key_id, "team_id": team_id, "role": "ROLE_SUBMITTER"}
        stored["salt"] = base64.b64encode(salt).decode()
        stored["hash"] = base64.b64encode(digest).decode()
        self.must_change([{"grant_key": stored}])
        return key

    def put_class(self, name, rank, idempotent, deadline_ms, open_team_id=0):
        edit = {"name": name, "rank": rank, "idempotent": idempotent, "default_deadline_ms": deadline_ms}
        edit["open_team_id"] = open_team_id
        self.must_change([{"put_class": edit}])


def parse_body(body):
    try:
        return json.loads(body)
    except ValueError:
        return body.decode(errors="replace")
