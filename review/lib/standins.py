"""Stand-ins of the users' platform for the review's scripts, on loopback addresses and the real clock.

They follow PROTOCOL.md and DEPLOY.md: the metadata store (rows), plain HTTP/1.1 parsing for workers
and callers, and the start of the project's programs with the commands and templates of
deploy/system.toml. Only the standard library is used.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))


class CannotRun(Exception):
    """The case could not be set up; the script exits with 2."""


# ---- record -------------------------------------------------------------------------------------


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8", buffering=1)
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def line(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")

    def close(self):
        self.file.close()


# ---- HTTP/1.1 -----------------------------------------------------------------------------------


async def read_head(reader):
    """The start line and the headers (lower case) of a message; None at the end of the channel."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    """Yields the chunks of a body; raises IncompleteReadError if it is cut off."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        return b"".join([chunk async for chunk in read_chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_request(reader):
    """Method, target, headers and body of the next request; None at the end of the channel."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    try:
        body = await read_body(reader, head[1])
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return method, target, head[1], body


def answer(status, headers=None, body=b""):
    """The bytes of a whole answer with a length."""
    reason = {200: "OK", 202: "Accepted", 409: "Conflict", 412: "Precondition Failed",
              421: "Misdirected Request", 503: "Service Unavailable"}.get(status, "Status")
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def json_answer(value, status=200):
    return answer(status, {"Content-Type": "application/json"}, json.dumps(value).encode())


# ---- the platform's metadata store --------------------------------------------------------------


class Store:
    """Rows in tables, with one counter; calls wait for changes as rows-feed says."""

    def __init__(self):
        self.rows = {}
        self.ver = 0
        self.changed = asyncio.Event()
        self.began = time.monotonic()

    def put(self, table, key, value, part=""):
        self.ver += 1
        text = value if isinstance(value, str) else json.dumps(value)
        self.rows[(table, part, key)] = (self.ver, base64.b64encode(text.encode()).decode())
        self._notify()

    def drop(self, table, key, part=""):
        if (table, part, key) in self.rows:
            self.ver += 1
            self.rows[(table, part, key)] = (self.ver, None)
            self._notify()

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _meta(self):
        return {"ver": self.ver, "now_ms": 1000 + int((time.monotonic() - self.began) * 1000)}

    def _entry(self, at):
        (table, part, key), (ver, value) = at, self.rows[at]
        entry = {"table": table, "part": part, "tlsKey": key, "ver": ver}
        entry.update({"gone": True} if value is None else {"value": value})
        return entry

    async def start(self, host):
        self.server = await asyncio.start_server(self._serve, host, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()

    async def _serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                writer.write(await self._answer(*request))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, _headers, body):
        path, _, query = target.partition("?")
        given = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        given = {name: value.replace("%00", "\0") for name, value in given.items()}
        if path == "/v1/rows-tx":
            return self._transact(json.loads(body))
        if path == "/v1/rows-get":
            wanted = [at for at in sorted(self.rows, key=lambda at: at[2].encode())
                      if at[0] == given.get("table") and at[1] == given.get("part", "")
                      and at[2] >= given.get("from", "") and self.rows[at][1] is not None]
            limit = int(given.get("limit", "500"))
            rows = [self._entry(at) for at in wanted[:limit]]
            return json_answer({"rows": rows, "more": len(wanted) > limit, **self._meta()})
        if path == "/v1/rows-feed":
            after, until = int(given["afterRev"]), time.monotonic() + int(given["waitMs"]) / 1000
            while True:
                found = [at for at in self.rows
                         if at[0] == given["table"] and self.rows[at][0] > after]
                left = until - time.monotonic()
                if found or left <= 0:
                    found.sort(key=lambda at: self.rows[at][0])
                    return json_answer({"rows": [self._entry(at) for at in found], **self._meta()})
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return answer(404)

    def _transact(self, body):
        for condition in body.get("expectedRev", []):
            at = (condition["table"], condition.get("part", ""), condition["tlsKey"])
            ver, value = self.rows.get(at, (0, None))
            if (ver if value is not None else 0) != condition["ver"]:
                return json_answer({"rows": [], **self._meta()}, 412)
        self.ver += 1
        for row in body.get("put", []):
            at = (row["table"], row.get("part", ""), row["tlsKey"])
            self.rows[at] = (self.ver, row["value"])
        for row in body.get("remove", []):
            at = (row["table"], row.get("part", ""), row["tlsKey"])
            if at in self.rows:
                self.rows[at] = (self.ver, None)
        self._notify()
        return json_answer(self._meta())


# ---- the project's programs ---------------------------------------------------------------------


def find(fields, name, scopes):
    for scope in scopes:
        value, known = scope, True
        for part in name.split("."):
            if isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            elif isinstance(value, dict) and part in value:
                value = value[part]
            else:
                known = False
                break
        if known:
            return value
    return None


def render(text, fields):
    """Fills a template as DEPLOY.md says, as far as the templates of deploy/ need it."""

    def repeated(match):
        value = find(fields, match.group(1), [fields])
        items = list(value.items()) if isinstance(value, dict) else list(enumerate(value or []))
        out = []
        for index, (key, item) in enumerate(items):
            last = index + 1 == len(items)
            part = match.group(2).replace("{{@}}", str(key)).replace("{{.}}", str(item))
            out.append(part.replace("{{,}}", "" if last else ","))
        return "".join(out)

    def gap(match):
        value = find(fields, match.group(1), [fields])
        if value is None:
            return ""
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", repeated, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", gap, text)


def deploy_role(role):
    """The texts of one role's table in deploy/system.toml."""
    entry, here = {}, False
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        for line in file:
            if line.startswith("["):
                here = line.strip() == f"[roles.{role}]"
            elif here and (found := re.match(r'(\w+) = "(.*)"', line)):
                entry[found.group(1)] = found.group(2)
    return entry


class Program:
    """One process of a role of deploy/system.toml, with a settings file filled from its template."""

    def __init__(self, role, fields, folder):
        entry = deploy_role(role)
        self.argv = entry["run"].split(" ")
        if not os.path.exists(os.path.join(ROOT, self.argv[0])):
            raise CannotRun(f"{self.argv[0]} is not built: run the deploy file's build command")
        with open(os.path.join(ROOT, entry["template"]), encoding="utf-8") as file:
            settings = render(file.read(), fields)
        self.name = fields["nodeName"]
        self.settings = os.path.join(folder, f"{self.name}.ini")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(settings)
        self.log = os.path.join(folder, f"{self.name}.log")
        self.process = None

    def start(self):
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["HOOKTRESTLE_BOOT"] = self.settings
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(self.argv, cwd=ROOT, env=env, stdout=log,
                                            stderr=log, stdin=subprocess.DEVNULL)

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()


BOUNDS = {"graceS": 8, "retryBudgetRatio": 0.2, "budgetSlack": 90, "budgetWindowS": 10}


class Machines:
    """Loopback addresses that stand for machines, and the fields of their settings."""

    def __init__(self):
        # A net of its own, so that two runs at once do not meet.
        for _ in range(50):
            self.net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
            try:
                for port in (9464,):
                    with socket.socket() as probe:
                        probe.bind((f"{self.net}.1", port))
                break
            except OSError:
                continue
        else:
            raise CannotRun("no loopback address is free")
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.programs = []
        self.base = 21000 + 20 * random.randint(0, 400)

    def ip(self, number):
        return f"{self.net}.{number}"

    def front(self, number, zone, store, seeds, bounds=None):
        ip, base = self.ip(number), self.base
        fields = {"nodeName": f"front-{number}", "ip": ip, "zone": zone, "seeds": seeds,
                  "zones": {"north": "here", "south": "here"},
                  "listen": {"front": f"{ip}:{base}", "ready": f"{ip}:{base + 1}",
                             "control": f"{ip}:{base + 2}", "directory": f"{ip}:{base + 3}"},
                  "portRange": [base + 4, base + 16], "platform": {"addr": store},
                  "bounds": {**BOUNDS, **(bounds or {})}}
        program = Program("gateway", fields, self.folder)
        program.fields = fields
        self.programs.append(program)
        return program

    def side(self, number, app):
        ip = self.ip(number)
        fields = {"nodeName": f"side-{number}", "ip": ip, "app": app,
                  "portRange": [self.base + 4, self.base + 16]}
        program = Program("sidecar", fields, self.folder)
        self.programs.append(program)
        return program

    def close(self):
        for program in self.programs:
            program.end()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def until_ready(program, within=15.0):
    """Waits until GET /v1/ready answers 200."""
    host, port = program.fields["listen"]["ready"].split(":")
    end = time.monotonic() + within
    while time.monotonic() < end:
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            if head and " 200 " in head[0] + " ":
                return
        except (OSError, asyncio.TimeoutError):
            pass
        await asyncio.sleep(0.05)
    raise CannotRun(f"{program.name} is not ready after {within} s")


def manifest(version, routes, services, tenants):
    return {"version": version, "routes": routes, "services": services, "tenants": tenants,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


def main(case, folder):
    """Runs a case, `case(record, trouble)` -> (broken, summary); exits as the issue asks."""
    name = sys.argv[1] if len(sys.argv) > 1 else "record.txt"
    record = Record(os.path.join(folder, name))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code = 2

    async def bounded():
        # Channels that are still open at the end are cancelled; that is nothing to report.
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(
            lambda at, what: isinstance(what.get("exception"), asyncio.CancelledError)
            or at.default_exception_handler(what))
        # A run that is told to stop still ends the processes that it started.
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, asyncio.current_task().cancel)
        return await asyncio.wait_for(case(record, trouble), 115)

    try:
        broken, summary = asyncio.run(bounded())
        code = 1 if broken else 0
        text = f"{'BROKEN' if broken else 'held'}: {summary}"
    except CannotRun as why:
        text = f"could not run: {why}"
    except asyncio.TimeoutError:
        text = "could not run: not done within its time"
    except asyncio.CancelledError:
        text = "could not run: it was told to stop"
    except Exception as why:  # A fault of the script itself is no broken rule.
        text = f"could not run: {why!r}"
    record.line(text)
    record.close()
    print(text)
    raise SystemExit(code)
