"""A key is withdrawn while one instance is paused (SIGSTOP). The change must be
accepted only once that instance's lease has expired, so that it can no longer
serve under the old configuration when it resumes."""

import signal

from harness import leader_of, persist, prepare, run_test


def scenario(fleet, checks):
    accounts = prepare(fleet)
    key = accounts[0]["key"]
    leader = leader_of(fleet, "dc1")
    paused = next(it["id"] for it in fleet.entries_of("dc1") if it["id"] != leader)
    fleet.processes[paused].signal(signal.SIGSTOP)
    status, answer, _ = fleet.change([{"withdraw_key": "farm-a-key"}], entry_id=leader, wait_ms=10000)
    checks.check("the withdrawal is accepted once the paused lease has expired", status == 200, (status, answer))
    fleet.processes[paused].signal(signal.SIGCONT)
    statuses = [fleet.call(paused, "POST", "/v1/requests/weigh-check", b"x", key)[0] for _ in range(20)]
    checks.check("the resumed instance never accepts the key", all(it in (401, 503) for it in statuses), statuses)
    fleet.wait_serving([paused])
    status = persist(fleet, paused, "/v1/requests/weigh-check", b"x", accounts[1]["key"])[0]
    checks.check("the resumed instance serves other keys", status == 200, status)


run_test(scenario)
