"""Fault injection for a soak run: seeded random faults that may overlap."""

import asyncio
import signal

from world import EVACUATE_S, GRACE_S, STORE, exchange, now

# Effects of a fault may persist this long after its end: retransmissions, caches, other instances' views.
SETTLING_S = 3.0
# Disruptions of a proxy, see Proxy.apply().
MODES = ["delay", "reset", "silent", "mute", "deaf"]


class Faults:
    """Injects random faults until the end of the fault phase of a run. Backend server 0 is never faulted."""

    def __init__(self, world, random, report):
        self.world, self.random, self.report = world, random, report
        self.busy = set()
        self.tasks = []
        self.generation = 0

    async def run(self, until):
        kinds = [
            self.kill_entry, self.term_entry, self.pause_entry, self.kill_runner, self.pause_runner,
            self.disrupt_runner_link, self.store_outage, self.pause_store, self.disrupt_store_links, self.revoke_key,
            self.add_route, self.drain_runner, self.leave_runner, self.turn_away,
        ]  # fmt: skip
        while now() < until:
            kind = self.random.choice(kinds)
            self.tasks.append(asyncio.create_task(kind()))
            await asyncio.sleep(self.random.uniform(0.2, 1.6))
        await asyncio.gather(*self.tasks)

    async def evacuate(self, random):
        """Evacuates a failure domain beside the other faults. Domain a has the backend server that is never faulted."""
        domain = random.choice("bc")
        await asyncio.sleep(random.uniform(0.2, 4.0))
        self.note("evacuate", domain)
        await self.retry_store_call(lambda: self.world.store_call("POST", f"/put?kind=evacuations&name={domain}", {}))
        evacuation = [domain, now(), float("inf")]
        self.world.evacuations.append(evacuation)
        await asyncio.sleep(EVACUATE_S + random.uniform(1.0, 4.0))
        evacuation[2] = now()
        await self.retry_store_call(lambda: self.world.store_call("POST", f"/remove?kind=evacuations&name={domain}"))
        self.note("evacuation ends", domain)

    def note(self, what, subject):
        self.report(f"{what} {subject}")

    def reserve(self, subject):
        """Reserves a subject for one fault; returns False if another fault already holds it."""
        if subject in self.busy:
            return False
        self.busy.add(subject)
        return True

    async def disturb_entry(self, what, act):
        entry = self.random.choice(self.world.entries)
        if not self.reserve(entry.name):
            return
        self.note(what, entry.name)
        begin = now()
        span = [begin, float("inf")]
        entry.disturbed.append(span)
        await act(entry)
        span[1] = now() + SETTLING_S
        self.busy.discard(entry.name)

    async def kill_entry(self):
        async def act(entry):
            await entry.end()
            await asyncio.sleep(self.random.uniform(0.05, 1.0))
            await entry.start()

        await self.disturb_entry("kill", act)

    async def term_entry(self):
        """Stops an instance gracefully, without marking the stop as a disturbance: it must answer accepted requests."""
        entry = self.random.choice(self.world.entries)
        if not self.reserve(entry.name):
            return
        self.note("term", entry.name)
        begin = now()
        status = await entry.end(signal.SIGTERM)
        took = now() - begin
        if status != 0 or took > GRACE_S:
            self.report(f"FAILED graceful stop of {entry.name}: status {status} after {took:.1f} s")
        # Excuses requests sent just before the process exits and until it is serving again, but none sent earlier.
        span = [now() - 0.2, float("inf")]
        entry.restarts.append(span)
        await asyncio.sleep(self.random.uniform(0.05, 0.5))
        await entry.start()
        span[1] = now() + SETTLING_S
        self.busy.discard(entry.name)

    async def pause_entry(self):
        async def act(entry):
            entry.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self.random.uniform(0.3, 3.0))
            entry.send_signal(signal.SIGCONT)

        await self.disturb_entry("pause", act)

    def reserve_runner(self):
        """Reserves a random backend server other than the first; returns (None, None, None) if it is unavailable."""
        name = self.random.choice(sorted(self.world.runners))
        process = self.world.runners[name]
        index = int(process.arguments[-1].split(":")[0].split(".")[3]) - 1
        if index == 0 or process.child.returncode is not None or not self.reserve(f"runner {index}"):
            return None, None, None
        return index, name, process

    async def kill_runner(self):
        index, name, process = self.reserve_runner()
        if process is None:
            return
        self.note("kill", name)
        await process.end()
        await asyncio.sleep(self.random.uniform(0.2, 2.0))
        await process.start()
        await self.retry_store_call(lambda: self.world.announce(index, name, "ready"))
        self.busy.discard(f"runner {index}")

    async def pause_runner(self):
        index, name, process = self.reserve_runner()
        if process is None:
            return
        self.note("pause", name)
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.3, 2.5))
        process.send_signal(signal.SIGCONT)
        self.busy.discard(f"runner {index}")

    async def disrupt_runner_link(self):
        index, name, process = self.reserve_runner()
        if process is None:
            return
        mode = self.random.choice(MODES)
        self.note(mode, name)
        self.world.runner_proxies[index].apply(mode)
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        self.world.runner_proxies[index].heal()
        self.busy.discard(f"runner {index}")

    async def turn_away(self):
        """Makes a backend server turn requests away and ask for a pause."""
        index, name, process = self.reserve_runner()
        if process is None:
            return
        self.note("turn away", name)
        process.send_signal(signal.SIGUSR2)
        await asyncio.sleep(2)
        self.busy.discard(f"runner {index}")

    async def leave_runner(self):
        """Makes a backend server say that it leaves in its answers alone, then stops it and starts a replacement."""
        index, name, process = self.reserve_runner()
        if process is None:
            return
        self.note("leave", name)
        process.send_signal(signal.SIGUSR1)
        await self.replace_runner(index, name, process)

    async def drain_runner(self):
        """Announces a backend server as draining, lets it serve on for 4.5 s, stops it, and starts a replacement."""
        index, name, process = self.reserve_runner()
        if process is None:
            return
        self.note("drain", name)
        if not await self.try_store(self.world.announce(index, name, "draining")):
            self.busy.discard(f"runner {index}")
            return
        self.world.drained[name] = now()
        await self.replace_runner(index, name, process)

    async def replace_runner(self, index, name, process):
        await asyncio.sleep(4.5)
        await self.retry_store_call(lambda: self.world.store_call("POST", f"/remove?kind=servers&name={name}"))
        await process.end()
        self.generation += 1
        next_name = f"i-{index}-{self.generation}"
        await self.world.start_runner(index, next_name)
        await self.retry_store_call(lambda: self.world.announce(index, next_name, "ready"))
        self.busy.discard(f"runner {index}")

    async def retry_store_call(self, call):
        """Retries a call to the store, which may be paused, until the store responds with any status."""
        while not await self.try_store(call()):
            await asyncio.sleep(0.2)

    async def try_store(self, call):
        try:
            await call
            return True
        except (OSError, asyncio.TimeoutError):
            return False

    async def disturb_store(self, what, begin, end, longest_s):
        if not self.reserve("store"):
            return
        self.note(what, "store")
        span = [now(), float("inf")]
        self.world.store_disturbed.append(span)
        await begin()
        await asyncio.sleep(self.random.uniform(0.3, longest_s))
        await end()
        span[1] = now() + SETTLING_S
        self.busy.discard("store")

    async def store_outage(self):
        await self.disturb_store(
            "away", lambda: exchange(STORE, "POST", "/away"), lambda: exchange(STORE, "POST", "/back"), 3
        )

    async def pause_store(self):
        async def send(number):
            self.world.store.send_signal(number)

        await self.disturb_store("pause", lambda: send(signal.SIGSTOP), lambda: send(signal.SIGCONT), 2)

    async def disrupt_store_links(self):
        """Disrupts some instances' connections to the store; the others still reach it and must relay its updates."""
        count = self.random.randint(1, 3)
        mode = self.random.choice(MODES)
        chosen = self.random.sample(range(len(self.world.store_proxies)), count)
        self.note(mode, f"store for {[index + 1 for index in chosen]}")
        for index in chosen:
            self.world.store_proxies[index].apply(mode)
        await asyncio.sleep(self.random.uniform(0.5, 4.0))
        for index in chosen:
            self.world.store_proxies[index].heal()

    async def write_configuration(self):
        """Writes the configuration; returns False if the store does not respond."""
        return await self.try_store(self.world.configure())

    async def revoke_key(self):
        if not self.reserve("store"):
            return
        key = f"key-{len(self.world.keys)}"
        self.world.keys[key] = None
        if await self.write_configuration():
            await asyncio.sleep(0.5)
            self.world.keys[key] = now()
            if await self.write_configuration():
                self.note("revoke", key)
                self.world.keys[key] = now()
            else:
                del self.world.keys[key]
        else:
            del self.world.keys[key]
        self.busy.discard("store")

    async def add_route(self):
        if not self.reserve("store"):
            return
        prefix = f"/plain-{len(self.world.extra_routes)}/"
        self.world.extra_routes[prefix] = float("inf")
        if await self.write_configuration():
            self.note("route", prefix)
            self.world.extra_routes[prefix] = now()
        else:
            del self.world.extra_routes[prefix]
        self.busy.discard("store")
