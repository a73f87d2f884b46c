"""A planned stop of a daemon, in calm; some requests that it passes on wait in their servers' queues."""
import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins

SERVICE = "block-ledger"
# assay-read on the sheet and in the site file: route timeout 4,000 ms, time limit 8,000 ms, work 400 ms, 3,000 ms at most.
TIMEOUT_MS, DEADLINE_MS, TARGET_MS, WORK_MS, LONGEST_MS = 4000, 8000, 1200, 400, 3000
GRACE_S = standins.SETTINGS["bounds"]["grace_s"]
LONG_AFTER_S = 2.3  # From SIGTERM until the requests with the longest work; still 0.3 s before new ones are refused.


async def play(setup):
    servers = [(f"i-{name}", SERVICE, zone, False) for name, zone in (("a", "glk-a"), ("b", "glk-b"))]
    routes = [("assay-read", "/assays/", "safe", SERVICE)]
    await setup.start(standins.config({SERVICE: False}, routes, timeout_ms=TIMEOUT_MS, target_ms=TARGET_MS), servers,
                      ["glk-a", "glk-b"])
    if not await setup.until_served("/assays/1"):
        raise RuntimeError("the service is not served")
    daemon = setup.daemons[0]
    arrived, ended = {}, {}
    for server in setup.servers:
        async def note(message, server=server, handle=server.handle):
            arrived[message.header("acaciagauge-request-id")] = (time.monotonic(), server)
            return await handle(message)
        server.handle = note

    async def read(connection, work):
        request, head = setup.callers.head("GET", f"/assays/1?work={work}", deadline_ms=DEADLINE_MS)
        at = time.monotonic()
        setup.record.write(f"caller sends GET {request}, work {work} ms")
        await connection.send(head)
        answer = await connection.receive(DEADLINE_MS / 1000)
        ended[request] = (at, time.monotonic())
        setup.callers.answers[request] = answer.status if answer else None
        setup.record.write(f"caller gets {answer.status if answer else 'no answer, the connection ends'} for {request}, "
                           f"sent {time.monotonic() - at:.2f} s before, work {work} ms")
        return request

    connections = [await standins.Connection.open(daemon.front) for _ in range(8)]
    for _ in range(8):  # The daemon learns that the servers respond, and how fast.
        await asyncio.gather(*(read(it, WORK_MS) for it in connections[:4]))
    stopped_at = time.monotonic()
    if setup.trouble:
        daemon.process.send_signal(signal.SIGTERM)
        setup.record.write(f"SIGTERM to {daemon.name}")
    await asyncio.sleep(LONG_AFTER_S)
    reads = []
    for n, it in enumerate(connections):  # Each server has two slots: the first four requests take all of them.
        reads.append(asyncio.create_task(read(it, LONGEST_MS if n < 4 else WORK_MS)))
        await asyncio.sleep(0.02)
    requests = await asyncio.gather(*reads, return_exceptions=True)
    if setup.trouble:
        await asyncio.wait_for(daemon.process.wait(), GRACE_S)
        setup.record.write(f"{daemon.name} has ended with {daemon.process.returncode}, "
                           f"{time.monotonic() - stopped_at:.2f} s after SIGTERM")
    lost = []
    for request in (it for it in requests if isinstance(it, str) and setup.callers.answers[it] is None):
        sent, end = ended[request]
        if request not in arrived:
            continue
        server = arrived[request][1]
        started = next((it[2] for it in server.runs if it[0] == request), None)
        if request in server.running:
            started = server.running[request][1]
        at_work = started is not None and started < end
        setup.record.write(f"{request} had reached {server.id}; " + ("which was at work on it" if at_work else
                           f"it was in its queue when the connection ended, {end - sent:.2f} s after it had been sent"))
        if not at_work and end - sent < TIMEOUT_MS / 1000:
            lost.append(request)
    if lost:
        return f"passed on, not at work, before the route's timeout, and ended without an answer: {' '.join(lost)}"
    return ""


standins.main(os.path.dirname(os.path.abspath(__file__)), play)
