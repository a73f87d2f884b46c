"""A faulty server answers an earlier grant once more, late: the controller takes the copy as the answer to a release."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from standins2 import LAST_KEY, World, ask, run_case, wait_until_serving  # noqa: E402

WORK_S = 2.5


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
        # Renewals have gone over the connections that carry orders.
        await asyncio.sleep(6)
        leaver = world.servers[0]
        keys = [next((k for k in range(chunk, chunk + 4096, 16) if leaver.holds(k)), None)
                for chunk in range(0, LAST_KEY, 4096)]
        work = [asyncio.ensure_future(ask(world, daemons[0], "/bid/1", key=k, method="POST", body=b"bid",
                                          headers={"X-Work-S": str(WORK_S)})) for k in keys if k is not None][:8]
        await asyncio.sleep(0.4)
        leaver.extra_answers = 1 if trouble else 0
        await leaver.drain()
        world.record(f"{leaver.id} reports draining; it is at work on {sorted(leaver.running.values())}")
        await asyncio.gather(*work)
        await asyncio.sleep(3)
        if trouble and leaver.extra_answers:
            world.record("no release of these keys came over a connection that had carried a grant: no extra answer was due")
    finally:
        status = await world.finish()
    return status


run_case(main)
