"""Runs the operators' command line tool against two entry instances and one state replica.

Uses a separate loopback range. Stops only the processes that it started, by process id.
"""

import argparse
import json
import os
import signal
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "tools"))
from fleet import lock_loopback_range  # noqa: E402

NET = "127.91.0"
ENTRIES = {"e1": f"{NET}.1", "e2": f"{NET}.2"}
STATE = f"{NET}.9"
READY_LIMIT_S = 60  # only stops a test that hangs


class TestBed:
    def __init__(self, build, folder):
        self.build = os.path.abspath(build)
        self.folder = folder
        self.processes = {}
        self.failures = []
        self.key = ""
        self.servers = list(ENTRIES.values())

    def start(self, name, program, arguments):
        log = open(os.path.join(self.folder, f"{name}.log"), "ab")
        command = [os.path.join(self.build, program)] + arguments
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def teasel(self, *arguments, key=None):
        command = [os.path.join(self.build, "teasel")]
        for host in self.servers:
            command += ["--server", f"http://{host}:8080"]
        done = subprocess.run(command + ["--key", key or self.key] + list(arguments), capture_output=True, text=True)
        return done.returncode, done.stdout, done.stderr

    def expect(self, code, *arguments, contains="", key=None):
        got, out, err = self.teasel(*arguments, key=key)
        if got != code or contains not in out + err:
            self.failures.append(f"teasel {' '.join(arguments)}: expected {code}, '{contains}', got {got}\n{out}{err}")
        return out

    def wait_for(self, condition, what):
        end = time.monotonic() + READY_LIMIT_S
        while not condition():
            if time.monotonic() > end:
                raise RuntimeError(f"timed out waiting for {what}")
            time.sleep(0.1)


def write_settings(bed):
    code, out, err = bed.teasel("--json", "key", "bootstrap", "--scheme", "ours", "--scheme", "theirs")
    assert code == 0, err
    made = json.loads(out)
    bed.key = made["key"]
    peers = "entries:\n"
    for name, host in ENTRIES.items():
        peers += f"  - {{id: {name}, data_centre: north, peer_address: {host}:7000}}\n"
    peers += f"states:\n  - {{id: s1, data_centre: north, peer_address: {STATE}:7000}}\n"
    for name, host in list(ENTRIES.items()) + [("s1", STATE)]:
        text = f"instance: {{id: {name}, data_centre: north, peer_address: {host}:7000}}\nhttp_address: {host}:8080\n"
        text += peers
        if name == "s1":
            text += f"data_folder: {bed.folder}/data\nbootstrap: {json.dumps(made['bootstrap'])}\n"
        with open(os.path.join(bed.folder, f"{name}.yaml"), "w", encoding="utf-8") as out_file:
            out_file.write(text)


def serving(bed):
    return json.loads(bed.teasel("--json", "status")[1] or "{}").get("may_serve", False)


def change_configuration(bed):
    bed.expect(0, "team", "create", "red", "--share", "2", "--requests", "40", contains="accepted")
    bed.expect(0, "limit", "set", "red", "--milli-cpus", "4000", "--memory-mib", "8192")
    bed.expect(0, "alias", "add", "--kind", "team", "--scheme", "theirs", "--name", "rojo", "--of", "red")
    bed.expect(0, "share", "set", "theirs:rojo", "3", "--change-id", "c-1")
    bed.expect(0, "config", "change-status", "c-1", contains="accepted")
    bed.expect(3, "config", "change-status", "c-2", contains="no change")
    bed.expect(0, "share", "set", "red", "4", "--change-id", "c-2", contains="accepted")
    bed.expect(3, "share", "set", "red", "5", "--change-id", "c-2", contains="--base-revision")
    bed.expect(3, "share", "set", "red", "5", "--base-revision", "2", contains="won by: change")
    bed.expect(0, "class", "put", "check", "--rank", "1", "--idempotent", "true", "--deadline-ms", "5000")
    bed.expect(0, "class", "put", "blend", "--rank", "2", "--deadline-ms", "5000")
    bed.expect(0, "drain", "add", "d1", "rack = r9")
    bed.expect(0, "drain", "list", contains="rack = r9")
    bed.expect(0, "drain", "remove", "d1")
    bed.expect(0, "team", "list", contains="red   4")
    bed.expect(3, "team", "remove", "blue", contains="no team")


def run_work(bed):
    arguments = ["--data-centre", "north"] + [it for host in ENTRIES.values() for it in ("--entry", f"{host}:8080")]
    executor = ["--name", "x1", "--scheme", "ours", "--address", f"{NET}.21:9000", "--label", "zone=a"]
    bed.start("x1", "standin-executor", executor + arguments)
    bed.start("w1", "standin-worker", ["--name", "w1", "--scheme", "theirs", "--rack", "r1"] + arguments)
    token = json.loads(bed.expect(0, "--json", "key", "grant", "--team", "rojo", "--id", "red-1"))["key"]
    bed.expect(3, "team", "create", "blue", key=token, contains="forbidden")
    bed.wait_for(lambda: bed.teasel("request", "send", "check", "--body", "x", key=token)[0] == 0, "an answer")
    first = bed.expect(0, "request", "send", "blend", "--body", "x", "--request-id", "lot-1", key=token)
    again = bed.expect(0, "request", "send", "blend", "--body", "x", "--request-id", "lot-1", key=token)
    if first != again:
        bed.failures.append(f"the same request id got two different answers: {first} and {again}")
    spec = os.path.join(bed.folder, "job.yaml")
    with open(spec, "w", encoding="utf-8") as out:
        out.write("name: nightly\nkind: batch\ntasks: 2\nresources: {milli_cpus: 500, memory_mib: 256}\nrun_ms: 200\n")
        out.write("selector: rack in (r1, r2)\n")
    job = json.loads(bed.expect(0, "--json", "job", "submit", spec, key=token))["job_id"]
    bed.wait_for(lambda: "succeeded" in bed.teasel("job", "status", job, key=token)[1], "the job to succeed")
    return token


def withdraw_key_while_instance_is_paused(bed, token):
    role = json.loads(bed.teasel("--json", "status")[1])["role"]
    member = "e2" if role == "leader" else "e1"
    bed.servers.sort(key=lambda host: host == ENTRIES[member])
    bed.processes[member].send_signal(signal.SIGSTOP)
    bed.expect(2, "key", "withdraw", "red-1", "--change-id", "w-1", "--wait-ms", "1", contains="pending")
    bed.wait_for(lambda: bed.teasel("config", "change-status", "w-1")[0] == 0, "the paused instance's lease to expire")
    bed.processes[member].send_signal(signal.SIGCONT)
    bed.servers.reverse()
    bed.wait_for(lambda: serving(bed), "the resumed instance to serve")
    bed.expect(3, "request", "send", "check", "--body", "x", key=token, contains="unauthenticated")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    bed = TestBed(parser.parse_args().build, tempfile.mkdtemp(prefix="teasel-commands-"))
    lock = lock_loopback_range(NET)
    try:
        write_settings(bed)
        bed.expect(4, "status", contains="next: ")
        bed.start("s1", "teasel-state", [f"{bed.folder}/s1.yaml"])
        for name in ENTRIES:
            bed.start(name, "teasel-entry", [f"{bed.folder}/{name}.yaml"])
        bed.wait_for(lambda: serving(bed), "an instance to serve")
        change_configuration(bed)
        token = run_work(bed)
        withdraw_key_while_instance_is_paused(bed, token)
    finally:
        for it in reversed(list(bed.processes.values())):
            it.send_signal(signal.SIGCONT)
            it.send_signal(signal.SIGTERM)
        codes = {name: it.wait(60) for name, it in bed.processes.items()}
        lock.close()
    bed.failures += [f"{name} exited with code {code}" for name, code in codes.items() if code != 0]
    for it in bed.failures:
        print(it)
    print(f"{len(bed.failures)} failures")
    return 1 if bed.failures else 0


if __name__ == "__main__":
    sys.exit(main())
