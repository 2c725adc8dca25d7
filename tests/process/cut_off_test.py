"""A network partition separates one data centre from all others. It must keep
serving idempotent requests and start no non-idempotent ones, and the withdrawal
of a key must stay pending until the partition ends.

During the partition the data centre can't know whether a request id was begun in
another one. So the refusal of a non-idempotent request does not claim that the id
did not run, and the id runs once when it is sent again after the partition.
"""

import time

from harness import Load, RelayedFleet, prepare, run_test


def scenario(fleet, checks):
    accounts = prepare(fleet)
    key = accounts[0]["key"]
    inside = [it["id"] for it in fleet.entries_of("dc4")]
    # The data centre must hold a portion of each team's limit before the partition.
    for account in accounts:
        status, answer, _ = fleet.call(inside[0], "POST", "/v1/requests/weigh-check", b"x", account["key"])
        checks.check("the data centre serves the team before the partition", status == 200, answer)
    fleet.cut_off("dc4")
    fleet.wait_until(lambda: all(fleet.status(it)["cut_off"] for it in inside), 20, "the partition to be detected")
    served = 0
    began = 0
    for number in range(40):
        status, _, _ = fleet.call(inside[number % 2], "POST", "/v1/requests/weigh-check", b"x", key)
        served += status == 200
        headers = {"Teasel-Request-Id": f"cut-{number}", "Teasel-Deadline-Ms": "3000"}
        if number < 4:
            status, answer, _ = fleet.call(
                inside[number % 2], "POST", "/v1/requests/batch-blend", b"x", accounts[1]["key"], headers
            )
            began += status == 200
            checks.check("a refusal in the partition has a retry delay", answer.get("retry_after_ms", 0) > 0, answer)
    checks.check("the partitioned data centre serves idempotent requests", served == 40, served)
    checks.check("the partitioned data centre starts no non-idempotent request", began == 0, began)

    status, answer, _ = fleet.change([{"withdraw_key": "farm-a-key"}], wait_ms=1500, change_id="w1")
    checks.check("a key withdrawal is pending during the partition", status == 202, (status, answer))
    checks.check("the answer names the unreachable data centre", answer.get("data_centres_not_reached") == ["dc4"], answer)
    outside = [fleet.call(it, "POST", "/v1/requests/weigh-check", b"x", key)[0] for it in fleet.entry_ids[:7]]
    checks.check("the key is refused in all other data centres", all(it == 401 for it in outside), outside)

    fleet.relay.heal()

    def accepted():
        return fleet.call("dc1-e1", "GET", "/v1/config/changes/w1", key=fleet.operator_key)[1]["state"] == "CHANGE_STATE_ACCEPTED"

    fleet.wait_until(accepted, 30, "the change to be accepted after the partition")
    after = [fleet.call(it, "POST", "/v1/requests/weigh-check", b"x", key)[0] for it in fleet.entry_ids]
    checks.check("after acceptance the key is refused in every data centre", all(it == 401 for it in after), after)
    other = accounts[1]["key"]
    for number in range(4):
        headers = {"Teasel-Request-Id": f"cut-{number}"}
        for _ in range(2):
            status, answer, _ = fleet.call(inside[0], "POST", "/v1/requests/batch-blend", b"x", other, headers)
            checks.check("an id refused during the partition can be sent again", status == 200, answer)
    runs = Load(fleet, accounts[1:], seconds=1, rate=20).finish(checks)
    checks.check("the fleet serves all requests after the partition", runs["sent"] == 20, runs["sent"])
    time.sleep(0.5)
    status, _, _ = fleet.call(inside[0], "POST", "/v1/requests/weigh-check", b"x", accounts[1]["key"])
    checks.check("the data centre serves the other team", status == 200, status)


run_test(scenario, RelayedFleet)
