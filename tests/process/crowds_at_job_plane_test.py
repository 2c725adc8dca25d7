"""Clients that send bodies without an end, or requests without reading answers, end no front and no core instance."""

import argparse
import json
import os
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "tools"))
from checks import Checks  # noqa: E402
from crowds import answer_of, check_crowds, crowds  # noqa: E402
from fleet import LOOPBACK_RANGE, Process, lock_loopback_range  # noqa: E402
from job_plane import CALLERS_PORT, CONFIGURATION, CONTROL_PORT, METRICS_PORT, PEER_PORT, READY_PORT  # noqa: E402

CORE = f"127.{1 + LOOPBACK_RANGE}.0.1"
FRONT = f"127.{1 + LOOPBACK_RANGE}.1.1"
FRONT_CONNECTIONS, CONTROL_CONNECTIONS = 400, 1024  # open at once; the second is not a setting
CROWD = 420  # more than the front accepts at once
FRONT_MEMORY_MIB, CORE_MEMORY_MIB = 120, 384  # of the smallest machines on the platform's pages
CONTROL_CROWD = 600
OTHER_FILES = 100
CALL_BYTES, CONFIGURATION_BYTES = 256 << 10, 4 << 20  # the largest bodies that are accepted

JSON_TYPE = {"Content-Type": "application/json"}


def settings(name, host, folder):
    text = f"""instance:
  id: {name}
  data_centre: dc1
  peer_address: {host}:{PEER_PORT}
metrics_address: {host}:{METRICS_PORT}
seeds: ["{CORE}:{CONTROL_PORT}"]
"""
    if host == FRONT:
        text += f"""callers_address: {host}:{CALLERS_PORT}
ready_address: {host}:{READY_PORT}
max_connections: {FRONT_CONNECTIONS}
"""
    else:
        text += f"""control_address: {host}:{CONTROL_PORT}
data_folder: {folder}/{name}
first_start: true
tolerated_losses: 0
jobs:
  advice_address: ""
"""
    path = os.path.join(folder, f"{name}.yaml")
    with open(path, "w", encoding="utf-8") as out:
        out.write(text)
    return path


def submit():
    job = {"spec": "lot", "steps": [{"count": 1, "cpu": 100, "memMb": 100, "estimateMs": 500}]}
    path = f"/weigh/{time.monotonic_ns() & (1 << 64) - 1:016x}"
    return answer_of((FRONT, CALLERS_PORT), "POST", path, json.dumps(job), dict(JSON_TYPE, Host="farm.example"))


def put_configuration(version=CONFIGURATION["version"]):
    body = json.dumps(dict(CONFIGURATION, version=version))
    return answer_of((CORE, CONTROL_PORT), "POST", "/config/put", body, JSON_TYPE)


def scenario(checks, processes):
    for it in processes.values():
        it.start()
    while put_configuration() != 200:  # until the instance leads; CTest limits the time
        time.sleep(0.1)
    while submit() != 200:
        time.sleep(0.1)
    ahead = b"GET /weigh/ HTTP/1.1\r\nHost: farm.example\r\n\r\n"
    kinds = crowds((FRONT, CALLERS_PORT), "POST", "/weigh/0123456789abcdef", "farm.example", CALL_BYTES, CROWD, ahead)
    files = FRONT_CONNECTIONS + OTHER_FILES
    check_crowds(checks, processes["front-1"], kinds, submit, FRONT_MEMORY_MIB, files)
    ahead = b"GET /config/get HTTP/1.1\r\nHost: core\r\n\r\n"
    kinds = crowds((CORE, CONTROL_PORT), "POST", "/config/put", "core", CONFIGURATION_BYTES, CONTROL_CROWD, ahead)
    files = CONTROL_CONNECTIONS + OTHER_FILES
    check_crowds(checks, processes["core-1"], kinds, put_configuration, CORE_MEMORY_MIB, files)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    options = parser.parse_args()
    lock = lock_loopback_range()
    checks = Checks()
    with tempfile.TemporaryDirectory(prefix="teasel-") as folder:
        processes = {}
        for name, host, program in (("core-1", CORE, "teasel-core"), ("front-1", FRONT, "teasel-front")):
            command = [os.path.join(options.build, program), settings(name, host, folder)]
            processes[name] = Process(name, command, os.path.join(folder, f"{name}.log"))
        try:
            scenario(checks, processes)
        finally:
            for it in processes.values():
                it.kill()
    lock.close()
    sys.exit(checks.report())


main()
