"""Stand-ins for the script of this folder: the platform's store, servers and
clients, in one process, on loopback addresses and the real clock. They speak what
PROTOCOL.md says. Entry nodes are the project's own program, started as the deploy file
says, each as a process of its own."""

import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "briarglade")
HOST = "models.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
HEARTBEAT_S = 1.2


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self._file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self._began = time.monotonic()

    def __call__(self, text):
        self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
        self._file.flush()

    def close(self):
        self._file.close()


class Message:  # pylint: disable=too-few-public-methods
    """A request or an answer; the first line is split at its blanks."""

    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    def header(self, name):
        return self.headers.get(name.lower(), "")


async def read_message(reader):
    """Returns the next message; nothing if the connection ended before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif int(headers.get("content-length", "0")) > 0:
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(lines[0].split(" ", 2), headers, body)


def encode(first, headers, body):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class HttpStandIn:
    """Serves HTTP on one port; handle() returns status, headers and body."""

    def __init__(self, port=0):
        self.port = port
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, reuse_address=True)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        """Ends as a process does that crashes: all connections are reset."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                status, headers, body = await self.handle(message)
                writer.write(encode(f"HTTP/1.1 {status} X", headers, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError,
                asyncio.CancelledError, RuntimeError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def handle(self, message):
        raise NotImplementedError


class Store(HttpStandIn):
    """The metadata store: rows, transactions of one part, and feeds."""

    def __init__(self):
        super().__init__()
        self.version = 0
        self.rows = {}
        self.history = []
        self._changed = asyncio.Event()

    def put(self, table, key, value):
        self.version += 1
        self._set(table, key, value)

    def _set(self, table, key, value):
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[(table, key)] = (value, self.version)
        self.history.append((self.version, table, key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    def text(self, table, key):
        """Returns the value of a row as text, or nothing."""
        row = self.rows.get((table, key))
        return base64.b64decode(row[0]).decode() if row else None

    def put_json(self, table, key, value):
        self.put(table, key, base64.b64encode(json.dumps(value).encode()).decode())

    def _answer(self, status, fields):
        fields["version_number"] = self.version
        fields["now_ms"] = int(time.monotonic() * 1000)
        return status, {"Content-Type": "application/json"}, json.dumps(fields).encode()

    async def handle(self, message):
        path, _, query = message.first[1].partition("?")
        wanted = dict(part.partition("=")[::2] for part in query.split("&") if part)
        await asyncio.sleep(0.004)
        if path == "/-/rows-get":
            table = wanted["table"]
            rows = [{"table": table, "part": "", "key": key, "value": value,
                     "version_number": version}
                    for (of, key), (value, version) in sorted(self.rows.items())
                    if of == table]
            return self._answer(200, {"rows": rows, "truncated": False})
        if path == "/-/rows-feed":
            return await self._feed(wanted["table"], int(wanted["after"]),
                                    int(wanted.get("wait_ms", "0")) / 1000)
        if path == "/-/rows-tx":
            return self._transact(json.loads(message.body))
        return 404, {}, b""

    async def _feed(self, table, after, wait_s):
        end = time.monotonic() + wait_s
        while True:
            last = {}
            for version, of, key, value in self.history:
                if of == table and version > after:
                    last.pop(key, None)
                    last[key] = (version, value)
            if last or time.monotonic() >= end:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), end - time.monotonic())
            except asyncio.TimeoutError:
                pass
        rows = []
        for key, (version, value) in last.items():
            row = {"table": table, "part": "", "key": key, "version_number": version}
            row.update({"tombstone": True} if value is None else {"value": value})
            rows.append(row)
        return self._answer(200, {"rows": rows})

    def _transact(self, call):
        for row in call.get("expected", []):
            known = self.rows.get((row["table"], row["key"]))
            if (known[1] if known else 0) != row["version_number"]:
                return self._answer(412, {"rows": []})
        self.version += 1
        for row in call.get("writes", []):
            self._set(row["table"], row["key"], row["value"])
        for row in call.get("remove", []):
            self._set(row["table"], row["key"], None)
        return self._answer(200, {})


class Server(HttpStandIn):
    """What all servers do: they register themselves in the store, crash, and come back as
    a new incarnation with a new id at the same address."""

    def __init__(self, store, record, server_id, zone, phase_s=0.0):
        super().__init__()
        self.store, self.record, self.id, self.zone = store, record, server_id, zone
        self.phase_s = phase_s
        self.born = 0
        self.sequence = 0
        self.is_up = False
        self.beat_at = 0.0
        self._beats = None

    async def start(self):
        await super().start()
        self.begin()

    def begin(self):
        self.is_up = True
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.announce()
        self._beats = asyncio.ensure_future(self._beat())

    def fields(self):
        return {}

    def entry(self):
        return {"address": f"127.0.0.1:{self.port}", "zone": self.zone, "version": "1",
                "state": "ready", "cold_remaining_ms": 0, "born": self.born,
                "sequence": self.sequence, **self.fields()}

    def announce(self):
        self.sequence += 1
        self.beat_at = time.monotonic()
        self.store.put_json("servers", self.id, self.entry())

    async def _beat(self):
        await asyncio.sleep(self.phase_s)
        while True:
            self.announce()
            await asyncio.sleep(HEARTBEAT_S)

    async def crash(self):
        """Crashes. The store removes the entry after three heartbeats of silence."""
        self.is_up = False
        self._beats.cancel()
        self.record(f"server {self.id} crashes")
        asyncio.ensure_future(self._expire(self.id))
        await self.stop()

    async def _expire(self, server_id):
        await asyncio.sleep(self.beat_at + 3 * HEARTBEAT_S - time.monotonic())
        self.store.put("servers", server_id, None)
        self.record(f"store removes the entry of {server_id}")

    async def come_back(self, server_id):
        self.record(f"server {self.id} is back as {server_id} at 127.0.0.1:{self.port}")
        self.id = server_id
        await self.start()


class ModelServer(Server):
    """A host of replica groups. Like those of the users' bench, it answers a report
    whoever the question names, and refuses orders and requests for another server."""

    def __init__(self, store, record, server_id, zone, domain, models, **more):
        super().__init__(store, record, server_id, zone, **more)
        self.domain, self.models = domain, models
        self.staged = []
        self._forget()

    def _forget(self):
        self.group, self.last_model, self.orders = None, None, 0
        self.fence, self.lowest = 0, 0

    def begin(self):
        self._forget()
        super().begin()

    def fields(self):
        fields = {"service": "models", "slots": 26, "domain": self.domain,
                  "staged": list(self.staged), "models": []}
        if self.group:
            fields["group"] = {"name": self.group["group"], "epoch": self.group["epoch"],
                               "rank": self.group["members"].index(self.id),
                               "state": self.group["state"]}
            if self.group["state"] != "joining":
                fields["models"] = [{"name": self.group["model"], "version": 1,
                                     "adapters": []}]
        return fields

    async def handle(self, message):
        method, path = message.first[0], message.first[1]
        if path == "/-/report":
            report = {"stage": "both", "busy": False, "waiting": 0, "running": 0,
                      "kv_used": 0, "kv_total": 100000, "handles": 0, "pace": 1.0,
                      "born": self.born, **self.fields(), "sequence": self.orders}
            return 200, {"Content-Type": "application/json"}, json.dumps(report).encode()
        if message.header("Expected-Instance") not in ("", self.id):
            return 421, {"Not-Executed": "1", "At-Server": self.id}, b""
        if method == "POST" and path == "/-/order":
            status = self._take(json.loads(message.body))
            return status, {}, b""
        return 503, {"Not-Executed": "1", "At-Server": self.id}, b""

    def _take(self, order):
        operation = order["operation"]
        fence = order.get("fencing_token", 0)
        if fence < self.fence:
            return 412
        self.fence = max(self.fence, fence)
        if order.get("expected", self.orders) != self.orders:
            return 409
        status = getattr(self, "_" + operation)(order)
        if status == 202:
            self.orders += 1
            self.record(f"{self.id} takes {json.dumps(order)}")
            self.announce()
        return status

    def _is_mine(self, order):
        return self.group and (self.group["group"], self.group["epoch"]) == (
            order["group"], order["epoch"])

    def _later(self, seconds, change):
        group, born = self.group, self.born

        async def run():
            await asyncio.sleep(seconds)
            if self.is_up and self.group is group and self.born == born:
                change()
                self.announce()
        asyncio.ensure_future(run())

    def _join(self, order):
        if order["epoch"] < self.lowest:
            return 412
        if self._is_mine(order):
            return 200 if self.group["members"] == order["members"] else 412
        self.lowest = order["epoch"]
        model = order["model"]
        times = self.models[model]
        wait = (0.2 if self.last_model == model else
                times["warm_s"] if model in self.staged else times["load_s"])
        self.last_model, self.staged = model, [model]
        self.group = {**order, "state": "joining"}
        self._later(wait, lambda: self.group.update(state="ready"))
        return 202

    def _open(self, order):
        if not self._is_mine(order) or self.group["members"][0] != self.id:
            return 409
        if self.group["state"] == "open" or self.group.get("opening"):
            return 200
        if self.group["state"] != "ready":
            return 409
        self.group["opening"] = True
        self._later(0.3, lambda: self.group.update(state="open"))
        return 202

    def _close(self, order):
        if not self._is_mine(order):
            return 409
        self.group["state"] = "ready"
        return 202

    def _leave(self, order):
        if not self._is_mine(order):
            return 409
        self.group = None
        return 202

    def _stage(self, order):
        if order["model"] in self.staged:
            return 200
        self.staged = [order["model"]]
        return 202


class DeskServer(Server):
    """A server of a plain service: runs each request for `work_s`, answers `size` bytes."""

    def __init__(self, store, record, server_id, zone, work_s, size=800, **more):
        super().__init__(store, record, server_id, zone, **more)
        self.work_s, self.size = work_s, size
        self.runs = {}

    def fields(self):
        return {"service": "desk", "slots": 40}

    async def handle(self, message):
        if message.first[1] == "/health":
            return 200, {"Instance": self.id}, b""
        if message.first[1] == "/-/report":
            report = json.dumps({"born": self.born, "sequence": 0}).encode()
            return 200, {"Content-Type": "application/json"}, report
        attempt = message.header("Attempt-Id")
        if message.header("Expected-Instance") not in ("", self.id) or not attempt:
            return 421, {"Not-Executed": "1", "Attempt-Id": attempt}, b""
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        self.record(f"{self.id} runs {attempt}")
        await asyncio.sleep(self.work_s)
        body = (attempt.encode() + b".") * (self.size // 17 + 1)
        return 200, {"Attempt-Id": attempt, "Response-Signature": f"s.{attempt}",
                     "Content-Type": "text/plain"}, body[:self.size]


def configuration(models=None, timeout_ms=4000):
    """The operators' configuration; `models` maps names to size, load_s and warm_s."""
    services = [{"name": "desk", "health_path": "/health", "max_connections": 110}]
    routes = [{"name": "book", "host": HOST, "prefix": "/book/", "service": "desk",
               "kind": "non_idempotent", "timeout_ms": timeout_ms, "goal_ms": 400,
               "attempts": 1, "priority": 2}]
    if models:
        engine = {"slots": 26, "kv_capacity_tokens": 2470000, "step_ms": 6.45,
                  "per_seq_ms": 0.0967, "read_per_s": 56100, "chunk": 2048, "stride": 6,
                  "loads_per_s": 4, "loads_at_once": 8, "retains": 1, "formation_ms": 300,
                  "models": [{"name": name, "pace": 1.0, "share": 1.0 / len(models), **model}
                             for name, model in models.items()]}
        services.append({"name": "models", "health_path": "/health",
                         "max_connections": 344, "engine": engine})
        routes.append({"name": "write", "host": HOST, "prefix": "/write/",
                       "service": "models", "kind": "streaming", "resumable": True,
                       "gap_target_ms": 250, "timeout_ms": 8000, "goal_ms": 400,
                       "attempts": 2, "priority": 1})
    return {"version": 3, "routes": routes, "services": services,
            "tenants": [{"name": TENANT, "api_keys": [KEY]}],
            "limits": {"header_bytes": 8192, "body_bytes": 4194304,
                       "header_timeout_ms": 4000, "idle_timeout_ms": 10000}}


SETTINGS = """\
node_name = "{name}"
role = "entry"
machine_class = "front"
serves = ["front", "directory"]
ip = "{ip}"
zone = "{zone}"
region = "wa-south"
internal_ports = [{peers}, {metrics}]
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform","gangs"]
[zones]
perth-a = "wa-south"
bunbury-b = "wa-south"
albany-c = "wa-south"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
directory = "{ip}:{directory}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
file_descriptors = 4100
link_mbps = 1000.0
[bounds]
contact_ms = 3000
configuration_ms = 2000
drain_ms = 2000
grace_s = {grace_s}
stall_ms = 6000
budget_ratio = 0.2
budget_window_s = 10
budget_slack = 134
cold_factor = 1.5
cold_slack = 5
fence_checked = true
ceiling_window_s = 5
ceiling_factor = 1.1
ttl_max_s = 5
[platform]
address = "127.0.0.1:{store}"
form = "table"
"""


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Node:
    """One `briarglade serve`, with settings like the platform's."""

    def __init__(self, name, zone, store_port, folder, record, grace_s=8):
        self.name, self.record = name, record
        names = ["front", "ready", "directory", "peers", "metrics"]
        self.ports = dict(zip(names, free_ports(len(names))))
        path = os.path.join(folder, name + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(SETTINGS.format(name=name, ip="127.0.0.1", zone=zone,
                                       store=store_port, grace_s=grace_s, **self.ports))
        self.log_path = os.path.join(folder, name + ".log")
        with open(self.log_path, "wb") as log:
            self.popen = subprocess.Popen(
                [PROGRAM, "serve"], cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""), "BRIARGLADE_CONFIG": path})

    def code(self):
        """Returns the exit code, or nothing while it runs."""
        return self.popen.poll()

    def terminate(self):
        self.record(f"{self.name} gets SIGTERM")
        self.popen.send_signal(signal.SIGTERM)

    def end(self):
        if self.popen.poll() is None:
            self.popen.kill()
        self.popen.wait()

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            return file.read()

    async def get(self, port, path):
        """Returns status and body of a call, or nothing."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ports[port])
            writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            answer = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return (int(answer.first[1]), answer.body.decode()) if answer else None
        except (OSError, asyncio.TimeoutError):
            return None

    async def is_ready(self):
        answer = await self.get("ready", "/-/readiness")
        return answer is not None and answer[0] == 200

    async def metric(self, name):
        answer = await self.get("metrics", "/metrics")
        for line in (answer[1] if answer else "").splitlines():
            if line.split(" ")[0].endswith(name):
                return float(line.split(" ")[1])
        return None


async def wait_for(what, condition, seconds):
    """Waits until a condition holds. Raises CannotRun if it does not."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if await condition():
            return
        await asyncio.sleep(0.1)
    raise CannotRun(what)


class CannotRun(Exception):
    """The case couldn't run."""


def has_trouble():
    """Returns whether the disruption is to happen: run.sh says so by its word."""
    if sys.argv[1:] not in (["trouble"], ["calm"]):
        raise CannotRun("to be started by run.sh")
    return sys.argv[1] == "trouble"


def run_case(case):
    # What the stand-ins still do when a case is over is of no interest.
    loop = asyncio.new_event_loop()
    loop.set_exception_handler(lambda *_: None)
    try:
        return loop.run_until_complete(asyncio.wait_for(case, 110))
    finally:
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        if tasks:
            loop.run_until_complete(asyncio.wait(tasks, timeout=1))
        loop.close()


def main(folder, case):
    """Runs a case; `case(record, temporary folder, ended)` returns whether the rule held.
    `ended` collects what has an end() to be called. KEEP_IN names a folder in which the
    nodes' logs and settings are to stay."""
    record = Record(folder)
    nodes = []
    code = 2

    def give_up(*_):
        raise CannotRun("it took too long")
    signal.signal(signal.SIGALRM, give_up)
    signal.alarm(115)
    try:
        if not os.path.exists(PROGRAM):
            raise CannotRun("target/briarglade is not built")
        with tempfile.TemporaryDirectory(prefix="review-2-") as temporary:
            if os.environ.get("KEEP_IN"):
                temporary = os.environ["KEEP_IN"]
            try:
                held = run_case(case(record, temporary, nodes))
                code = 0 if held else 1
            finally:
                for node in nodes:
                    node.end()
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        record(f"couldn't run: {error!r}")
    record(f"exit {code}: " + ["the rule held", "the rule was broken", "couldn't run"][code])
    record.close()
    return code
