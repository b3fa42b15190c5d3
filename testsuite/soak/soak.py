"""Randomized fault soak test that runs the real programs on one machine.

Usage: soak.py PROGRAMS [--seeds A,B,...] [--fresh N] [--seconds S]

For each seed it starts a store, four backend servers and five entry instances as processes, runs simulated callers
against them, and injects faults from outside the programs: signals, disrupted proxies and configuration changes. The
guarantees are checked from what callers receive and what backend servers log. The logs of a failed seed are kept; the
option --seeds repeats it."""

import argparse
import asyncio
import collections
import os
import random
import shutil
import sys
import tempfile

from clients import LONG_PATHS, Client
from faults import Faults
from world import EVACUATE_S, LONG_TIMEOUT_S, World, domain_of, now

CALLERS = 12
# Callers whose calls outlast a graceful stop, and how long each of them waits.
LONG_CALLERS = 4
LONG_CALLER_TIMEOUT_S = LONG_TIMEOUT_S + 1.0
# Timeout of the routes, and the tolerance for a response that arrives after it.
TIMEOUT_S = 3.0
SLACK_S = 0.5
# Within this time a configuration change is in force and a draining backend server receives no new requests.
IN_FORCE_S = 3.0
# Every instance serves all requests again this long after the last fault.
RECOVERY_S = 4.0
# Statuses that tell the caller that its request was not executed.
NOT_RUN = (408, 421, 429, 503)
EVENTS = b"".join(b"id: %d\ndata: %d\n\n" % (i, i) for i in range(1, 11))


async def probe(world, client, rng, until):
    """Sends requests with revoked keys and to added routes through each instance."""
    while now() < until:
        for entry in range(world.entry_count):
            revoked = [key for key, since in world.keys.items() if since]
            added = [prefix for prefix, since in world.extra_routes.items() if since < now()]
            if revoked and rng.random() < 0.5:
                await client.send("/plain/x", rng.choice(revoked), entry)
            elif added:
                await client.send(rng.choice(added) + "x", "key", entry)
        await asyncio.sleep(0.3)


class Checks:
    """Compares the responses that callers received with the executions that backend servers logged."""

    def __init__(self, world, attempts):
        self.world = world
        self.attempts = attempts
        self.failures = []
        self.runs = collections.defaultdict(list)
        for name, runner in world.runners.items():
            for at, line in runner.lines:
                if line.startswith("run "):
                    self.runs[line.split()[1]].append((at, name))

    def fail(self, guarantee, attempt, detail=""):
        self.failures.append(
            f"{guarantee}: id={attempt.id} path={attempt.path} entry={attempt.entry + 1} status={attempt.status} "
            f"end={attempt.end} took={attempt.ended_at - attempt.sent_at:.2f} runs={self.runs[attempt.id]} {detail}"
        )

    def store_undisturbed(self, begin, end):
        return all(end < start or begin > finish for start, finish in self.world.store_disturbed)

    def check(self):
        for attempt in self.attempts:
            if not attempt.ended_at:
                continue
            entry = self.world.entries[attempt.entry]
            undisturbed = entry.undisturbed(attempt.sent_at - 0.3, attempt.ended_at)
            undisturbed = undisturbed and entry.expected_to_serve(attempt.sent_at)
            self.check_runs(attempt)
            self.check_body(attempt)
            if undisturbed:
                self.check_end(attempt, entry)
                self.check_configuration(attempt)
        self.check_drain()
        self.check_evacuations()
        return self.failures

    def check_runs(self, attempt):
        non_idempotent = attempt.path.startswith(("/once/", "/lost/", "/hang/"))
        if non_idempotent and len(self.runs[attempt.id]) > 1:
            self.fail("a non-idempotent request was executed more than once", attempt)
        if non_idempotent and attempt.status in NOT_RUN and self.runs[attempt.id]:
            self.fail("a request reported as not run was executed", attempt)

    def check_body(self, attempt):
        if attempt.status != 200:
            return
        stream = attempt.path.startswith(("/stream/", "/cut/"))
        if "response-seal" not in attempt.headers:
            self.fail("a response lacks the seal of the backend server", attempt)
        elif stream and attempt.end == "whole" and attempt.body != EVENTS:
            self.fail("a stream ended normally but its events are incomplete or altered", attempt, repr(attempt.body))
        elif stream and not EVENTS.startswith(attempt.body):
            self.fail("a stream is not a prefix of the expected events", attempt, repr(attempt.body))
        elif not stream and attempt.end == "whole" and not attempt.body.endswith(f" org {attempt.id}\n".encode()):
            self.fail("a response belongs to another request", attempt, repr(attempt.body))

    def check_end(self, attempt, entry):
        limit = LONG_TIMEOUT_S if attempt.path in LONG_PATHS else TIMEOUT_S
        if attempt.end == "none" or attempt.ended_at - attempt.sent_at > limit + SLACK_S:
            self.fail("no response before the timeout", attempt)
        elif attempt.end == "cut" and attempt.status == 0:
            self.fail("the connection closed before a response", attempt)
        elif attempt.end == "whole" and attempt.status >= 400:
            if not any(f"id={attempt.id} " in line for _, line in entry.lines):
                self.fail("a failed request is missing from the instance's log", attempt)
        if attempt.status in (429, 503) and "retry-after" not in attempt.headers:
            self.fail("a rejection lacks Retry-After", attempt)

    def check_configuration(self, attempt):
        revoked = self.world.keys.get(attempt.key)
        prefix = attempt.path[: attempt.path.rindex("/") + 1]
        added = self.world.extra_routes.get(prefix)
        since = revoked or added
        if not since or attempt.sent_at < since + IN_FORCE_S or not self.store_undisturbed(since, attempt.sent_at):
            return
        if revoked and attempt.status not in (0, 401):
            self.fail("a revoked key did not get 401", attempt, f"revoked {attempt.sent_at - revoked:.2f} s before")
        if added and attempt.status == 404:
            self.fail("an added route is not in force", attempt, f"added {attempt.sent_at - added:.2f} s before")

    def check_drain(self):
        sent = {attempt.id: attempt for attempt in self.attempts}
        for id, runs in self.runs.items():
            for at, name in runs:
                since = self.world.drained.get(name)
                attempt = sent.get(id)
                if not since or not attempt or attempt.sent_at < since + IN_FORCE_S:
                    continue
                undisturbed = self.world.entries[attempt.entry].undisturbed(since, at)
                if undisturbed and self.store_undisturbed(since, since + IN_FORCE_S):
                    self.fail("a draining server got a request", attempt, f"{at - since:.2f} s after the notice")


    def check_evacuations(self):
        for domain, since, ended in self.world.evacuations:
            for id, runs in self.runs.items():
                late = [(at, name) for at, name in runs if domain_of(name) == domain and since + EVACUATE_S < at < ended]
                for at, name in late:
                    self.failures.append(
                        f"a server of an evacuated domain got a request: id={id} server={name} {at - since:.2f} s after the acknowledgement"
                    )


async def check_recovery(world, client):
    """Checks that every instance serves requests after the last fault."""
    failures = []
    for entry in range(world.entry_count):
        for _ in range(5):
            attempt = await client.send("/plain/x", "key", entry)
            if attempt is None or attempt.status != 200:
                failures.append(f"not served after recovery: entry={entry + 1} attempt={attempt}")
    return failures


async def run_seed(programs, seed, seconds, folder):
    rng = random.Random(seed)
    world = World(programs, folder)
    events, failures = [], []
    started = now()

    def report(text):
        events.append(f"{now() - started:7.3f} {text}")
        if text.startswith("FAILED"):
            failures.append(text)

    try:
        await world.start()
        until = now() + seconds
        faults = Faults(world, random.Random(rng.random()), report)
        clients = [Client(world, random.Random(rng.random()), f"c{i}") for i in range(CALLERS)]
        prober = Client(world, random.Random(rng.random()), "p")
        clients += [
            Client(world, random.Random(rng.random()), f"l{i}", LONG_PATHS, LONG_CALLER_TIMEOUT_S)
            for i in range(LONG_CALLERS)
        ]
        jobs = [client.run(until + (RECOVERY_S if client.paths != LONG_PATHS else 0)) for client in clients]
        jobs += [probe(world, prober, random.Random(rng.random()), until + RECOVERY_S), faults.run(until)]
        # Draws after all others, so that seeds of earlier versions repeat their faults.
        jobs.append(faults.evacuate(random.Random(rng.random())))
        await asyncio.gather(*jobs)
        await asyncio.sleep(max(0, until + RECOVERY_S - now()) + RECOVERY_S)
        failures += await check_recovery(world, prober)
        attempts = [attempt for client in [*clients, prober] for attempt in client.attempts]
        failures += Checks(world, attempts).check()
    finally:
        await world.stop()
    served = sum(attempt.status == 200 for attempt in attempts)
    with open(os.path.join(folder, "events.txt"), "w", encoding="utf-8") as file:
        file.write(f"started at {started:.3f}\n" + "\n".join(events + failures) + "\n")
    result = "failed" if failures else "passed"
    print(f"seed={seed} result={result} faults={len(events)} attempts={len(attempts)} served={served}", flush=True)
    for failure in failures[:10]:
        print(f"  {failure}")
    return not failures


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("programs")
    parser.add_argument("--seeds", default="")
    parser.add_argument("--fresh", type=int, default=0)
    parser.add_argument("--seconds", type=float, default=12)
    options = parser.parse_args()
    seeds = [int(seed) for seed in options.seeds.split(",") if seed]
    seeds += [random.SystemRandom().randrange(1 << 32) for _ in range(options.fresh)]
    passed = 0
    for seed in seeds:
        folder = tempfile.mkdtemp(prefix=f"soak.{seed}.")
        if asyncio.run(run_seed(os.path.abspath(options.programs), seed, options.seconds, folder)):
            passed += 1
            shutil.rmtree(folder)
        else:
            print(f"  logs are kept in {folder}")
    print(f"{passed} passed, {len(seeds) - passed} failed")
    return 0 if passed == len(seeds) else 1


if __name__ == "__main__":
    sys.exit(main())
