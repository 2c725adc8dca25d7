"""A data centre is cut off silently: it serves on, begins nothing that must not
run twice, and a key withdrawn meanwhile is pending until the cut heals.

Whether an id was begun elsewhere can't be known during the cut, so a refusal of
a non-idempotent request does not claim that the id did not run; the same id
runs once when it is sent again after healing.
"""

import time

from harness import Load, RelayedFleet, prepare, run_test


def scenario(fleet, checks):
    accounts = prepare(fleet)
    key = accounts[0]["key"]
    fleet.cut_off("dc4")
    inside = [it["id"] for it in fleet.entries_of("dc4")]
    fleet.wait_until(lambda: all(fleet.status(it)["cut_off"] for it in inside), 20, "the cut to be noticed")
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
            checks.check("a refusal while cut off says when to come back", answer.get("retry_after_ms", 0) > 0, answer)
    checks.check("the cut-off data centre serves idempotent requests", served == 40, served)
    checks.check("the cut-off data centre begins nothing non-idempotent", began == 0, began)

    status, answer, _ = fleet.change([{"withdraw_key": "farm-a-key"}], wait_ms=1500, change_id="w1")
    checks.check("a withdrawal is pending during the cut", status == 202, (status, answer))
    checks.check("it names the data centre", answer.get("data_centres_not_reached") == ["dc4"], answer)
    outside = [fleet.call(it, "POST", "/v1/requests/weigh-check", b"x", key)[0] for it in fleet.entry_ids[:7]]
    checks.check("the key is refused everywhere else", all(it == 401 for it in outside), outside)

    fleet.relay.heal()

    def accepted():
        return fleet.call("dc1-e1", "GET", "/v1/config/changes/w1", key=fleet.operator_key)[1]["state"] == "CHANGE_STATE_ACCEPTED"

    fleet.wait_until(accepted, 30, "the change to be accepted after healing")
    after = [fleet.call(it, "POST", "/v1/requests/weigh-check", b"x", key)[0] for it in fleet.entry_ids]
    checks.check("after acceptance the key is refused everywhere", all(it == 401 for it in after), after)
    other = accounts[1]["key"]
    for number in range(4):
        headers = {"Teasel-Request-Id": f"cut-{number}"}
        for _ in range(2):
            status, answer, _ = fleet.call(inside[0], "POST", "/v1/requests/batch-blend", b"x", other, headers)
            checks.check("an id refused during the cut can be sent again", status == 200, answer)
    runs = Load(fleet, accounts[1:], seconds=1, rate=20).finish(checks)
    checks.check("the fleet is whole again", runs["sent"] == 20, runs["sent"])
    time.sleep(0.5)
    status, _, _ = fleet.call(inside[0], "POST", "/v1/requests/weigh-check", b"x", accounts[1]["key"])
    checks.check("the data centre serves the other team", status == 200, status)


run_test(scenario, RelayedFleet)
