#!/usr/bin/env python3
"""The settings files of two of six entries change: a bound is a fraction. Both entries are stopped and started in turn
afterwards, as planned work. Shows entries that end by themselves at each start.

TROUBLE=0: the settings files stay as they are; the entries are stopped and started all the same.
"""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
sys.dont_write_bytecode = True

from standins import Client, Deployment, config, expect, run_case  # noqa: E402

CHANGED = ("bounds.budgetSlack", "202.5")  # 202 before
CHANGED_ENTRIES = 2
STARTS = 3
RESTART_S = 0.5
START_TIMEOUT_S = 5.0


async def play(record, folder, has_trouble):
    deployment = Deployment(record, folder)
    try:
        return await play_deployment(deployment, record, has_trouble)
    finally:
        await deployment.stop()


async def play_deployment(deployment, record, has_trouble):
    await deployment.start(config(7, {"coop": ["k-1"]}))
    await asyncio.sleep(3.0)
    client = Client(record, "client", "k-1")
    changed = deployment.entries[:CHANGED_ENTRIES]
    for entry in changed:
        expect(await client.call(entry.front) == 200, "a booking is not served before the disruption")
        if has_trouble:
            entry.change_setting(*CHANGED)
        entry.signal(signal.SIGHUP)
    await asyncio.sleep(2.0)
    for entry in changed:
        expect(await client.call(entry.front) == 200, "a booking is not served after the settings have changed")
    faults = []
    for entry in changed:
        entry.signal(signal.SIGTERM)
        await asyncio.wait_for(entry.process.wait(), 9.0)
        ends = []
        for _ in range(STARTS):
            await asyncio.sleep(RESTART_S)
            await entry.start()
            code = await wait_until_up(entry)
            if code is None:
                break
            ends.append(code)
            record.line(f"{entry.name}: ended by itself with exit code {code}")
        if len(ends) == STARTS:
            faults.append(f"{entry.name} ended by itself at each of {STARTS} starts, with exit codes {ends}")
        else:
            expect(await client.call(entry.front) == 200, f"{entry.name} has started and doesn't serve")
    return [f"Fault: {fault}" for fault in faults] if len(faults) == CHANGED_ENTRIES else []


async def wait_until_up(entry):
    """Waits until an entry is ready; returns its exit code if it ends before."""
    end = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < end:
        if entry.process.returncode is not None:
            return entry.process.returncode
        if await entry.is_ready():
            return None
        await asyncio.sleep(0.05)
    raise RuntimeError(f"{entry.name} is neither ready nor ended")


run_case(FOLDER, play)
