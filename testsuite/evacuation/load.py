"""Clients, backend servers and the operator for the case of failure domains that are evacuated.

Usage: load.py STORE FRONT[,FRONT...] SERVER[,SERVER...] SCENARIO. Registers the servers in the failure domains a, b and c in
turn, drives clients for each instance and counts the requests that reach a server of an evacuated domain. Prints the counts;
exits 1 if a bound is broken.

calm      domain a is evacuated, its object marked for deletion and then removed; then all domains are evacuated
restart   domain a is evacuated and the store becomes unavailable, then the first instance is killed and started again
freeze    the first instance is stopped while domain a is evacuated, and goes on after the bound
unlisted  the instances start while the store does not answer for evacuations, of which domain a has one
unread    domain a is evacuated, but the instances' settings have no bound: the object has no effect

The lines "kill", "stop" and "continue" on the output ask the caller of the program to do so to the first instance.
"""

import asyncio
import json
import sys
import time
import urllib.request

# Clients of all instances together.
CLIENTS = 30
WAITING = 20
BOUND_S = 5.0
# Twice the goal for a calm fleet, as the machine may be busy.
CALM_S = 1.0
WORK_S = 0.05
# Every tenth request runs for so long that an evacuation begins meanwhile. It is sent only once, at a route whose calls are not
# repeated, so that it has to complete where it runs.
LONG_WORK_S = 1.2
SLOTS = 12


class BackendServer:
    def __init__(self, name, address, zone):
        self.name, self.address, self.zone = name, address, zone
        self.arrivals = []
        self.answered = set()

    async def start(self):
        host, port = self.address.split(":")
        await asyncio.start_server(self.serve, host, int(port))

    async def serve(self, reader, writer):
        try:
            while head := (await reader.readuntil(b"\r\n\r\n")).decode():
                fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
                attempt = fields.get("attempt-id", "")
                self.arrivals.append((time.monotonic(), attempt))
                await asyncio.sleep(LONG_WORK_S if attempt.endswith("0") else WORK_S)
                writer.write((f"HTTP/1.1 200 X\r\nAttempt-Id: {attempt}\r\nResponse-Seal: s\r\nContent-Length: 2\r\n\r\nok").encode())
                await writer.drain()
                self.answered.add(attempt)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def arrived(self, begin, end=float("inf")):
        return [attempt for at, attempt in self.arrivals if begin < at < end]


class Answer:
    def __init__(self, attempt, status, sent_at, ended_at, fields):
        self.attempt, self.status, self.sent_at, self.ended_at, self.fields = attempt, status, sent_at, ended_at, fields


async def client(front, name, stop, answers, count=0):
    host, port = front.split(":")
    while not stop.is_set():
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            while not stop.is_set():
                count += 1
                attempt, sent_at = f"{name}-{count}", time.monotonic()
                path = "/once/x" if attempt.endswith("0") else "/plain/x"
                writer.write((f"GET {path} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 1900\r\n"
                              "Authorization: Bearer key\r\n\r\n").encode())
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
                await reader.readexactly(int(fields.get("content-length", 0)))
                answers.append(Answer(attempt, head.split(" ")[1], sent_at, time.monotonic(), fields))
                await asyncio.sleep(0.05 if answers[-1].status == "200" else 0.3)
        except (ConnectionError, asyncio.IncompleteReadError):
            await asyncio.sleep(0.1)


class Case:
    def __init__(self, store, fronts, servers):
        self.store, self.fronts, self.servers = store, fronts, servers
        self.answers, self.broken = [], []
        self.stop = asyncio.Event()

    async def post(self, target, spec=None):
        body = json.dumps(spec).encode() if spec is not None else b""
        await asyncio.to_thread(lambda: urllib.request.urlopen(f"http://{self.store}{target}", body).read())

    async def evacuate(self, zone):
        """Returns when the store has acknowledged the evacuation, with the time."""
        await self.post(f"/put?kind=evacuations&name={zone}", {})
        return time.monotonic()

    async def end(self, zone):
        await self.post(f"/remove?kind=evacuations&name={zone}")

    async def begin(self):
        for server in self.servers:
            await server.start()
            spec = {"service": "s", "address": server.address, "zone": server.zone, "slots": SLOTS, "state": "ready", "born": 1}
            await self.post(f"/put?kind=servers&name={server.name}", spec)
        await asyncio.sleep(4)
        self.clients = [asyncio.create_task(client(front, f"e{n}-{c}", self.stop, self.answers, c))
                        for n, front in enumerate(self.fronts) for c in range(CLIENTS // len(self.fronts))]
        await asyncio.sleep(2)

    def check(self, holds, text):
        if not holds:
            self.broken.append(text)

    def check_evacuated(self, zone, since, bound, until=float("inf")):
        """Checks that nothing arrives at the servers of a domain later than the bound, and prints the last arrival."""
        servers = [server for server in self.servers if server.zone == zone]
        late = [attempt for server in servers for attempt in server.arrived(since + bound, until)]
        last = max((at - since for server in servers for at, _ in server.arrivals if since < at < until), default=0)
        self.check(all(server.arrived(0, since) for server in servers), f"no requests reached {zone} before")
        self.check(not late, f"{len(late)} requests reached {zone} later than {bound} s after the acknowledgement")
        running = [attempt for server in servers for at, attempt in server.arrivals
                   if at < since and attempt.endswith("0") and at + LONG_WORK_S > since]
        done = {answer.attempt for answer in self.answers if answer.status == "200"}
        self.check(all(attempt in done for attempt in running), f"a request that ran in {zone} was not answered")
        print(f"evacuated={zone} last_arrival_s={last:.3f} late={len(late)} running_then={len(running)}")

    def statuses(self, begin, end=float("inf")):
        result = {}
        for answer in self.answers:
            if begin <= answer.sent_at < end:
                result[answer.status] = result.get(answer.status, 0) + 1
        return result

    def evacuated_domains(self, front):
        text = urllib.request.urlopen(f"http://{front.split(':')[0]}:9464/metrics").read().decode()
        return [line.split()[1] for line in text.splitlines() if line.startswith("pomelo_evacuated_domains ")]

    async def calm(self):
        since = await self.evacuate("a")
        await asyncio.sleep(3)
        await self.post("/deleting?kind=evacuations&name=a")
        await asyncio.sleep(2)
        ended = time.monotonic()
        await self.end("a")
        await asyncio.sleep(1.5)
        self.check_evacuated("a", since, CALM_S, ended)
        back = self.servers[0].arrived(ended)
        self.check(back, "no request reached a after the end of its evacuation")
        self.check(set(self.statuses(since)) == {"200"}, f"a request was not served: {self.statuses(since)}")
        for zone in "abc":
            since = await self.evacuate(zone)
        await asyncio.sleep(2)
        everywhere = time.monotonic()
        self.check([*map(self.evacuated_domains, self.fronts)] == [["3"]] * len(self.fronts), "a metric does not count 3 domains")
        await asyncio.sleep(1)
        refused = [answer for answer in self.answers if answer.sent_at > everywhere]
        slowest = max(answer.ended_at - answer.sent_at for answer in refused)
        self.check({answer.status for answer in refused} == {"503"}, "not all requests were refused")
        self.check(all("retry-after" in answer.fields for answer in refused), "a refusal lacks Retry-After")
        self.check(slowest < 0.5, f"a refusal took {slowest:.3f} s")
        self.check(not any(server.arrived(everywhere) for server in self.servers), "a refused request ran")
        await self.end("b")
        ended = time.monotonic()
        await asyncio.sleep(2)
        served = [answer for answer in self.answers if answer.sent_at > ended + 1]
        self.check(served and {answer.status for answer in served} == {"200"}, "not served after the end of an evacuation")
        print(f"refused={len(refused)} slowest_refusal_s={slowest:.3f} back={len(back)}")

    async def restart(self):
        since = await self.evacuate("a")
        await asyncio.sleep(2)
        await self.post("/away")
        print("kill", flush=True)
        killed = time.monotonic()
        await asyncio.sleep(6)
        self.check_evacuated("a", since, CALM_S)
        served = [answer for answer in self.answers
                  if answer.attempt.startswith("e0-") and answer.sent_at > killed + 0.3 and answer.status == "200"]
        self.check(served, "the restarted instance served nothing")
        print(f"served_by_restarted={len(served)} first_after_s={min((a.ended_at for a in served), default=killed) - killed:.3f}")
        await self.post("/back")

    async def freeze(self):
        print("stop", flush=True)
        await asyncio.sleep(0.5)
        since = await self.evacuate("a")
        await asyncio.sleep(BOUND_S + 0.5)
        # Their connections and requests wait at the stopped instance, which meets them when it goes on.
        self.clients += [asyncio.create_task(client(self.fronts[0], f"late{c}", self.stop, self.answers)) for c in range(WAITING)]
        await asyncio.sleep(0.5)
        print("continue", flush=True)
        continued = time.monotonic()
        await asyncio.sleep(3)
        self.check_evacuated("a", since, BOUND_S)
        served = [answer for answer in self.answers
                  if answer.attempt.startswith(("e0-", "late")) and answer.ended_at > continued]
        first = min((answer.ended_at for answer in served if answer.status == "200"), default=float("inf")) - continued
        self.check(first < 1.5, f"the continued instance served nothing for {first} s")
        print(f"first_answer_after_s={first:.3f}")

    async def unlisted(self):
        self.check(set(self.statuses(0)) == {"503"}, f"calls were admitted without a list of evacuations: {self.statuses(0)}")
        await self.post("/back?kind=evacuations")
        back = time.monotonic()
        await asyncio.sleep(4)
        self.check(set(self.statuses(back + 2.5)) == {"200"}, f"not served with a list: {self.statuses(back + 2.5)}")
        self.check(not self.servers[0].arrivals, "a request reached a, which was evacuated from the start")
        print(f"statuses_after={self.statuses(back)}")

    async def unread(self):
        since = await self.evacuate("a")
        await asyncio.sleep(3)
        self.check(self.servers[0].arrived(since + 1), "an evacuation took effect although the settings have no bound")
        self.check([*map(self.evacuated_domains, self.fronts)] == [[]] * len(self.fronts), "the metrics name evacuations")
        print(f"arrived={len(self.servers[0].arrived(since + 1))}")


async def main(store, fronts, addresses, scenario):
    servers = [BackendServer(f"i-{n}", address, "abc"[n % 3]) for n, address in enumerate(addresses)]
    case = Case(store, fronts, servers)
    await case.begin()
    print(f"scenario={scenario} before={[len(server.arrivals) for server in servers]}")
    await getattr(case, scenario)()
    case.stop.set()
    await asyncio.wait(case.clients, timeout=3)
    print(f"statuses={case.statuses(0)}")
    return case.broken


broken_checks = asyncio.run(main(sys.argv[1], sys.argv[2].split(","), sys.argv[3].split(","), sys.argv[4]))
if broken_checks:
    sys.exit("\n".join(broken_checks))
