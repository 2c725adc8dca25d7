"""Measures the processor time and memory of each role at several fleet sizes, for docs/CAPACITY.md.

For each number of endpoints (half executors, half workers) a fleet of 9 entry
instances and 3 state replicas idles for a few seconds; processor time and
memory are read from /proc.
Prints one line per figure: `capacity METRIC SIZE VALUE UNIT`.
"""

import argparse
import os
import shutil
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from fleet import Fleet  # noqa: E402

SECONDS = 8
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_KIB = os.sysconf("SC_PAGE_SIZE") // 1024


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as source:
        fields = source.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def memory_mib(pid):
    with open(f"/proc/{pid}/statm", encoding="ascii") as source:
        return int(source.read().split()[1]) * PAGE_KIB / 1024


def pids_by_role(fleet):
    """The process ids of each role."""
    out = {"leader": [], "member": [], "state_leader": [], "state_follower": []}
    for it in fleet.entry_ids + fleet.state_ids:
        out[fleet.status(it)["role"]].append(fleet.processes[it].popen.pid)
    out["worker_standin"] = [it.popen.pid for name, it in fleet.processes.items() if name.startswith("w")]
    return out


def measure(build, endpoints):
    folder = tempfile.mkdtemp(prefix="teasel-capacity-")
    fleet = Fleet(build, folder, executors=endpoints // 2, workers=endpoints // 2)
    try:
        fleet.start()
        fleet.wait_serving()
        fleet.wait_endpoints(60)
        time.sleep(2)
        role_pids = pids_by_role(fleet)
        before = {pid: cpu_seconds(pid) for pids in role_pids.values() for pid in pids}
        time.sleep(SECONDS)
        for role, pids in role_pids.items():
            if not pids:
                continue
            cpu_share = sum(cpu_seconds(pid) - before[pid] for pid in pids) / len(pids) / SECONDS
            memory = sum(memory_mib(pid) for pid in pids) / len(pids)
            print(f"capacity {role}_cpu {endpoints} {cpu_share * 100:.2f} percent_of_a_core")
            print(f"capacity {role}_memory {endpoints} {memory:.1f} MiB")
    finally:
        fleet.kill_all()
        shutil.rmtree(folder, ignore_errors=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--sizes", type=int, nargs="+", default=[16, 64, 160])
    options = parser.parse_args()
    for size in options.sizes:
        measure(options.build, size)


if __name__ == "__main__":
    main()
