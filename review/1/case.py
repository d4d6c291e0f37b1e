"""The list of engines has an entry of another writer, in which most fields are missing.

Fails if no request is served (Fault): the process that gives orders gives none, so that no engine ever holds
a layer, while all processes report that they are ready.
"""
import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from fleet import NETWORK, CannotRun, Client, Engine, Front, model_service, prompt_headers, route, run_case

# The fields version, slots, coldLeftMs, seq, born, stage and models are missing. Its layers are those of
# the second half of a larger model.
FOREIGN_ENTRY = {
    "service": "drafts", "address": f"{NETWORK + 99}:9000", "zone": "curico", "state": "ready", "kind": "l40s",
    "layers": {"from": 60, "target": 120},
}
PLACEMENT_S = 12.0
PLAY_S = 40.0


async def caller(fleet, front, counts):
    while True:
        client = Client(fleet, front)
        _, answer = await client.send("/draft/1", headers=prompt_headers("drafts-m"), deadline_ms=20000)
        client.close()
        counts["served" if answer.status == 200 and answer.is_whole else str(answer.status)] = (
            counts.get("served" if answer.status == 200 and answer.is_whole else str(answer.status), 0) + 1
        )
        await asyncio.sleep(0.5)


async def scenario(fleet):
    kinds = [("a100", 72000.0), ("l40s", 43200.0)]
    drafts = model_service("drafts", layers=80, layer_mb=1750.0, kinds=kinds, load_s=2.0)
    fleet.write_config(1, [route("/draft/", "stream", "drafts")], [drafts])
    if fleet.trouble:
        fleet.store.put("servers", "legacy-7", FOREIGN_ENTRY)
        fleet.record.add("foreign-entry", value=FOREIGN_ENTRY)
    fleet.fronts = [Front(fleet, 1), Front(fleet, 2), Front(fleet, 3, zone="curico")]
    for front in fleet.fronts:
        await front.start()
    fleet.engines = [Engine(fleet, number, "drafts", kind="a100", mb=72000) for number in (1, 2, 3, 4)]
    fleet.engines.append(Engine(fleet, 5, "drafts", zone="curico", kind="l40s", mb=43200))
    for engine in fleet.engines:
        await engine.start()
    await fleet.wait_ready()
    await asyncio.sleep(PLACEMENT_S)
    counts = {}
    tasks = [asyncio.create_task(caller(fleet, front, counts)) for front in fleet.fronts]
    await asyncio.sleep(PLAY_S)
    for task in tasks:
        task.cancel()
    is_ready = [await front.is_ready() for front in fleet.fronts]
    orders = sum(engine.orders for engine in fleet.engines)
    fleet.record.add("end", answers=counts, ready=is_ready, orders=orders)
    if not counts:
        raise CannotRun("no request was answered")
    if counts.get("served"):
        return []
    return [f"Fault: no request is served: {counts}; engines have taken {orders} orders; fronts ready: {is_ready}"]


run_case(Path(__file__).parent, scenario)
