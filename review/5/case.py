"""A server that is partitioned from the store leaves, while the machine of the controller is lost."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins

SERVICE = "auction-floor"
DRAIN_S = standins.SETTINGS["bounds"]["drain_ms"] / 1000
CUT_BEFORE_S = 1.5  # From the start of the cut until the server begins to leave.
LOSS_BEFORE_S = 0.2  # From the loss of the controller's machine until the server begins to leave.
HEALED_AFTER_S = 2.6  # From the server's leaving until the cut heals; the cut lasts 4.1 s.


async def play(setup):
    zones = ("glk-a", "glk-b", "glk-c", "glk-a", "glk-b")
    servers = [(f"i-{name}", SERVICE, zone, True) for name, zone in zip("abcde", zones)]
    routes = [("lot-view", "/lots/", "safe", SERVICE), ("bid-place", "/bids/", "unsafe", SERVICE)]
    await setup.start(standins.config({SERVICE: True}, routes), servers, ["glk-a", "glk-b", "glk-c"])
    if not await setup.until_served("/lots/1", range(0, 65536, 6000)):
        raise RuntimeError("the keys are not served")
    await asyncio.sleep(3)
    leaving = setup.servers[0]
    controller = [it for it in setup.daemons if await it.is_controller()][0]
    keys = [it["from"] for it in leaving.holds if it["until"] > time.monotonic()]
    sent, passed_at, ran = {}, {}, []
    handle = leaving.handle

    async def note(message):
        answer = await handle(message)
        request = message.header("acaciagauge-request-id")
        if request in leaving.begun:
            ran.append(request)
        if leaving.state == "draining":
            answer = answer.replace(b"\r\n\r\n", b"\r\nServer-Leaving: 1\r\n\r\n", 1)
        return answer

    leaving.handle = note
    end = time.monotonic() + CUT_BEFORE_S + HEALED_AFTER_S + 4

    async def caller(n):
        daemon, key = setup.daemons[n % len(setup.daemons)], keys[n // len(setup.daemons) % len(keys)]
        while time.monotonic() < end and daemon.process.returncode is None:
            request, head = setup.callers.head("POST", "/bids/1?work=20", key, 1000, 2)
            sent[request] = (time.monotonic(), daemon)
            setup.record.write(f"caller sends POST {request} key {key} to {daemon.name}")
            try:
                connection = await standins.Connection.open(daemon.front)
                await connection.send(head + b"{}")
                answer = await connection.receive(2)
                connection.close()
            except OSError:
                break
            status = answer.status if answer else None
            setup.callers.answers[request] = status
            setup.record.write(f"caller gets {status} for {request}")
            if answer and answer.header("server-leaving") == "1" and daemon not in passed_at:
                passed_at[daemon] = time.monotonic()
                setup.record.write(f"{daemon.name} passes on an answer with Server-Leaving for the first time, to {request}")
            await asyncio.sleep(0.15)

    callers = [asyncio.create_task(caller(n)) for n in range(24)]
    if setup.trouble:
        leaving.is_cut = True
        setup.record.write(f"server {leaving.id} is partitioned from the store")
    await asyncio.sleep(CUT_BEFORE_S - LOSS_BEFORE_S)
    if setup.trouble:
        await controller.kill()
        setup.record.write(f"the machine of {controller.name}, the controller, is lost for good")
    await asyncio.sleep(LOSS_BEFORE_S)
    leaving.drain()
    await asyncio.sleep(HEALED_AFTER_S)
    if setup.trouble:
        leaving.is_cut = False
        leaving.report()
        setup.record.write(f"the partition heals; server {leaving.id} reports draining to the store")
    await asyncio.gather(*callers)
    late = []
    for request in ran:
        at, daemon = sent[request]
        if daemon in passed_at and at - passed_at[daemon] > DRAIN_S:
            late.append(request)
            setup.record.write(f"{request} ran at {leaving.id}; its caller had sent it {at - passed_at[daemon]:.2f} s after "
                               f"{daemon.name} had first passed on Server-Leaving")
    if late:
        return f"{len(late)} requests reached server {leaving.id} too late, and ran: {' '.join(late[:8])}"
    return ""


standins.main(os.path.dirname(os.path.abspath(__file__)), play)
