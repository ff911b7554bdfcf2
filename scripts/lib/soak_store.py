"""The platform's store for the soak: rows in tables, one version counter, and troubles."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from soak_http import Broken, message, read_body, read_head, reset


class Store:
    """Linearizable rows. `trouble` is None, "reset", "busy" or "silent"; `delay_s` slows
    every answer. A read of a table is answered in pages of `page_rows` rows."""

    def __init__(self, page_rows=500):
        self.page_rows = page_rows
        self.rows = {}  # (table, key) -> (version, value or None)
        self.version = 0
        self.trouble = None
        self.delay_s = 0.0
        self.port = 0
        self._changed = asyncio.Event()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, table, key, value):
        """Writes a row of bytes, or removes it where the value is None."""
        self.version += 1
        self.rows[(table, key)] = (self.version, value)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                body = await read_body(reader, head[1])
                if self.trouble == "reset":
                    break
                if self.trouble == "silent":
                    await asyncio.sleep(5)
                    break
                await asyncio.sleep(self.delay_s)
                status, answer = await self._answer(head[0].split(" "), body)
                writer.write(message(f"HTTP/1.1 {status} X",
                                     {"Content-Type": "application/json"},
                                     json.dumps(answer).encode()))
                await writer.drain()
        except (Broken, ConnectionError):
            pass  # A node has left, or ended in the middle of a call.
        finally:
            reset(writer)

    async def _answer(self, line, body):
        if self.trouble == "busy":
            return 503, {}
        url = urlsplit(line[1])
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/-/rows-get":
            rows = [(table, key, *row) for (table, key), row in sorted(self.rows.items())
                    if table == query["table"] and row[1] is not None
                    and key >= query.get("from", "")]
            return 200, {**self._page(rows[:self.page_rows]),
                         "truncated": len(rows) > self.page_rows}
        if url.path == "/-/rows-feed":
            return 200, await self._feed(query["table"], int(query["after"]),
                                         int(query.get("wait_ms", 0)) / 1000)
        if url.path == "/-/rows-tx":
            return self._transact(json.loads(body))
        return 404, {}

    async def _feed(self, table, after, wait_s):
        end = time.monotonic() + wait_s
        while True:
            changed = sorted((row[0], key, row[1]) for (of, key), row in self.rows.items()
                             if of == table and row[0] > after)
            left = end - time.monotonic()
            if changed or left <= 0:
                return self._page([(table, key, version, value)
                                   for version, key, value in changed])
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _transact(self, call):
        def current(entry):
            version, value = self.rows.get((entry["table"], entry["key"]), (0, None))
            return 0 if value is None else version
        if any(current(entry) != entry["version_number"] for entry in call.get("expected", [])):
            return 412, self._page([])
        for entry in call.get("writes", []):
            self.put(entry["table"], entry["key"],
                     base64.b64decode(entry["value"]))
        for entry in call.get("remove", []):
            self.put(entry["table"], entry["key"], None)
        return 200, self._page([])

    def _page(self, rows):
        def shown(table, key, version, value):
            row = {"table": table, "part": "", "key": key, "version_number": version}
            if value is None:
                return {**row, "tombstone": True}
            return {**row, "value": base64.b64encode(value).decode()}
        return {"version_number": self.version, "now_ms": int(time.monotonic() * 1000),
                "rows": [shown(*row) for row in rows], "truncated": False}
