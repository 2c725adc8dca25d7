"""A worker with running tasks is paused (SIGSTOP) for longer than its lease, and the leader of
its data centre is killed.

No task may run in two places at once, neither while the worker is paused nor after it resumes.
"""

import signal
import time

from harness import leader_of, overlapping_tasks, prepare, run_test


def scenario(fleet, checks):
    accounts = prepare(fleet)
    key = accounts[0]["key"]
    spec = {"kind": "JOB_KIND_BATCH", "tasks": 16, "run_ms": 3000, "resources": {"milli_cpus": 1000, "memory_mib": 256}}
    jobs = []
    for number in range(4):
        body = dict(spec, name=f"mill-{number}", data_centre="dc1")
        status, answer, _ = fleet.call("dc1-e1", "POST", "/v1/jobs", body, key)
        checks.check("a job is accepted", status == 200, answer)
        jobs.append(answer["job_id"])

    def view(job):
        status, answer, _ = fleet.call("dc2-e1", "GET", f"/v1/jobs/{job}", key=key)
        if status != 200:  # until the data centre has a new leader
            raise ValueError(answer)
        return answer["jobs"][0]

    fleet.wait_until(lambda: any(view(it)["running"] for it in jobs), 40, "tasks to run")
    fleet.processes["w1"].signal(signal.SIGSTOP)
    victim = leader_of(fleet, "dc1")
    fleet.processes[victim].kill()
    time.sleep(12)
    fleet.processes["w1"].signal(signal.SIGCONT)
    fleet.processes[victim].start()
    fleet.wait_until(lambda: all(view(it)["phase"] == "JOB_PHASE_SUCCEEDED" for it in jobs), 90, "the jobs to end")
    journals = [fleet.journal(it) for it in fleet.processes if it.startswith("w")]
    overlaps, starts = overlapping_tasks(journals)
    checks.check("no task ran in two places at once", not overlaps, overlaps[:3])
    checks.check("every task was started", starts >= 64, starts)


run_test(scenario)
