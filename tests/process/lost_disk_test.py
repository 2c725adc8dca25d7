"""A state replica loses its disk and is replaced; right after the replacement has
caught up, the state leader loses its disk. No accepted change may be lost."""

import shutil

from harness import persist, prepare, run_test, state_leader


def scenario(fleet, checks):
    accounts = prepare(fleet)
    victim = next(it for it in fleet.state_ids if it != state_leader(fleet))
    fleet.processes[victim].kill()
    shutil.rmtree(fleet.data_folder(victim))
    answer = fleet.must_change([{"withdraw_key": "farm-a-key"}])
    blend = "/v1/requests/batch-blend"
    headers = {"Teasel-Request-Id": "before-loss"}
    begun = persist(fleet, "dc1-e1", blend, b"x", accounts[1]["key"], headers)
    checks.check("a request was begun before the second loss", begun[0] == 200, begun)
    with open(f"{fleet.folder}/{victim}.yaml", "a", encoding="utf-8") as settings:
        settings.write("replacement: true\n")
    fleet.processes[victim].start()
    committed = lambda it: int(fleet.status(it)["committed"])  # noqa: E731
    leader = state_leader(fleet)
    fleet.wait_until(lambda: committed(victim) >= committed(leader) > 0, 20, "the replacement to catch up")
    # Only a readmitted disk votes: before that, design/voter-replacement.md promises no leader after a second loss.
    fleet.wait_until(lambda: fleet.status(victim)["may_vote"], 20, "the replacement to be readmitted")

    second = state_leader(fleet)
    fleet.processes[second].kill()
    shutil.rmtree(fleet.data_folder(second))
    fleet.wait_until(lambda: state_leader(fleet) is not None, 20, "a state leader after the second loss")
    seen = []

    def changed():
        seen.append(fleet.change([{"put_scheme": {"id": 0, "name": f"extra-{len(seen)}"}}])[:2])
        return seen[-1][0] == 200

    try:
        fleet.wait_until(changed, 20, "a change")
    finally:
        checks.check("a change is accepted after the second loss", seen and seen[-1][0] == 200, seen[-1:])

    refused = [fleet.call(it, "POST", "/v1/requests/weigh-check", b"x", accounts[0]["key"])[0] for it in fleet.entry_ids]
    checks.check("the key withdrawal survives both losses", all(it == 401 for it in refused), refused)
    again = persist(fleet, "dc2-e1", blend, b"x", accounts[1]["key"], headers)
    checks.check("the begun record survives both losses", again[2].get("Teasel-Stored-Answer") == "true", again)
    revision = int(fleet.call("dc1-e1", "GET", "/v1/config", key=fleet.operator_key)[1]["revision"])
    checks.check("the revision did not decrease", revision > int(answer["revision"]), (revision, answer["revision"]))


run_test(scenario)
