"""Operators send conflicting changes with the same base revision to different instances, and resend the winning one."""

import threading

from harness import prepare, run_test


def scenario(fleet, checks):
    prepare(fleet)
    for round_number in range(5):
        revision = int(fleet.call("dc1-e1", "GET", "/v1/config", key=fleet.operator_key)[1]["revision"])
        answers = {}

        def change(place, entry):
            scheme = {"name": f"race-{round_number}-{place}"}
            answers[place] = fleet.change(
                [{"put_scheme": scheme}], entry, change_id=f"race-{round_number}-{place}", base_revision=revision
            )

        threads = [threading.Thread(target=change, args=(k, it)) for k, it in enumerate(("dc1-e2", "dc3-e1", "dc4-e2"))]
        for it in threads:
            it.start()
        for it in threads:
            it.join()
        accepted = [k for k, it in answers.items() if it[0] == 200]
        checks.check("exactly one change is accepted", len(accepted) == 1, {k: it[:2] for k, it in answers.items()})
        if not accepted:
            continue
        winner = f"race-{round_number}-{accepted[0]}"
        named = [it[1].get("winning_change_id") for k, it in answers.items() if k != accepted[0]]
        checks.check("the refused changes name the accepted one", named == [winner, winner], named)
        scheme = {"name": f"race-{round_number}-{accepted[0]}"}
        status, answer, _ = fleet.change([{"put_scheme": scheme}], "dc2-e1", change_id=winner, base_revision=revision)
        first = answers[accepted[0]][1]
        checks.check("a resend gets the first answer", (status, answer["revision"]) == (200, first["revision"]), answer)


run_test(scenario)
