"""Two of three processes of a zone are stopped by SIGTERM while calls that take 2.5 s come in.

Fails if a call that was passed on to an engine later than 3 s after the SIGTERM ends without a whole
answer, although neither its deadline nor the timeout of its route was reached (LOST).
"""
import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from fleet import CannotRun, Client, Engine, Front, plain_service, route, run_case

WORK_S = 2.5
TIMEOUT_MS = 4000
GRACE_S = 8.0
EXCUSED_S = 3.0
CALL_EVERY_S = 0.1
STABLE_WINDOW_S = 3.0


class SlowEngine(Engine):
    async def serve(self, request, reader, writer):
        await self.serve_call(request, reader, writer, 0.02 if request.path == "/book/warm-up" else WORK_S)


class Balancer:
    """Selects fronts as the platform does: two misses of `/ready` in a row take one out of rotation; with
    fewer than half of the zone's fronts in rotation, all of them are used."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.misses = {front.name: 0 for front in fleet.fronts}
        self.turn = 0

    async def check(self):
        while True:
            for front in self.fleet.fronts:
                self.misses[front.name] = 0 if await front.is_ready() else self.misses[front.name] + 1
            await asyncio.sleep(1)

    def select(self):
        rotation = [front for front in self.fleet.fronts if self.misses[front.name] < 2]
        if 2 * len(rotation) < len(self.fleet.fronts):
            rotation = self.fleet.fronts
        self.turn += 1
        return rotation[self.turn % len(rotation)]


async def call(fleet, front, calls):
    client = Client(fleet, front)
    sent = time.monotonic()
    number, answer = await client.send("/book/order", deadline_ms=TIMEOUT_MS)
    calls.append((number, front, sent, time.monotonic() - sent, answer))
    client.close()


async def scenario(fleet):
    fleet.write_config(1, [route("/book/", "unsafe", "orders", timeoutMs=TIMEOUT_MS)], [plain_service("orders")])
    fleet.fronts = [Front(fleet, number, graceS=int(GRACE_S)) for number in (1, 2, 3)]
    for front in fleet.fronts:
        await front.start()
    fleet.engines = [SlowEngine(fleet, number, "orders") for number in (1, 2, 3)]
    for engine in fleet.engines:
        await engine.start()
    await fleet.wait_ready()
    await fleet.wait_served("/book/warm-up")
    await asyncio.sleep(STABLE_WINDOW_S + 0.5)
    balancer = Balancer(fleet)
    checks = asyncio.create_task(balancer.check())
    calls, tasks = [], []
    stopped = fleet.fronts[:2]
    stop_at = time.monotonic() + 2
    is_stopped = False
    while time.monotonic() < stop_at + GRACE_S + 1:
        if fleet.trouble and not is_stopped and time.monotonic() >= stop_at:
            is_stopped = True
            stop_at = time.monotonic()
            for front in stopped:
                front.signal(signal.SIGTERM)
        tasks.append(asyncio.create_task(call(fleet, balancer.select(), calls)))
        await asyncio.sleep(CALL_EVERY_S)
    await asyncio.gather(*tasks)
    checks.cancel()
    run = {line.split("id=")[1].split()[0] for line in open(Path(__file__).parent / "record.txt") if " run " in line}
    served = sum(answer.status == 200 and answer.is_whole for *_, answer in calls)
    if served == 0:
        raise CannotRun("no call was served")
    lost = [
        f"{number} sent {sent - stop_at:.2f} s after SIGTERM to {front.name}, run, ended after {length:.2f} s: {answer}"
        for number, front, sent, length, answer in calls
        if fleet.trouble and front in stopped and number in run and not answer.is_whole
        and sent - stop_at > EXCUSED_S and length < TIMEOUT_MS / 1000
    ]
    return [f"LOST: {len(lost)} calls of {len(calls)}, {served} served"] + lost if lost else []


run_case(Path(__file__).parent, scenario)
