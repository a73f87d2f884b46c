"""Stand-ins for the platform, its servers and its callers, as PROTOCOL.md describes them, and a launcher for the daemon.

Only the standard library is used. All addresses are loopback addresses.
"""
import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HEARTBEAT_S = 0.87
LAST_KEY = 65535

# The bounds of sites/lbx-gauge.toml, in the form of the settings file of DEPLOY.md.
SETTINGS = {
    "heartbeat_ms": 870,
    "limits": {"cpu_share": 0.2, "cpu_cores": 1, "memory_mb": 260, "max_fds": 4100},
    "bounds": {"drain_ms": 2000, "grace_s": 6, "retry_budget_ratio": 0.2, "budget_window_s": 10,
               "retry_budget_slack": 62, "hold_max_ms": 10000},
}


class Record:
    """Writes record.txt and keeps the events that the check needs."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.out = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.out.write(f"{self.now():9.3f} {text}\n")
        self.out.flush()


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for it in sockets:
        it.bind(("127.0.0.1", 0))
    ports = [it.getsockname()[1] for it in sockets]
    for it in sockets:
        it.close()
    return ports


class Message:
    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    def header(self, name, default=""):
        return self.headers.get(name.lower(), default)

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_message(reader, body_until_close=False):
    """Reads one HTTP/1.1 message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    break
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(lines[0], headers, body)


REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 503: "Service Unavailable"}


def response(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's metadata store: items, leases, watches and conditional transactions."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.events = []
        self.leases = {}
        self.revision = 1
        self.last_lease = 100
        self.changed = asyncio.Event()
        self.mode = ""  # "": up; "busy": answers 503
        self.down_since = 0.0
        self.entries = {}  # server entry -> time of its last write

    async def start(self, host, port):
        self.address = f"{host}:{port}"
        self.server = await asyncio.start_server(self.serve, host, port)
        self.expiry = asyncio.create_task(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            for lease in [it for it, (_, end) in self.leases.items() if end <= time.monotonic() and not self.mode]:
                self.end_lease(lease)
            silent = [it for it, at in self.entries.items() if time.monotonic() - at > 3 * HEARTBEAT_S]
            for key in silent:
                self.record.write(f"{key} expires")
                del self.entries[key]
                self.remove(key)

    def down(self, mode):
        """From now on no call is carried out. Leases pause; entries of servers go on to expire."""
        self.mode = mode
        self.down_since = time.monotonic()
        self._notify()

    def up(self):
        self.mode = ""
        paused = time.monotonic() - self.down_since
        self.leases = {it: (ttl, end + paused) for it, (ttl, end) in self.leases.items()}

    def put_entry(self, key, document):
        """A server's write. Nothing is done while the store is down."""
        if not self.mode:
            self.entries[key] = time.monotonic()
            self.put(key, document)

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        keys = [key for key, it in self.items.items() if it["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._remove(key)
            self._notify()
        return True

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _put(self, key, value, lease):
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                           "created": created, "lease": lease}
        self.events.append((self.revision, dict(self.items[key])))

    def _remove(self, key):
        del self.items[key]
        self.events.append((self.revision, {"key": key, "revision": self.revision, "removed": True}))

    def put(self, key, document):
        """A write of the operator or of a server."""
        self.revision += 1
        self._put(key, json.dumps(document).encode(), 0)
        self._notify()
        return self.revision

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            self._remove(key)
            self._notify()

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                status, body = await self.handle(message) if not self.mode else (503, {})
                status, body = (status, body) if not self.mode else (503, {})
                writer.write(response(status, json.dumps(body).encode(), [("Content-Type", "application/json")]))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def handle(self, message):
        method, target, _ = message.first.split(" ")
        parts = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(parts.query, keep_blank_values=True).items()}
        if parts.path == "/-/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "store_revision": self.revision}) if item else (404, {})
        if parts.path == "/-/kv-range":
            keys = sorted(it for it in self.items if it.startswith(query.get("prefix", "")) and it > query.get("after", ""))
            page = [self.items[it] for it in keys[:400]]
            return 200, {"items": page, "has_more": len(keys) > 400, "store_revision": self.revision}
        if parts.path == "/-/kv-watch":
            return await self.watch(query)
        if parts.path == "/-/kv-txn":
            return self.commit(json.loads(message.body))
        if parts.path == "/-/kv-lease":
            ttl = json.loads(message.body)["ttl_ms"]
            self.last_lease += 1
            self.leases[self.last_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.last_lease, "ttl_ms": ttl}
        if parts.path.startswith("/-/kv-keep/"):
            lease = int(parts.path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttl_ms": ttl}
        if parts.path.startswith("/-/kv-lease-end/"):
            return (200, {}) if self.end_lease(int(parts.path.rsplit("/", 1)[1])) else (404, {})
        return 400, {}

    async def watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        until = time.monotonic() + min(int(query["wait_ms"]), 30000) / 1000
        while True:
            found = [it for revision, it in self.events if revision > after and it["key"].startswith(prefix)]
            if found or self.mode or time.monotonic() >= until:
                return 200, {"events": found, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass

    def commit(self, body):
        expected = body.get("expect", [])
        current = [self.items.get(it["key"]) for it in expected]
        if any((it["revision"] if it else 0) != row["revision"] for it, row in zip(current, expected)):
            return 412, {"items": [it for it in current if it]}
        if any(it.get("lease") and it["lease"] not in self.leases for it in body.get("puts", [])):
            return 404, {}
        self.revision += 1
        for it in body.get("puts", []):
            self._put(it["key"], base64.b64decode(it["value"]), it.get("lease", 0))
        for key in body.get("remove", []):
            if key in self.items:
                self._remove(key)
        self._notify()
        return 200, {"revision": self.revision}


class Server:
    """A server of a service that is divided by key: takes grants, runs requests on the keys it holds."""

    def __init__(self, name, service, zone, store, record, slots=2, queue=8, sharded=True):
        self.id, self.service, self.zone, self.store, self.record = name, service, zone, store, record
        self.slots, self.queue, self.sharded = slots, queue, sharded
        self.state = "ready"
        self.is_cut = False  # Partitioned from the store.
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.holds = []  # dicts: from, to, fence, until
        self.seen = []  # (from, to, fence): highest fences
        self.running = {}  # request id -> (key, start)
        self.waiting = 0
        self.begun = set()  # ids of the requests that it began to run
        self.runs = []  # (id, key, start, end)
        self.grants = []  # (time, from, to, fence, until)
        self.released = []  # (time, from, to)
        self.answers = 0
        self.work_ms = 60
        self.before_answer = None  # Hook: (server, connection, message) -> bytes sent before the real answer.
        self.idle = asyncio.Condition()

    async def start(self, host, port):
        self.address = f"{host}:{port}"
        self.server = await asyncio.start_server(self.serve, host, port)
        self.beat = asyncio.create_task(self.heartbeat())

    def entry(self):
        return {"address": self.address, "born": self.born,
                "info": {"service": self.service, "version": "v1", "zone": self.zone, "concurrency": self.slots},
                "status": {"state": self.state, "sequence": self.sequence, "warmup_left_ms": 0}}

    def report(self):
        if self.is_cut:
            return
        self.sequence += 1
        self.store.put_entry("servers/" + self.id, self.entry())

    async def heartbeat(self):
        while True:
            self.report()
            await asyncio.sleep(HEARTBEAT_S)

    def drain(self):
        self.state = "draining"
        self.report()
        self.record.write(f"server {self.id} reports draining")

    def hold_of(self, key, at=None):
        at = time.monotonic() if at is None else at
        return next((it for it in self.holds if it["from"] <= key <= it["to"] and it["until"] > at), None)

    async def serve(self, reader, writer):
        connection = {"last": b"", "answers": 0}
        try:
            while (message := await read_message(reader)) is not None:
                early = self.before_answer(self, connection, message) if self.before_answer else b""
                if early:
                    writer.write(early)
                    await writer.drain()
                answer = await self.handle(message)
                connection["last"] = answer
                connection["answers"] += 1
                self.answers += 1
                writer.write(answer)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def handle(self, message):
        method, target, _ = message.first.split(" ")
        request = message.header("acaciagauge-request-id")
        headers = [("Acaciagauge-Request-Id", request)] if request else []
        wanted = message.header("acaciagauge-target-instance")
        if wanted and wanted != self.id:
            return response(421, b"", headers + [("Acaciagauge-Instance-Id", self.id)])
        if target == "/-/grant":
            return response(self.grant(json.loads(message.body)), b"", headers)
        if target == "/-/release":
            handover = await self.release(json.loads(message.body))
            return response(200, b"", headers + [("Acaciagauge-Lease-Handover", handover)])
        if target == "/health":
            return response(200 if self.state == "ready" else 503, b"", [("Acaciagauge-Instance-Id", self.id)])
        return await self.run(message, method, target, request, headers)

    def grant(self, body):
        low, high, fence = body["from"], body["to"], body["fence"]
        if any(f > fence for a, b, f in self.seen if a <= high and low <= b):
            self.record.write(f"server {self.id} refuses grant {low}-{high} fence {fence}: 409")
            return 409
        now = time.monotonic()
        self.seen.append((low, high, fence))
        self.cut(low, high)
        self.holds.append({"from": low, "to": high, "fence": fence, "until": now + body["hold_ms"] / 1000})
        self.grants.append((now, low, high, fence, now + body["hold_ms"] / 1000))
        self.record.write(f"server {self.id} takes grant {low}-{high} fence {fence} hold_ms {body['hold_ms']}"
                          + (" with handover" if body.get("handover") else ""))
        return 200

    def cut(self, low, high):
        kept = []
        for it in self.holds:
            if it["to"] < low or it["from"] > high:
                kept.append(it)
                continue
            if it["from"] < low:
                kept.append({**it, "to": low - 1})
            if it["to"] > high:
                kept.append({**it, "from": high + 1})
        self.holds = kept

    async def release(self, body):
        low, high = body["from"], body["to"]
        self.record.write(f"server {self.id} is asked to release {low}-{high} fence {body['fence']}")
        self.cut(low, high)
        self.released.append((time.monotonic(), low, high))
        async with self.idle:
            await self.idle.wait_for(lambda: not any(low <= key <= high for key, _ in self.running.values()))
        self.record.write(f"server {self.id} has released {low}-{high}")
        return f"h{self.id}-{low}"

    async def run(self, message, method, target, request, headers):
        if not request:
            return response(400, b"", headers + [("Acaciagauge-Not-Executed", "1")])
        key = int(message.header("acaciagauge-shard-key", "0"))
        hold = self.hold_of(key)
        if self.sharded and not hold:
            return response(421, b"", headers + [("Acaciagauge-Instance-Id", self.id), ("Acaciagauge-Not-Executed", "1")])
        if self.waiting >= self.queue:
            return response(503, b"", headers + [("Acaciagauge-Not-Executed", "1")])
        self.waiting += 1
        async with self.idle:
            await self.idle.wait_for(lambda: len(self.running) < self.slots)
        self.waiting -= 1
        hold = self.hold_of(key)
        if self.sharded and not hold:
            return response(421, b"", headers + [("Acaciagauge-Instance-Id", self.id), ("Acaciagauge-Not-Executed", "1")])
        found = re.search(r"[?&]work=(\d+)", target)
        work = int(found.group(1)) / 1000 if found else self.work_ms / 1000
        start = time.monotonic()
        self.running[request] = (key, start)
        self.begun.add(request)
        is_probe = method == "GET" and not found
        if not is_probe:
            self.record.write(f"server {self.id} begins {method} {request} key {key}")
        await asyncio.sleep(work)
        end = time.monotonic()
        del self.running[request]
        self.runs.append((request, key, start, end))
        if not is_probe:
            self.record.write(f"server {self.id} ends {method} {request} key {key}")
        async with self.idle:
            self.idle.notify_all()
        body = json.dumps({"id": request, "server": self.id}).encode()
        load = f"{len(self.running)},{self.waiting},{self.slots}"
        return response(200, body, headers + [("Acaciagauge-Response-Signature", "signed." + request),
                                              ("Acaciagauge-Server-Load", load)])


def config(services, routes, version=7, timeout_ms=2000, target_ms=600):
    """The desired state; services: name -> divided by key; routes: (name, prefix, kind, service)."""
    return {
        "version": version,
        "routes": {"columns": ["name", "hostname", "prefix", "route_type", "timeout_ms", "target_latency_ms", "priority",
                               "traffic_split", "max_attempts", "service"],
                   "rows": [[name, "shop.example", prefix, kind, timeout_ms, target_ms, 1, None, 2, service]
                            for name, prefix, kind, service in routes]},
        "services": {"columns": ["name", "health_check", "max_connections", "protocol", "tls", "sharded", "warm_s", "grants"],
                     "rows": [[name, "/health", 130, "h1", False, sharded, 2.0, "rpc"]
                              for name, sharded in services.items()]},
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
    }


class Daemon:
    """The daemon, started with the command and the settings template of the deploy file."""

    def __init__(self, name, zone, host, folder, record):
        self.name, self.zone, self.host, self.folder, self.record = name, zone, host, folder, record
        self.process = None

    def prepare(self, store, ports, seeds=()):
        self.front, self.readiness, self.control, self.rpc = (f"{self.host}:{it}" for it in ports)
        fields = {**SETTINGS, "node_name": self.name, "zone": self.zone, "ip": self.host,
                  "listen": {"front": self.front, "readiness": self.readiness, "control": self.control},
                  "internal_port_range": [ports[3], ports[3]], "seeds": list(seeds) or [self.control],
                  "platform": {"address": store.address}}
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["entry"]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            template = file.read()
        path = os.path.join(self.folder, self.name + ".ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(re.sub(r"\{\{([\w.]+)\}\}", lambda found: self.fill(fields, found.group(1)), template))
        self.command = [path if it.startswith("/etc/") else it for it in role["run"].split()]

    @staticmethod
    def fill(fields, name):
        value = fields
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part, "")
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    async def start(self):
        out = open(os.path.join(self.folder, self.name + ".log"), "ab")
        environment = {it: os.environ[it] for it in ("PATH", "HOME", "LANG") if it in os.environ}
        environment["ACACIAGAUGE_NODE_FILE"] = self.command[-1]
        self.process = await asyncio.create_subprocess_exec(*self.command, cwd=ROOT, stdout=out, stderr=out,
                                                            stdin=asyncio.subprocess.DEVNULL, env=environment)
        out.close()
        self.record.write(f"daemon {self.name} starts")

    async def is_controller(self):
        """Asks the daemon's status page."""
        connection = await Connection.open(self.control)
        await connection.send(b"GET /status HTTP/1.1\r\nHost: status\r\n\r\n")
        answer = await connection.receive(2)
        connection.close()
        return bool(answer) and json.loads(answer.body)["isController"]

    def memory_mb(self):
        """Resident memory, and its peak since the start."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                text = file.read()
        except (FileNotFoundError, ProcessLookupError):
            return 0, 0
        found = [re.search(name + r":\s+(\d+) kB", text) for name in ("VmRSS", "VmHWM")]
        return tuple(int(it.group(1)) / 1024 if it else 0 for it in found)

    async def kill(self, number=signal.SIGKILL):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)
            await self.process.wait()


class Connection:
    """A caller's connection to a daemon."""

    @classmethod
    async def open(cls, address):
        self = cls()
        host, port = address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
        return self

    async def send(self, data):
        self.writer.write(data)
        await self.writer.drain()

    async def receive(self, timeout):
        try:
            return await asyncio.wait_for(read_message(self.reader), timeout)
        except asyncio.TimeoutError:
            return None

    def close(self):
        self.writer.close()


class Callers:
    """Sends requests, each attempt with an id of its own, and records the answers."""

    def __init__(self, record):
        self.record = record
        self.count = 0
        self.sent = {}  # id -> (method, key)
        self.answers = {}  # id -> status, or None if the connection ended

    def next_id(self):
        self.count += 1
        return f"r{self.count:05d}"

    def head(self, method, path, key=None, deadline_ms=4000, body=None, more=()):
        request = self.next_id()
        self.sent[request] = (method, key)
        lines = [f"{method} {path} HTTP/1.1", "Host: shop.example", f"Acaciagauge-Request-Id: {request}",
                 f"Acaciagauge-Deadline-Ms: {deadline_ms}"]
        if key is not None:
            lines.append(f"Acaciagauge-Shard-Key: {key}")
        if body is not None:
            lines.append(f"Content-Length: {body}")
        return request, ("\r\n".join([*lines, *more]) + "\r\n\r\n").encode()

    async def call(self, address, method, path, key=None, deadline_ms=4000, body=None, log=True):
        request, head = self.head(method, path, key, deadline_ms, None if body is None else len(body))
        if log:
            self.record.write(f"caller sends {method} {path} {request}" + ("" if key is None else f" key {key}"))
        status, server = None, ""
        try:
            connection = await Connection.open(address)
            await connection.send(head + (body or b""))
            answer = await connection.receive(deadline_ms / 1000 + 1)
            connection.close()
            if answer:
                status = answer.status
                server = json.loads(answer.body).get("server", "") if status == 200 else answer.body.decode("latin-1")
        except OSError:
            pass
        self.answers[request] = status
        if log or status != 200:
            self.record.write(f"caller gets {status} for {request} {server}")
        return status, server, request


class Setup:
    """A small deployment: a store, servers and daemons."""

    def __init__(self, case):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(os.path.join(case, "record.txt"))
        self.record.write("with the disruption" if self.trouble else "without the disruption (TROUBLE=0)")
        self.folder = tempfile.mkdtemp(prefix="acaciagauge-review-")
        self.store = Store(self.record)
        self.callers = Callers(self.record)
        self.servers, self.daemons = [], []

    async def start(self, desired, servers, zones):
        """servers: (name, service, zone, divided by key); zones: one daemon each."""
        ports = free_ports(1 + len(servers) + 4 * len(zones))
        await self.store.start("127.0.0.1", ports.pop())
        self.store.put("op/config", desired)
        for name, service, zone, sharded in servers:
            server = Server(name, service, zone, self.store, self.record, sharded=sharded)
            await server.start("127.0.0.1", ports.pop())
            self.servers.append(server)
        for n, zone in enumerate(zones):
            daemon = Daemon(f"edge-{n + 1}", zone, f"127.0.0.{11 + n}", self.folder, self.record)
            daemon.prepare(self.store, [ports.pop() for _ in range(4)])
            self.daemons.append(daemon)
            await daemon.start()

    async def until_served(self, path, keys=(None,), timeout=25):
        """Waits until each daemon serves each key; returns false if that takes too long."""
        end = time.monotonic() + timeout
        for daemon in self.daemons:
            for key in keys:
                while (await self.callers.call(daemon.front, "GET", path, key, 1500, log=False))[0] != 200:
                    if time.monotonic() > end:
                        return False
                    await asyncio.sleep(0.1)
        self.record.write("all keys are served by all daemons")
        return True

    async def stop(self):
        for it in self.daemons:
            await it.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case, play, limit_s=110):
    """Runs a case. Exit codes: 0 the rule held, 1 it was broken, 2 the case couldn't run."""

    async def run():
        setup = Setup(case)
        try:
            broken = await asyncio.wait_for(play(setup), limit_s)
            setup.record.write("BROKEN: " + broken if broken else "the rule held")
            print("broken: " + broken if broken else "held")
            return 1 if broken else 0
        except Exception as error:  # The case could not run; the rule was not judged.
            setup.record.write(f"could not run: {error!r}")
            print(f"could not run: {error!r}", file=sys.stderr)
            return 2
        finally:
            await setup.stop()

    status = asyncio.run(run())
    sys.stdout.flush()
    os._exit(status)
