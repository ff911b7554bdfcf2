"""Starts the stand-in of the users' platform and entry nodes on it, as separate
processes: a store with a door for each node, model servers, a plain service, and
callers that go by the directory. Every process is ended by its id."""

import itertools
import json
import os
import socket
import subprocess
import tempfile

from cluster import BUILD, DEADLINE_S, Process, http, wait_for

ACCOUNT_KEY = "demo-key"
# Numbers of the addresses that this process has given out.
NUMBERS = itertools.count(1)
ZONES = ["zone-a", "zone-b", "zone-c"]

SETTINGS = """\
node_name = "{name}"
role = "entry"
machine_class = "front"
serves = ["front", "directory"]
ip = "{ip}"
zone = "{zone}"
region = "region-1"
internal_ports = [{peers}, {metrics}]
bootstrap = true
heartbeat_ms = {heartbeat_ms}
contracts = ["base"]
a_field_of_tomorrow = {{ is = "passed over" }}
[zones]
zone-a = "region-1"
[listen]
front = "{ip}:{callers}"
ready = "{ip}:{ready}"
directory = "{ip}:{directory}"
[limits]
file_descriptors = {descriptors}
memory_mb = {memory_mb}
[bounds]
configuration_ms = 2000
drain_ms = 2000
grace_s = 8
stall_ms = {stall_ms}
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


def settings_text(name, ip, zone, *, descriptors=4100, memory_mb=260, heartbeat_ms=300,
                  stall_ms=3000, **ports):
    """Returns a node's settings; `ports` has store, peers, metrics, callers, ready and
    directory."""
    return SETTINGS.format(name=name, ip=ip, zone=zone, descriptors=descriptors,
                           memory_mb=memory_mb, heartbeat_ms=heartbeat_ms, stall_ms=stall_ms,
                           **ports)


def free_ports(address, count):
    """Returns ports that the kernel has chosen for an address of this machine."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((address, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class EntryNode:
    """One `briarglade serve`, with an address of its own on loopback."""

    def __init__(self, name, zone, store_port, directory, program=None, **limits):
        """`limits` has the descriptors, memory_mb, heartbeat_ms and stall_ms that are not the
        usual ones."""
        self.name = name
        self.program = program or os.path.join(BUILD, "briarglade")
        # An address that no other run on this machine uses at the same time.
        self.ip = f"127.{1 + os.getpid() // 250 % 250}.{1 + os.getpid() % 250}.{next(NUMBERS)}"
        names = ["callers", "ready", "directory", "peers", "metrics"]
        self.ports = dict(zip(names, free_ports(self.ip, len(names))))
        self.log_path = os.path.join(directory, name + ".log")
        self.settings_path = os.path.join(directory, name + ".toml")
        with open(self.settings_path, "w", encoding="utf-8") as file:
            file.write(settings_text(name, self.ip, zone, store=store_port, **self.ports,
                                     **limits))
        self.popen = None
        self.start()

    def start(self):
        with open(self.log_path, "ab") as log:
            self.popen = subprocess.Popen(
                [self.program, "serve"], stdout=log, stderr=log,
                env=dict(os.environ, BRIARGLADE_CONFIG=self.settings_path))

    def is_running(self):
        return self.popen.poll() is None

    def is_ready(self):
        try:
            with socket.create_connection((self.ip, self.ports["ready"]), 1) as link:
                link.sendall(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                return link.recv(100).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def metric(self, name):
        """Returns a value of the node's metrics, or nothing."""
        try:
            with socket.create_connection((self.ip, self.ports["metrics"]), 1) as link:
                link.sendall(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                text = b"".join(iter(lambda: link.recv(65536), b"")).decode()
        except OSError:
            return None
        for line in text.splitlines():
            if line.split(" ")[0].endswith(name):
                return float(line.split(" ")[1])
        return None

    def signal(self, number):
        self.popen.send_signal(number)

    def end(self):
        """Ends the process by its id, whatever state it is in."""
        if self.is_running():
            self.popen.kill()
        self.popen.wait()

    def log_lines(self, event):
        with open(self.log_path, encoding="utf-8") as file:
            return [line for line in file if f"event={event} " in line + " "]


class Shape:  # pylint: disable=too-few-public-methods
    """The sizes of the groups of both models, and the times of servers in ms."""

    def __init__(self, large=3, small=2, load_ms=1000, heartbeat_ms=300, stall_ms=3000,
                 report_lag_ms=50):
        self.large, self.small = large, small
        self.load_ms, self.heartbeat_ms, self.stall_ms = load_ms, heartbeat_ms, stall_ms
        self.report_lag_ms = report_lag_ms

    def flags(self):
        """The flags with which the stand-in platform has this shape."""
        return ["--large", str(self.large), "--small", str(self.small), "--model-load-ms",
                str(self.load_ms), "--heartbeat-ms", str(self.heartbeat_ms), "--stall-ms",
                str(self.stall_ms), "--report-lag-ms", str(self.report_lag_ms)]


def configuration(version, extra_route=False, shape=Shape()):
    """The operators' configuration, as the store holds it."""
    def route(name, service, kind, **fields):
        return {"name": name, "host": "models.example", "prefix": f"/{name}/",
                "service": service, "kind": kind, "timeout_ms": 4000, "goal_ms": 400,
                "attempts": 3, "priority": 0, **fields}

    def model(name, size, share):
        return {"name": name, "size": size, "pace": 1.0, "share": share,
                "load_s": shape.load_ms / 1e3, "warm_s": shape.load_ms / 1e4}
    routes = [route("write", "models", "streaming", resumable=True, gap_target_ms=250),
              route("book", "desk", "non_idempotent")]
    if extra_route:
        routes.append(route("added", "desk", "idempotent"))
    return {"version": version, "routes": routes,
            "services": [
                {"name": "models", "health_path": "/health", "max_connections": 200,
                 "engine": {"slots": 8, "kv_capacity_tokens": 100000, "step_ms": 10,
                            "per_seq_ms": 0, "read_per_s": 50000, "loads_per_s": 4,
                            "retains": 1, "formation_ms": 100,
                            "models": [model("large", shape.large, 0.6),
                                       model("small", shape.small, 0.4)]}},
                {"name": "desk", "health_path": "/health", "max_connections": 200}],
            "tenants": [{"name": "sled-tours", "api_keys": [ACCOUNT_KEY]}],
            "limits": {"header_bytes": 8192, "body_bytes": 65536, "header_timeout_ms": 2000,
                       "idle_timeout_ms": 10000}}


class PlatformCluster:
    """The platform's stand-in and entry nodes on it."""

    def __init__(self, nodes=3, flags=(), program=None, shape=None):
        """shape: that of the groups and servers; else the usual one, and what `flags` say."""
        self.shape = shape or Shape()
        flags = [*flags, *(shape.flags() if shape else [])]
        self.nodes = {}
        self.platform = None
        try:
            self.directory = tempfile.mkdtemp(prefix="briarglade-")
            self.platform = Process(
                "platform",
                [os.path.join(BUILD, "briarglade-standin"), "platform", "--doors", str(nodes),
                 *flags], log=os.path.join(self.directory, "platform.log"))
            self.configure(1)
            for number in range(1, nodes + 1):
                name = f"node-{number}"
                self.nodes[name] = EntryNode(
                    name, ZONES[(number - 1) % len(ZONES)],
                    self.platform.ports[f"store-{number}"], self.directory, program,
                    heartbeat_ms=self.shape.heartbeat_ms, stall_ms=self.shape.stall_ms)
        except BaseException:
            self.close()
            raise

    def configure(self, version, extra_route=False):
        self.platform.administer("/admin/row", key="config",
                                 value=configuration(version, extra_route, self.shape))

    def store(self, **faults):
        """Sets the faults of the store's doors; none: all is well."""
        return self.platform.administer("/admin/store", **faults)

    def server(self, host, **faults):
        return self.platform.administer("/admin/server", host=host, **faults)

    def server_all(self, **faults):
        """Sets the faults of all servers."""
        return self.platform.administer("/admin/server", **faults)

    def stats(self):
        return self.platform.administer("/admin/stats")

    def running(self):
        return [node for node in self.nodes.values() if node.is_running()]

    def holder(self):
        """Returns the node that holds the control lease, or nothing."""
        held = [node for node in self.running() if node.metric("holds_control") == 1]
        return held[0] if held else None

    def wait_ready(self, groups, seconds=DEADLINE_S):
        """Waits until every running node is ready and sees so many groups serve."""
        def is_so():
            return all(node.is_ready() and (node.metric("serving_groups") or 0) >= groups
                       for node in self.running())
        wait_for(f"{groups} serving groups at every node", is_so, seconds)

    def start_callers(self, *flags):
        """Starts callers that ask every node's directory; finish() returns the counts."""
        targets = [f"{node.ip}:{node.ports['directory']}" for node in self.nodes.values()]
        return subprocess.Popen(
            [os.path.join(BUILD, "briarglade-callers"), *targets, *flags],
            stdout=subprocess.PIPE, text=True)

    @staticmethod
    def finish(popen, seconds=60):
        out, _ = popen.communicate(timeout=seconds)
        return json.loads(out)

    def close(self):
        for node in self.nodes.values():
            node.end()
        if self.platform:
            self.platform.end()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()


__all__ = ["EntryNode", "PlatformCluster", "http"]
