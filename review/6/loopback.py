"""Stand-ins of the platform on loopback addresses, and the processes of the daemon.

The stand-ins follow the protocol page: the store (a log with keyed topics), engines,
plain servers, the platform's duty API, and clients. Each case scripts its own faults.
"""
import asyncio
import base64
import json
import os
import random
import re
import signal
import struct
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DAEMON = os.path.join(ROOT, "target", "marigoldcrankd")
TEMPLATE = os.path.join(ROOT, "platform", "settings.ini.in")
KEY = "3fexd9dnn2ctnfzs989a"
HOST = "ficu95.example"
RESTART_S = 5  # until the platform starts a process again that has ended


class CannotRun(Exception):
    """The case can't run here, which says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


# HTTP

class Request:
    def __init__(self, method, target, fields, body):
        self.method = method
        self.target = target
        self.path, _, query = target.partition("?")
        self.query = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        self.fields = fields
        self.body = body


async def read_head(reader):
    """The first line and the fields (lower case) of a message; nothing at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_chunks(reader, on_chunk=None):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        chunk = await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return body
        body += chunk
        if on_chunk is not None:
            on_chunk(chunk)


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    line, fields = head
    method, target, _ = line.split(" ", 2)
    try:
        if fields.get("transfer-encoding", "").lower() == "chunked":
            body = await read_chunks(reader)
        else:
            body = await reader.readexactly(int(fields.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, fields, body)


def answer(status, body=b"", fields=None):
    text = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    for name, value in (fields or {}).items():
        text += f"{name}: {value}\r\n"
    return text.encode("latin-1") + b"\r\n" + body


def json_answer(status, value, fields=None):
    all_fields = {"Content-Type": "application/json"}
    all_fields.update(fields or {})
    return answer(status, json.dumps(value).encode(), all_fields)


class HttpServer:
    """Serves one request at a time on a connection. `handle` gets the request and the
    writer and returns False to close the connection."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.server = None
        self.writers = set()

    async def start(self):
        try:
            self.server = await asyncio.start_server(
                self._serve, self.host, self.port, limit=1 << 20)
        except OSError as error:
            raise CannotRun(f"{self.host}:{self.port}: {error}") from error
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None or not await self.handle(request, reader, writer):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def stop(self):
        if self.server is not None:
            self.server.close()
            for writer in list(self.writers):
                writer.close()

    async def handle(self, request, reader, writer):
        raise NotImplementedError


# Store

class Topic:
    def __init__(self):
        self.records = []
        self.first = 0


class Store(HttpServer):
    """The platform's log. `delay_s` is the time of an answer."""

    delay_s = 0.004

    def __init__(self, host, port=0):
        super().__init__(host, port)
        self.topics = {}
        self.changed = asyncio.Condition()

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    async def append(self, name, records):
        topic = self.topic(name)
        first = len(topic.records)
        topic.records += records
        async with self.changed:
            self.changed.notify_all()
        return first

    async def put(self, name, key, value):
        data = b"" if value is None else json.dumps(value).encode()
        await self.append(name, [bytes([len(key)]) + key.encode() + data])

    async def handle(self, request, reader, writer):
        await asyncio.sleep(self.delay_s)
        topic = self.topic(request.query.get("topic", ""))
        if request.path == "/api/log-append":
            at = request.query.get("at")
            end = len(topic.records)
            if at is not None and int(at) != end:
                writer.write(json_answer(412, {"end_offset": end}))
                return True
            records, rest = [], request.body
            while rest:
                size = struct.unpack(">I", rest[:4])[0]
                records.append(rest[4:4 + size])
                rest = rest[4 + size:]
            await self.append(request.query["topic"], records)
            writer.write(json_answer(200, {"offset": end,
                                           "end_offset": end + len(records)}))
            return True
        if request.path == "/api/log-read":
            source = int(request.query["source"])
            if source < topic.first:
                writer.write(json_answer(410, {"first_offset": topic.first}))
                return True
            wait = int(request.query.get("wait_ms", "0")) / 1000
            until = time.monotonic() + wait
            while len(topic.records) <= source and time.monotonic() < until:
                try:
                    async with self.changed:
                        await asyncio.wait_for(self.changed.wait(),
                                               until - time.monotonic())
                except asyncio.TimeoutError:
                    break
            out = struct.pack(">QQ", len(topic.records), topic.first)
            for record in topic.records[source:]:
                out += struct.pack(">I", len(record)) + record
            writer.write(answer(200, out))
            return True
        if request.path == "/api/log-newest":
            newest = {}
            for offset, record in enumerate(topic.records):
                key = record[1:1 + record[0]].decode()
                value = record[1 + record[0]:]
                newest.pop(key, None)
                if value:
                    newest[key] = (value, offset)
            items = [{"key": key, "value": base64.b64encode(value).decode(),
                      "offset": offset} for key, (value, offset) in newest.items()]
            writer.write(json_answer(200, {"items": items, "has_more": False,
                                           "end_offset": len(topic.records)}))
            return True
        writer.write(answer(404))
        return True


# Engines and servers

class Server(HttpServer):
    """A plain server, or an engine if `stage` is set. It refuses what names another
    instance, and lists itself in the store."""

    def __init__(self, record, store, host, name, service, zone, stage=None, slots=64):
        super().__init__(host, 0)
        self.record, self.store, self.name = record, store, name
        self.service, self.zone, self.stage, self.slots = service, zone, stage, slots
        self.runs = []     # (seconds, request id)
        self.work_s = 0.02
        self.events = 8
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.beat = None

    def entry(self):
        value = {"service": self.service, "address": f"{self.host}:{self.port}",
                 "zone": self.zone, "version": "v1", "slots": self.slots,
                 "state": "ready", "cold_remaining_ms": 0, "sequence": self.sequence,
                 "born": self.born}
        if self.stage:
            value.update({"stage": self.stage,
                          "models": [{"name": "m", "version": 1, "adapters": []}]})
        return value

    async def list_always(self):
        while True:
            await self.store.put("keyed.servers", self.name, self.entry())
            await asyncio.sleep(1.2)
            self.sequence += 1

    async def start(self):
        await super().start()
        self.beat = asyncio.create_task(self.list_always())
        return self

    async def stop(self):
        if self.beat is not None:
            self.beat.cancel()
        await super().stop()

    def signature(self, request):
        return {"Request-Id": request.fields.get("request-id", ""),
                "Instance-Id": self.name, "Instance-Signature": f"{self.name}.1"}

    async def handle(self, request, reader, writer):
        expected = request.fields.get("expect-instance")
        if expected is not None and expected != self.name:
            writer.write(answer(421, b"", {"Instance-Id": self.name}))
            return True
        if request.path == "/healthz":
            writer.write(answer(200, b"", {"Instance-Id": self.name}))
            return True
        if request.path.startswith("/api/"):
            writer.write(json_answer(200 if request.method != "POST" else 202, {}))
            return True
        if "request-id" not in request.fields:
            writer.write(answer(400, b"", {"Not-Executed": "1"}))
            return True
        return await self.run(request, reader, writer)

    async def run(self, request, reader, writer):
        if request.fields.get("serving-stage") == "prefill":
            await asyncio.sleep(self.work_s)
            tokens = int(request.fields.get("token-count", "0,0").split(",")[0])
            writer.write(json_answer(200, {"kv_handle": os.urandom(6).hex(),
                                           "tokens": tokens, "version": 1},
                                     {"Request-Id": request.fields["request-id"]}))
            return True
        self.runs.append((self.record.now(), request.fields["request-id"]))
        if self.stage:
            return await self.stream(request, writer)
        await asyncio.sleep(self.work_s)
        writer.write(answer(200, b"x" * 800, self.signature(request)))
        return True

    async def stream(self, request, writer):
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" \
               "Transfer-Encoding: chunked\r\nWeight-Versions: 1\r\n"
        for name, value in self.signature(request).items():
            head += f"{name}: {value}\r\n"
        writer.write(head.encode() + b"\r\n")
        for number in range(1, self.events + 1):
            await asyncio.sleep(self.work_s)
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True


class Cloud(HttpServer):
    """The platform's API for duties."""

    def __init__(self, record, host):
        super().__init__(host, 0)
        self.record = record
        self.calls = []  # (seconds, path, holder, token, body)

    async def handle(self, request, reader, writer):
        body = json.loads(request.body)
        self.calls.append((self.record.now(), request.path,
                           request.fields["duty-holder"],
                           int(request.fields["fencing-token"]), body))
        self.record.write(f"duty {request.path} holder={request.fields['duty-holder']} "
                          f"token={request.fields['fencing-token']} {json.dumps(body)}")
        writer.write(json_answer(200, {}))
        return True


# Daemons

BOUNDS = {"grace_s": 8, "revoke_ms": 5000, "drain_ms": 2000, "revoke_fail_closed": "true",
          "lease_ms": 3000, "usage_window_s": 5, "usage_late_s": 10,
          "retry_budget_ratio": 0.2, "retry_budget_slack": 58}


class Daemon:
    """One machine with the role `entry`: the program of the deploy file with settings
    from its template. The platform starts a process that has ended again after some
    seconds, as its page says."""

    def __init__(self, record, folder, number, ip, zone, store, cloud):
        self.record, self.folder, self.number, self.ip = record, folder, number, ip
        self.name = f"frontend-{zone}-{number}"
        self.zone, self.store, self.cloud = zone, store, cloud
        self.process = None
        self.own_ends = []   # (seconds, exit code): ends that nobody asked for
        self.stopping = False
        self.keeper = None
        self.starts = 0

    def render(self):
        values = {"node_name": self.name, "zone": self.zone, "ip": self.ip,
                  "listen.frontend": f"{self.ip}:8368", "listen.ready": f"{self.ip}:8369",
                  "internal_port_range.0": "7780", "internal_port_range.1": "7795",
                  "limits.cpu_share": "0.25", "limits.memory_mb": "260",
                  "limits.file_descriptors": "4100", "heartbeat_ms": "1200",
                  "bootstrap": "true" if self.starts == 0 else "false",
                  "platform.address": f"{self.store.host}:{self.store.port}",
                  "cloud_api.address": f"{self.cloud.host}:{self.cloud.port}"}
        values.update({f"bounds.{name}": str(value) for name, value in BOUNDS.items()})
        with open(TEMPLATE, encoding="utf-8") as file:
            text = file.read()
        return re.sub(r"\{\{([^}]*)\}\}", lambda at: values.get(at.group(1), ""), text)

    async def start(self):
        path = os.path.join(self.folder, f"boot-{self.number}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.render())
        log = open(os.path.join(self.folder, f"log-{self.number}.txt"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            DAEMON, "--entry", path, cwd=ROOT, stdout=log, stderr=log,
            stdin=asyncio.subprocess.DEVNULL,
            env={"PATH": os.environ.get("PATH", ""), "HOME": "/nonexistent",
                 "LANG": "C.UTF-8", "MARIGOLDCRANK_NODE_FILE": path})
        log.close()
        self.starts += 1
        self.record.write(f"{self.name} starts, process {self.process.pid}")
        if self.keeper is None:
            self.keeper = asyncio.create_task(self.keep())

    async def keep(self):
        """Restarts the process when it ends, and notes ends of its own."""
        while not self.stopping:
            code = await self.process.wait()
            if self.stopping:
                break
            self.own_ends.append((self.record.now(), code))
            self.record.write(f"{self.name} ended by itself, exit code {code}")
            await asyncio.sleep(RESTART_S)
            if not self.stopping:
                await self.start()

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self.record.write(f"{self.name} gets signal {number}")

    async def stop(self):
        self.stopping = True
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        if self.keeper is not None:
            await self.keeper

    async def ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, 8369)
        except OSError:
            return False
        writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        try:
            head = await asyncio.wait_for(read_head(reader), 2)
        except asyncio.TimeoutError:
            head = None
        writer.close()
        return head is not None and " 200 " in head[0]


# Clients

class Answer:
    def __init__(self, status, fields, body, whole):
        self.status, self.fields, self.body, self.whole = status, fields, body, whole


async def ask(ip, request_id, path, body=b"{}", fields=None, key=KEY, deadline_ms=4000,
              method="POST"):
    """One request on a connection of its own. Status 0: no answer."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, 8368), 1)
    except (OSError, asyncio.TimeoutError):
        return Answer(0, {}, b"", False)
    text = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n" \
           f"Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {key}\r\n" \
           f"Content-Length: {len(body)}\r\n"
    for name, value in (fields or {}).items():
        text += f"{name}: {value}\r\n"
    result = Answer(0, {}, b"", False)

    async def exchange():
        writer.write(text.encode() + b"\r\n" + body)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            return
        result.status = int(head[0].split(" ")[1])
        result.fields = head[1]
        if head[1].get("transfer-encoding") == "chunked":
            result.body = await read_chunks(reader)
        else:
            result.body = await reader.readexactly(int(head[1].get("content-length", 0)))
        result.whole = True

    try:
        await asyncio.wait_for(exchange(), deadline_ms / 1000)
    except (asyncio.TimeoutError, ConnectionError, asyncio.IncompleteReadError):
        pass
    writer.close()
    return result


def new_id():
    return os.urandom(8).hex()


def model_fields(shared, own, out):
    part = f"{random.getrandbits(32):08x}"
    return {"Model": "m", "Token-Count": f"{shared + own},{out}",
            "Prefix-Hash": f"5c1e07a2:{shared},{part}:{own}"}


# Deployment

def routes_and_services(scaling=None):
    engine = {"slots": 64, "kv_capacity_tokens": 671508, "kv_token_bytes": 18432,
              "link_mbps": 370000.0, "moves": True, "backups": True, "stride": 9,
              "most": 12, "kv_hold_s": 5.0, "stage_switch_s": 3.0, "pin_ms": 4000.0,
              "hold_ms": 2000.0, "models": [{"name": "m"}]}
    models = {"name": "models", "health_path": "/healthz", "max_connections": 630,
              "protocol": "h1", "tls": False, "engine": engine}
    if scaling is not None:
        models["scaling"] = scaling

    def route(name, path, kind, service, **more):
        value = {"name": name, "host": HOST, "path_prefix": path, "route_type": kind,
                 "timeout_ms": 4000, "target_latency_ms": 300, "priority": 1,
                 "service": service, "max_attempts": 1, "public": False}
        value.update(more)
        return value

    return {"routes": [route("r-stream", "/stream/", "streaming", "models", sticky=True,
                             resumable=False, itl_target_ms=400),
                       route("r-once", "/once/", "non_idempotent", "desk"),
                       route("r-again", "/again/", "idempotent", "desk",
                             max_attempts=2)],
            "services": [models, {"name": "desk", "health_path": "/healthz",
                                  "max_connections": 110, "protocol": "h1",
                                  "tls": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1}]}


class Deployment:
    """A store, the duty API, servers and machines. Ends all of them in `stop`."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.TemporaryDirectory(prefix="marigoldcrank-review-")
        block = os.getpid() % 60000
        self.net = f"127.{1 + block // 250}.{1 + block % 250}"
        self.store = Store(f"{self.net}.1")
        self.cloud = Cloud(record, f"{self.net}.2")
        self.servers, self.daemons = [], []
        self.version = 0

    async def configure(self, content):
        self.version += 3
        value = {"version": self.version}
        value.update(content)
        await self.store.put("keyed.op", "config", value)
        self.record.write(f"configuration {self.version} acknowledged: "
                          f"{json.dumps(content.get('services'))[:400]}")
        return self.version

    async def start_platform(self):
        if not os.path.exists(DAEMON):
            raise CannotRun("target/marigoldcrankd isn't built")
        await self.store.start()
        await self.cloud.start()

    async def add_server(self, kind, name, service, zone, stage=None):
        server = kind(self.record, self.store, f"{self.net}.{100 + len(self.servers)}",
                      name, service, zone, stage)
        await server.start()
        self.servers.append(server)
        return server

    async def add_daemon(self, zone):
        number = len(self.daemons) + 1
        daemon = Daemon(self.record, self.folder.name, number, f"{self.net}.{10 + number}",
                        zone, self.store, self.cloud)
        self.daemons.append(daemon)
        await daemon.start()
        return daemon

    async def all_ready(self, patience_s=20):
        until = time.monotonic() + patience_s
        for daemon in self.daemons:
            while not await daemon.ready():
                if time.monotonic() > until:
                    raise CannotRun(f"{daemon.name} isn't ready")
                await asyncio.sleep(0.1)

    async def stop(self):
        await asyncio.gather(*(daemon.stop() for daemon in self.daemons))
        for server in self.servers:
            await server.stop()
        await self.cloud.stop()
        await self.store.stop()
        self.folder.cleanup()


def run_case(folder, main):
    """Runs `main(deployment, trouble)`, which returns whether the rule held. Returns the
    exit code: 0 held, 1 broken, 2 not run."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        deployment = Deployment(record)
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            await deployment.start_platform()
            held = await asyncio.wait_for(main(deployment, trouble), 114)
            record.write("the rule held" if held else "the rule was broken")
            return 0 if held else 1
        except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError) as error:
            record.write(f"the case couldn't run: {error!r}")
            return 2
        finally:
            await deployment.stop()

    return asyncio.run(run())
