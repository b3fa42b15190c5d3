"""A watch answer that was held up by a short cut brings a runner back that has left since."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
from standins import (BROKEN, DRAIN_S, HELD, STABLE_S, CannotRun, Client, Instance, Link, Runner, Store,
                      configuration, heartbeats, now, route, run_case, trouble)

NET = "127.62"
STORE, LINK = f"{NET}.0.1:7000", f"{NET}.0.2:7000"
ZONES = ["brisbane-a", "ipswich-b", "logan-c"]
CUT_S = 1.2
# From the entry's last change to its removal.
LAST_CHANGE_S = 0.4
# How long a leaving runner serves on after drainMs: "at times many seconds".
LINGER_S = 8


async def case(record, work, processes):
    store, link = Store(STORE, record), Link(LINK, STORE)
    runners = [Runner(f"i-{n}", f"{NET}.1.{n}:8000", "returns-app", record) for n in (1, 2, 3)]
    for server in [store, link, *runners]:
        await server.start()
    await store.put("config", "main", configuration(7, [route("stock", "returns-app")], ["returns-app"]))
    for runner in runners:
        # The runners have just started and still say how long they stay slow.
        await store.put("servers", runner.identity, runner.entry(coldRemainingMs=9000))
    seeds = [f"{NET}.3.1:8229", f"{NET}.3.2:8229"]
    for n in (1, 2):
        processes.append(Instance(f"edge-brisbane-a-{n}", f"{NET}.3.{n}", "brisbane-a", LINK if n == 1 else STORE, seeds,
                                  work, ZONES))
    for instance in processes:
        await instance.start()
    for instance in processes:
        await instance.wait_ready()
    beats = asyncio.create_task(heartbeats(store, runners))
    statuses, stop, sent = {}, asyncio.Event(), {}

    async def traffic(instance, name):
        client, count = Client(instance.front, record), 0
        while not stop.is_set():
            count += 1
            sent[f"{name}-{count}"] = now(), instance
            status, _, _ = await client.call(f"{name}-{count}", "/stock/a")
            statuses[status] = statuses.get(status, 0) + 1
            await asyncio.sleep(0.05)

    tasks = [asyncio.create_task(traffic(instance, f"{instance.name}-{n}")) for instance in processes for n in range(4)]
    await asyncio.sleep(3)
    leaving = max(runners, key=lambda runner: len(runner.arrivals))
    if len(leaving.arrivals) < 10:
        raise CannotRun("the runners got hardly any requests before the disruption")
    # The cut begins while the instance waits for the answer of a watch, so it lies behind the last heartbeat's event.
    await store.put("servers", leaving.identity, leaving.entry(coldRemainingMs=4000))
    await asyncio.sleep(0.4)
    cut_from = now()
    if trouble():
        record("cut: the first instance is partitioned from the store")
        link.open.clear()
    await asyncio.sleep(0.05)
    await store.put("servers", leaving.identity, leaving.entry(coldRemainingMs=2500))
    await asyncio.sleep(LAST_CHANGE_S)
    acknowledged = await store.remove("servers", leaving.identity)
    record("acknowledged:", leaving.identity, "is gone; it serves on for a while")
    await asyncio.sleep(max(0, cut_from + CUT_S - now()))
    record("the cut heals")
    link.open.set()
    in_touch = now() + STABLE_S
    await asyncio.sleep(max(0, acknowledged + DRAIN_S + LINGER_S - now()))
    stop.set()
    await asyncio.gather(*tasks)
    beats.cancel()
    late = []
    for at, attempt in leaving.arrivals:
        sent_at, instance = sent[attempt]
        # The machine that was cut counts only when it is in touch again; the other one all the while.
        counts = sent_at > in_touch or instance is not processes[0] or not trouble()
        if at > acknowledged + DRAIN_S and counts:
            late.append(attempt)
            record("LATE:", attempt, f"reached {leaving.identity} {at - acknowledged:.3f} s after it was acknowledged as "
                   f"gone, through {instance.name}")
    total = sum(len(runner.arrivals) for runner in runners)
    last = max((at for at, _ in leaving.arrivals), default=0) - acknowledged
    record.both(f"{len(late)} of {total} requests reached the runner that had left, later than drainMs and through a machine "
                f"in touch; the last one {last:.2f} s after the acknowledgement; answers by status: {statuses}")
    return BROKEN if late else HELD


run_case(FOLDER, case)
