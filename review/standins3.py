"""Stand-ins for the platform's store, its servers and its clients, and a launcher for the daemons of the deploy file.

Everything listens on loopback addresses and runs in the process of the case that imports this module, but for the
daemons. The behaviour follows PROTOCOL.md; a case switches on a disruption by an attribute of the stand-in.
"""
import array
import asyncio
import base64
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

KEYS = 65536
REPOSITORY = pathlib.Path(__file__).resolve().parent.parent

# A small deployment with the bounds of SYSTEM.md, Lakestone Exchange Auction Gateway.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
    "grace_s": 6, "loss_slack_ms": 200, "config_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000,
    "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 62, "recovery_s": 15,
    "hold_max_ms": 10000, "thaw_ms": 300,
}
HEARTBEAT_S = 0.87
STORE_ANSWER_S = 0.004


def now():
    return time.monotonic()


def free_ports(count):
    sockets = []
    for _ in range(count):
        it = socket.socket()
        it.bind(("127.0.0.1", 0))
        sockets.append(it)
    ports = [it.getsockname()[1] for it in sockets]
    for it in sockets:
        it.close()
    return ports


class Record:
    """The file record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.started = now()

    def write(self, text):
        self.file.write(f"{now() - self.started:8.3f} {text}\n")
        self.file.flush()


class Message:
    """An HTTP/1.1 message: first line, header fields with lower-case names, body."""

    def __init__(self, first, fields, body):
        self.first, self.fields, self.body = first, fields, body

    def field(self, name):
        return self.fields.get(name.lower(), "")


async def read_message(reader, to_head=False):
    """Reads a message; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.lower()] = value.strip()
    body = b""
    try:
        if fields.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readline()).split(b";")[0], 16):
                body += await reader.readexactly(size)
                await reader.readline()
            while (await reader.readline()).strip():
                pass
        elif not to_head:
            body = await reader.readexactly(int(fields.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return Message(lines[0], fields, body)


REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 429: "Too Many Requests", 500: "Internal Server Error",
           503: "Service Unavailable"}


def answer_bytes(status, body=b"", fields=None):
    lines = [f"HTTP/1.1 {status} {REASONS[status]}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's metadata store (PROTOCOL.md, "The platform's metadata store")."""

    def __init__(self, port):
        self.address = f"127.0.0.1:{port}"
        self.port = port
        self.revision = 1
        self.items = {}  # key: (value, revision, created, lease)
        self.events = []  # (revision, event)
        self.leases = {}  # lease: end of its time
        self.last_lease = 0
        self.changed = asyncio.Condition()
        self.calls = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=1 << 22)
        self.expiry = asyncio.create_task(self.expire_leases())

    def item_json(self, key):
        value, revision, created, lease = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision, "created": created,
                "lease": lease}

    async def write(self, puts=(), removals=()):
        """Writes as the operator or a server: one revision, without a condition."""
        self.apply(puts, removals)
        async with self.changed:
            self.changed.notify_all()

    def apply(self, puts, removals):
        self.revision += 1
        for key, value, lease in puts:
            created = self.items[key][2] if key in self.items else self.revision
            self.items[key] = (value, self.revision, created, lease)
            self.events.append((self.revision, self.item_json(key)))
        for key in removals:
            if self.items.pop(key, None):
                self.events.append((self.revision, {"key": key, "revision": self.revision, "removed": True}))

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.05)
            for lease in [it for it, end in self.leases.items() if end <= now()]:
                await self.end_lease(lease)

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, it in self.items.items() if it[3] == lease]
        if keys:
            await self.write((), keys)

    async def serve(self, reader, writer):
        try:
            while request := await read_message(reader):
                self.calls += 1
                method, target, _ = request.first.split(" ")
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                status, body = await self.handle(method, url.path, query, request.body)
                await asyncio.sleep(STORE_ANSWER_S)
                writer.write(answer_bytes(status, json.dumps(body).encode(), {"Content-Type": "application/json"}))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, method, path, query, body):
        if path == "/-/kv-key":
            key = query["key"]
            return (200, self.item_json(key)) if key in self.items else (404, {})
        if path == "/-/kv-range":
            keys = sorted(it for it in self.items if it.startswith(query.get("prefix", "")) and it > query.get("after", ""))
            return 200, {"items": [self.item_json(it) for it in keys[:500]], "has_more": len(keys) > 500,
                         "store_revision": self.revision}
        if path == "/-/kv-watch":
            return await self.watch(query.get("prefix", ""), int(query["after"]), int(query["wait_ms"]) / 1000)
        if path == "/-/kv-txn":
            return await self.transact(json.loads(body))
        if path == "/-/kv-lease":
            self.last_lease += 1
            ttl = max(1000, min(600000, json.loads(body)["ttl_ms"]))
            self.leases[self.last_lease] = now() + ttl / 1000
            self.ttl = getattr(self, "ttl", {})
            self.ttl[self.last_lease] = ttl
            return 200, {"lease": self.last_lease, "ttl_ms": ttl}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/-/kv-keep/"):
            self.leases[lease] = now() + self.ttl[lease] / 1000
            return 200, {"lease": lease, "ttl_ms": self.ttl[lease]}
        await self.end_lease(lease)
        return 200, {}

    async def watch(self, prefix, after, wait):
        end = now() + wait
        while True:
            first = len(self.events)
            while first > 0 and self.events[first - 1][0] > after:
                first -= 1
            events = [event for _, event in self.events[first:] if event["key"].startswith(prefix)]
            if events or now() >= end:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), max(0.001, end - now()))
            except asyncio.TimeoutError:
                pass

    async def transact(self, call):
        expected = call.get("expect", [])
        for it in expected:
            if it["revision"] != (self.items[it["key"]][1] if it["key"] in self.items else 0):
                return 412, {"items": [self.item_json(row["key"]) for row in expected if row["key"] in self.items]}
        puts = [(it["key"], base64.b64decode(it["value"]), it.get("lease", 0)) for it in call.get("puts", [])]
        if any(lease and lease not in self.leases for _, _, lease in puts):
            return 404, {}
        if any(key.startswith(("op/", "servers/")) for key, _, _ in puts):
            return 403, {}
        await self.write(puts, call.get("remove", []))
        return 200, {"revision": self.revision}


class Work:
    """A request at which a server is at work."""

    def __init__(self, id, key, hold_end):
        self.id, self.key, self.hold_end, self.began = id, key, hold_end, now()


class Server:
    """One boot of a server that holds keys (PROTOCOL.md, "Servers" and "Keys that servers hold")."""

    def __init__(self, world, id, zone, slots=2, queue=8, work_s=0.2):
        self.world, self.id, self.zone, self.slots, self.queue, self.work_s = world, id, zone, slots, queue, work_s
        self.port = free_ports(1)[0]
        self.address = f"127.0.0.1:{self.port}"
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.is_up = True
        self.seen = array.array("Q", [0]) * KEYS  # Highest fence seen, by key.
        self.until = array.array("d", [0.0]) * KEYS  # New work may begin until then.
        self.hold_end = array.array("d", [0.0]) * KEYS  # When the granted time runs out, released or not.
        self.work = set()
        self.waiting = 0
        self.free = asyncio.Condition()
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=1 << 22)
        self.heartbeat = asyncio.create_task(self.report())

    async def report(self):
        while self.is_up:
            self.sequence += 1
            await self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def write_entry(self):
        entry = {"address": self.address, "born": self.born,
                 "info": {"service": self.world.service, "version": "v1", "zone": self.zone, "concurrency": self.slots},
                 "status": {"state": self.state, "sequence": self.sequence, "warmup_left_ms": 0}}
        await self.world.store.write([(f"servers/{self.id}", json.dumps(entry).encode(), 0)])

    async def drain(self):
        """Reports that the server leaves; it goes on serving."""
        self.state = "draining"
        self.sequence += 1
        await self.write_entry()
        self.world.record.write(f"server {self.id} reports draining")

    async def stop(self):
        """Ends the server: its entry is removed and its connections are closed."""
        self.is_up = False
        self.heartbeat.cancel()
        await self.world.store.write((), [f"servers/{self.id}"])
        self.server.close()
        for it in list(self.connections):
            it.close()
        self.world.record.write(f"server {self.id} has ended")

    def holds(self, key):
        return not self.world.sharded or self.until[key] > now()

    async def send(self, writer, data):
        writer.write(data)
        await writer.drain()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while request := await read_message(reader):
                method, target, _ = request.first.split(" ")
                path = target.split("?")[0]
                wanted = request.field("Acaciagauge-Target-Instance")
                if wanted and wanted != self.id:
                    await self.send(writer, answer_bytes(421, b"", self.fields(request, {"Acaciagauge-Not-Executed": "1"})))
                elif path in ("/-/grant", "/-/release"):
                    order = json.loads(request.body)
                    status, fields = await (self.grant(order) if path == "/-/grant" else self.release(order))
                    await self.send(writer, answer_bytes(status, b"", self.fields(request, fields)))
                else:
                    await self.send(writer, await self.run(request, target))
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def fields(self, request, more):
        fields = {"Acaciagauge-Instance-Id": self.id, **more}
        if id := request.field("Acaciagauge-Request-Id"):
            fields["Acaciagauge-Request-Id"] = id
        return fields

    async def grant(self, order):
        arrived = now()
        first, last, fence = order["from"], order["to"] + 1, order["fence"]
        if max(self.seen[first:last]) > fence:
            return 409, {}
        end = arrived + order["hold_ms"] / 1000
        self.world.check_grant(self, first, last, fence, order)
        self.seen[first:last] = array.array("Q", [fence]) * (last - first)
        self.until[first:last] = array.array("d", [end]) * (last - first)
        self.hold_end[first:last] = array.array("d", [end]) * (last - first)
        return 200, {}

    async def release(self, order):
        first, last, fence = order["from"], order["to"] + 1, order["fence"]
        self.world.record.write(f"server {self.id} got release {order}")
        for key in range(first, last):
            if self.seen[key] <= fence:
                self.until[key] = 0.0
        while any(first <= it.key < last for it in self.work):
            await asyncio.sleep(0.002)
        self.world.record.write(f"server {self.id} answers release {order}: its work on these keys has ended")
        return 200, {"Acaciagauge-Lease-Handover": f"{random.getrandbits(64):016x}"}

    async def run(self, request, target):
        id = request.field("Acaciagauge-Request-Id")
        key = int(request.field("Acaciagauge-Shard-Key") or -1)
        refused = {"Acaciagauge-Not-Executed": "1"}
        if not id:
            return answer_bytes(400, b"", refused)
        if not self.holds(key):
            return answer_bytes(421, b"", self.fields(request, refused))
        if self.waiting >= self.queue:
            return answer_bytes(503, b"", self.fields(request, refused))
        end = now() + int(request.field("Acaciagauge-Deadline-Ms") or 2000) / 1000
        self.waiting += 1
        try:
            async with self.free:
                while len(self.work) >= self.slots and now() < end:
                    try:
                        await asyncio.wait_for(self.free.wait(), max(0.001, end - now()))
                    except asyncio.TimeoutError:
                        pass
        finally:
            self.waiting -= 1
        if now() >= end:
            return answer_bytes(503, b"", self.fields(request, refused))
        if not self.holds(key):
            return answer_bytes(421, b"", self.fields(request, refused))
        work = Work(id, key, self.hold_end[key])
        self.work.add(work)
        self.world.check_begin(self, work)
        try:
            await asyncio.sleep(min(self.work_s, max(0, end - now())))
        finally:
            self.work.discard(work)
            async with self.free:
                self.free.notify_all()
        self.world.note_ran(self, work)
        if self.world.sharded and now() > work.hold_end:
            return answer_bytes(500, b"", self.fields(request, {"Acaciagauge-Response-Signature": f"s.{id}"}))
        body = json.dumps({"id": id, "server": self.id, "target": target}).encode()
        load = f"{len(self.work)},{self.waiting},{self.slots}"
        return answer_bytes(200, body, self.fields(request, {"Acaciagauge-Response-Signature": f"s.{id}",
                                                             "Acaciagauge-Server-Load": load}))


class World:
    """The platform, its servers and the daemons of one case."""

    service = "floor"
    host = "a.example"
    view_type = "safe"  # Kind of the route /view/.
    sharded = True  # Whether the service is divided by key.
    limits = {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    zones = ["a", "b"]

    def __init__(self, folder):
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.temporary = tempfile.TemporaryDirectory(prefix="acaciagauge-review-")
        self.store = Store(free_ports(1)[0])
        self.servers = {}
        self.daemons = []
        self.problems = []
        self.ran = {}  # Request id: servers that began to work on it.
        self.version = 0
        self.last_id = 0

    # What the rules forbid, from what the servers see.

    def check_grant(self, server, first, last, fence, order):
        for other in self.servers.values():
            if other is server or not other.is_up:
                continue
            for work in other.work:
                if first <= work.key < last and now() < other.hold_end[work.key]:
                    self.problem(f"OWNER: server {server.id} is given keys {first}-{last - 1} with fence {fence} while server "
                                 f"{other.id} is at work on key {work.key} (request {work.id}, begun "
                                 f"{now() - work.began:.3f} s ago) and its hold runs for another "
                                 f"{other.hold_end[work.key] - now():.3f} s")
            if max(other.seen[first:last]) >= fence:
                self.problem(f"OWNER: the fence {fence} of {order} is not above that of server {other.id}")

    def check_begin(self, server, work):
        self.ran.setdefault(work.id, []).append(server.id)
        self.record.write(f"server {server.id} begins {work.id} on key {work.key}")
        for other in self.servers.values():
            if other is server or not other.is_up or not self.sharded:
                continue
            for it in other.work:
                if it.key == work.key and now() < other.hold_end[it.key]:
                    self.problem(f"OWNER: server {server.id} begins {work.id} on key {work.key}, at which server {other.id} is "
                                 f"still at work ({it.id})")

    def note_ran(self, server, work):
        self.record.write(f"server {server.id} has run {work.id}")

    def problem(self, text):
        self.problems.append(text)
        self.record.write("BROKEN " + text)

    # The operator.

    async def configure(self, timeout_ms=2000):
        self.version += 3
        routes = {"columns": ["name", "hostname", "prefix", "route_type", "timeout_ms", "target_latency_ms", "priority",
                              "max_attempts", "service"],
                  "rows": [["view", self.host, "/view/", self.view_type, timeout_ms, 500, 2, 2, self.service],
                           ["bid", self.host, "/bid/", "unsafe", timeout_ms, 600, 1, 2, self.service]]}
        services = {"columns": ["name", "health_check", "max_connections", "sharded", "warm_s"],
                    "rows": [[self.service, "/health", 130, self.sharded, 2.0]]}
        config = {"version": self.version, "routes": routes, "services": services, "limits": self.limits}
        self.record.write(f"the operator writes version {self.version} with the limits {self.limits}")
        await self.store.write([("op/config", json.dumps(config).encode(), 0)])

    async def add_server(self, id, zone, **options):
        it = Server(self, id, zone, **options)
        self.servers[id] = it
        await it.start()
        return it

    def held_by_all(self):
        counts = 0
        for key in range(0, KEYS, 64):
            counts += any(it.is_up and it.holds(key) for it in self.servers.values())
        return counts == KEYS // 64

    async def wait_for(self, condition, seconds):
        end = now() + seconds
        while now() < end:
            if condition():
                return True
            await asyncio.sleep(0.05)
        return False

    # The daemons of the deploy file.

    def add_daemon(self, name, zone, memory_mb=260, cpu_share=0.2, max_fds=4100):
        front, readiness, control, rpc = free_ports(4)
        fields = {"node_name": name, "zone": zone, "region": "r", "ip": "127.0.0.1", "internal_port_range": [rpc, rpc],
                  "seeds": [it["listen"]["control"] for it in self.daemons[:3]], "heartbeat_ms": int(HEARTBEAT_S * 1000),
                  "listen": {"front": f"127.0.0.1:{front}", "readiness": f"127.0.0.1:{readiness}",
                             "control": f"127.0.0.1:{control}"},
                  "limits": {"cpu_share": cpu_share, "cpu_cores": 1, "memory_mb": memory_mb, "max_fds": max_fds},
                  "bounds": BOUNDS, "platform": {"address": self.store.address}}
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())["roles"]["entry"]
        settings = pathlib.Path(self.temporary.name) / f"{name}.settings"
        settings.write_text(render((REPOSITORY / deploy["template"]).read_text(), fields))
        command = [str(settings) if it.startswith("/etc/") else it for it in deploy["run"].split()]
        log = open(pathlib.Path(self.temporary.name) / f"{name}.log", "wb")
        process = subprocess.Popen(command, cwd=REPOSITORY, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.daemons.append({"name": name, "front": front, "process": process, "log": log.name, **fields})
        self.record.write(f"daemon {name} starts")
        return self.daemons[-1]

    def status(self, daemon):
        try:
            with socket.create_connection(("127.0.0.1", int(daemon["listen"]["control"].split(":")[1])), 1) as it:
                it.sendall(b"GET /status HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                data = b""
                while part := it.recv(65536):
                    data += part
            return json.loads(data.split(b"\r\n\r\n", 1)[1])
        except (OSError, ValueError, IndexError):
            return None

    def end(self):
        for it in self.daemons:
            if it["process"].poll() is None:
                it["process"].kill()
                it["process"].wait()
        if keep := os.environ.get("KEEP_LOGS"):
            subprocess.run(["cp", "-r", self.temporary.name + "/.", keep], check=False)
        self.temporary.cleanup()

    # Requesters.

    async def request(self, daemon, method, path, key, deadline_ms=4000, body=b""):
        """Sends one request on a connection of its own; returns its id and status, 0 without an answer."""
        self.last_id += 1
        id = f"r{self.last_id:06d}"
        head = (f"{method} {path} HTTP/1.1\r\nHost: {self.host}\r\nAcaciagauge-Request-Id: {id}\r\n"
                f"Acaciagauge-Deadline-Ms: {deadline_ms}\r\nAcaciagauge-Shard-Key: {key}\r\nContent-Length: {len(body)}\r\n\r\n")
        self.record.write(f"sent {id} {method} {path} key {key} to {daemon['name']}")
        status = 0
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", daemon["front"]), 1)
            try:
                writer.write(head.encode() + body)
                answer = await asyncio.wait_for(read_message(reader), deadline_ms / 1000)
                status = int(answer.first.split(" ")[1]) if answer else 0
            finally:
                writer.close()
        except (OSError, asyncio.TimeoutError):
            pass
        self.record.write(f"answered {id} {status}")
        return id, status


def render(template, fields):
    """Fills in the placeholders of DEPLOY.md that the template uses."""

    def value(match):
        it = fields
        for part in match.group(1).split("."):
            it = it[int(part)] if isinstance(it, list) else it.get(part) if isinstance(it, dict) else None
            if it is None:
                return ""
        return ",".join(map(str, it)) if isinstance(it, list) else str(it)

    return re.sub(r"\{\{([\w.]+)\}\}", value, template)


def main(folder, case, seconds=110):
    """Runs a case: exit code 1 if it recorded a problem, 0 if not, 2 if it could not run."""
    if not (REPOSITORY / "target/acaciagauged").exists():
        print("target/acaciagauged is missing: build it with the command of deploy/system.toml")
        sys.exit(2)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        world = World(folder)
        await world.store.start()
        try:
            return await asyncio.wait_for(case(world, trouble), seconds), world
        except asyncio.TimeoutError:
            return "it took too long", world
        except Exception as error:  # Not 1, the exit code of Python: that means that the rule was broken.
            world.problems.clear()
            return f"{type(error).__name__}: {error}", world
        finally:
            world.end()

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    could_not, world = asyncio.run(run())
    for it in world.problems[:10]:
        print(it)
    if could_not:
        world.record.write(f"COULD NOT RUN: {could_not}")
        print("could not run:", could_not)
        sys.exit(2)
    world.record.write(f"{len(world.problems)} problems")
    print(f"{len(world.problems)} problems, trouble {'on' if trouble else 'off'}")
    sys.exit(1 if world.problems else 0)
