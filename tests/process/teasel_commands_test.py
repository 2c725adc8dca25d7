"""The operators' command line against two entry instances and one state replica.

Uses a loopback range of its own. Ends only the processes it started, by id.
"""

import argparse
import json
import os
import signal
import subprocess
import sys
import tempfile
import time

NET = "127.91.0"
ENTRIES = {"e1": f"{NET}.1", "e2": f"{NET}.2"}
STATE = f"{NET}.9"
READY_LIMIT_S = 60  # only ends a run that hangs


class Bench:
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

    def expect(self, code, *arguments, says="", key=None):
        got, out, err = self.teasel(*arguments, key=key)
        if got != code or says not in out + err:
            self.failures.append(f"teasel {' '.join(arguments)}: expected {code} and '{says}', got {got}\n{out}{err}")
        return out

    def wait_for(self, condition, what):
        end = time.monotonic() + READY_LIMIT_S
        while not condition():
            if time.monotonic() > end:
                raise RuntimeError(f"{what} did not come")
            time.sleep(0.1)


def write_settings(bench):
    code, out, err = bench.teasel("--json", "key", "bootstrap", "--scheme", "ours", "--scheme", "theirs")
    assert code == 0, err
    made = json.loads(out)
    bench.key = made["key"]
    peers = "entries:\n"
    for name, host in ENTRIES.items():
        peers += f"  - {{id: {name}, data_centre: north, peer_address: {host}:7000}}\n"
    peers += f"states:\n  - {{id: s1, data_centre: north, peer_address: {STATE}:7000}}\n"
    for name, host in list(ENTRIES.items()) + [("s1", STATE)]:
        text = f"instance: {{id: {name}, data_centre: north, peer_address: {host}:7000}}\nhttp_address: {host}:8080\n"
        text += peers
        if name == "s1":
            text += f"data_folder: {bench.folder}/data\nbootstrap: {json.dumps(made['bootstrap'])}\n"
        with open(os.path.join(bench.folder, f"{name}.yaml"), "w", encoding="utf-8") as out_file:
            out_file.write(text)


def serving(bench):
    return json.loads(bench.teasel("--json", "status")[1] or "{}").get("may_serve", False)


def change_configuration(bench):
    bench.expect(0, "team", "create", "red", "--share", "2", "--requests", "40", says="accepted")
    bench.expect(0, "limit", "set", "red", "--milli-cpus", "4000", "--memory-mib", "8192")
    bench.expect(0, "alias", "add", "--kind", "team", "--scheme", "theirs", "--name", "rojo", "--of", "red")
    bench.expect(0, "share", "set", "theirs:rojo", "3", "--change-id", "c-1")
    bench.expect(0, "config", "change-status", "c-1", says="accepted")
    bench.expect(3, "config", "change-status", "c-2", says="no change")
    bench.expect(0, "share", "set", "red", "4", "--change-id", "c-2", says="accepted")
    bench.expect(3, "share", "set", "red", "5", "--change-id", "c-2", says="--base-revision")
    bench.expect(3, "share", "set", "red", "5", "--base-revision", "2", says="won by: change")
    bench.expect(0, "class", "put", "check", "--rank", "1", "--idempotent", "true", "--deadline-ms", "5000")
    bench.expect(0, "class", "put", "blend", "--rank", "2", "--deadline-ms", "5000")
    bench.expect(0, "drain", "add", "d1", "rack = r9")
    bench.expect(0, "drain", "list", says="rack = r9")
    bench.expect(0, "drain", "remove", "d1")
    bench.expect(0, "team", "list", says="red   4")
    bench.expect(3, "team", "remove", "blue", says="no team")


def run_work(bench):
    arguments = ["--data-centre", "north"] + [it for host in ENTRIES.values() for it in ("--entry", f"{host}:8080")]
    executor = ["--name", "x1", "--scheme", "ours", "--address", f"{NET}.21:9000", "--label", "zone=a"]
    bench.start("x1", "standin-executor", executor + arguments)
    bench.start("w1", "standin-worker", ["--name", "w1", "--scheme", "theirs", "--rack", "r1"] + arguments)
    token = json.loads(bench.expect(0, "--json", "key", "grant", "--team", "rojo", "--id", "red-1"))["key"]
    bench.expect(3, "team", "create", "blue", key=token, says="forbidden")
    bench.wait_for(lambda: bench.teasel("request", "send", "check", "--body", "x", key=token)[0] == 0, "an answer")
    first = bench.expect(0, "request", "send", "blend", "--body", "x", "--request-id", "lot-1", key=token)
    again = bench.expect(0, "request", "send", "blend", "--body", "x", "--request-id", "lot-1", key=token)
    if first != again:
        bench.failures.append(f"the same id got another answer: {first} and {again}")
    spec = os.path.join(bench.folder, "job.yaml")
    with open(spec, "w", encoding="utf-8") as out:
        out.write("name: nightly\nkind: batch\ntasks: 2\nresources: {milli_cpus: 500, memory_mib: 256}\nrun_ms: 200\n")
        out.write("selector: rack in (r1, r2)\n")
    job = json.loads(bench.expect(0, "--json", "job", "submit", spec, key=token))["job_id"]
    bench.wait_for(lambda: "succeeded" in bench.teasel("job", "status", job, key=token)[1], "the end of the job")
    return token


def withdraw_while_one_is_paused(bench, token):
    role = json.loads(bench.teasel("--json", "status")[1])["role"]
    member = "e2" if role == "leader" else "e1"
    bench.servers.sort(key=lambda host: host == ENTRIES[member])
    bench.processes[member].send_signal(signal.SIGSTOP)
    bench.expect(2, "key", "withdraw", "red-1", "--change-id", "w-1", "--wait-ms", "1", says="pending")
    bench.wait_for(lambda: bench.teasel("config", "change-status", "w-1")[0] == 0, "the end of the paused one's lease")
    bench.processes[member].send_signal(signal.SIGCONT)
    bench.servers.reverse()
    bench.wait_for(lambda: serving(bench), "the paused one serving again")
    bench.expect(3, "request", "send", "check", "--body", "x", key=token, says="unauthenticated")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    bench = Bench(parser.parse_args().build, tempfile.mkdtemp(prefix="teasel-commands-"))
    try:
        write_settings(bench)
        bench.expect(4, "status", says="next: ")
        bench.start("s1", "teasel-state", [f"{bench.folder}/s1.yaml"])
        for name in ENTRIES:
            bench.start(name, "teasel-entry", [f"{bench.folder}/{name}.yaml"])
        bench.wait_for(lambda: serving(bench), "a serving instance")
        change_configuration(bench)
        token = run_work(bench)
        withdraw_while_one_is_paused(bench, token)
    finally:
        for it in reversed(list(bench.processes.values())):
            it.send_signal(signal.SIGCONT)
            it.send_signal(signal.SIGTERM)
        codes = {name: it.wait(60) for name, it in bench.processes.items()}
    bench.failures += [f"{name} ended with {code}" for name, code in codes.items() if code != 0]
    for it in bench.failures:
        print(it)
    print(f"{len(bench.failures)} failures")
    return 1 if bench.failures else 0


if __name__ == "__main__":
    sys.exit(main())
