"""After a freeze one instance makes the others use a runner again that they had known to be gone."""
import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
from standins import (BROKEN, DRAIN_S, HELD, CannotRun, Client, Instance, Link, Runner, Store, configuration, heartbeats, now,
                      route, run_case, trouble)

NET = "127.67"
STORE = f"{NET}.0.1:7000"
ZONES = ["brisbane-a", "ipswich-b", "logan-c"]
FREEZE_S = 4.0
# How long a leaving runner serves on after drainMs: "at times many seconds".
LINGER_S = 8


async def case(record, work, processes):
    store = Store(STORE, record)
    runners = [Runner(f"i-{n}", f"{NET}.1.{n}:8000", "returns-app", record) for n in (1, 2, 3)]
    links = [Link(f"{NET}.0.{n + 1}:7000", STORE) for n in (1, 2, 3, 4)]
    for server in [store, *links, *runners]:
        await server.start()
    routes = [route("stock", "returns-app")]
    await store.put("config", "main", configuration(7, routes, ["returns-app"]))
    for runner in runners:
        await store.put("servers", runner.identity, runner.entry())
    seeds = [f"{NET}.3.{n}:8229" for n in (1, 2, 3)]
    for n in (1, 2, 3, 4):
        processes.append(Instance(f"edge-brisbane-a-{n}", f"{NET}.3.{n}", "brisbane-a", f"{NET}.0.{n + 1}:7000", seeds, work,
                                  ZONES))
    for instance in processes:
        await instance.start()
    for instance in processes:
        await instance.wait_ready()
    beats = asyncio.create_task(heartbeats(store, runners))
    statuses, stop, sent, frozen = {}, asyncio.Event(), {}, None

    async def traffic(instance, name):
        client, count = Client(instance.front, record), 0
        while not stop.is_set():
            count += 1
            sent[f"{name}-{count}"] = instance
            status, _, _ = await client.call(f"{name}-{count}", "/stock/a")
            statuses[status] = statuses.get(status, 0) + 1
            await asyncio.sleep(0.05)

    tasks = [asyncio.create_task(traffic(instance, f"{instance.name}-{n}")) for instance in processes for n in range(4)]
    await asyncio.sleep(4)
    leaving = max(runners, key=lambda runner: len(runner.arrivals))
    # Instances that watch the store call it at least every two seconds.
    readers = [instance for instance, link in zip(processes, links) if now() - link.used_at < 3]
    if len(leaving.arrivals) < 10 or not readers:
        raise CannotRun("the runners got hardly any requests, or no instance watches the store")
    frozen = readers[0]
    if trouble():
        record("freeze:", frozen.name, "stands still")
        frozen.send(signal.SIGSTOP)
    frozen_at = now()
    await asyncio.sleep(0.2)
    acknowledged = await store.remove("servers", leaving.identity)
    record("acknowledged:", leaving.identity, "is gone; it serves on for a while")
    if trouble():
        # The store cuts off the watches of a caller that takes no answers.
        links[processes.index(frozen)].cut_off()
    await asyncio.sleep(FREEZE_S - 0.5)
    await store.put("config", "main", configuration(8, [*routes, route("more", "returns-app")], ["returns-app"]))
    await asyncio.sleep(max(0, frozen_at + FREEZE_S - now()))
    record("wake:", frozen.name, "goes on")
    frozen.send(signal.SIGCONT)
    await asyncio.sleep(max(0, acknowledged + DRAIN_S + LINGER_S - now()))
    stop.set()
    await asyncio.gather(*tasks)
    beats.cancel()
    late = []
    for at, attempt in leaving.arrivals:
        # The machine that was frozen isn't in touch; the others are all the while.
        if at > acknowledged + DRAIN_S and sent[attempt] is not frozen:
            late.append(at)
            record("LATE:", attempt, f"reached {leaving.identity} {at - acknowledged:.3f} s after it was acknowledged as "
                   f"gone, through {sent[attempt].name}")
    total = sum(len(runner.arrivals) for runner in runners)
    span = f", {late[0] - acknowledged:.2f} to {late[-1] - acknowledged:.2f} s after the acknowledgement" if late else ""
    record.both(f"{len(late)} of {total} requests reached the runner that had left, later than drainMs and through machines "
                f"that were never disturbed{span}; answers by status: {statuses}")
    return BROKEN if late else HELD


run_case(FOLDER, case)
