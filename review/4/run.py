"""Case 4: the store turns one machine away for three seconds; then a server leaves, and its entry
is removed. Requests are taken by the other machines, which the store has served all the while."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

from standins import PlainServer, Store

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MODE = os.environ.get("MODE", "silent")
NET = f"127.{1 + os.getpid() // 200 % 200}.{1 + os.getpid() % 200}"
IP = f"{NET}.1"
CUT_S, DRAIN_S, CONTACT_S = 3.0, 2.0, 3.0
# How long after the machine has read the list of servers again the server leaves.
LEAVES_AFTER_S = [0.06, 0.09, 0.12, 0.1, 0.08, 0.11]
ZONES = ["zone-a", "zone-b", "zone-c"]
LINES = []


def record(text):
    LINES.append(text)


def free_ports(ip, count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((ip, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def settings(name, zone, ip, ports, store):
    front, ready, directory, control, first, last = ports
    return f"""
node_name = "{name}"
role = "entry"
machine_class = "front"
serves = ["front", "directory"]
ip = "{ip}"
zone = "{zone}"
region = "region-1"
internal_ports = [{min(first, last)}, {max(first, last)}]
seeds = []
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "stream", "tenants", "platform"]
[zones]
zone-a = "region-1"
zone-b = "region-1"
zone-c = "region-1"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
directory = "{ip}:{directory}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
file_descriptors = 4100
link_mbps = 1000.0
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = 8
configuration_ms = 2000
budget_ratio = 0.2
budget_window_s = 10
budget_slack = 134
cold_factor = 1.5
cold_slack = 5
stall_ms = 6000
fence_checked = true
ceiling_window_s = 5
ceiling_factor = 1.1
ttl_max_s = 5
[platform]
address = "{IP}:{store}"
form = "table"
"""


CONFIG = {
    "version": 7,
    "routes": [{"name": "look", "host": "desk.example", "prefix": "/look/", "service": "desk",
                "kind": "idempotent", "timeout_ms": 1000, "goal_ms": 100, "attempts": 2,
                "priority": 1}],
    "services": [{"name": "desk", "health_path": "/health", "max_connections": 110}],
    "tenants": [{"name": "hule930", "api_keys": ["n2ctnfzs989anu6wsjnb"]}],
    "limits": {"header_bytes": 8192, "body_bytes": 65536, "header_timeout_ms": 2000,
               "idle_timeout_ms": 10000}}


class Node:
    def __init__(self, number, store, folder, command):
        self.name = f"front-{number}"
        self.ip = f"{NET}.{10 + number}"
        self.door = store.open_door()
        self.ports = free_ports(self.ip, 6)
        path = os.path.join(folder, self.name + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings(self.name, ZONES[number % 3], self.ip, self.ports, self.door.port))
        with open(os.path.join(folder, self.name + ".log"), "wb") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log,
                                            env=dict(os.environ, BRIARGLADE_CONFIG=path))

    def is_ready(self):
        try:
            with socket.create_connection((self.ip, self.ports[1]), 1) as link:
                link.sendall(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                return link.recv(100).startswith(b"HTTP/1.1 200")
        except OSError:
            return False


class Client:
    """Asks one machine 25 times a second, on a kept connection."""

    def __init__(self, node):
        self.node, self.sent, self.answers, self.ends = node, 0, {}, False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        link = None
        while not self.ends:
            self.sent += 1
            try:
                if link is None:
                    link = socket.create_connection((self.node.ip, self.node.ports[0]), 1)
                    link.settimeout(2)
                link.sendall((f"GET /look/2f HTTP/1.1\r\nHost: desk.example\r\n"
                              f"Attempt-Id: {self.node.name}.{self.sent}\r\n"
                              "Deadline-Remaining: 1000\r\nKey: n2ctnfzs989anu6wsjnb\r\n"
                              "\r\n").encode())
                head = link.recv(65536)
                status = head[9:12].decode()
                if not head or b"connection: close" in head.lower():
                    link.close()
                    link = None
            except OSError:
                status, link = "none", None
            self.answers[status] = self.answers.get(status, 0) + 1
            time.sleep(0.04)


def holder(store):
    """The machine that last wrote to the store under a condition, as its rows tell."""
    for row in store.rows.values():
        if row[1] and b'"holder"' in row[1]:
            return json.loads(row[1])["holder"]
    return None


def play(delay, store, servers, nodes):
    """Turns a machine that reads the store's lists away (not the one that leads), then lets a
    server leave. Returns the late arrivals."""
    before = {n.name: n.door.reads for n in nodes}
    time.sleep(2)
    led = max((n for n in nodes if n.name != holder(store)),
              key=lambda n: n.door.reads - before[n.name])
    if TROUBLE:
        led.door.mode = MODE
    time.sleep(CUT_S)
    led.door.served.clear()
    led.door.mode = "ok"
    back = time.monotonic()
    while len(led.door.served) < 3 and time.monotonic() - back < 5:
        time.sleep(0.005)
    reads_after = time.monotonic() - back
    time.sleep(delay)
    leaver = servers.pop()
    gone = store.put("servers", leaver.name, None)
    # It goes on serving, as the pages say, at times for many seconds.
    time.sleep(DRAIN_S + 2)
    # Sent on by machines that were in touch: all but the one that was turned away.
    late = [(at - gone, who) for at, who in leaver.arrivals
            if at - gone > DRAIN_S and who.split(".")[0] != led.name]
    after = [at - gone for at, who in leaver.arrivals if at > gone and not who.startswith(led.name)]
    record(f"{led.name} turned away for {CUT_S if TROUBLE else 0} s, "
           f"reads the list of servers again {reads_after:.2f} s later; {leaver.name} gone {delay} s after that: "
           f"{len(after)} requests reached it after that from other machines, the last "
           f"{max(after, default=0) * 1000:.0f} ms after it was gone; {len(late)} too late")
    for since, who in late[:3]:
        record(f"  {who} reached it after {since * 1000:.0f} ms")
    time.sleep(CONTACT_S)
    return late


def main():
    store = Store(IP)
    store.put("op", "config", json.dumps(CONFIG).encode())
    servers = [PlainServer(IP, f"i-{n:02d}d9e6b4") for n in range(len(LEAVES_AFTER_S) + 3)]
    entries = {}
    for server in servers:
        entries[server.name] = {
            "service": "desk", "address": f"{IP}:{server.port}", "zone": "zone-a", "version": "1",
            "slots": 6, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
            "born": int(time.time() * 1000)}
        store.put("servers", server.name, json.dumps(entries[server.name]).encode())
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        command = tomllib.load(file)["roles"]["entry"]["run"].split(" ")
    with tempfile.TemporaryDirectory() as folder:
        nodes = [Node(number, store, folder, command) for number in range(1, 7)]
        try:
            end = time.monotonic() + 20
            while not all(node.is_ready() for node in nodes) or holder(store) is None:
                if time.monotonic() > end:
                    raise RuntimeError("the machines didn't get ready")
                time.sleep(0.1)
            time.sleep(4)
            clients = [Client(node) for node in nodes]
            late = [play(delay, store, servers, nodes) for delay in LEAVES_AFTER_S]
            for client in clients:
                client.ends = True
                client.thread.join(3)
                record(f"{client.node.name}: {client.sent} requests, answers {client.answers}")
            if os.environ.get("KEEP"):
                subprocess.run(["cp", "-r", folder, os.environ["KEEP"]], check=True)
        finally:
            for node in nodes:
                node.process.send_signal(signal.SIGKILL)
                node.process.wait()
    count = sum(len(each) for each in late)
    record(f"requests that reached a server more than 2 s after it was gone: {count}")
    return 1 if count else 0


if __name__ == "__main__":
    try:
        CODE = main()
    except Exception as problem:  # the case couldn't run
        record(f"couldn't run: {problem!r}")
        CODE = 2
    with open(os.path.join(HERE, "record.txt"), "w", encoding="utf-8") as out:
        out.write(f"TROUBLE={int(TROUBLE)} MODE={MODE}, exit {CODE}\n" + "\n".join(LINES) + "\n")
    sys.exit(CODE)
