"""A rack of model servers restarts while its models are idle. See claim.txt."""

import asyncio
import os
import sys
import time
import uuid

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, FOLDER)
import standins as p  # noqa: E402  pylint: disable=wrong-import-position

MODELS = {"m1": {"size": 3, "load_s": 12.0, "warm_s": 1.1}}
HOSTS = 11
CLIENTS = 8
WORK_S = 0.3
# When the heads, the first and the second members of the groups write their entries.
PHASES_S = [0.6, 0.0, 0.3]
# How long the rack is down.
DOWN_S = 0.35


class Client:
    """Sends bookings one after the other on a kept connection to one node."""

    def __init__(self, node, desks, record):
        self.node, self.desks, self.record = node, desks, record
        self.answered = 0
        # Requests that a server ran, taken from a kept connection that was closed without
        # an answer.
        self.lost = []

    def was_run(self, attempt):
        return any(desk.runs.get(attempt) for desk in self.desks)

    async def run(self):
        while True:
            try:
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self.node.ports["front"])
            except OSError:
                await asyncio.sleep(0.2)
                continue
            await self._use(reader, writer)
            writer.close()

    async def _use(self, reader, writer):
        served = 0
        while True:
            attempt = uuid.uuid4().hex[:16]
            writer.write(p.encode("POST /book/1 HTTP/1.1", {
                "Host": p.HOST, "Attempt-Id": attempt, "Deadline-Remaining": "4000",
                "Key": p.KEY}, b"seats=2"))
            try:
                answer = await p.read_message(reader)
            except (ConnectionError, OSError, asyncio.IncompleteReadError):
                answer = None
            if answer is None:
                if self.was_run(attempt):
                    self.record(f"{self.node.name} closed without an answer to {attempt}, "
                                f"which ran; {served} answered before on this connection")
                    if served:
                        self.lost.append(attempt)
                return
            self.record(f"{self.node.name} answers {attempt}: {answer.first[1]}")
            served += 1
            self.answered += 1


async def case(record, folder, ended):
    store = p.Store()
    await store.start()
    store.put_json("op", "config", p.configuration(MODELS))
    desks = [p.DeskServer(store, record, f"i-desk{n}", zone, WORK_S) for n, zone in
             enumerate(["perth-a", "bunbury-b", "albany-c"])]
    hosts = []
    for number in range(HOSTS):
        # Any id may follow any other; with these, each new one sorts before the old ones.
        host = p.ModelServer(store, record, f"i-9{number:x}7c{number:x}0", "perth-a",
                             "perth-a-d0", MODELS,
                             phase_s=0.01 * number + PHASES_S[number % 3])
        host.staged = ["m1"]
        hosts.append(host)
    for server in desks + hosts:
        await server.start()
    nodes = [p.Node(f"front-{zone}-1", zone, store.port, folder, record)
             for zone in ["perth-a", "bunbury-b", "albany-c"]]
    ended.extend(nodes)

    async def are_ready():
        for node in nodes:
            if not await node.is_ready() or await node.metric("serving_groups") != 3:
                return False
        return True
    await p.wait_for("three groups that serve", are_ready, 30)
    record("all nodes are ready, three groups serve")
    clients = [Client(node, desks, record) for node in nodes for _ in range(CLIENTS)]
    tasks = [asyncio.ensure_future(client.run()) for client in clients]
    await asyncio.sleep(5)
    if p.has_trouble():
        # Just after the heartbeats of the groups' heads.
        head = hosts[0]
        while time.monotonic() - head.beat_at > 0.3:
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.2)
        for host in hosts:
            await host.crash()
        await asyncio.sleep(DOWN_S)
        for number, host in enumerate(hosts):
            await host.come_back(f"i-1{number:x}3e{number:x}0")
    await asyncio.sleep(8)
    for task in tasks:
        task.cancel()
    lost = {}
    for client in clients:
        lost[client.node.name] = lost.get(client.node.name, 0) + len(client.lost)
    for node in nodes:
        if node.code() is not None:
            record(f"{node.name} has ended by itself with {node.code()}: "
                   + node.log()[-200:].replace("\n", " | "))
        record(f"{node.name}: {lost[node.name]} requests lost")
    record(f"{sum(client.answered for client in clients)} requests answered")
    return all(count <= 3 for count in lost.values())


if __name__ == "__main__":
    sys.exit(p.main(FOLDER, case))
