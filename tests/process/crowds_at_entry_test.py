"""Clients that send bodies without an end, or requests without reading answers, end no entry and no state instance."""

from crowds import answer_of, check_crowds, crowds
from harness import prepare, run_test

MAX_CONNECTIONS = 400
CROWD = 420  # more than the instance accepts at once
MEMORY_MIB = 160
OTHER_FILES = 200
BODY_BYTES = 1 << 20  # the largest body that is accepted


def address_of(it):
    host, port = it["http"].split(":")
    return host, int(port)


def scenario(fleet, checks):
    key = prepare(fleet)[0]["key"]
    request = "/v1/requests/weigh-check"
    for it, method, path in ((fleet.entries[0], "POST", request), (fleet.states[0], "GET", "/v1/status")):
        address = address_of(it)

        def ordinary(address=address, method=method, path=path):
            return answer_of(address, method, path, b"x", {"Authorization": f"Bearer {key}"})

        ahead = f"GET /v1/status HTTP/1.1\r\nHost: {it['id']}\r\n\r\n".encode()
        kinds = crowds(address, "POST", path, "", BODY_BYTES, CROWD, ahead)
        check_crowds(checks, fleet.processes[it["id"]], kinds, ordinary, MEMORY_MIB, MAX_CONNECTIONS + OTHER_FILES)


run_test(scenario, executors=4, workers=0, entries=[1, 1, 1],
         settings={"entry": [f"max_connections: {MAX_CONNECTIONS}"]})
