"""Stand-ins of the platform for the cases 6 to 9: store, engines, load balancer and clients, on loopback.

They speak the interfaces of PROTOCOL.md over HTTP/1.1 and run in one process, on one event loop. The entries run as
processes of their own, started with the command of deploy/system.toml.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
HOST = "rope.example"
HEARTBEAT_S = 1.2
ROW_LIFETIME_S = 3 * HEARTBEAT_S
REVOKE_S = 5.0
CONFIG_APPLY_S = 2.0


FIRST_PORT, LAST_PORT = 20_000, 31_000  # below the ports that the system gives to outgoing connections
given_ports = set()
started_processes = []


def is_free(port):
    try:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind((LOOPBACK, port))
            udp.bind((LOOPBACK, port))
        return port not in given_ports
    except OSError:
        return False


def free_port(count=1):
    """Returns the first of `count` free ports in a row, which are not given out again."""
    while True:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        row = range(port, port + count)
        if all(is_free(port) for port in row):
            given_ports.update(row)
            return port


class Record:
    """Writes what is sent, answered and run, one line each, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")


class Message:
    """A request or a response: its first line, its headers with names in lower case, and its body."""

    def __init__(self, first, headers, body=b""):
        self.first = first
        self.headers = headers
        self.body = body


async def read_head(reader):
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += piece[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


def encode(status, headers, body):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Server:
    """An HTTP server; `respond(message, writer)` returns the bytes to send, or None if it has written itself."""

    def __init__(self, respond):
        self.respond = respond
        self.port = 0
        self.server = None
        self.writers = set()

    async def open(self):
        self.port = self.port or free_port()
        self.server = await asyncio.start_server(self.serve, LOOPBACK, self.port, limit=1 << 22)
        return self.port

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_head(reader)
                message.body = await read_body(reader, message.headers)
                answer = await self.respond(message, writer)
                if answer is not None:
                    writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, ValueError):
            pass
        except asyncio.CancelledError:
            pass  # the case has ended
        finally:
            self.writers.discard(writer)
            writer.close()

    def reset(self):
        """Resets the open connections and refuses new ones."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """The platform's metadata store with its tables, versions, feeds, copies and eras."""

    def __init__(self, record, era=1):
        self.record = record
        self.rows = {}
        self.version = 0
        self.era = era
        self.history_from = 0
        self.copies = []
        self.is_away = False
        self.last_conditional = b""  # the value of the last row that was written under a condition
        self.changed = asyncio.Event()
        self.server = Server(self.respond)
        self.start = time.monotonic()

    def put(self, table, key, value):
        self.version += 1
        text = None if value is None else base64.b64encode(value).decode()
        self.rows[(table, key)] = (text, self.version)
        self.changed.set()
        self.changed = asyncio.Event()

    def get(self, table, key):
        text, _ = self.rows.get((table, key), (None, 0))
        return None if text is None else base64.b64decode(text)

    async def take_copies(self):
        """Copies the rows four times a second and keeps the copies of the last 20 seconds."""
        while True:
            if not self.is_away:
                self.copies.append((time.monotonic(), dict(self.rows), self.version))
                self.copies = self.copies[-80:]
            await asyncio.sleep(0.25)

    def leave(self):
        self.is_away = True
        self.server.reset()
        self.changed.set()
        self.changed = asyncio.Event()
        self.record.line("store: away")

    async def come_back(self, age_s=None):
        """Comes back; with an age, from the copy of so many seconds ago and in the next era."""
        if age_s is not None:
            at = time.monotonic() - age_s
            copy = [copy for copy in self.copies if copy[0] <= at][-1]
            self.rows, self.version = dict(copy[1]), copy[2]
            self.era += 1
            self.copies = []
        self.is_away = False
        await self.server.open()
        held = json.loads(self.get("op", "config") or b"{}").get("version")
        self.record.line(f"store: back, era {self.era}, configuration {held}")

    def answer(self, status, doc):
        body = json.dumps(doc).encode()
        return encode(status, [("Content-Type", "application/json"), ("Store-Era", self.era)], body)

    def rows_doc(self, table, after=None):
        found = sorted(
            ((key, text, version) for (of, key), (text, version) in self.rows.items()
             if of == table and (text is not None if after is None else version > after)),
            key=lambda row: row[0] if after is None else row[2],
        )
        rows = []
        for key, text, version in found:
            row = {"table": table, "part": "", "key": key, "ver": version}
            row.update({"tombstone": True} if text is None else {"value": text})
            rows.append(row)
        now_ms = (time.monotonic() - self.start) * 1000
        return {"rows": rows, "hasMore": False, "ver": self.version, "nowMs": now_ms}

    async def respond(self, message, _):
        await asyncio.sleep(0.004)
        method, target, _ = message.first.split(" ", 2)
        path, _, query = target.partition("?")
        values = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
        if path == "/rows-get":
            return self.answer(200, self.rows_doc(values["table"]))
        if path == "/rows-feed":
            return await self.feed(values["table"], int(values["after"]), int(values["waitMs"]) / 1000)
        if path == "/rows-tx":
            return self.transact(json.loads(message.body))
        return self.answer(404, {})

    async def feed(self, table, after, wait_s):
        era = self.era
        end = time.monotonic() + wait_s
        if after > self.version:
            return self.answer(410, {})
        while not self.rows_doc(table, after)["rows"]:
            left = end - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                break
            if self.is_away or self.era != era:
                raise ConnectionError
        return self.answer(200, self.rows_doc(table, after))

    def transact(self, doc):
        for check in doc["precondition"]:
            text, version = self.rows.get((check["table"], check["key"]), (None, 0))
            if (version if text is not None else 0) != check["ver"]:
                return self.answer(412, {"rows": []})
        if any(row["table"] in ("op", "servers") for row in doc["writes"]):
            return self.answer(403, {})
        for row in doc["writes"]:
            self.put(row["table"], row["key"], base64.b64decode(row["value"]))
            if doc["precondition"]:
                self.last_conditional = base64.b64decode(row["value"])
        return self.answer(200, {"ver": self.version, "nowMs": (time.monotonic() - self.start) * 1000})


class Operator:
    """Writes configurations to the store, and writes the newest one again when the store has lost it."""

    def __init__(self, store, record):
        self.store = store
        self.record = record
        self.newest = None

    def write(self, doc):
        self.newest = doc
        self.store.put("op", "config", json.dumps(doc).encode())
        self.record.line(f"operator: configuration {doc['version']} acknowledged")
        return time.monotonic()

    def write_again(self):
        self.store.put("op", "config", json.dumps(self.newest).encode())
        self.record.line(f"operator: configuration {self.newest['version']} written again")


class Endpoint:
    """An engine of a plain service, which registers itself and runs each request that is meant for it."""

    def __init__(self, store, record, name, service, zone):
        self.store, self.record = store, record
        self.id = f"i-{name}"
        self.service, self.zone = service, zone
        self.born = int(time.time() * 1000) - random.randrange(60_000)
        self.beats = 0
        self.state = "ready"
        self.is_registered = True
        self.server = Server(self.respond)
        self.runs = []
        self.answer_headers = []
        self.work_s = 0.02

    def row(self):
        return json.dumps({
            "service": self.service, "address": f"{LOOPBACK}:{self.server.port}", "zone": self.zone, "version": "1.0",
            "slots": 6, "state": self.state, "coldLeftMs": 0, "seq": self.beats, "born": self.born,
        }).encode()

    async def beat(self):
        while True:
            if self.is_registered and not self.store.is_away:
                self.beats += 1
                self.store.put("servers", self.id, self.row())
            await asyncio.sleep(HEARTBEAT_S)

    async def respond(self, message, writer):
        headers = message.headers
        request = headers.get("x-request-id")
        expected = headers.get("x-expect-instance")
        if expected not in (None, self.id):
            return encode(421, [("X-Not-Executed", "1"), ("X-Request-Id", request or "")], b"")
        if not request:
            return encode(400, [("X-Not-Executed", "1")], b"")
        self.runs.append((time.monotonic(), request))
        self.record.line(f"{self.id}: runs {request}, tenant {headers.get('x-tenant')}")
        await asyncio.sleep(self.work_s)
        body = f"done {request}".encode()
        signed = [("X-Request-Id", request), ("X-Response-Signature", f"s.{self.id}.{request}")]
        return encode(200, signed + self.answer_headers, body)


async def lapse_rows(store):
    """Removes the rows of engines that have not been written for three heartbeats while the store was there."""
    seen = {}
    while True:
        await asyncio.sleep(0.1)
        now = time.monotonic()
        if store.is_away:
            continue
        for (table, key), (text, version) in list(store.rows.items()):
            if table != "servers" or text is None:
                continue
            mark = (store.era, version)
            if seen.get(key, (None, 0))[0] != mark:
                seen[key] = (mark, now)
            elif now - seen[key][1] > ROW_LIFETIME_S:
                store.put(table, key, None)


class Entry:
    """A process of the system, started with the command of the deploy file."""

    def __init__(self, folder, record, name, zone, store_port, **settings):
        self.record, self.name, self.zone = record, name, zone
        self.path = Path(folder) / f"{name}.conf"
        self.front, self.ready = free_port(), free_port()
        first = free_port(16)
        values = {
            "nodeName": name, "role": "entry", "machineClass": "front", "serves": "front", "ip": LOOPBACK, "zone": zone,
            "region": "maule", "listen.front": f"{LOOPBACK}:{self.front}", "listen.ready": f"{LOOPBACK}:{self.ready}",
            "portRange": f"{first},{first + 15}", "bootstrap": "true", "limits.cpuShare": "0.19", "limits.cores": "1",
            "limits.memoryMb": "260", "limits.maxFds": "4100", "heartbeatMs": "1200", "bounds.stableWindowMs": "3000",
            "bounds.drainMs": "2000", "bounds.graceS": "8", "bounds.configApplyMs": "2000",
            "bounds.revokeWhenPartitioned": "true", "bounds.revokeMs": "5000", "bounds.retryBudgetRatio": "0.2",
            "bounds.budgetWindowS": "10", "bounds.budgetSlack": "202", "bounds.recoverS": "12",
            "platform.address": f"{LOOPBACK}:{store_port}", "platform.form": "table",
        }
        values.update(settings)
        self.path.write_text("".join(f"{key}={value}\n" for key, value in values.items()))
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        role = next(role for role in deploy["roles"].values() if "front" in role["serves"])
        self.command = role["run"].split()
        self.process = None
        self.starts = 0

    def change_setting(self, name, value):
        """Sets a value in the settings file, as the platform does when the settings change."""
        lines = self.path.read_text().splitlines()
        others = [line for line in lines if not line.startswith(f"{name}=")]
        self.path.write_text("\n".join(others + [f"{name}={value}", ""]))
        self.record.line(f"{self.name}: settings file: {name}={value}")

    async def start(self):
        self.starts += 1
        log = open(self.path.with_suffix(f".{self.starts}.log"), "w")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["DANDELIONROAD_BOOT"] = str(self.path)
        self.process = await asyncio.create_subprocess_exec(
            *self.command, cwd=REPOSITORY, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        started_processes.append(self.process)
        log.close()
        self.record.line(f"{self.name}: started")

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)
            self.record.line(f"{self.name}: {signal.Signals(number).name}")

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
            self.record.line(f"{self.name}: killed")

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(exchange(self.ready, "GET", "/ready", {}), 0.9)
            return answer.first.split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


class Balancer:
    """Asks each entry once a second whether it is ready; two misses take it out until it is ready again.

    It sends callers to the entries that are in, and to all entries of a zone of which fewer than half are in.
    """

    def __init__(self, entries, record):
        self.entries, self.record = entries, record
        self.misses = {entry.name: 2 for entry in entries}

    def sends_to(self, entry):
        zone = [other for other in self.entries if other.zone == entry.zone]
        return self.takes(entry) or 2 * sum(self.takes(other) for other in zone) < len(zone)

    async def run(self):
        while True:
            started = time.monotonic()
            for entry in self.entries:
                is_ready = await entry.is_ready()
                was_in = self.takes(entry)
                self.misses[entry.name] = 0 if is_ready else self.misses[entry.name] + 1
                if was_in != self.takes(entry):
                    self.record.line(f"balancer: {entry.name} {'in' if self.takes(entry) else 'out'}")
            await asyncio.sleep(max(0.0, 1.0 - (time.monotonic() - started)))

    def takes(self, entry):
        return self.misses[entry.name] < 2


async def exchange(port, method, path, headers, body=b"", wait_s=10.0):
    """Sends a request on a connection of its own and returns the whole answer."""
    async def run():
        reader, writer = await asyncio.open_connection(LOOPBACK, port, limit=1 << 22)
        try:
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            lines += [f"Content-Length: {len(body)}", "", ""]
            writer.write("\r\n".join(lines).encode() + body)
            message = await read_head(reader)
            message.body = await read_body(reader, message.headers)
            return message
        finally:
            writer.close()
    return await asyncio.wait_for(run(), wait_s)


class Client:
    """Sends calls with an API key, each on a connection of its own, and keeps when each was sent."""

    def __init__(self, record, name, key):
        self.record, self.name, self.key = record, name, key
        self.count = 0
        self.sent = {}
        self.statuses = {}

    async def call(self, port, path="/book/x", method="POST", deadline_ms=1500):
        self.count += 1
        request = f"{self.name}-{self.count}"
        headers = {
            "X-Request-Id": request, "X-Deadline-Ms": deadline_ms, "Authorization": f"Bearer {self.key}",
        }
        self.sent[request] = time.monotonic()
        try:
            answer = await exchange(port, method, path, headers, b"{}", deadline_ms / 1000 + 0.5)
            status = int(answer.first.split(" ")[1])
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, IndexError, ValueError) as error:
            status = type(error).__name__
        self.statuses[request] = status
        self.record.line(f"{self.name}: {request} to port {port}: {status}")
        return status


class Deployment:
    """A small deployment: a store, an operator, three engines of a plain service and two entries in each of three zones."""

    ZONES = ("talca", "constitucion", "curico")

    def __init__(self, record, folder):
        self.record, self.folder = record, folder
        self.store = Store(record)
        self.operator = Operator(self.store, record)
        self.endpoints = [Endpoint(self.store, record, f"{zone}-1", "orders", zone) for zone in self.ZONES]
        self.entries = []
        self.balancer = None
        self.tasks = []

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.append(task)
        return task

    async def start(self, first_config, wait_s=15.0):
        """Starts everything; raises unless all entries take callers in time."""
        await self.store.server.open()
        for endpoint in self.endpoints:
            await endpoint.server.open()
            self.spawn(endpoint.beat())
        self.spawn(self.store.take_copies())
        self.spawn(lapse_rows(self.store))
        for zone in self.ZONES:
            for number in (1, 2):
                name = f"front-{zone}-{number}"
                self.entries.append(Entry(self.folder, self.record, name, zone, self.store.server.port))
        for entry in self.entries:
            await entry.start()
        await asyncio.sleep(1.0)
        self.operator.write(first_config)
        self.balancer = Balancer(self.entries, self.record)
        self.spawn(self.balancer.run())
        end = time.monotonic() + wait_s
        while not all(self.balancer.takes(entry) for entry in self.entries):
            if time.monotonic() > end:
                raise RuntimeError("not all entries are ready")
            await asyncio.sleep(0.1)

    def last_writer(self):
        """Returns the entry that last wrote to the store under a condition, by the name in what it wrote."""
        written = self.store.last_conditional.decode()
        found = [entry for entry in self.entries if f"{entry.name}/" in written]
        expect(len(found) == 1, f"no entry is named in {written}")
        return found[0]

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for entry in self.entries:
            await entry.kill()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def expect(is_true, text):
    """Raises if the case can't go on as planned, which is no finding about the system."""
    if not is_true:
        raise RuntimeError(text)


def config(version, tenants, **changes):
    """Returns a configuration with one plain service and its two routes."""
    route = lambda prefix, kind, attempts: {
        "name": prefix.strip("/"), "host": HOST, "prefix": prefix, "kind": kind, "service": "orders",
        "timeoutMs": 4000, "targetLatencyMs": 300, "gapAimMs": 200, "priority": 2, "maxAttempts": attempts,
    }
    doc = {
        "version": version,
        "routes": [route("/book/", "unsafe", 1), route("/stock/", "safe", 2)],
        "services": [{"name": "orders", "maxConns": 110}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1000000, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": name, "apiKeys": keys} for name, keys in tenants.items()],
    }
    doc.update(changes)
    return doc


def end_started():
    """Ends the processes that were started and have not ended, also if the event loop was stopped by a signal."""
    for process in started_processes:
        if process.returncode is None:
            try:
                os.kill(process.pid, signal.SIGKILL)
            except ProcessLookupError:
                pass


def run_case(folder, play, limit_s=110):
    """Plays a case: `play(record, folder, has_trouble)` returns the faults that it found. Exits as the issue states."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # the entries are ended in that case, too
    record = Record(Path(folder) / "record.txt")
    work = tempfile.mkdtemp(prefix="review-")
    try:
        faults = asyncio.run(asyncio.wait_for(play(record, work, has_trouble), limit_s))
    except (Exception, KeyboardInterrupt) as error:  # the case could not run
        record.line(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    finally:
        end_started()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {work}")
        else:
            shutil.rmtree(work, ignore_errors=True)
    for fault in faults:
        record.line(f"BROKEN {fault}")
        print(fault)
    if not faults:
        record.line("held")
        print("held")
    sys.exit(1 if faults else 0)
