"""Stand-ins of the users' platform for the cases of review/: the store, servers that own keys, and helpers of clients.

They follow ../given/kit/more/system/PROTOCOL.md and need nothing beyond the standard library. All addresses are loopback
addresses.
"""
import asyncio
import base64
import bisect
import json
import os
import pathlib
import re
import resource
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "a.example"
LAST_KEY = 65535
_used_ports = set()


def free_port():
    """Returns a port that nothing listens on at present."""
    while True:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        if port not in _used_ports:
            _used_ports.add(port)
            return port


class Message:
    """A request or a response as it was read."""

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    def header(self, name, default=""):
        return self.headers.get(name.lower(), default)

    @property
    def status(self):
        return int(self.first.split()[1])

    @property
    def method(self):
        return self.first.split()[0]

    @property
    def target(self):
        return self.first.split()[1]


async def read_message(reader, has_body=True):
    """Reads one message; None at the end of the stream."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        field = await reader.readline()
        if not field:
            raise ConnectionError("the header ends early")
        if field == b"\r\n":
            break
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if has_body and headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    elif has_body and "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(line.decode("latin-1").strip(), headers, body)


REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 503: "Service Unavailable"}


def response_bytes(status, headers=None, body=b""):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def json_response(status, body, headers=None):
    return response_bytes(status, {"Content-Type": "application/json", **(headers or {})}, json.dumps(body).encode())


class Store:
    """The platform's metadata store."""

    HISTORY_S = 20

    def __init__(self):
        self.port = free_port()
        self.revision = 1
        self.items = {}
        self.events = []
        self.compacted = 0
        self.leases = {}
        self.last_lease = 0
        self.changed = asyncio.Condition()
        self.reject = None  # Returns the status that a call is refused with, or None.
        self.calls = []  # (time, path, status, bytes of the response)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=1 << 24)
        asyncio.ensure_future(self.expire())

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    def item_json(self, key):
        value, revision, created, lease = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision, "created": created,
                "lease": lease}

    def add_event(self, event):
        self.events.append((time.monotonic(), event["revision"], event))
        while self.events and self.events[0][0] < time.monotonic() - self.HISTORY_S:
            self.compacted = self.events.pop(0)[1]

    def set_item(self, key, value, lease):
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self.add_event(self.item_json(key))

    def erase(self, key):
        if self.items.pop(key, None):
            self.add_event({"key": key, "revision": self.revision, "removed": True})

    async def put(self, key, value):
        """A write of the operator or of a server."""
        self.revision += 1
        self.set_item(key, value if isinstance(value, bytes) else json.dumps(value).encode(), 0)
        await self.notify()

    async def remove(self, key):
        if key in self.items:
            self.revision += 1
            self.erase(key)
            await self.notify()

    async def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        for key in [k for k, it in self.items.items() if it[3] == lease]:
            self.revision += 1
            self.erase(key)
        await self.notify()
        return True

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [n for n, it in self.leases.items() if it[1] <= now]:
                await self.end_lease(lease)

    async def serve(self, reader, writer):
        try:
            while request := await read_message(reader):
                path = urllib.parse.urlparse(request.target).path
                status = self.reject(request) if self.reject else None
                if status:
                    answer = json_response(status, {})
                else:
                    status, body = await self.handle(request, path)
                    answer = json_response(status, body)
                self.calls.append((time.monotonic(), request.target, status, len(answer)))
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, request, path):
        query = dict(urllib.parse.parse_qsl(urllib.parse.urlparse(request.target).query, keep_blank_values=True))
        if path == "/-/kv-key":
            key = query["key"]
            return (200, {**self.item_json(key), "store_revision": self.revision}) if key in self.items else (404, {})
        if path == "/-/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query.get("prefix", "")))
            keys = keys[bisect.bisect_right(keys, query.get("after", "")):]
            page, size = [], 0
            while keys and len(page) < 500 and size < 1_000_000:
                page.append(self.item_json(keys.pop(0)))
                size += len(page[-1]["value"])
            return 200, {"items": page, "has_more": bool(keys), "store_revision": self.revision}
        if path == "/-/kv-watch":
            return await self.watch(query)
        if path == "/-/kv-txn":
            return await self.commit(json.loads(request.body))
        if path == "/-/kv-lease":
            self.last_lease += 1
            ttl = json.loads(request.body)["ttl_ms"]
            self.leases[self.last_lease] = [ttl, time.monotonic() + ttl / 1000]
            return 200, {"lease": self.last_lease, "ttl_ms": ttl}
        if path.startswith("/-/kv-keep/"):
            lease = self.leases.get(int(path.rsplit("/", 1)[1]))
            if not lease:
                return 404, {}
            lease[1] = time.monotonic() + lease[0] / 1000
            return 200, {"ttl_ms": lease[0]}
        if path.startswith("/-/kv-lease-end/"):
            return (200, {}) if await self.end_lease(int(path.rsplit("/", 1)[1])) else (404, {})
        return 400, {}

    async def watch(self, query):
        after, prefix = int(query["after"]), query.get("prefix", "")
        until = time.monotonic() + int(query["wait_ms"]) / 1000

        def found():
            return [it for _, revision, it in self.events if revision > after and it["key"].startswith(prefix)]

        async with self.changed:
            while not found() and after >= self.compacted and time.monotonic() < until:
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.001, until - time.monotonic()))
                except asyncio.TimeoutError:
                    break
        if after < self.compacted or after > self.revision:
            return 410, {}
        return 200, {"events": found(), "store_revision": self.revision}

    async def commit(self, body):
        current = [self.item_json(it["key"]) for it in body["expect"] if it["key"] in self.items]
        if any((self.items[it["key"]][1] if it["key"] in self.items else 0) != it["revision"] for it in body["expect"]):
            return 412, {"items": current}
        if any(it.get("lease", 0) and it["lease"] not in self.leases for it in body["puts"]):
            return 404, {}
        self.revision += 1
        for it in body["puts"]:
            self.set_item(it["key"], base64.b64decode(it["value"]), it.get("lease", 0))
        for key in body.get("remove", []):
            self.erase(key)
        await self.notify()
        return 200, {"revision": self.revision}


class Server:
    """A server that owns keys."""

    def __init__(self, world, name, service="floor", zone="z-a", slots=4):
        self.world, self.id, self.service, self.zone, self.slots = world, name, service, zone, slots
        self.port = free_port()
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.seen = [0] * (LAST_KEY + 1)  # Highest fence by key.
        self.hold_end = [0.0] * (LAST_KEY + 1)
        self.work_s = 0.01
        self.running = {}  # Request id -> key
        self.released = {}  # Key -> when the hold would have run out that a release ended
        self.connections = set()
        self.answer_hook = None  # Returns the bytes of another answer than the usual one, or None.

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=1 << 24)
        self.beats = asyncio.ensure_future(self.beat())

    async def publish(self):
        self.sequence += 1
        await self.world.store.put(f"servers/{self.id}", {
            "address": self.address, "born": self.born,
            "info": {"service": self.service, "version": "v1", "zone": self.zone, "concurrency": self.slots},
            "status": {"state": self.state, "sequence": self.sequence, "warmup_left_ms": 0}})

    async def beat(self):
        while True:
            await self.publish()
            await asyncio.sleep(0.87)

    def end(self):
        """Ends the process: it answers nothing any more and knows nothing afterwards."""
        self.server.close()
        self.beats.cancel()
        for it in list(self.connections):
            it.transport.abort()
        self.seen = [0] * (LAST_KEY + 1)
        self.hold_end = [0.0] * (LAST_KEY + 1)
        self.sequence = 0

    async def start_again(self, born):
        """Starts the process again under the same id and address."""
        self.born = born
        self.state = "ready"
        await self.start()

    async def drain(self):
        self.state = "draining"
        await self.publish()

    def holds(self, key):
        return self.hold_end[key] > time.monotonic()

    async def serve(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connections.add(writer)
        try:
            while request := await read_message(reader):
                answer = await self.handle(request)
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def handle(self, request):
        target = request.header("Acaciagauge-Target-Instance")
        who = {"Acaciagauge-Instance-Id": self.id}
        if target and target != self.id:
            return response_bytes(421, {**who, "Acaciagauge-Not-Executed": "1"})
        if request.header("Acaciagauge-Request-Id"):
            who["Acaciagauge-Request-Id"] = request.header("Acaciagauge-Request-Id")
        if request.target == "/-/grant":
            return self.grant(json.loads(request.body), who)
        if request.target == "/-/release":
            return await self.release(json.loads(request.body), who)
        if request.target == "/health":
            return response_bytes(200 if self.state == "ready" else 503, who)
        return await self.run(request)

    def grant(self, order, who):
        keys = range(order["from"], order["to"] + 1)
        if any(self.seen[k] > order["fence"] for k in keys):
            return response_bytes(409, who)
        now = time.monotonic()
        self.world.note_grant(self, order)
        for k in keys:
            self.seen[k] = order["fence"]
            self.hold_end[k] = now + order["hold_ms"] / 1000
        return response_bytes(200, who)

    async def release(self, order, who):
        self.world.record(f"{self.id} gets the release of {order['from']}-{order['to']}, fence {order['fence']}")
        for k in range(order["from"], order["to"] + 1):
            self.released[k] = max(self.released.get(k, 0), self.hold_end[k])
            self.hold_end[k] = 0.0
        while any(order["from"] <= key <= order["to"] for key in self.running.values()):
            await asyncio.sleep(0.005)
        return response_bytes(200, {**who, "Acaciagauge-Lease-Handover": os.urandom(8).hex()})

    async def run(self, request):
        name = request.header("Acaciagauge-Request-Id")
        key = int(request.header("Acaciagauge-Shard-Key", "0"))
        who = {"Acaciagauge-Request-Id": name, "Acaciagauge-Instance-Id": self.id}
        if self.world.sharded and not self.holds(key):
            return response_bytes(421, {**who, "Acaciagauge-Not-Executed": "1"})
        self.world.record(f"{self.id} begins to run {name}, key {key}")
        self.world.runs.append((time.monotonic(), name, self.id, key))
        self.running[name] = key
        work = float(request.header("X-Work-S", str(self.work_s)))
        await asyncio.sleep(work)
        self.running.pop(name, None)
        self.world.record(f"{self.id} has run {name}")
        if self.answer_hook:
            special = self.answer_hook(self, request, who)
            if special is not None:
                return special
        body = json.dumps({"id": name, "server": self.id}).encode()
        signed = {**who, "Acaciagauge-Response-Signature": f"signed.{name}", "Acaciagauge-Server-Load":
                  f"{len(self.running)},0,{self.slots}"}
        answer = response_bytes(200, signed, body)
        return answer[:len(answer) - len(body)] if request.method == "HEAD" else answer


class World:
    """The platform, its servers and the daemons of one case."""

    def __init__(self, record_path, sharded=True, limits=None, settings=None):
        self.began = time.monotonic()
        self.out = open(record_path, "w")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="acaciagauge-review-"))
        self.store = Store()
        self.servers = []
        self.runs = []
        self.broken = []
        self.sharded = sharded
        self.limits = {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000, **(limits or {})}
        self.settings = settings or {}
        self.daemons = []
        self.version = 0

    def record(self, text):
        self.out.write(f"{time.monotonic() - self.began:9.3f} s  {text}\n")
        self.out.flush()

    def violate(self, text):
        self.broken.append(text)
        self.record("RULE BROKEN: " + text)

    def note_grant(self, server, order):
        """Checks OWNER: no key on which another server is still at work, before that one's hold would have run out."""
        now = time.monotonic()
        self.record(f"{server.id} gets a grant of {order['from']}-{order['to']}, fence {order['fence']}, "
                    f"{order['hold_ms']} ms, {'with' if order.get('handover') else 'without'} handover")
        for other in self.servers:
            for name, key in other.running.items() if other is not server else ():
                hold = max(other.hold_end[key], other.released.get(key, 0))
                if order["from"] <= key <= order["to"] and hold > now:
                    self.violate(f"OWNER: {server.id} is given key {key} while {other.id} is still at work on it "
                                 f"({name}), {hold - now:.1f} s before that one's hold would have run out")

    async def configure(self, extra_routes=(), pad=None):
        self.version += 1
        columns = ["name", "hostname", "prefix", "route_type", "timeout_ms", "target_latency_ms", "priority",
                   "traffic_split", "max_attempts", "service"]
        rows = [["view", HOST, "/view/", "safe", 8000, 500, 2, None, 2, "floor"],
                ["bid", HOST, "/bid/", "unsafe", 8000, 600, 1, None, 2, "floor"]]
        rows += [[name, HOST, prefix, "safe", 8000, 500, 2, None, 2, "floor"] for name, prefix in extra_routes]
        state = {"version": self.version, "routes": {"columns": columns, "rows": rows},
                 "services": {"columns": ["name", "health_check", "max_connections", "sharded", "warm_s"],
                              "rows": [["floor", "/health", 4000, self.sharded, 0.5]]},
                 "limits": self.limits}
        await self.store.put("op/config", state)
        return len(json.dumps(state))

    async def add_server(self, name, **options):
        server = Server(self, name, **options)
        self.servers.append(server)
        await server.start()
        return server

    def fill_template(self, fields):
        """Fills in the template of the deploy file as the platform does."""
        text = (ROOT / "deploy/acaciagauged.ini.in").read_text()

        def value(match):
            found = fields
            for part in match.group(1).split("."):
                found = found[int(part)] if isinstance(found, list) else found.get(part, "")
            return ",".join(map(str, found)) if isinstance(found, list) else str(found)

        return re.sub(r"\{\{([a-z_.0-9]+)\}\}", value, text)

    async def start_daemon(self, name, zone="z-a", ports=None):
        """Starts a daemon; at the ports of its former process, if these are given."""
        ports = ports or {it: free_port() for it in ("front", "readiness", "control", "rpc")}
        fields = {"node_name": name, "zone": zone, "ip": "127.0.0.1", "heartbeat_ms": 870,
                  "internal_port_range": [ports["rpc"], ports["rpc"]],
                  "listen": {it: f"127.0.0.1:{ports[it]}" for it in ("front", "readiness", "control")},
                  "platform": {"address": self.store.address},
                  "limits": {"max_fds": 4100, "memory_mb": 260, "cpu_share": 0.2},
                  "seeds": [], "bounds": {"retry_budget_ratio": 0.2, "retry_budget_slack": 62, "budget_window_s": 10,
                                          "grace_s": 6, "drain_ms": 2000, "hold_max_ms": 10000}}
        for key, it in self.settings.items():
            fields[key] = {**fields[key], **it} if isinstance(it, dict) else it
        path = self.folder / f"{name}.ini"
        path.write_text(self.fill_template(fields))
        log = open(self.folder / f"{name}.log", "ab")
        process = await asyncio.create_subprocess_exec(str(ROOT / "target/acaciagauged"), "--settings", str(path),
                                                       cwd=ROOT, stdout=log, stderr=log)
        daemon = Daemon(self, name, process, ports)
        self.daemons.append(daemon)
        self.record(f"{name} starts")
        return daemon

    async def finish(self):
        """Ends all processes and returns the exit status of the case."""
        for it in self.daemons:
            if it.process.returncode is None:
                it.process.kill()
                await it.process.wait()
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record(f"result: {'broken' if self.broken else 'held'}")
        self.out.close()
        for it in self.broken[:10]:
            print(it)
        print("broken" if self.broken else "held")
        return 1 if self.broken else 0


class Daemon:
    def __init__(self, world, name, process, ports):
        self.world, self.name, self.process, self.ports = world, name, process, ports

    async def ready(self, patience=15):
        until = time.monotonic() + patience
        while time.monotonic() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False

    async def is_ready(self):
        try:
            return (await exchange(self.ports["readiness"], request_bytes("/-/readiness", None), 1)).status == 200
        except (OSError, asyncio.TimeoutError, AttributeError, ConnectionError):
            return False

    def memory_kib(self, field="VmRSS"):
        text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(field + r":\s+(\d+)", text).group(1))


_last_request = 0


def new_id():
    global _last_request
    _last_request += 1
    return f"r{os.getpid()}-{_last_request}"


def request_bytes(target, name, key=0, method="GET", body=b"", deadline_ms=4000, headers=None):
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
    if name:
        lines += [f"Acaciagauge-Request-Id: {name}", f"Acaciagauge-Deadline-Ms: {deadline_ms}",
                  f"Acaciagauge-Shard-Key: {key}"]
    lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def exchange(port, request, timeout):
    """Sends a request on a new connection and returns the response; None if the connection ends without one."""
    async def talk():
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 24)
        try:
            writer.write(request)
            await writer.drain()
            return await read_message(reader)
        finally:
            writer.close()
    return await asyncio.wait_for(talk(), timeout)


async def ask(world, daemon, target, key=0, method="GET", body=b"", deadline_ms=4000, headers=None):
    """Sends a request and records what the caller sees; returns (id, status), with status 0 if there is no answer."""
    name = new_id()
    world.record(f"caller sends {name}: {method} {target} key {key} to {daemon.name}")
    try:
        answer = await exchange(daemon.ports["front"], request_bytes(target, name, key, method, body, deadline_ms, headers),
                                deadline_ms / 1000 + 1)
        status = answer.status if answer else 0
    except (OSError, ConnectionError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        status = 0
    world.record(f"caller gets {status} for {name}")
    return name, status


async def wait_until_serving(world, daemon, keys=range(0, LAST_KEY + 1, 4096), patience=25):
    until = time.monotonic() + patience
    while time.monotonic() < until:
        if await daemon.is_ready():
            statuses = [(await ask(world, daemon, "/view/1", key=k))[1] for k in keys]
            if all(it == 200 for it in statuses):
                return True
        await asyncio.sleep(0.2)
    return False


async def stays_within_memory(world, daemon, memory_mb, watched_s):
    """Does what the platform does: kills the process once it exceeds the memory of its machine."""
    limit_kib = memory_mb * 1024
    until = time.monotonic() + watched_s
    while time.monotonic() < until:
        used = daemon.memory_kib()
        if used > limit_kib:
            world.record(f"{daemon.name} uses {used} KiB, its machine has {limit_kib} KiB: the platform kills it")
            daemon.process.kill()
            await daemon.process.wait()
            return False
        await asyncio.sleep(0.1)
    world.record(f"{daemon.name} lives; resident memory at its peak {daemon.memory_kib('VmHWM')} KiB of {limit_kib}")
    return True


async def check_ends(world, machines, memory_mb, send_crowd, watched_s=3, rounds=3):
    """Checks Fault: sends a crowd to each of the machines three times, and starts a process again that has ended."""
    ends = {}
    await world.store.start()
    await world.configure()
    await world.add_server("i-0")
    for n in range(machines):
        daemon = await world.start_daemon(f"d{n}")
        ends[daemon.name] = 0
        for _ in range(rounds):
            if not await wait_until_serving(world, daemon, keys=[0, 40000]):
                raise RuntimeError("the daemon does not serve")
            sockets = []
            await send_crowd(daemon, sockets)
            lives = await stays_within_memory(world, daemon, memory_mb, watched_s)
            await ask(world, daemon, "/view/1", key=5)
            for it in sockets:
                it.close()
            if not lives:
                ends[daemon.name] += 1
                daemon = await world.start_daemon(daemon.name, ports=daemon.ports)
    if sum(it >= rounds for it in ends.values()) >= 2:
        world.violate(f"Fault: processes ended by themselves (memory over the limit) three times on each of these "
                      f"machines: {', '.join(ends)}")


async def send_on_new_connection(daemon, data, sockets):
    """Sends bytes and leaves the connection open; the daemon may refuse such a client or close its connection."""
    client = socket.socket()
    sockets.append(client)
    client.setblocking(False)
    loop = asyncio.get_running_loop()
    try:
        await asyncio.wait_for(loop.sock_connect(client, ("127.0.0.1", daemon.ports["front"])), 5)
        await asyncio.wait_for(loop.sock_sendall(client, data), 10)
    except (OSError, asyncio.TimeoutError):
        pass


def raise_descriptor_limit(needed):
    """Allows this process and its children as many descriptors as the case needs, within the hard limit."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and hard < needed:
        raise RuntimeError(f"the case needs {needed} descriptors, {hard} are allowed")
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, needed), hard))


def run_case(main):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not (ROOT / "target/acaciagauged").exists():
        print("target/acaciagauged is missing: run the build of the deploy file first")
        sys.exit(2)

    async def guarded():
        return await asyncio.wait_for(main(folder / "record.txt", trouble), 115)
    try:
        sys.exit(asyncio.run(guarded()))
    except (RuntimeError, asyncio.TimeoutError) as error:
        print(f"the case could not run: {error!r}")
        sys.exit(2)
