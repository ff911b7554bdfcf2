"""Case 2: a machine gets SIGTERM, in calm. Clients whose list of addresses still names it send it
streams a little over three seconds later."""

import json
import os
import signal
import socket
import subprocess
import sys
import re
import tempfile
import threading
import time
import tomllib

from standins import Store, StreamServer

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NET = f"127.{1 + os.getpid() // 200 % 200}.{1 + os.getpid() % 200}"
IP = f"{NET}.1"
GRACE_S = 8.0
# A stream lasts 5 s; its deadline and its route's timeout are 8 s.
EVENTS, PAUSE_S = 50, 0.1
# When the clients send, after the SIGTERM. The rule excuses what is sent up to 3 s after it.
SENT_AT_S = [2.0, 3.001, 3.003, 3.005, 3.008, 3.012, 3.020, 3.035]
# Addresses may be kept for ttl_s; "some of them three times as long".
PATIENCE = 3
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
    "routes": [{"name": "draft", "host": "desk.example", "prefix": "/draft/", "service": "desk",
                "kind": "streaming", "resumable": True, "gap_target_ms": 250, "timeout_ms": 8000,
                "goal_ms": 400, "attempts": 2, "priority": 1}],
    "services": [{"name": "desk", "health_path": "/health", "max_connections": 110}],
    "tenants": [{"name": "hule930", "api_keys": ["n2ctnfzs989anu6wsjnb"]}],
    "limits": {"header_bytes": 8192, "body_bytes": 65536, "header_timeout_ms": 2000,
               "idle_timeout_ms": 10000}}


class Node:
    def __init__(self, number, store, folder, command):
        self.name = f"front-{number}"
        self.ip = f"{NET}.{10 + number}"
        self.ports = free_ports(self.ip, 6)
        path = os.path.join(folder, self.name + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings(self.name, ZONES[number % 3], self.ip, self.ports, store.port))
        self.command, self.path, self.folder = command, path, folder
        self.start()

    def start(self):
        with open(os.path.join(self.folder, self.name + ".log"), "ab") as log:
            self.process = subprocess.Popen(self.command, cwd=ROOT, stdout=log, stderr=log,
                                            env=dict(os.environ, BRIARGLADE_CONFIG=self.path))

    def is_ready(self):
        try:
            with socket.create_connection((self.ip, self.ports[1]), 1) as link:
                link.sendall(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                return link.recv(100).startswith(b"HTTP/1.1 200")
        except OSError:
            return False



def resolve(node):
    """Asks a machine's directory. Returns the addresses and for how long they may be kept."""
    with socket.create_connection((node.ip, node.ports[2]), 1) as link:
        link.sendall(b"GET /-/resolve?name=desk.example&region=region-1&zone=zone-a HTTP/1.1\r\n"
                     b"Host: x\r\nConnection: close\r\n\r\n")
        data = b"".join(iter(lambda: link.recv(65536), b""))
    answer = json.loads(data.split(b"\r\n\r\n", 1)[1])
    return answer["addresses"], answer["ttl_s"]


class Client(threading.Thread):
    """Keeps a list of addresses three times as long as it says, and sends one stream to the
    machine under test, if its list still names that machine."""

    def __init__(self, name, target, listed, kept_until, sends_at):
        super().__init__(daemon=True)
        self.name_, self.target, self.listed = name, target, listed
        self.kept_until, self.sends_at = kept_until, sends_at
        self.status, self.events, self.whole, self.sent, self.ended = "not sent", 0, False, 0.0, 0.0

    def run(self):
        time.sleep(max(0, self.sends_at - time.monotonic()))
        if not self.listed or time.monotonic() > self.kept_until:
            self.status = "not sent: the list no longer names it"
            return
        body = json.dumps({"first_id": 0}).encode()
        data = b""
        try:
            with socket.create_connection((self.target.ip, self.target.ports[0]), 1) as link:
                link.settimeout(9)
                self.sent = time.monotonic()
                link.sendall((f"POST /draft/2f HTTP/1.1\r\nHost: desk.example\r\n"
                              f"Attempt-Id: {self.name_}\r\nDeadline-Remaining: 8000\r\n"
                              f"Key: n2ctnfzs989anu6wsjnb\r\nContent-Length: {len(body)}\r\n"
                              "\r\n").encode() + body)
                while not data.endswith(b"0\r\n\r\n") and (part := link.recv(65536)):
                    data += part
                    if b"\r\n\r\n" in data and not data.startswith(b"HTTP/1.1 200"):
                        break
        except OSError as problem:
            data = data or repr(problem).encode()
        self.ended = time.monotonic()
        self.status = data.split(b"\r\n", 1)[0].decode() or "closed without an answer"
        self.events = len(re.findall(rb"\nid: ", data))
        self.whole = data.endswith(b"0\r\n\r\n") or (
            data.startswith(b"HTTP/1.1 ") and not data.startswith(b"HTTP/1.1 200"))


def play(number, target, other):
    """Stops one machine. Returns how many requests were lost."""
    asked = time.monotonic()
    addresses, ttl_s = resolve(other)
    stop = time.monotonic()
    if TROUBLE:
        target.process.send_signal(signal.SIGTERM)
    lists = [(asked, addresses, ttl_s)]
    # Clients ask now and then: here one asks each 5 ms, until the machine is named no longer.
    while time.monotonic() - stop < 0.3:
        asked = time.monotonic()
        addresses, ttl_s = resolve(other)
        if f"{target.ip}:{target.ports[0]}" not in addresses:
            break
        lists.append((asked, addresses, ttl_s))
        time.sleep(0.005)
    asked, addresses, ttl_s = lists[-1]
    record(f"stop {number}: SIGTERM to {target.name}; a list asked for {(asked - stop) * 1000:.0f} ms "
           f"after it still names it, ttl_s {ttl_s}: kept until {asked - stop + PATIENCE * ttl_s:.3f} s")
    clients = []
    for n, at in enumerate(SENT_AT_S):
        clients.append(Client(f"{number}{n}" * 8, target,
                              f"{target.ip}:{target.ports[0]}" in addresses,
                              asked + PATIENCE * ttl_s, stop + at))
        clients[-1].start()
    for client in clients:
        client.join()
    lost = 0
    for client in clients:
        is_lost = (client.sent > 0 and not client.whole and client.events > 0 and
                   client.sent - stop > 3.0 and client.ended - client.sent < 7.9)
        lost += is_lost
        if client.sent:
            record(f"  {client.name_} sent at {client.sent - stop:.3f} s: {client.status}, "
                   f"{client.events} of {EVENTS} events, whole: {client.whole}, ended at "
                   f"{client.ended - stop:.3f} s{'  LOST' if is_lost else ''}")
        else:
            record(f"  {client.name_}: {client.status}")
    if TROUBLE:
        target.process.wait(10)
        record(f"  the process ended with {target.process.returncode}")
        target.start()
        time.sleep(2)
    return lost


def main():
    store = Store(IP)
    store.put("op", "config", json.dumps(CONFIG).encode())
    for n in range(3):
        server = StreamServer(IP, f"i-{n:02d}d9e6b4", EVENTS, PAUSE_S, lambda _: None)
        store.put("servers", server.name, json.dumps({
            "service": "desk", "address": f"{IP}:{server.port}", "zone": ZONES[n], "version": "1",
            "slots": 26, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
            "born": int(time.time() * 1000)}).encode())
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        command = tomllib.load(file)["roles"]["entry"]["run"].split(" ")
    with tempfile.TemporaryDirectory() as folder:
        nodes = [Node(number, store, folder, command) for number in range(1, 7)]
        try:
            end = time.monotonic() + 20
            while not all(node.is_ready() for node in nodes):
                if time.monotonic() > end:
                    raise RuntimeError("the machines didn't get ready")
                time.sleep(0.1)
            time.sleep(4)
            lost = sum(play(n, nodes[n], nodes[(n + 1) % 6]) for n in range(6))
        finally:
            for node in nodes:
                node.process.send_signal(signal.SIGKILL)
                node.process.wait()
    record(f"requests lost: {lost}")
    return 1 if lost else 0


if __name__ == "__main__":
    try:
        CODE = main()
    except Exception as problem:  # the case couldn't run
        record(f"couldn't run: {problem!r}")
        CODE = 2
    with open(os.path.join(HERE, "record.txt"), "w", encoding="utf-8") as out:
        out.write(f"TROUBLE={int(TROUBLE)}, exit {CODE}\n" + "\n".join(LINES) + "\n")
    sys.exit(CODE)
