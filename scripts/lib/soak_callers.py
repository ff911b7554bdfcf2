"""Callers for the soak. Each keeps its connection to a node for as long as it holds."""

import asyncio
import os
import re

from soak_http import Broken, chunks, message, read_body, read_head, reset
from soak_ledger import Request
from soak_servers import EVENTS

OK = 200
# How long after its deadline a caller still waits for an answer, in seconds.
PATIENCE_S = 1.0


class Caller:
    """Sends one request after the other to the nodes, by turns."""

    def __init__(self, world):
        self.world = world
        self.reader = self.writer = None

    async def work(self):
        """Sends requests until the world ends."""
        draw = self.world.random
        while not self.world.is_over:
            await asyncio.sleep(draw.expovariate(1 / self.world.pause_s))
            try:
                if self.writer is None:
                    await self._connect()
                await asyncio.wait_for(self._exchange(), 6)
            except (Broken, OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                    ValueError):
                self._close()  # No answer promises nothing.
        self._close()

    async def _connect(self):
        node = self.world.random.choice(self.world.nodes)
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(node.ip, node.ports["callers"], limit=1 << 20), 1)

    def _close(self):
        if self.writer is not None:
            reset(self.writer)
        self.reader = self.writer = None

    def _make(self):
        """Draws a request. Returns it with its headers and body."""
        world, draw = self.world, self.world.random
        route = draw.choices(["book", "look", "flip", "once", "draft", "note"],
                             [45, 10, 15, 10, 10, 10])[0]
        size = draw.choices([600, 100_000, 1_500_000], [96, 3, 1])[0]
        body = os.urandom(size // 2).hex().encode()
        request = Request(world.new_id("a"), route, body, world.judge(route))
        deadline = draw.choice([300, 1000, 1500, 4000])
        headers = {"Host": "desk.example", "Attempt-Id": request.attempt,
                   "Deadline-Remaining": deadline}
        if route in ("once", "draft", "note"):
            headers["Accept"] = "text/event-stream"
        if route in ("draft", "note"):
            headers.update({"Model": "m0", "Token-Counts": "100,30"})
        return request, headers, body, deadline / 1000

    async def _exchange(self):
        request, headers, body, deadline_s = self._make()
        self.world.ledger.sent(request)
        data = message(f"POST /{request.kind}/x HTTP/1.1", headers, body)
        self.writer.write(data)
        if self.world.random.random() < 0.05:
            await asyncio.sleep(self.world.random.uniform(0, 0.1))
            self._close()  # Gives up at once.
            return
        head = await asyncio.wait_for(read_head(self.reader), deadline_s + PATIENCE_S)
        if head is None:
            raise Broken("closed without an answer")
        line, answered = head
        status = int(line.split(" ")[1])
        if answered.get("transfer-encoding") == "chunked":
            text = b"".join([part async for part in chunks(self.reader)])
            events = re.findall(rb"id: (\d+)\ndata: (\w+)\n\n", text)
            is_whole = events == [(b"%d" % number, request.digest.encode())
                                  for number in range(1, EVENTS + 1)]
        else:
            text = await read_body(self.reader, answered)
            is_whole = text == request.digest.encode()
        request.status = status
        is_own = (answered.get("response-signature", "").endswith(request.attempt) and
                  answered.get("attempt-id") == request.attempt)
        if status == OK and not (is_whole and is_own):
            request.problem = "MIXED"
        if answered.get("connection") == "close":
            self._close()
