"""A machine starts again while a server's entry is removed, in a fleet whose servers fill more than
one page of the store."""

import asyncio

from small_fleet import (HOST, KEY, SIGTERM, ZONES, DeskServer, Node, Store, address_of,
                         configuration, now, route, run_case, service, until)

# As many servers as in large/wsfa-briarglade-large.toml: 880 in all. Of the 100 desks 14 leave.
OTHERS, DESKS = 780, 100
# All machines but one are stopped and started, twice.
NODES, ROLLS = 8, 14
DRAIN_S, LONGER_S, CONTACT_S = 2.0, 8.0, 3.0
RATE = 45


class Others:
    """Servers of a service without a route. They register themselves and get no requests."""

    def __init__(self, store, record):
        self.servers = [DeskServer(store, record, f"i-other-{n:04}", "other", ZONES[n % 3])
                        for n in range(OTHERS)]
        self.beats = None

    async def start(self, ip):
        for server in self.servers:
            server.address = f"{ip}:{await server.http.listen(ip)}"
            server.register("ready")
        self.beats = asyncio.create_task(self.beat())

    async def beat(self):
        loop = asyncio.get_running_loop()
        began, done = loop.time(), 0
        while True:
            await asyncio.sleep(0.001)
            due = int((loop.time() - began) / 1.2 * OTHERS)
            for number in range(done, due):
                # Each in its turn, which isn't that of the names.
                self.servers[number * 389 % OTHERS].register("ready")
            done = due


async def book(record, node, attempt, outcome):
    """A client's booking, on a connection of its own."""
    try:
        reader, writer = await asyncio.open_connection(node.ip, node.ports["front"])
        writer.write((f"POST /job/1 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\n"
                      f"Deadline-Remaining: 1500\r\nKey: {KEY}\r\nContent-Length: 2\r\n"
                      f"Connection: close\r\n\r\n{{}}").encode())
        answer = await asyncio.wait_for(reader.read(), 3)
        writer.close()
        outcome[attempt] = answer[9:12].decode() if answer else "closed"
    except (asyncio.TimeoutError, ConnectionError) as problem:
        outcome[attempt] = type(problem).__name__
    if outcome[attempt] != "200":
        record(f"client   {attempt}: {outcome[attempt]}")


async def send_bookings(record, node, outcome):
    tasks, number, end = [], 0, now() + DRAIN_S + LONGER_S + 1
    while now() < end:
        number += 1
        tasks.append(asyncio.create_task(
            book(record, node, f"{node.name}-booking-{number}", outcome)))
        await asyncio.sleep(1 / RATE)
    await asyncio.gather(*tasks)


async def main(record, folder, trouble, started):
    store = Store()
    await store.start()
    store.put_json("op", "config", configuration(
        3, [route("job", "desk", "non_idempotent", 1500)], [service("desk"), service("other")]))
    others = Others(store, record)
    await others.start(address_of(20, 0))
    desks = [DeskServer(store, record, f"i-desk-{n:02}", "desk", ZONES[n % 3], work_s=0.1)
             for n in range(DESKS)]
    for number, server in enumerate(desks):
        await server.start(address_of(10, number))
    nodes = [Node(folder, number, store.address, zone=ZONES[number // 5]) for number in range(NODES)]
    for node in nodes:
        started.append(node)
        node.start()
    for node in nodes:
        await until(node.is_ready, 10, f"{node.name} isn't ready")
    await asyncio.sleep(5)
    due = []

    def after_read(query):
        # Only a machine that has just started reads the whole table. This is its first page.
        if query["table"] == "servers" and "from" not in query and due:
            due.pop()()

    store.after_read = after_read
    outcome, rolls, tasks = {}, [], []
    for again, leaving in zip(nodes[1:] * (ROLLS // (NODES - 1)), desks):
        record(f"SIGTERM  to {again.name}")
        again.signal(SIGTERM)
        await until(lambda node=again: node.process.poll() is not None, 9, "it doesn't stop")
        roll = {"node": again, "leaving": leaving, "begun": now(), "removed": None}

        def remove(roll=roll):
            roll["removed"] = now()
            roll["leaving"].leave_listing()
            record(f"store    the entry of {roll['leaving'].id} is removed; it serves on")

        if trouble:
            due.append(remove)
        again.write_settings(False)
        again.start()
        record(f"start    {again.name}")
        await until(again.is_ready, 10, "the machine isn't ready again")
        if not trouble:
            await asyncio.sleep(1)
            remove()
        assert roll["removed"], "the machine has read the servers in one page"
        rolls.append(roll)
        tasks.append(asyncio.create_task(send_bookings(record, again, outcome)))
        asyncio.get_running_loop().call_later(DRAIN_S + LONGER_S, leaving.end)
    await asyncio.gather(*tasks)
    all_late = 0
    for roll in rolls:
        bound = max(roll["removed"] + DRAIN_S, roll["begun"] + CONTACT_S)
        late = sum(at > bound for at, _ in roll["leaving"].runs)
        all_late += late
        gone = [line for line in roll["node"].log_tail(["server-gone"])
                if f"server={roll['leaving'].id}" in line]
        record(f"roll     {roll['node'].name} started {roll['begun']:.3f}, {roll['leaving'].id} was "
               f"removed {roll['removed']:.3f}: {late} bookings reached it later than drain_ms after "
               f"that; the machine {'noticed the removal' if gone else 'never noticed the removal'}")
    ran = {attempt for server in desks for _, attempt in server.runs}
    lost = [attempt for attempt, end in outcome.items() if end != "200" and attempt in ran]
    record(f"bookings that reached a removed server later than drain_ms: {all_late}; bookings that "
           f"ran and weren't answered with success: {len(lost)} of {len(outcome)}")
    for server in desks:
        server.end()
    others.beats.cancel()
    store.http.close()
    return not all_late


run_case(__file__, main)
