"""Starts stand-ins and nodes as separate processes for the demo, the failure
scripts and the measurements. Ports come from the kernel; every process is ended
by its id."""

import hashlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BUILD = os.environ.get("BRIARGLADE_BUILD", os.path.join(ROOT, "build", "release"))
OPERATOR_KEY = "demo-operator-key"
CLUSTER_KEY = "demo-cluster-key"
CALLER_KEY = "demo-key"
DEADLINE_S = 30


class Process:
    """One process started here, with the ports that it printed."""

    def __init__(self, name, arguments, environment=None, log=None):
        self.name = name
        self.log_path = log
        self._log = open(log, "ab") if log else subprocess.DEVNULL
        self.popen = subprocess.Popen(
            arguments, stdout=subprocess.PIPE, stderr=self._log,
            env=dict(os.environ, **(environment or {})))
        line = json.loads(self.popen.stdout.readline())
        self.ports = line["ports"]
        self.admin = line.get("admin")

    def administer(self, path, **call):
        """Calls the stand-in's administration and returns its answer."""
        return http("POST", self.admin, path, call)

    def signal(self, number):
        self.popen.send_signal(number)

    def is_running(self):
        return self.popen.poll() is None

    def cpu_seconds(self):
        """Processor time spent so far, in user and system mode."""
        with open(f"/proc/{self.popen.pid}/stat", encoding="ascii") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def resident_megabytes(self):
        with open(f"/proc/{self.popen.pid}/statm", encoding="ascii") as file:
            pages = int(file.read().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    def wait(self, seconds=DEADLINE_S):
        return self.popen.wait(seconds)

    def end(self):
        """Ends the process by its id, whatever state it is in."""
        if self.is_running():
            self.popen.kill()
        self.popen.wait()


def http(method, port, path, body=None, headers=None, timeout=30):
    """Makes one call on loopback and returns the decoded JSON, or the text."""
    data = json.dumps(body).encode() if body is not None else None
    request = urllib.request.Request(
        f"http://127.0.0.1:{port}{path}", data=data, method=method,
        headers={"Content-Type": "application/json", **(headers or {})})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            text = answer.read().decode()
    except urllib.error.HTTPError as error:
        text = error.read().decode()
    try:
        return json.loads(text)
    except ValueError:
        return text


def wait_for(what, condition, seconds=DEADLINE_S):
    """Waits until the condition holds; fails with a clear line otherwise."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise RuntimeError(f"waited {seconds} s in vain for: {what}")


class EngineSet:
    """The stand-in engines of a zone, in one process or in one process each."""

    def __init__(self, processes):
        self.processes = processes
        self.ports = {host: port for p in processes for host, port in p.ports.items()}

    def process_of(self, host):
        return next(p for p in self.processes if host in p.ports)

    def administer(self, path, **call):
        """Calls every process, or the one that runs call["host"]; joins the answers."""
        answer = {}
        for process in self.processes:
            if process.is_running() and call.get("host", "") in ("", *process.ports):
                answer.update(process.administer(path, **call))
        return answer


class Zone:
    """The stand-ins of one availability zone."""

    def __init__(self, name, engines, services):
        self.name = name
        self.engines = engines
        self.services = services


class Cluster:
    """A table, a host list, zones of engines and services, and nodes."""

    def __init__(self, zones=("sapporo", "asahikawa"), engines_per_zone=4,
                 members=2, nodes=3, engine_flags=(), node_flags=(), request_limit=64,
                 separate=False):
        self.request_limit = request_limit
        self.engine_flags = list(engine_flags)
        self.processes = []
        self.nodes = {}
        # A script that is ended still ends what it started.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit("ended by a signal"))
        try:
            self._start(zones, engines_per_zone, members, nodes, node_flags, separate)
        except BaseException:
            self.close()
            raise

    def _start(self, zones, engines_per_zone, members, nodes, node_flags, separate):
        self.directory = tempfile.mkdtemp(prefix="briarglade-")
        self.members = members
        self.node_flags = list(node_flags)
        self.table = self._standin("table", "table")
        self.hosts = self._standin("hosts", "hosts", "--lag-ms", "200")
        self.zones = {}
        for zone in zones:
            names = [f"{zone}-e{i}" for i in range(engines_per_zone)]
            parts = [[name] for name in names] if separate else [names]
            engines = EngineSet([
                self._standin(f"{part[0]}-engines", "engines", *part, *self.engine_flags)
                for part in parts])
            services = self._standin(f"{zone}-services", "services", f"{zone}-desk")
            self.zones[zone] = Zone(zone, engines, services)
        self.write_fleet()
        self.publish_hosts()
        for i in range(nodes):
            self.start_node(f"node-{i + 1}", zones[i % len(zones)])

    def _standin(self, name, *arguments):
        process = Process(name, [os.path.join(BUILD, "briarglade-standin"), *arguments],
                          log=os.path.join(self.directory, name + ".log"))
        self.processes.append(process)
        return process

    def restart_engine(self, zone, host):
        """Starts an engine that was killed again, on its old port."""
        engines = self.zones[zone].engines
        old = engines.process_of(host)
        old.end()
        new = self._standin(f"{host}-engines", "engines", f"{host}:{engines.ports[host]}",
                            *self.engine_flags)
        engines.processes[engines.processes.index(old)] = new

    def start_node(self, name, zone):
        process = Process(
            name,
            [os.path.join(BUILD, "briarglade"), "node", f"--id={name}",
             "--cluster=kitakaze-demo", "--region=hokkaido", f"--zone={zone}",
             f"--table=127.0.0.1:{self.table.ports['table']}",
             f"--host-list=127.0.0.1:{self.hosts.ports['hosts']}",
             "--address-lifetime-ms=1000", *self.node_flags],
            {"BRIARGLADE_CLUSTER_KEY": CLUSTER_KEY,
             "BRIARGLADE_OPERATOR_KEY": OPERATOR_KEY},
            os.path.join(self.directory, name + ".log"))
        self.processes.append(process)
        self.nodes[name] = process
        self.publish_hosts()
        return process

    def fleet_text(self):
        key = hashlib.sha256(CALLER_KEY.encode()).hexdigest()
        lines = ["cluster: kitakaze-demo", "region: hokkaido", "zones:"]
        lines += [f"  - {zone}" for zone in self.zones]
        lines.append("hosts:")
        for zone in self.zones.values():
            for kind in (zone.engines, zone.services):
                for host, port in kind.ports.items():
                    lines += [f"  {host}:", f"    zone: {zone.name}",
                              f"    domain: {zone.name}-1",
                              f"    address: 127.0.0.1:{port}"]
        groups = sum(len(z.engines.ports) // self.members for z in self.zones.values())
        lines += ["models:", "  assistant:", f"    members: {self.members}",
                  "    min_groups: 1", f"    wanted_groups: {groups}",
                  f"    request_limit: {self.request_limit}", "    cold_limit: 4",
                  "    warm_up: 5s", "    request_timeout: 60s"]
        lines += ["services:", "  booking-desk:", "    hosts:"]
        lines += [f"      - {host}" for z in self.zones.values() for host in z.services.ports]
        lines += ["    warm_up: 5s", "    cold_limit: 4", "    operations:", "      book:", "        idempotent: false",
                  "      roster:", "        idempotent: true"]
        lines += ["accounts:", "  sled-tours:", "    share: 1", "    keys:",
                  f"      - {key}", "    models:", "      - assistant",
                  "    services:", "      - booking-desk", "    classes:",
                  "      interactive:", "        weight: 1", "        priority: 1"]
        return "\n".join(lines) + "\n"

    def write_fleet(self):
        self.fleet_path = os.path.join(self.directory, "fleet.yaml")
        with open(self.fleet_path, "w", encoding="utf-8") as file:
            file.write(self.fleet_text())

    def publish_hosts(self, leaving=()):
        """Tells the host list what runs; nodes' own hosts are listed too."""
        hosts = [{"id": host, "zone": zone.name, "domain": zone.name + "-1",
                  "leaving": host in leaving}
                 for zone in self.zones.values()
                 for kind in (zone.engines, zone.services) for host in kind.ports]
        hosts += [{"id": name, "zone": "", "domain": "", "leaving": name in leaving}
                  for name in self.nodes]
        self.hosts.administer("/admin/fault", hosts=hosts)

    def operator(self, *arguments, node=None):
        """Runs an operator's command at a node; returns the finished process."""
        node = node or next(iter(self.nodes.values()))
        return subprocess.run(
            [os.path.join(BUILD, "briarglade"), *arguments,
             f"--node=127.0.0.1:{node.ports['operator']}"],
            env=dict(os.environ, BRIARGLADE_OPERATOR_KEY=OPERATOR_KEY),
            capture_output=True, text=True, timeout=DEADLINE_S * 2, check=False)

    def apply(self, why="demo", node=None):
        return self.operator("apply", f"--base={self.fleet_path}", f"--why={why}", node=node)

    def zone(self, state, name, node=None):
        return self.operator("zone", state, name, "--why=demo", node=node)

    def status(self, node):
        return http("GET", node.ports["operator"], "/operator/status",
                    headers={"Authorization": f"Bearer {OPERATOR_KEY}"})

    def wait_complete(self, groups, seconds=DEADLINE_S):
        """Waits until every node sees so many complete groups."""
        def complete():
            known = set()
            for node in self.nodes.values():
                if not node.is_running():
                    continue
                shown = self.status(node).get("groups", [])
                told = [g for g in shown if g.get("told", True)]
                if not shown or not all(g["complete"] for g in told):
                    return False
                known.update(g["group"] for g in told)
            return len(known) >= groups
        wait_for(f"{groups} complete groups", complete, seconds)

    def start_load(self, kind, *flags, nodes=None):
        """Starts the load tool; finish_load() returns its counts."""
        targets = [f"127.0.0.1:{n.ports['caller']}" for n in nodes or self.nodes.values()]
        return self.start_load_at(kind, targets, *flags)

    @staticmethod
    def start_load_at(kind, targets, *flags):
        popen = subprocess.Popen(
            [os.path.join(BUILD, "briarglade-load"), kind, *targets, *flags],
            stdout=subprocess.PIPE, text=True)
        return popen

    @staticmethod
    def finish_load(popen, seconds=120):
        out, _ = popen.communicate(timeout=seconds)
        return json.loads(out)

    def load(self, kind, *flags, nodes=None):
        return self.finish_load(self.start_load(kind, *flags, nodes=nodes))

    def close(self):
        for process in self.processes:
            process.end()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()


def print_table(rows, headings):
    """Prints rows under headings in aligned columns."""
    cells = [headings, *[[str(cell) for cell in row] for row in rows]]
    widths = [max(len(row[i]) for row in cells) for i in range(len(headings))]
    for row in cells:
        print("  ".join(cell.ljust(width) for cell, width in zip(row, widths)).rstrip())
    sys.stdout.flush()
