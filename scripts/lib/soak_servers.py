"""Backend servers for the soak: of a plain service, and of a model in groups of one. They
follow the platform's protocol, and for a part of the requests they misbehave as it allows."""

import asyncio
import hashlib
import json
import time

from soak_http import Broken, message, read_body, read_head, reset

EVENTS = 3  # Of a stream.
CHUNK = 30  # Bytes of a piece when an answer is written slowly.
# Troubles after which the request has not run.
NOT_RUN = ["refuse", "refuse-again", "refuse-429", "misdirect", "reset-before", "close-before",
           "early-refusal", "refuse-in-pieces"]
# Troubles in which it runs.
RUN = ["answer-again", "reset-after", "cut-answer", "fail-500", "fail-503", "unsigned-503",
       "stall", "late-run", "interim", "garbage", "early-answer", "leave", "in-pieces"]


class Server:
    """One server with an address of its own. `world` has the store, the ledger and the
    random source; `share` is the part of its requests that meets a trouble."""

    def __init__(self, world, service, slots=6, is_model=False):
        self.world = world
        self.service = service
        self.slots = slots
        self.is_model = is_model
        self.share = world.share
        self.padding = b""  # Follows the digest in every whole answer.
        self.events = EVENTS
        self.event_padding = b""  # Follows the digest in every event.
        self.id = world.new_id("i")
        self.born = int(time.time() * 1000)
        self.port = 0
        self.running = 0
        self.orders = 0
        self.group = None
        self.is_down = False
        self.links = set()
        self.tasks = set()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port,
                                                  limit=1 << 22)
        self.port = self._server.sockets[0].getsockname()[1]
        self.register()

    async def restart(self, down_s, keeps_id):
        """Ends all at once and starts again at the same address."""
        if self.is_down:
            return
        self.is_down = True
        self._server.close()
        for writer in list(self.links):
            reset(writer)
        for task in list(self.tasks):
            task.cancel()
        await asyncio.sleep(down_s)
        if not keeps_id:
            self.unregister()
            self.id = self.world.new_id("i")
        self.born, self.running, self.orders, self.group = int(time.time() * 1000), 0, 0, None
        await self.start()
        self.is_down = False

    def register(self, state="ready"):
        entry = {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": "zone-a",
                 "version": "soak", "slots": self.slots, "state": state,
                 "cold_remaining_ms": 0, "born": self.born, **self.describe()}
        self.world.store.put("servers", self.id, json.dumps(entry).encode())

    def unregister(self):
        self.world.store.put("servers", self.id, None)

    def describe(self):
        if not self.is_model:
            return {"sequence": self.orders}
        fields = {"domain": self.service + str(self.port % 2), "models": [], "staged": ["m0"],
                  "busy": False, "sequence": self.orders}
        if self.group:
            fields["group"] = {**self.group, "rank": 0}
            fields["models"] = [{"name": "m0", "version": 1, "adapters": []}]
        return fields

    def is_open(self):
        return not self.is_model or (self.group and self.group["state"] == "open")

    def break_group(self):
        """The group breaks; the node in control ends it and forms another one here."""
        if self.group:
            self.group["state"] = "broken"
            self.register()

    def _later(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _serve(self, reader, writer):
        link = Link(self, reader, writer)
        self.links.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while await link.serve_one():
                pass
        except (Broken, ConnectionError, asyncio.CancelledError):
            pass  # The node has left, or the server restarts.
        finally:
            self.tasks.discard(task)
            self.links.discard(writer)
            if not link.is_ended:
                writer.close()

    async def take_order(self, order):
        """Carries out an order of the node in control. Returns the status."""
        operation, name = order.get("operation"), order.get("group")
        mine = self.group and (self.group["name"], self.group["epoch"]) == (
            name, order.get("epoch"))
        if operation == "join" and not mine:
            self.group = {"name": name, "epoch": order["epoch"], "state": "ready"}
        elif operation == "open" and mine:
            self.group["state"] = "open"
        elif operation == "close" and mine:
            self.group["state"] = "ready"
        elif operation == "leave" and mine:
            self.group = None
        else:
            return 200 if operation in ("stage", "join") else 409
        self.orders += 1
        self.register()
        return 202


class Link:
    """One connection to a server. `stray` holds late bytes that are written before the next
    answer, if time has not written them before."""

    def __init__(self, server, reader, writer):
        self.server = server
        self.world = server.world
        self.reader = reader
        self.writer = writer
        self.stray = b""
        self.is_answering = False
        self.is_ended = False

    def end(self, is_reset):
        self.is_ended = True
        if is_reset:
            reset(self.writer)
        else:
            self.writer.close()
        return False

    async def send(self, data):
        """Writes an answer behind the stray bytes."""
        stray, self.stray = self.stray, b""
        self.writer.write(stray + data)
        await self.writer.drain()

    async def send_in_pieces(self, data):
        for at in range(0, len(data), CHUNK):
            await self.send(data[at:at + CHUNK])
            await asyncio.sleep(self.world.random.choice([0, 0.001, 0.02]))

    def repeat(self, data, attempt):
        """Arranges for an answer to be written once more, late: whole or cut off, with or
        without the request's id."""
        draw = self.world.random
        if draw.random() < 0.4:
            data = data.replace(f"Attempt-Id: {attempt}\r\n".encode(), b"")
        if draw.random() < 0.5:
            data = data[:draw.randrange(8, len(data))]
        if draw.random() < 0.5:
            self.stray = data
        else:
            self.server._later(self._write_late(data, draw.expovariate(1 / 0.1)))

    async def _write_late(self, data, delay_s):
        await asyncio.sleep(delay_s)
        if not self.is_ended and not self.is_answering:
            self.writer.write(data)

    async def serve_one(self):
        """Serves one request. Returns whether the connection goes on."""
        head = await read_head(self.reader)
        if head is None:
            return False
        server, (line, headers) = self.server, head
        path = line.split(" ")[1]
        if headers.get("expected-instance", server.id) != server.id:
            await read_body(self.reader, headers)
            return await self.refuse(headers, 421)
        if path.startswith("/-/") or path == "/health":
            return await self._serve_control(path, headers)
        trouble = None
        if self.world.random.random() < server.share:
            trouble = self.world.random.choice(NOT_RUN + RUN)
            self.world.ledger.count(trouble)
        return await self._serve_request(headers, trouble)

    async def _serve_control(self, path, headers):
        server, body = self.server, await read_body(self.reader, headers)
        status, answer = 200, {**server.describe(), "stage": "both", "running": server.running,
                               "waiting": 0, "pace": 1.0, "born": server.born}
        if path == "/-/order":
            status, answer = await server.take_order(json.loads(body)), {}
        await self.send(message(f"HTTP/1.1 {status} X", {"Content-Type": "application/json"},
                                json.dumps(answer).encode()))
        return True

    async def refuse(self, headers, status, body=b""):
        self.is_answering = True
        await self.send(self._refusal(headers, status, body))
        self.is_answering = False
        return True

    def _refusal(self, headers, status, body=b""):
        """The order of the headers differs, as a cut copy ends behind any of them."""
        named = {"Attempt-Id": headers.get("attempt-id", "")}
        marks = {"Not-Executed": "1", "At-Server": self.server.id,
                 "Server-Load": f"{self.server.running},0,{self.server.slots}"}
        fields = {**named, **marks} if self.world.random.random() < 0.5 else {**marks, **named}
        return message(f"HTTP/1.1 {status} Refused", fields, body)

    async def _serve_request(self, headers, trouble):
        if trouble == "early-refusal":
            await self.refuse(headers, 503)
            await read_body(self.reader, headers)
            return True
        if trouble == "reset-before":
            await asyncio.sleep(self.world.random.choice([0, 0.01]))
            return self.end(is_reset=True)
        if trouble == "close-before":
            return self.end(is_reset=False)
        if trouble == "early-answer":
            return await self._answer_early(headers)
        body = await read_body(self.reader, headers)
        is_full = self.server.running >= self.server.slots
        if is_full or not self.server.is_open() or trouble == "refuse":
            return await self.refuse(headers, 503)
        if trouble in ("refuse-429", "misdirect"):
            return await self.refuse(headers, 429 if trouble == "refuse-429" else 421)
        if trouble == "refuse-in-pieces":
            self.is_answering = True
            await self.send_in_pieces(self._refusal(headers, 503, b"full"))
            self.is_answering = False
            return True
        if trouble == "refuse-again":
            refusal = self._refusal(headers, self.world.random.choice([503, 503, 421, 429]))
            await self.send(refusal)
            self.repeat(refusal, headers["attempt-id"])
            return True
        self.is_answering = True
        self.server.running += 1
        try:
            return await self._run(headers, body, trouble)
        finally:
            self.server.running -= 1
            self.is_answering = False

    async def _answer_early(self, headers):
        """Answers before the body is read, and reads on later."""
        self.is_answering = True
        attempt = headers["attempt-id"]
        request = self.world.ledger.requests.get(attempt)
        answer = self._answer(headers, request.digest if request else "")
        self._note_run(attempt, request.digest if request else "")
        await self.send(answer)
        self.is_answering = False
        await asyncio.sleep(0.05)
        await read_body(self.reader, headers)
        return True

    def _note_run(self, attempt, digest):
        self.world.ledger.ran(attempt, self.server.id, digest)

    def _answer(self, headers, digest, status=200, is_signed=True):
        attempt = headers["attempt-id"]
        fields = {"Attempt-Id": attempt}
        if is_signed:
            fields["Response-Signature"] = f"{self.server.id}.{attempt}"
        fields["Server-Load"] = f"{self.server.running},0,{self.server.slots}"
        return message(f"HTTP/1.1 {status} X", fields, digest.encode() + self.server.padding)

    async def _run(self, headers, body, trouble):
        attempt, draw = headers["attempt-id"], self.world.random
        digest = hashlib.sha256(body).hexdigest()
        if trouble == "late-run":
            await asyncio.sleep(draw.uniform(0.2, 2))
            self._note_run(attempt, digest)
            return self.end(is_reset=True)
        self._note_run(attempt, digest)
        if trouble == "stall":
            await asyncio.sleep(draw.uniform(0.3, 3))
        await asyncio.sleep(draw.expovariate(1 / 0.015))
        if headers.get("accept") == "text/event-stream":
            first = int(headers.get("last-event-id", 0)) + 1
            return await self._stream(attempt, digest, first, trouble)
        answer = self._answer(headers, digest)
        if trouble == "reset-after":
            return self.end(is_reset=True)
        if trouble == "cut-answer":
            await self.send(answer[:draw.randrange(1, len(answer))])
            return self.end(is_reset=draw.random() < 0.5)
        if trouble == "garbage":
            await self.send(draw.choice([b"\x00\x01garbage\r\n\r\n", b"HTTP/1.1 20", b"\r\n\r\n"]))
            return self.end(is_reset=False)
        if trouble in ("fail-500", "fail-503", "unsigned-503"):
            status = 500 if trouble == "fail-500" else 503
            await self.send(self._answer(headers, digest, status, trouble != "unsigned-503"))
            return True
        if trouble == "interim":
            await self.send(draw.choice([b"HTTP/1.1 100 Continue\r\n\r\n",
                                         b"HTTP/1.1 103 Early Hints\r\nNot-Executed: 1\r\n\r\n"]))
            await asyncio.sleep(draw.choice([0, 0.01]))
        if trouble == "in-pieces":
            await self.send_in_pieces(answer)
            return True
        if trouble == "leave":
            answer = answer.replace(b"X\r\n", b"X\r\nConnection: close\r\n", 1)
            await self.send(answer)
            return self.end(is_reset=False)
        await self.send(answer)
        if trouble == "answer-again":
            self.repeat(answer, attempt)
        return True

    async def _stream(self, attempt, digest, first, trouble):
        """Answers with a stream of three events, or with those from the first one on."""
        draw = self.world.random
        head = ("HTTP/1.1 200 OK\r\n"
                f"Attempt-Id: {attempt}\r\nResponse-Signature: {self.server.id}.{attempt}\r\n"
                "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
        if trouble == "reset-after":
            return self.end(is_reset=True)
        await self.send(head.encode())
        for number in range(first, self.server.events + 1):
            if trouble == "cut-answer" and draw.random() < 0.5:
                return self.end(is_reset=draw.random() < 0.5)
            event = (f"id: {number}\ndata: {digest}".encode() + self.server.event_padding +
                     b"\n\n")
            await self.send(b"%x\r\n%b\r\n" % (len(event), event))
            await asyncio.sleep(draw.expovariate(1 / 0.02))
        await self.send(b"0\r\n\r\n")
        return True
