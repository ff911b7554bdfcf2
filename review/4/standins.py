"""Stand-ins of the platform for this case, on loopback addresses: the metadata store, which can
turn single machines away, and servers of a plain service. Both follow PROTOCOL.md."""

import base64
import json
import socketserver
import threading
import time
from http.server import BaseHTTPRequestHandler
from urllib.parse import parse_qs, urlsplit


class Server(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True

    def handle_error(self, request, client_address):
        """A caller has left: nothing to do."""


def serve(address, handler):
    server = Server((address, 0), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


class Store:
    """Rows in tables, a single version counter, linearizable answers."""

    def __init__(self, address):
        self.address = address
        self.lock = threading.Condition()
        self.version = 0
        self.rows = {}  # (table, key) -> (version, value or None)

    def open_door(self):
        """Opens an address for one machine. Its mode is "ok", "busy" (503) or "silent"."""
        store = self
        door = Door()

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *_):
                pass

            def answer(self, status, body):
                text = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(text)))
                self.end_headers()
                self.wfile.write(text)

            def is_turned_away(self):
                if door.mode == "silent":
                    time.sleep(20)
                    self.close_connection = True
                    return True
                if door.mode == "busy":
                    self.answer(503, {})
                    return True
                return False

            def do_GET(self):
                door.reads += 1
                if self.is_turned_away():
                    return
                url = urlsplit(self.path)
                query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
                if url.path == "/-/rows-get":
                    self.answer(200, store.get(query["table"]))
                elif url.path == "/-/rows-feed":
                    changes = store.feed(query["table"], int(query["after"]),
                                         int(query.get("wait_ms", 0)))
                    if not self.is_turned_away():
                        self.answer(200, changes)
                        door.served.add(query["table"])
                else:
                    self.answer(404, {})

            def do_POST(self):
                body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                if not self.is_turned_away():
                    self.answer(*store.transact(body))

        door.port = serve(self.address, Handler).server_address[1]
        return door

    def body(self, rows):
        return {"version_number": self.version, "now_ms": int(time.monotonic() * 1000),
                "rows": rows, "truncated": False}

    @staticmethod
    def row(table, key, version, value):
        row = {"table": table, "part": "", "key": key, "version_number": version}
        if value is None:
            row["tombstone"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def put(self, table, key, value):
        """Writes a row, or removes it if the value is None. Returns when it was acknowledged."""
        with self.lock:
            self.version += 1
            self.rows[(table, key)] = (self.version, value)
            self.lock.notify_all()
            return time.monotonic()

    def get(self, table):
        with self.lock:
            return self.body([self.row(t, k, *r) for (t, k), r in sorted(self.rows.items())
                              if t == table and r[1] is not None])

    def feed(self, table, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        with self.lock:
            while True:
                changed = sorted((r[0], k, r[1]) for (t, k), r in self.rows.items()
                                 if t == table and r[0] > after)
                left = end - time.monotonic()
                if changed or left <= 0:
                    return self.body([self.row(table, k, v, value) for v, k, value in changed])
                self.lock.wait(left)

    def transact(self, call):
        with self.lock:
            def current(entry):
                version, value = self.rows.get((entry["table"], entry["key"]), (0, None))
                return 0 if value is None else version
            if any(current(e) != e["version_number"] for e in call.get("expected", [])):
                return 412, self.body([])
            self.version += 1
            for entry in call.get("writes", []):
                self.rows[(entry["table"], entry["key"])] = (
                    self.version, base64.b64decode(entry["value"]))
            for entry in call.get("remove", []):
                self.rows[(entry["table"], entry["key"])] = (self.version, None)
            self.lock.notify_all()
            return 200, self.body([])


class Door:
    """The way of one machine to the store."""
    mode = "ok"
    port = 0
    reads = 0

    def __init__(self):
        self.served = set()  # the tables of which changes were served since this was cleared


class PlainServer:
    """A server of a plain service. It notes when each request reaches it."""

    def __init__(self, address, name):
        self.name = name
        self.arrivals = []  # (time, Attempt-Id)
        server = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *_):
                pass

            def do_GET(self):
                attempt = self.headers.get("Attempt-Id", "")
                if self.headers.get("Expected-Instance", server.name) != server.name:
                    self.send_response(421)
                    self.send_header("Not-Executed", "1")
                elif not attempt:
                    self.send_response(200)
                    self.send_header("Instance", server.name)
                else:
                    server.arrivals.append((time.monotonic(), attempt))
                    self.send_response(200)
                    self.send_header("Response-Signature", f"{server.name}.{attempt}")
                self.send_header("Attempt-Id", attempt)
                self.send_header("Content-Length", "0")
                self.end_headers()

        self.port = serve(address, Handler).server_address[1]
