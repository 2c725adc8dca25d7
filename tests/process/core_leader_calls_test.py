"""The leading core instance answers calls that arrive at its own control address, also long after its election."""

import argparse
import json
import os
import sys
import tempfile
import time
import urllib.error
import urllib.request

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "tools"))
from checks import Checks  # noqa: E402
from fleet import LOOPBACK_RANGE, Process, lock_loopback_range  # noqa: E402
from job_plane import CONFIGURATION  # noqa: E402

HOST = f"127.{1 + LOOPBACK_RANGE}.0.1"
CONTROL = f"{HOST}:18180"
# Longer than an instance keeps a leader that it has no contact with.
QUIET_SECONDS = 3

SETTINGS = f"""instance:
  id: core-1
  data_centre: dc1
  peer_address: {HOST}:18460
control_address: {CONTROL}
metrics_address: {HOST}:18461
data_folder: DATA
seeds: ["{CONTROL}"]
first_start: true
tolerated_losses: 0
jobs:
  advice_address: ""
"""


def call(method, path, body=None):
    """Returns the status, or 0 if there was no answer."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{CONTROL}{path}", data, {"Content-Type": "application/json"}, method=method)
    try:
        with urllib.request.urlopen(request, timeout=10) as response:
            return response.status
    except urllib.error.HTTPError as error:
        return error.code
    except OSError:
        return 0


def scenario(checks):
    status = 0
    while status != 200:  # until the instance leads; CTest limits the time
        status = call("POST", "/config/put", CONFIGURATION)
        time.sleep(0.1)
    time.sleep(QUIET_SECONDS)
    statuses = [call("GET", "/config/get") for _ in range(3)]
    checks.check("the leader answers reads at its own address", statuses == [200] * 3, statuses)
    status = call("POST", "/config/put", CONFIGURATION)
    checks.check("the leader acknowledges a repeated configuration at its own address", status == 200, status)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    options = parser.parse_args()
    lock = lock_loopback_range()
    checks = Checks()
    with tempfile.TemporaryDirectory(prefix="teasel-") as folder:
        settings = os.path.join(folder, "core.yaml")
        with open(settings, "w", encoding="utf-8") as out:
            out.write(SETTINGS.replace("DATA", os.path.join(folder, "data")))
        core = Process("core-1", [os.path.join(options.build, "teasel-core"), settings], os.path.join(folder, "core.log"))
        core.start()
        try:
            scenario(checks)
        finally:
            core.stop()
            if checks.broken:
                with open(core.log_path, encoding="utf-8") as log:
                    sys.stdout.write(log.read())
    lock.close()
    sys.exit(checks.report())


main()
