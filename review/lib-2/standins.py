"""Stand-ins of the second review: the platform's store, workers and their group, callers, programs.

They follow the users' pages PROTOCOL and DEPLOY. Everything listens on loopback addresses, on the
real clock, in one asyncio loop. Only Python's standard library is used.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, unquote

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))


# ---------------------------------------------------------------------------------------- record

class Record:
    """The record of a run: what was sent, answered and run, with the time since its start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.begun = time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def line(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")

    def close(self):
        self.file.close()


# ------------------------------------------------------------------------------------------ HTTP

class Message:
    """A request or an answer: first line, headers (names in lower case) and body."""

    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def target(self):
        return self.first.split(" ")[1]

    @property
    def status(self):
        return int(self.first.split(" ")[1])

    def get(self, name, default=""):
        return self.headers.get(name, default)


async def read_head(reader):
    """First line and headers; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    """The chunks of a body, one after the other."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size == 0:
            await reader.readuntil(b"\r\n")
            return
        data = await reader.readexactly(size)
        await reader.readexactly(2)
        yield data


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        return b"".join([chunk async for chunk in read_chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    return Message(first, headers, await read_body(reader, headers))


REASONS = {200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           429: "Too Many Requests", 500: "Internal Server Error", 503: "Service Unavailable"}


def answer_bytes(status, body=b"", headers=()):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
        headers = [("Content-Type", "application/json"), *headers]
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


# ----------------------------------------------------------------------------------------- store

class Store:
    """The platform's store: tables of rows with one counter, and long polls of their changes."""

    def __init__(self, record):
        self.record = record
        self.ver = 1
        self.rows = {}          # (table, part, key) -> (ver, value or None)
        self.changed = asyncio.Event()
        self.begun = time.monotonic()
        self.writes = []

    def now_ms(self):
        return int((time.monotonic() - self.begun) * 1000) + 50_000

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0, limit=1 << 22)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def put(self, table, key, value, part=""):
        """Writes a row as the operator and the workers do; returns when it was acknowledged."""
        self.ver += 1
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.rows[(table, part, key)] = (self.ver, data)
        self.wake()
        return time.monotonic()

    def remove(self, table, key, part=""):
        self.ver += 1
        self.rows[(table, part, key)] = (self.ver, None)
        self.wake()
        return time.monotonic()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def entry(self, place, row):
        table, part, key = place
        ver, value = row
        found = {"table": table, "part": part, "tlsKey": key, "ver": ver}
        if value is None:
            found["gone"] = True
        else:
            found["value"] = base64.b64encode(value).decode()
        return found

    async def serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                status, body = await self.answer(request)
                writer.write(answer_bytes(status, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, request):
        path, _, query = request.target.partition("?")
        asked = {name: values[0] for name, values in
                 parse_qs(query, keep_blank_values=True).items()}
        await asyncio.sleep(0.004)
        if path == "/v1/rows-get":
            return 200, self.get(asked)
        if path == "/v1/rows-feed":
            return await self.feed(asked)
        if path == "/v1/rows-tx":
            return self.transact(json.loads(request.body))
        return 404, {}

    def get(self, asked):
        table, part = asked["table"], asked.get("part", "")
        first, limit = asked.get("from", ""), min(int(asked.get("limit", 500)), 500)
        places = sorted(place for place, row in self.rows.items()
                        if place[0] == table and place[1] == part and row[1] is not None
                        and place[2].encode() >= first.encode())
        rows = [self.entry(place, self.rows[place]) for place in places[:limit]]
        return {"rows": rows, "more": len(places) > limit, "ver": self.ver,
                "now_ms": self.now_ms()}

    async def feed(self, asked):
        table, after = asked["table"], int(asked["afterRev"])
        ends = time.monotonic() + min(int(asked.get("waitMs", 0)), 30_000) / 1000
        while True:
            changed = self.changed
            new = [(place, row) for place, row in self.rows.items()
                   if place[0] == table and row[0] > after]
            left = ends - time.monotonic()
            if new or left <= 0:
                new.sort(key=lambda one: one[1][0])
                return 200, {"rows": [self.entry(*one) for one in new], "ver": self.ver,
                             "now_ms": self.now_ms()}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        conditions = body.get("expectedRev", [])
        def place(one):
            return (one["table"], one.get("part", ""), one["tlsKey"])
        def version(one):
            row = self.rows.get(place(one))
            return row[0] if row and row[1] is not None else 0
        if any(version(one) != one["ver"] for one in conditions):
            rows = [self.entry(place(one), self.rows[place(one)]) for one in conditions
                    if place(one) in self.rows]
            return 412, {"rows": rows, "ver": self.ver, "now_ms": self.now_ms()}
        self.ver += 1
        for one in body.get("put", []):
            value = base64.b64decode(one["value"])
            self.rows[place(one)] = (self.ver, value)
            self.record.line(f"store: {place(one)} written: {value[:120]!r}")
        for one in body.get("remove", []):
            self.rows[place(one)] = (self.ver, None)
        self.wake()
        return 200, {"ver": self.ver, "now_ms": self.now_ms()}


# -------------------------------------------------------------------------------------- programs

def value_of(fields, scope, name):
    if name in (".", "@"):
        return scope.get(name)
    found = fields
    for part in name.split("."):
        if isinstance(found, dict):
            found = found.get(part)
        elif isinstance(found, list) and part.isdigit():
            found = found[int(part)]
        else:
            return None
    return found


def filled(text, fields, scope=None):
    """Fills a template as the page DEPLOY says, as far as the project's templates use it."""
    scope = scope or {}
    block = re.compile(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", re.S)
    def repeat(match):
        value, inner = value_of(fields, scope, match[1]), match[2]
        if isinstance(value, dict):
            entries = list(value.items())
        elif isinstance(value, list):
            entries = list(enumerate(value))
        else:
            return filled(inner, fields, scope) if value else ""
        out = []
        for number, (key, one) in enumerate(entries):
            comma = "," if number + 1 < len(entries) else ""
            out.append(filled(inner.replace("{{,}}", comma), fields, {".": one, "@": key}))
        return "".join(out)
    text = block.sub(repeat, text)
    def gap(match):
        value = value_of(fields, scope, match[1])
        if value is None:
            return ""
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)
    return re.sub(r"\{\{([^}#/^]+)\}\}", gap, text)


KIVUKO_BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
    "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
    "rollbackSlackMs": 250, "stretchMaxMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
    "budgetSlack": 92, "recoveryS": 12, "pass_ms": 120, "stall_ms": 1500, "ttl_max_s": 5,
}


class Program:
    """One process of the system, started with its command of the deploy file."""

    def __init__(self, role, fields, folder, name):
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"][role]
        with open(os.path.join(ROOT, self.role["template"])) as file:
            template = file.read()
        self.name, self.fields = name, fields
        self.settings = os.path.join(folder, f"{name}.settings")
        self.log = os.path.join(folder, f"{name}.log")
        with open(self.settings, "w") as file:
            file.write(filled(template, fields))
        self.process = None

    def start(self):
        words = self.role["run"].split()
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["HOOKTRESTLE_BOOT"] = self.settings
        log = open(self.log, "ab")
        self.process = subprocess.Popen([os.path.join(ROOT, words[0]), *words[1:]], cwd=ROOT,
                                        env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def free_port(addresses):
    """A port that is free at all these addresses."""
    for _ in range(200):
        port = random.randint(20_000, 30_000)
        held = []
        try:
            for ip in addresses:
                one = socket.socket()
                held.append(one)
                one.bind((ip, port))
            return port
        except OSError:
            continue
        finally:
            for one in held:
                one.close()
    raise OSError("no port is free")


def free_ips(count):
    """Loopback addresses at which the port of the gateways' metrics is free."""
    for _ in range(200):
        net = random.randint(16, 250)
        ips = [f"127.{net}.1.{number + 1}" for number in range(count)]
        held = []
        try:
            for ip in ips:
                one = socket.socket()
                held.append(one)
                one.bind((ip, 9464))
            return ips
        except OSError:
            continue
        finally:
            for one in held:
                one.close()
    raise OSError("no address is free")


class Fleet:
    """Gateways and sidecars of a small deployment, each on a loopback address of its own."""

    def __init__(self, store, zones, gateways, engines, bounds=KIVUKO_BOUNDS):
        """`gateways`: a zone for each; `engines`: (ip, app port, zone) of each model worker."""
        self.folder = tempfile.mkdtemp(prefix="hooktrestle-review-")
        self.ips = free_ips(len(gateways))
        everywhere = self.ips + [ip for ip, _, _ in engines]
        ports = {name: free_port(self.ips) for name in ("front", "ready", "control", "directory")}
        inner = free_port(everywhere)
        self.programs, self.gateways = [], []
        seeds = [f"{ip}:{ports['control']}" for ip in self.ips[:3]]
        common = {"zones": zones, "portRange": [inner, inner + 15], "seeds": seeds,
                  "bounds": bounds, "platform": {"addr": store.address},
                  "heartbeatMs": 1200, "bootstrap": True}
        counts = {}
        for ip, zone in zip(self.ips, gateways):
            counts[zone] = counts.get(zone, 0) + 1
            name = f"front-{zone}-{counts[zone]}"
            listen = {key: f"{ip}:{port}" for key, port in ports.items()}
            fields = {**common, "nodeName": name, "zone": zone, "ip": ip, "listen": listen,
                      "limits": {"memoryMb": 260}}
            program = Program("gateway", fields, self.folder, name)
            program.ip, program.zone = ip, zone
            program.front, program.ready = (ip, ports["front"]), (ip, ports["ready"])
            program.directory = (ip, ports["directory"])
            self.gateways.append(program)
        self.sidecars = []
        for number, (ip, app, zone) in enumerate(engines):
            fields = {**common, "nodeName": f"side-{number}", "zone": zone, "ip": ip,
                      "app": f"{ip}:{app}", "limits": {"memoryMb": 128}}
            self.sidecars.append(Program("sidecar", fields, self.folder, f"side-{number}"))
        self.programs = self.gateways + self.sidecars

    def start(self):
        for program in self.programs:
            program.start()

    def end(self):
        for program in self.programs:
            program.end()

    async def until_ready(self, seconds=20):
        ends = time.monotonic() + seconds
        for gateway in self.gateways:
            while not await is_ready(gateway.ready):
                if time.monotonic() > ends:
                    raise TimeoutError(f"{gateway.name} is not ready")
                await asyncio.sleep(0.1)


async def is_ready(address):
    try:
        async with asyncio.timeout(1):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await read_head(reader)
            writer.close()
            return head is not None and " 200 " in head[0] + " "
    except (OSError, asyncio.TimeoutError):
        return False


# --------------------------------------------------------------------------------------- callers

class Reply:
    """What a caller got: status, headers, body, and whether the whole answer came."""

    def __init__(self, status=None, headers=None, body=b"", whole=False, why=""):
        self.status, self.headers, self.body = status, headers or {}, body
        self.whole, self.why = whole, why


async def call(address, method, target, headers, body=b"", limit_s=10.0, connection=None):
    """One request on a new connection, or on `connection` (reader, writer)."""
    reply = Reply()
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            if connection is None:
                reader, writer = await asyncio.open_connection(*address, limit=1 << 22)
            else:
                reader, writer = connection
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                reply.why = "closed without an answer"
                return reply
            reply.status, reply.headers = int(head[0].split(" ")[1]), head[1]
            if "chunked" in head[1].get("transfer-encoding", ""):
                async for chunk in read_chunks(reader):
                    reply.body += chunk
            else:
                reply.body = await reader.readexactly(int(head[1].get("content-length", "0")))
            reply.whole = True
    except asyncio.TimeoutError:
        reply.why = "time limit"
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        reply.why = f"broken off: {error!r}"
    finally:
        if writer is not None and connection is None:
            writer.close()
    return reply


def new_id(rng=random):
    return f"{rng.getrandbits(64):016x}"
