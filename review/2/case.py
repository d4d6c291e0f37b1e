"""A streamed request crashes each engine that runs it, 30 ms after the first event of its answer.

Its caller sends it again every four seconds, with the same path, key and body. Fails if it reaches
engines in more than three retries later than `stableWindowMs` after its third crash (BUDGET).
"""
import asyncio
import os
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from fleet import CannotRun, Client, Engine, Front, model_service, prompt_headers, route, run_case

STABLE_WINDOW_S = 3.0
MAX_RETRIES = 3
RESTART_S = 3.0
REPEAT_S = 4.0
PLAY_S = 60.0
# The crash comes after this many events; for trials.
CRASH_EVENT = int(os.environ.get("CRASH_EVENT", "1"))
FATAL_PATH = "/draft/fatal"
FATAL_BODY = b"f" * 600


class FragileEngine(Engine):
    """An engine that the fatal request crashes; it is back after some seconds, without layers."""

    async def serve_stream(self, request, reader, writer):
        if self.fleet.trouble and request.path == FATAL_PATH:
            self.fleet.arrivals.append((self.fleet.record.now(), request.id))
            if CRASH_EVENT == 0:
                await asyncio.sleep(0.05)
                self.fatal_crash()
                return
        await super().serve_stream(request, reader, writer)

    async def sent_event(self, request, number):
        if self.fleet.trouble and request.path == FATAL_PATH:
            first = int(request.headers.get("last-event-id", 0)) + 1
            if number - first + 1 == CRASH_EVENT:
                await asyncio.sleep(0.03)
                self.fatal_crash()

    def fatal_crash(self):
        if self.server:
            self.fleet.crashes.append(self.fleet.record.now())
            self.crash()
            asyncio.create_task(self.restart())
        raise ConnectionResetError

    async def restart(self):
        await asyncio.sleep(RESTART_S)
        await self.start()


async def sound_caller(fleet, front, counts):
    """Sends streams of its own one after the other."""
    client = Client(fleet, front)
    while True:
        own = f"5c1e07a2:40,{random.getrandbits(32):08x}:700"
        _, answer = await client.send(
            "/draft/own", headers=prompt_headers("drafts-m", own), deadline_ms=20000, kind="sound"
        )
        counts["served" if answer.status == 200 and answer.is_whole else "cut or refused"] += 1
        await asyncio.sleep(0.2)


async def fatal_caller(fleet):
    client_number = 0
    while True:
        client = Client(fleet, fleet.fronts[client_number % len(fleet.fronts)])
        client_number += 1
        await client.send(
            FATAL_PATH, headers=prompt_headers("drafts-m"), body=FATAL_BODY, deadline_ms=20000, kind="fatal"
        )
        client.close()
        await asyncio.sleep(REPEAT_S)


async def scenario(fleet):
    fleet.arrivals, fleet.crashes = [], []
    fleet.write_config(1, [route("/draft/", "stream", "drafts")], [model_service("drafts")])
    fleet.fronts = [Front(fleet, number) for number in (1, 2)]
    for front in fleet.fronts:
        await front.start()
    fleet.engines = [FragileEngine(fleet, number, "drafts", kind="card", mb=16000) for number in range(1, 9)]
    for engine in fleet.engines:
        await engine.start()
    await fleet.wait_ready()
    await fleet.wait_served("/draft/own", headers=prompt_headers("drafts-m", "5c1e07a2:40,0a:9"), deadline_ms=20000)
    counts = {"served": 0, "cut or refused": 0}
    tasks = [asyncio.create_task(sound_caller(fleet, front, counts)) for front in fleet.fronts * 3]
    tasks.append(asyncio.create_task(fatal_caller(fleet)))
    await asyncio.sleep(PLAY_S)
    for task in tasks:
        task.cancel()
    if counts["served"] == 0:
        raise CannotRun("no sound request was served")
    fleet.record.add("sound-requests", **{name.replace(" ", "-"): count for name, count in counts.items()})
    if not fleet.trouble:
        return []
    fleet.record.add("fatal-crashes", count=len(fleet.crashes))
    if len(fleet.crashes) < 3:
        return []
    from_s = fleet.crashes[2] + STABLE_WINDOW_S
    retries = {request for at, request in fleet.arrivals if at > from_s}
    fleet.record.add("late-retries", count=len(retries))
    if len(retries) <= MAX_RETRIES:
        return []
    return [
        f"BUDGET: the request reaches engines in {len(retries)} retries later than 3 s after its third crash; "
        f"it crashed {len(fleet.crashes)} engines; sound streams: {counts}"
    ]


run_case(Path(__file__).parent, scenario)
