"""Another writer's entry has a start time that is no whole number: keys of a live server are given away without a release."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from standins2 import LAST_KEY, World, ask, run_case, wait_until_serving  # noqa: E402

WORK_S = 1.5
BIDS = 6


async def main(record, trouble):
    world = World(record)
    try:
        await world.store.start()
        await world.configure()
        for n in range(3):
            await world.add_server(f"i-{n}", slots=8)
        daemons = [await world.start_daemon(f"d{n}") for n in range(2)]
        for it in daemons:
            if not await wait_until_serving(world, it):
                raise RuntimeError("the daemons do not serve")
        await asyncio.sleep(3)
        leaver = world.servers[0]
        if trouble:
            entry = {"address": leaver.address, "born": leaver.born + 60000.5,
                     "info": {"service": "floor", "version": "v1", "zone": "z-a", "concurrency": 4},
                     "status": {"state": "ready", "sequence": 1, "warmup_left_ms": 0}}
            await world.store.put("servers/agent-1", entry)
            world.record(f"another writer puts servers/agent-1: {entry}")
        await asyncio.sleep(1)
        held = [next((k for k in range(chunk, chunk + 4096, 16) if leaver.holds(k)), None)
                for chunk in range(0, LAST_KEY, 4096)]
        keys = [k for k in held if k is not None][:BIDS]
        bids = [asyncio.ensure_future(ask(world, daemons[0], "/bid/1", key=k, method="POST", body=b"bid",
                                          headers={"X-Work-S": str(WORK_S)})) for k in keys]
        await asyncio.sleep(0.3)
        await leaver.drain()
        world.record(f"{leaver.id} reports draining; it is at work on {sorted(leaver.running.values())}")
        await asyncio.gather(*bids)
        await asyncio.sleep(2)
    finally:
        status = await world.finish()
    return status


run_case(main)
