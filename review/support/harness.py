"""Stand-ins for the platform, backend servers and callers, and the start of the project's
daemons. Used by the scripts of this folder. Standard library only; loopback addresses only.

Names follow the users' pages (PROTOCOL.md): store, engine, client.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

KEPT, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a script


class Record:
    """What was sent, answered and run, one line an event, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1 << 16)
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def line(self, who, text):
        self.file.write("%9.4f %-8s %s\n" % (self.now(), who, text))

    def close(self):
        self.file.close()


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def free_range(host, count):
    """The first and the last of `count` ports, of which the daemon listens on three."""
    first = 20000 + os.getpid() * 64 % 10000
    while first < 32000:
        try:
            for port in (first, first + 1, first + count - 1):
                with socket.socket() as probe:
                    probe.bind((host, port))
            return [first, first + count - 1]
        except OSError:
            first += count
    raise OSError("no free ports")


class Message:
    def __init__(self, first, fields, body):
        self.first = first
        self.fields = fields
        self.body = body

    def get(self, name, default=""):
        return self.fields.get(name.lower(), default)


async def read_message(reader, response=False, head_only=False):
    """Reads an HTTP/1.1 message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head[:-4].decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    body = b""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += part[:-2]
    elif "content-length" in fields and not head_only:
        body = await reader.readexactly(int(fields["content-length"]))
    elif response and not head_only:
        body = await reader.read()
    return Message(lines[0], fields, body)


def response(status, fields, body=b"", reason="X"):
    text = "HTTP/1.1 %d %s\r\n" % (status, reason)
    for name, value in fields:
        text += "%s: %s\r\n" % (name, value)
    text += "Content-Length: %d\r\n\r\n" % len(body)
    return text.encode("latin-1") + body


async def closed(writer):
    try:
        writer.close()
    except Exception:
        pass


# The platform's store


class Door:
    def __init__(self, host, port):
        self.host = host
        self.port = port


class Topic:
    def __init__(self):
        self.records = []  # bytes
        self.grown = asyncio.Event()


def keyed(key, value):
    return bytes([len(key)]) + key.encode() + value


class Store:
    """The log of PROTOCOL.md, "The platform's metadata store": partition 0 of each topic."""

    def __init__(self, record, host):
        self.record = record
        self.host = host
        self.port = free_port(host)
        self.topics = {}
        self.answer_s = 0.004
        # Returns None for a usual write, or the seconds after which a write without an
        # answer is done.
        self.late = lambda writer, topic: None
        self.max_fetch_kb = 1024
        self.turned_away = set()  # ports of `add_door` at which every call gets 429
        self.servers = []

    async def start(self):
        self.servers.append(await asyncio.start_server(self.serve, self.host, self.port))

    async def add_door(self):
        """A further port of the same store, so that one machine can be turned away."""
        port = free_port(self.host)
        self.servers.append(await asyncio.start_server(self.serve, self.host, port))
        return Door(self.host, port)

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def do_append(self, name, records, at=None):
        topic = self.topic(name)
        first = len(topic.records)
        if at is not None and at != first:
            return None, first
        topic.records += records
        topic.grown.set()
        topic.grown = asyncio.Event()
        return first, len(topic.records)

    async def write_entry(self, writer, name, key, value, note):
        """A write of a stand-in through the same rules as a call. True if it was answered."""
        await asyncio.sleep(self.answer_s)
        delay = self.late(writer, name)
        text = "%s %s/%s %s" % (writer, name, key, note)
        if delay is not None:
            self.record.line("store", "no answer to %s; done %.2f s later" % (text, delay))
            await asyncio.sleep(delay)
            first, _ = self.do_append(name, [keyed(key, value)])
            self.record.line("store", "late, done now at offset %d: %s" % (first, text))
            return False
        first, _ = self.do_append(name, [keyed(key, value)])
        self.record.line("store", "acknowledged at offset %d: %s" % (first, text))
        return True

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                await asyncio.sleep(self.answer_s)
                if writer.get_extra_info("sockname")[1] in self.turned_away:
                    answer = self.json(429, {})
                else:
                    answer = await self.answer(message)
                if answer is None:
                    await asyncio.sleep(30)
                    break
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError, asyncio.IncompleteReadError):
            pass
        await closed(writer)

    async def answer(self, message):
        target = message.first.split(" ")[1]
        path, _, query = target.partition("?")
        values = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        name = values.get("topic", "")
        if path == "/api/log-append":
            records, at = [], 0
            while at < len(message.body):
                (size,) = struct.unpack(">I", message.body[at : at + 4])
                records.append(message.body[at + 4 : at + 4 + size])
                at += 4 + size
            condition = int(values["at"]) if "at" in values else None
            delay = self.late("daemon", name)
            if delay is not None:
                loop = asyncio.get_running_loop()
                loop.call_later(delay, self.do_append, name, records, condition)
                return None
            first, end = self.do_append(name, records, condition)
            if first is None:
                return self.json(412, {"end_offset": end})
            return self.json(200, {"offset": first, "end_offset": end})
        if path == "/api/log-read":
            topic = self.topic(name)
            source = int(values["source"])
            wait = int(values.get("wait_ms", "0")) / 1000
            until = time.monotonic() + wait
            while len(topic.records) <= source and time.monotonic() < until:
                try:
                    await asyncio.wait_for(topic.grown.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    pass
            most = int(values.get("max_fetch_kb", self.max_fetch_kb)) * 1024
            body = struct.pack(">QQ", len(topic.records), 0)
            for each in topic.records[source:]:
                if len(body) > 16 and len(body) + 4 + len(each) > most:
                    break
                body += struct.pack(">I", len(each)) + each
            return response(200, [("Content-Type", "application/octet-stream")], body)
        if path == "/api/log-newest":
            newest = {}
            for offset, each in enumerate(self.topic(name).records):
                key = each[1 : 1 + each[0]].decode("latin-1")
                value = each[1 + each[0] :]
                if value:
                    newest[key] = (value, offset)
                else:
                    newest.pop(key, None)
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (value, offset) in sorted(newest.items())
            ]
            return self.json(
                200,
                {"items": items, "has_more": False, "end_offset": len(self.topic(name).records)},
            )
        return self.json(404, {})

    @staticmethod
    def json(status, value):
        return response(
            status, [("Content-Type", "application/json")], json.dumps(value).encode()
        )


class Cloud:
    """The platform's API of PROTOCOL.md, "Singleton duties"."""

    def __init__(self, record, host):
        self.record = record
        self.host = host
        self.port = free_port(host)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port)

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                self.record.line(
                    "cloud",
                    "%s holder=%s token=%s %s"
                    % (
                        message.first.split(" ")[1],
                        message.get("duty-holder"),
                        message.get("fencing-token"),
                        message.body.decode("latin-1"),
                    ),
                )
                writer.write(response(200, []))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError, asyncio.IncompleteReadError):
            pass
        await closed(writer)


class Engine:
    """A server of a plain service: `slots` requests at once, a queue, 503 when both are full."""

    def __init__(self, record, host, name, service, zone="zone-a", slots=6, queue=24, work_s=0.015):
        self.record = record
        self.host = host
        self.port = free_port(host)
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.queue = queue
        self.inside = 0
        self.work_s = work_s
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.arrivals = []  # (seconds, id) of requests that reached it, without health checks
        self.runs = []  # (seconds, id, method, path, body)
        self.answers = {}  # id -> status it gave
        # Whether an answer has no length and ends with its connection.
        self.unframed = lambda engine, message, status: False
        # Returns bytes to send after an answer, and when, or None.
        self.extra = lambda engine, message, status: None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port)

    def entry(self):
        self.sequence += 1
        return json.dumps(
            {
                "service": self.service,
                "address": "%s:%d" % (self.host, self.port),
                "zone": self.zone,
                "version": "v1",
                "slots": self.slot_count,
                "state": self.state,
                "cold_remaining_ms": 0,
                "sequence": self.sequence,
                "born": self.born,
            }
        ).encode()

    async def beat(self, store):
        value = self.entry()
        note = "state=%s sequence=%d" % (self.state, self.sequence)
        return await store.write_entry(self.name, "keyed.servers", self.name, value, note)

    async def keep_beating(self, store, interval_s):
        while True:
            asyncio.ensure_future(self.beat(store))
            await asyncio.sleep(interval_s)

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                if not await self.handle(message, writer):
                    break
        except (ConnectionError, asyncio.CancelledError, asyncio.IncompleteReadError):
            pass
        await closed(writer)

    async def handle(self, message, writer):
        method, path, _ = message.first.split(" ")
        head_only = method == "HEAD"
        peer = writer.get_extra_info("peername")
        if path == "/healthz":
            ready = self.state == "ready"
            writer.write(response(200 if ready else 503, [("Instance-Id", self.name)]))
            return True
        request_id = message.get("request-id")
        expected = message.get("expect-instance")
        if expected and expected != self.name:
            writer.write(response(421, [("Instance-Id", self.name)]))
            return True
        self.arrivals.append((self.record.now(), request_id))
        self.record.line(
            self.name, "request %s %s %s from port %d" % (request_id, method, path, peer[1])
        )
        if self.inside >= self.slot_count + self.queue:
            await self.respond(writer, message, 503, [("Not-Executed", "1")], b"")
            return True
        self.inside += 1
        try:
            async with self.slots:
                self.runs.append((self.record.now(), request_id, method, path, message.body))
                self.record.line(self.name, "runs %s" % request_id)
                await asyncio.sleep(self.work_s)
        finally:
            self.inside -= 1
        body = ("%s served %s" % (self.name, request_id)).encode()
        fields = [("Instance-Signature", "sig." + request_id)]
        return await self.respond(writer, message, 200, fields, body, head_only)

    async def respond(self, writer, message, status, fields, body, head_only=False):
        request_id = message.get("request-id")
        text = response(status, [("Request-Id", request_id)] + fields, body)
        if head_only:
            text = text[: len(text) - len(body)]
        ends = self.unframed(self, message, status)
        if ends:
            length = b"Content-Length: %d\r\n" % len(body)
            text = text.replace(length, b"Connection: close\r\n", 1)
        self.answers[request_id] = status
        note = ", without a length" if ends else ""
        self.record.line(self.name, "answers %s %d%s" % (request_id, status, note))
        writer.write(text)
        await writer.drain()
        if ends:
            return False
        more = self.extra(self, message, status)
        if more is not None:
            delay, extra_bytes, note = more

            def send():
                self.record.line(self.name, "sends %d more bytes: %s" % (len(extra_bytes), note))
                if not writer.is_closing():
                    writer.write(extra_bytes)

            asyncio.get_running_loop().call_later(delay, send)
        return True


# Configuration


def route(name, kind, service, attempts, timeout_ms=1500, target_ms=100, public=False, **more):
    value = {
        "name": name,
        "host": "desk.example",
        "path_prefix": "/%s/" % name,
        "route_type": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": target_ms,
        "priority": 1,
        "service": service,
        "max_attempts": attempts,
        "public": public,
        "sticky": False,
        "resumable": False,
    }
    value.update(more)
    return value


def configuration(version, routes, services, tenants=(("tenant-a", ["key-a"]),)):
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": name, "api_keys": keys, "priority": 1} for name, keys in tenants],
    }


def plain_service(name):
    return {"name": name, "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": False}


# The project's daemon


class Daemon:
    """target/marigoldcrankd as deploy/system.toml runs it, with settings from the template."""

    def __init__(self, record, folder, host, index, store, cloud, first_start=True, bounds=None):
        self.record = record
        self.name = "frontend-zone-a-%d" % index
        self.host = host
        self.folder = folder
        self.callers = free_port(host)
        self.ready_port = free_port(host)
        self.ports = free_range(host, 16)
        self.store = store
        self.cloud = cloud
        self.file = os.path.join(folder, self.name + ".ini")
        self.bounds = bounds or {}
        self.write_settings(first_start)
        self.process = None

    def write_settings(self, first_start):
        values = {
            "node_name": self.name,
            "zone": "zone-a",
            "listen.frontend": "%s:%d" % (self.host, self.callers),
            "listen.ready": "%s:%d" % (self.host, self.ready_port),
            "ip": self.host,
            "internal_port_range.0": str(self.ports[0]),
            "internal_port_range.1": str(self.ports[1]),
            "limits.cpu_share": "0.25",
            "limits.memory_mb": "260",
            "bootstrap": "true" if first_start else "false",
            "platform.address": "%s:%d" % (self.store.host, self.store.port),
            "cloud_api.address": "%s:%d" % (self.cloud.host, self.cloud.port),
            "bounds.grace_s": "8",
            "bounds.revoke_ms": "5000",
            "bounds.drain_ms": "2000",
            "heartbeat_ms": "1200",
            "bounds.revoke_fail_closed": "true",
            "bounds.lease_ms": "3000",
            "bounds.usage_window_s": "5",
            "bounds.usage_late_s": "10",
            "bounds.retry_budget_ratio": "0.2",
            "bounds.retry_budget_slack": "58",
        }
        values.update(self.bounds)
        with open(os.path.join(ROOT, "platform", "settings.ini.in")) as template:
            text = template.read()
        for name, value in values.items():
            text = text.replace("{{%s}}" % name, value)
        while "{{" in text:  # bounds that this deployment doesn't have
            begin = text.index("{{")
            text = text[:begin] + text[text.index("}}", begin) + 2 :]
        with open(self.file, "w") as out:
            out.write(text)

    def start(self):
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            [os.path.join(ROOT, "target", "marigoldcrankd"), "--entry", self.file],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            env={"PATH": "/usr/bin:/bin", "HOME": self.folder, "LANG": "C.UTF-8"},
        )
        self.record.line("script", "starts %s, process %d" % (self.name, self.process.pid))

    def running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        self.record.line("script", "signal %s to %s" % (signal.Signals(number).name, self.name))
        self.process.send_signal(number)

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.host, self.ready_port), 1
            )
            writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            message = await asyncio.wait_for(read_message(reader, response=True), 1)
            await closed(writer)
            return message is not None and " 200 " in message.first + " "
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, seconds=15):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if not self.running():
                return False
            if await self.is_ready():
                self.record.line("script", "%s is ready" % self.name)
                return True
            await asyncio.sleep(0.1)
        return False


# Callers


class Outcome:
    def __init__(self, status, fields, body, began, ended, fault):
        self.status = status  # 0: no complete answer
        self.fields = fields
        self.body = body
        self.began = began
        self.ended = ended
        self.fault = fault


class Caller:
    """One client connection that is kept; opens a new one after a failure."""

    def __init__(self, record, host, port):
        self.record = record
        self.host = host
        self.port = port
        self.reader = self.writer = None

    async def ask(self, request_id, method, path, body=b"", deadline_ms=1500, key="key-a", fields=()):
        began = self.record.now()
        text = "%s %s HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n" % (
            method,
            path,
            request_id,
            deadline_ms,
        )
        if key:
            text += "Authorization: Bearer %s\r\n" % key
        for name, value in fields:
            text += "%s: %s\r\n" % (name, value)
        if body or method == "POST":
            text += "Content-Length: %d\r\n" % len(body)
        self.record.line("client", "sends %s %s %s" % (request_id, method, path))
        message, fault = None, ""
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.wait_for(
                    asyncio.open_connection(self.host, self.port), 1
                )
            self.writer.write(text.encode() + b"\r\n" + body)
            message = await asyncio.wait_for(
                read_message(self.reader, response=True, head_only=method == "HEAD"),
                deadline_ms / 1000 + 1,
            )
            fault = "" if message else "closed"
            if message and not message.first.startswith("HTTP/1.1 "):
                fault = "no answer in the protocol: %r" % message.first[:60]
                message = None
            elif message and not message.get("content-length", "0").isdigit():
                fault = "no answer in the protocol: Content-Length: %r" % message.get("content-length")
                message = None
        except asyncio.TimeoutError:
            fault = "timeout"
        except (OSError, asyncio.IncompleteReadError) as error:
            fault = type(error).__name__
        ended = self.record.now()
        if message is None or message.get("connection").lower() == "close":
            await self.close()
        status = int(message.first.split(" ")[1]) if message else 0
        self.record.line("client", "gets %s %s %s" % (request_id, status or "no answer", fault))
        return Outcome(
            status,
            message.fields if message else {},
            message.body if message else b"",
            began,
            ended,
            fault,
        )

    async def close(self):
        if self.writer is not None:
            await closed(self.writer)
        self.reader = self.writer = None


# Running a script


async def limited(work):
    """Runs `work` for 110 s at most; what still runs then is dropped without a word."""
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    return await asyncio.wait_for(work, 110)


def run_script(name, main):
    """Runs `main(record, folder)`, which returns an exit code and a verdict."""
    record = Record(sys.argv[1])
    record.line("script", "%s TROUBLE=%d" % (name, 1 if TROUBLE else 0))
    if not os.access(os.path.join(ROOT, "target", "marigoldcrankd"), os.X_OK):
        text = "could not run: target/marigoldcrankd is missing: run the build of deploy/system.toml"
        record.line("script", text)
        record.close()
        print(text)
        sys.exit(NOT_RUN)
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(NOT_RUN))
    folder = tempfile.mkdtemp(prefix="marigoldcrank-review-")
    code, verdict = NOT_RUN, "did not end"
    daemons = []
    try:
        code, verdict = asyncio.run(limited(main(record, folder, daemons)))
    except asyncio.TimeoutError:
        verdict = "not ended within 110 s"
    except Exception as error:  # a fault of the script is no verdict
        verdict = "%s: %s" % (type(error).__name__, error)
    finally:
        for each in daemons:
            each.stop()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)
        text = "%s: %s" % ({KEPT: "held", BROKEN: "BROKEN", NOT_RUN: "could not run"}[code], verdict)
        record.line("script", text)
        record.close()
        print(text)
    # The loop has ended with connections open; nothing of them is of use any more.
    sys.stdout.flush()
    os._exit(code)


def host_of(index):
    """A loopback address of this run's own."""
    pid = os.getpid()
    return "127.%d.%d.%d" % (64 + pid // 250 % 128, 1 + pid % 250, index + 1)
