"""Stand-ins for the platform's store, engines and clients, and the program under test as processes.

Everything listens on loopback. What is sent, answered and run goes to the record of the case.
"""
import asyncio
import base64
import ipaddress
import json
import os
import random
import shutil
import signal
import socket
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PROGRAM = "target/release/dandelionroad-site"
HEARTBEAT_S = 1.2
EXPIRY_S = 3 * HEARTBEAT_S
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"

# A loopback network of its own for each run, so that runs side by side do not meet.
NETWORK = ipaddress.ip_address(f"127.{random.randint(20, 250)}.{random.randint(1, 250)}.0")


class CannotRun(Exception):
    """The case could not be carried out."""


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def free_pair(host):
    """Returns the first of two free consecutive ports."""
    for _ in range(200):
        first = free_port(host)
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((host, first + 1))
                udp.bind((host, first))
            except (OSError, OverflowError):
                continue
            return first
    raise CannotRun("no free ports")


class Record:
    """The record of a run: one line an event, with the time since the start in milliseconds."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def add(self, event, /, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now() * 1000:9.0f} {event} {text}\n")
        self.file.flush()


async def read_head(reader):
    """Reads the head of a message; returns the first line and the headers, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines[1:] if ":" in line)
    return lines[0], {name.strip().lower(): value.strip() for name, value in pairs}


async def read_chunks(reader):
    """Yields the chunks of a body."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        return b"".join([chunk async for chunk in read_chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", 0)))


def message(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class HttpServer:
    """A server with one handler for each request, `handle(request, writer)`."""

    def __init__(self, host, port=0):
        self.host = host
        self.port = port or free_port(host)
        self.server = None
        self.writers = set()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def open(self):
        self.server = await asyncio.start_server(self._connected, self.host, self.port)

    def abort(self):
        """Stops listening and resets all connections."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _connected(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                await self.handle(Request(method, target, head[1], body), reader, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, query = target.partition("?")
        self.query = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        self.headers = headers
        self.body = body

    @property
    def id(self):
        return self.headers.get("x-request-id", "")


class Store(HttpServer):
    """The platform's store: rows with versions, conditional writes and the feed of changes."""

    def __init__(self):
        super().__init__(str(NETWORK + 1))
        self.rows = {}
        self.version = 0
        self.started = time.monotonic()
        self.changed = asyncio.Event()

    def put(self, table, key, document):
        self.write(table, key, base64.b64encode(json.dumps(document).encode()).decode())

    def remove(self, table, key):
        if (table, key) in self.rows and self.rows[table, key]["value"] is not None:
            self.write(table, key, None)

    def write(self, table, key, value):
        self.version += 1
        self.rows[table, key] = {"value": value, "ver": self.version}
        self.changed.set()
        self.changed = asyncio.Event()

    def documents(self, table, keep):
        found = []
        for (of, key), row in sorted(self.rows.items()):
            if of != table or not keep(row):
                continue
            document = {"table": table, "part": "", "key": key, "ver": row["ver"]}
            if row["value"] is None:
                document["tombstone"] = True
            else:
                document["value"] = row["value"]
            found.append(document)
        return found

    def reply(self, status, rows=None):
        body = {"ver": self.version, "nowMs": int((time.monotonic() - self.started) * 1000)}
        if rows is not None:
            body |= {"rows": rows, "hasMore": False}
        return message(status, [("Content-Type", "application/json")], json.dumps(body).encode())

    async def handle(self, request, _reader, writer):
        await asyncio.sleep(0.004)
        if request.path == "/rows-get":
            table, first = request.query["table"], request.query.get("from", "")
            rows = self.documents(table, lambda row: row["value"] is not None)
            rows = [row for row in rows if not first or row["key"] > first.removesuffix("%00")]
            writer.write(self.reply(200, rows))
        elif request.path == "/rows-feed":
            table, after = request.query["table"], int(request.query["after"])
            until = time.monotonic() + int(request.query["waitMs"]) / 1000
            while True:
                rows = self.documents(table, lambda row: row["ver"] > after)
                left = until - time.monotonic()
                if rows or left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
            writer.write(self.reply(200, rows))
        elif request.path == "/rows-tx":
            writer.write(self.transact(json.loads(request.body)))
        else:
            writer.write(message(404))

    def transact(self, call):
        for check in call.get("precondition", []):
            row = self.rows.get((check["table"], check["key"]))
            held = row["ver"] if row and row["value"] is not None else 0
            if held != check["ver"]:
                return self.reply(412, [])
        for row in call.get("writes", []):
            self.write(row["table"], row["key"], row["value"])
        return self.reply(200)


class Engine(HttpServer):
    """An engine of a service; `layer_mb` and `layers` are set for an engine of a model."""

    def __init__(self, fleet, number, service, zone="talca", kind=None, mb=0, port=0, host=None):
        super().__init__(host or str(NETWORK + 20 + number), port)
        self.fleet = fleet
        self.id = f"i-{service}-{number}"
        self.service, self.zone, self.kind, self.mb = service, zone, kind, mb
        self.held = (0, 0)
        self.orders = 0
        self.is_busy = False
        self.running = 0
        self.slots = 64
        self.state, self.version = "ready", "v1"
        # A line of `text/event-stream` ends with LF, CR or CRLF.
        self.line_end = "\n"
        self.beats = None
        self.born = 0
        self.last_beat = 0.0
        self.expiry = None

    @property
    def spec(self):
        return self.fleet.models.get(self.service)

    async def start(self):
        """Starts an incarnation, which holds and knows nothing of an earlier one."""
        if self.expiry:
            self.expiry.cancel()
        self.held, self.orders, self.is_busy, self.running = (0, 0), 0, False, 0
        self.born = int(time.time() * 1000)
        await self.open()
        self.fleet.record.add("engine-start", engine=self.id, address=self.address)
        self.beats = asyncio.create_task(self._beat())

    def crash(self):
        """Ends at once; the entry in the store expires three heartbeat intervals after the last beat."""
        self.beats.cancel()
        self.abort()
        self.fleet.record.add("engine-crash", engine=self.id)
        loop = asyncio.get_running_loop()
        left_s = max(0.0, self.last_beat + EXPIRY_S - time.monotonic())
        self.expiry = loop.call_later(left_s, self.fleet.store.remove, "servers", self.id)

    async def drain(self, drain_s=2.0):
        """Leaves as planned: serves on for the drain bound and a little longer, then ends."""
        self.state = "draining"
        self.list()
        self.fleet.record.add("engine-draining", engine=self.id)
        await asyncio.sleep(drain_s + 1.0)
        while self.running:
            await asyncio.sleep(0.05)
        self.beats.cancel()
        self.abort()
        self.fleet.store.remove("servers", self.id)
        self.fleet.record.add("engine-end", engine=self.id)

    async def _beat(self):
        while True:
            self.last_beat = time.monotonic()
            self.list()
            await asyncio.sleep(HEARTBEAT_S)

    def list(self):
        document = {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": self.version, "slots": self.slots, "state": self.state, "coldLeftMs": 0, "seq": self.orders,
            "born": self.born,
        }
        if self.kind:
            document |= {"kind": self.kind, "stage": "unified", "models": self.models(), "layers": self.layers()}
        self.fleet.store.put("servers", self.id, document)

    def models(self):
        return [{"name": self.spec["models"][0]["name"], "version": 1, "adapters": []}]

    def layers(self):
        return {"from": self.held[0], "target": self.held[1], "version": 1}

    async def handle(self, request, reader, writer):
        expected = request.headers.get("x-expect-instance")
        if request.path == "/report":
            report = {
                "stage": "unified", "models": self.models() if self.kind else [], "busy": self.is_busy,
                "seq": self.orders, "waiting": 0, "running": self.running, "kvUsed": 0,
                "kvTotal": 100000, "handles": 0, "layers": self.layers(), "kind": self.kind,
                "stalled": [], "pace": 1.0, "born": self.born,
            }
            writer.write(message(200, [("Content-Type", "application/json")], json.dumps(report).encode()))
        elif expected not in (None, self.id):
            self.fleet.record.add("misdirected", engine=self.id, expected=expected, path=request.path)
            writer.write(message(421, [("X-Instance-Id", self.id), ("X-Not-Executed", "1")]))
        elif request.path == "/order":
            writer.write(message(self.order(json.loads(request.body))))
        elif not request.id:
            writer.write(message(400, [("X-Not-Executed", "1")]))
        else:
            await self.serve(request, reader, writer)

    def order(self, order):
        if not self.kind:
            return 400
        if self.is_busy or order.get("precondition") not in (None, self.orders):
            return 409
        size = order["target"] - order["from"]
        self.fleet.record.add("order", engine=self.id, layers=f"{order['from']}-{order['target']}")
        self.orders += 1
        if size * self.spec["layerMb"] > self.mb:
            self.fleet.violations.append(
                f"LIMIT: {self.id} ({self.kind}, {self.mb} MB) is ordered to hold {size} layers of "
                f"{self.spec['layerMb']} MB"
            )
            asyncio.get_running_loop().call_later(0.05, self.crash)
            return 202
        self.is_busy = True
        asyncio.create_task(self._load(order))
        return 202

    async def _load(self, order):
        size = order["target"] - order["from"]
        born = self.born
        await asyncio.sleep(self.spec["models"][0]["loadS"] * size / self.spec["layers"])
        if self.server and self.born == born:
            self.held, self.is_busy = (order["from"], order["target"]), False
            self.list()

    def answer_headers(self, request):
        return [("X-Request-Id", request.id), ("X-Response-Signature", f"{self.id}.{request.id}")]

    async def serve(self, request, reader, writer):
        """Serves a client's request; a stream if the service has a model, else a whole body."""
        if self.kind:
            await self.serve_stream(request, reader, writer)
        else:
            await self.serve_call(request, reader, writer)

    async def serve_call(self, request, reader, writer, work_s=0.03):
        self.fleet.record.add("run", id=request.id, engine=self.id)
        self.running += 1
        try:
            await asyncio.sleep(work_s)
        finally:
            self.running -= 1
        writer.write(message(200, self.answer_headers(request), f"done {request.id}".encode()))

    async def serve_stream(self, request, reader, writer, events=25, gap_s=0.02):
        chain = request.headers.get("x-hop-count", f"{self.address}=0-{self.spec['layers']}")
        first = chain.split(",")[0]
        address, _, layers = first.partition("=")
        start, _, end = layers.partition("-")
        if address != self.address or int(start) < self.held[0] or int(end) > self.held[1]:
            writer.write(message(421, [("X-Not-Executed", "1"), ("At-Server", self.address)]))
            return
        self.fleet.record.add("run", id=request.id, engine=self.id)
        self.running += 1
        try:
            headers = self.answer_headers(request)
            headers += [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
            lines = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in headers]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            after = int(request.headers.get("last-event-id", 0))
            for number in range(after + 1, events + 1):
                await asyncio.sleep(gap_s)
                lines = [f"id: {number}", f"data: {request.id} token {number}", "", ""]
                data = self.line_end.join(lines).encode()
                writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                await writer.drain()
                await self.sent_event(request, number)
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1

    async def sent_event(self, request, number):
        """Called after each event of a stream."""


class Front:
    """A process of the program, started with the command of the deploy file."""

    def __init__(self, fleet, number, zone="talca", **settings):
        self.fleet = fleet
        self.name = f"front-{zone}-{number}"
        self.host = str(NETWORK + 2 + number)
        self.port, self.ready_port = free_port(self.host), free_port(self.host)
        ports = free_pair(self.host)
        bounds = {
            "seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 3000, "ackMs": 4000, "catchUpS": 4,
            "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
            "rollbackSlackMs": 250, "outerMs": 5000, "revokeWhenPartitioned": "true",
            "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 202,
            "recoverS": 12, "passMs": 120, "againS": 0, "stall_ms": 2000, "requireFence": "false",
        }
        lines = {
            "nodeName": self.name, "role": "entry", "machineClass": "front", "serves": "front",
            "ip": self.host, "zone": zone, "region": "maule", f"zones.{zone}": "maule",
            "listen.front": f"{self.host}:{self.port}", "listen.ready": f"{self.host}:{self.ready_port}",
            "portRange": f"{ports},{ports + 1}", "bootstrap": "true", "limits.cpuShare": 0.19,
            "limits.cores": 1, "limits.memoryMb": 260, "limits.maxFds": 4100, "discovery": "platform",
            "entry": "virtual_ip", "heartbeatMs": int(HEARTBEAT_S * 1000),
            "platform.address": fleet.store.address, "platform.form": "table",
            "platform.rowBytes": 65536, "platform.historyS": 20,
        }
        lines |= {f"bounds.{name}": value for name, value in (bounds | settings).items()}
        self.settings = fleet.folder / f"{self.name}.conf"
        self.settings.write_text("".join(f"{name}={value}\n" for name, value in lines.items()))
        self.process = None

    async def start(self):
        log = open(self.fleet.folder / f"{self.name}.log", "a")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["DANDELIONROAD_BOOT"] = str(self.settings)
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log
        )
        self.fleet.record.add("front-start", name=self.name)

    def signal(self, number):
        self.fleet.record.add("signal", name=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.host, self.ready_port)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return bool(head) and " 200 " in head[0] + " "
        except (OSError, asyncio.TimeoutError):
            return False


class Answer:
    """What a client has seen of a request."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.is_whole = False

    def __str__(self):
        end = "whole" if self.is_whole else "cut" if self.status else "none"
        return f"status={self.status} end={end} bytes={len(self.body)}"


class Client:
    """A client that keeps its connection to one front."""

    def __init__(self, fleet, front):
        self.fleet, self.front = fleet, front
        self.reader = self.writer = None
        fleet.clients.append(self)

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def send(self, path, method="POST", headers=(), body=b"x" * 600, deadline_ms=4000, kind="call"):
        """Sends a request; returns its identifier and the answer."""
        number = self.fleet.next_request()
        answer = Answer()
        try:
            is_kept = self.writer is not None
            if not is_kept:
                connect = asyncio.open_connection(self.front.host, self.front.port)
                self.reader, self.writer = await asyncio.wait_for(connect, 1)
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {number}",
                     f"X-Deadline-Ms: {deadline_ms}", f"Authorization: Bearer {KEY}"]
            lines += [f"{name}: {value}" for name, value in headers]
            if body:
                lines.append(f"Content-Length: {len(body)}")
            self.fleet.record.add("sent", id=number, kind=kind, front=self.front.name, kept=is_kept)
            self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await asyncio.wait_for(self._receive(answer), deadline_ms / 1000 + 1)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError, OSError) as error:
            self.fleet.record.add("client-error", id=number, error=type(error).__name__)
        if not answer.is_whole or answer.headers.get("connection", "").lower() == "close":
            self.close()
        self.fleet.record.add("answered", id=number, kind=kind, seen=f"({answer})")
        return number, answer

    async def _receive(self, answer):
        head = await read_head(self.reader)
        if head is None:
            return
        answer.status, answer.headers = int(head[0].split(" ")[1]), head[1]
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            async for chunk in read_chunks(self.reader):
                answer.body += chunk
        else:
            left = int(answer.headers.get("content-length", 0))
            while left > 0:
                piece = await self.reader.read(left)
                if not piece:
                    return
                answer.body += piece
                left -= len(piece)
        answer.is_whole = True


class Fleet:
    """The deployment of a case."""

    def __init__(self, case_folder):
        self.record = Record(Path(case_folder) / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = Store()
        self.models = {}
        self.engines, self.fronts, self.clients = [], [], []
        self.violations = []
        self.requests = 0
        self.prefix = f"{random.getrandbits(32):08x}"

    def next_request(self):
        self.requests += 1
        return f"{self.prefix}{self.requests:08x}"

    def write_config(self, version, routes, services):
        for service in services:
            if "engine" in service:
                self.models[service["name"]] = service["engine"]
        self.store.put("op", "config", {
            "version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
        })
        self.record.add("config", version=version)

    async def wait_ready(self, limit_s=15):
        until = time.monotonic() + limit_s
        for front in self.fronts:
            while not await front.is_ready():
                if time.monotonic() > until or front.process.returncode is not None:
                    raise CannotRun(f"{front.name} did not become ready")
                await asyncio.sleep(0.2)

    async def wait_served(self, path, limit_s=25, **options):
        """Waits until a request on each front is served."""
        until = time.monotonic() + limit_s
        for front in self.fronts:
            while True:
                client = Client(self, front)
                _, answer = await client.send(path, kind="warm-up", **options)
                client.close()
                if answer.status == 200 and answer.is_whole:
                    break
                if time.monotonic() > until:
                    raise CannotRun(f"{path} was not served at {front.name} before the trouble")
                await asyncio.sleep(0.5)

    async def stop(self):
        for front in self.fronts:
            if front.process and front.process.returncode is None:
                front.process.kill()
                await front.process.wait()
        for engine in self.engines:
            if engine.beats:
                engine.beats.cancel()
            engine.abort()
        self.store.abort()
        for client in self.clients:
            client.close()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)


def route(prefix, kind, service, **fields):
    found = {
        "name": prefix.strip("/"), "host": HOST, "prefix": prefix, "kind": kind, "timeoutMs": 2000,
        "targetLatencyMs": 300, "priority": 1, "service": service, "public": False,
        "maxAttempts": 1 if kind == "unsafe" else 2,
    }
    if kind == "stream":
        found |= {"timeoutMs": 20000, "targetLatencyMs": 500, "sticky": True, "resumable": True,
                  "gapAimMs": 200}
    return found | fields


def model_service(name, layers=12, layer_mb=1000.0, kinds=(("card", 16000.0),), load_s=1.0):
    return {"name": name, "healthPath": "/health", "maxConns": 978, "protocol": "h1", "tls": False, "engine": {
        "slots": 64, "kvTokens": 100000, "kvTokenBytes": 120000, "linkMbps": 400000.0, "stride": 3,
        "models": [{"name": f"{name}-m", "pace": 1.0, "loadS": load_s, "warmS": 0.1}], "step_ms": 1.02,
        "per_seq_ms": 0.00714, "context_per_k": 0.00956, "read_per_s": 105000.0, "pairs_per_m": 0.309,
        "chunk": 512, "report_lag_ms": 200.0, "loadsPerS": 0.0, "loads_at_once": 5, "delays": [],
        "usual": {"prompt": 774, "answer": 203}, "layers": layers, "layerMb": layer_mb, "actBytes": 45900,
        "pipeMbps": 18000.0,
        "kinds": [{"name": kind, "mb": mb, "pace": 1.0, "readX": 1.0} for kind, mb in kinds],
    }}


def plain_service(name):
    return {"name": name, "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": False}


def prompt_headers(model, parts="5c1e07a2:40,91bd3f06:760", output=80):
    tokens = sum(int(part.split(":")[1]) for part in parts.split(","))
    return [("X-Model", model), ("X-Token-Counts", f"{tokens},{output}"), ("X-Prefix-Hash", parts)]


def run_case(case_folder, scenario):
    """Runs `scenario(fleet)`, which returns a list of broken rules, and exits as the cases do."""

    async def play():
        fleet = Fleet(case_folder)
        # The processes are ended also if the case itself is stopped.
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, asyncio.current_task().cancel)
        keep = os.environ.get("KEEP_LOGS")
        try:
            await fleet.store.open()
            found = await asyncio.wait_for(scenario(fleet), 115)
            return 1 if found else 0, found
        except Exception as error:
            # Any other exit code than 2 would be taken for a result.
            return 2, [f"could not run: {error!r}"]
        finally:
            await fleet.stop()
            if keep:
                shutil.copytree(fleet.folder, keep, dirs_exist_ok=True)
            shutil.rmtree(fleet.folder, ignore_errors=True)

    code, found = asyncio.run(play())
    with open(Path(case_folder) / "record.txt", "a") as record:
        for line in found or ["the rule held"]:
            record.write(f"result: {line}\n")
            print(line)
    raise SystemExit(code)
