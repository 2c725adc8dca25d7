"""Machines get SIGTERM in turn while clients go on using the channels that they have open."""

import asyncio
import json
import os
import random
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
from fleet import BOUNDS, CannotRun, TROUBLE, run_case  # noqa: E402

QUEUE = "weigh"
LONG = [{"count": 1, "cpu": 100, "memMb": 100, "estimateMs": 1000}]
READERS = 100  # clients that ask for the state of a submission, each over a channel of its own
EVERY_S = 0.03
GAP_S = 1.5  # between two machines of the roll; the front is the first one, the leading core instance the fourth


class Channel:
    """One client's open channel to a front."""

    def __init__(self, fleet, front):
        self.fleet, self.front = fleet, front

    async def open(self):
        host, port = self.fleet.fronts[self.front].rsplit(":", 1)
        self.reader, self.writer = await asyncio.open_connection(host, int(port))

    async def call(self, method, job, body=None):
        """Returns the status; 0 if the channel ended without an answer, None if it was closed before the call."""
        if self.reader.at_eof():
            return None
        data = b"" if body is None else json.dumps(body).encode()
        head = {**self.fleet.headers(), "Content-Length": str(len(data)), "Content-Type": "application/json"}
        text = f"{method} /{QUEUE}/{job} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in head.items()) + "\r\n"
        sent = asyncio.get_running_loop().time()
        self.age = lambda: asyncio.get_running_loop().time() - sent
        try:
            async with asyncio.timeout(3):
                self.writer.write(text.encode() + data)
                line = await self.reader.readline()
                if not line:
                    self.ended_after = self.age()
                    return 0
                length = 0
                while header := (await self.reader.readline()).decode().strip():
                    if header.lower().startswith("content-length:"):
                        length = int(header.split(":")[1])
                self.answer = (await self.reader.readexactly(length)).decode()
                return int(line.split()[1])
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.ended_after = self.age()
            return 0


async def scenario(fleet):
    await fleet.start([QUEUE], executors=4, work=lambda task, run, spec: (60, "done") if "long" in spec else (0.2, "done"))
    long_job = f"{random.getrandbits(64):016x}"
    status, _ = await fleet.client("POST", QUEUE, long_job, {"spec": "long", "steps": LONG}, front=1)
    if status != 200:
        raise CannotRun("the long submission was not accepted")
    await asyncio.sleep(0.5)
    channels = [Channel(fleet, 0) for _ in range(READERS)]
    for it in channels:
        await it.open()
    # Each channel has been in use before.
    for n in range(0, len(channels), 30):
        await asyncio.gather(*(it.call("GET", long_job) for it in channels[n:n + 30]))
    began = asyncio.get_running_loop().time()
    if TROUBLE:
        fleet.record.write("front_gets_sigterm", front=0)
        fleet.front[0].signal(signal.SIGTERM)
        leader = fleet.leader()

        def stop_leader():
            fleet.record.write("leader_gets_sigterm", core=leader)
            fleet.core[leader].signal(signal.SIGTERM)

        asyncio.get_running_loop().call_later(3 * GAP_S, stop_leader)
    counts = {}
    lost = []

    async def read(n, at):
        await asyncio.sleep(began + at - asyncio.get_running_loop().time())
        it = channels[n]
        fleet.record.write("client_sends", method="GET", channel=n)
        status = await it.call("GET", long_job)
        age = None if status is None else round(it.age(), 4)
        fleet.record.write("client_gets", method="GET", channel=n, status=status, age=age)
        counts[status] = counts.get(status, 0) + 1
        if status == 0 and age > BOUNDS["lossSlackMs"] / 1000:
            lost.append(age)

    await asyncio.gather(*(read(n, 2.3 + EVERY_S * n) for n in range(READERS)))
    text = f"answers (0: channel ended without one, None: closed before the call): {counts}"
    if lost:
        return False, f"{len(lost)} calls got no answer though read {min(lost)} to {max(lost)} s before; {text}"
    return True, text


run_case(HERE, scenario)
