"""Clients and backend servers for the case of servers that say what they want.

Usage: load.py STORE FRONT[,FRONT...] SERVER[,SERVER...] SCENARIO. Registers the servers at the store, drives 30 clients for
each instance for some seconds and counts the requests that reach a server although it has told the instance that it wants none.
Prints the counts; exits 1 if a bound is broken.

leaving   one server adds Server-Leaving to its answers while its entry stays ready: no request that a client sent later
          than the drain time after the first such answer of an instance may reach it through that instance
paused    one server turns all requests away with Retry-After: 4.0, several times, and serves again in between: at most two
          requests through an instance between half a second after such an answer and the end of the time
allpaused all servers do: the same, and the callers are told to come back when that has an end
"""

import asyncio
import json
import sys
import time
import urllib.request

CLIENTS = 30
DRAIN_S = 2.0
PAUSE_S = 4.0
PAUSE_SLACK_S = 0.5
PAUSED_REQUESTS = 2
RUN_S = 12.0
WORK_S = 0.05
SLOTS = 8


class BackendServer:
    def __init__(self, name, address):
        self.name, self.address = name, address
        self.leaving = self.pausing = False
        # Per instance: time of the first answer that told of leaving, and of each that asked for a pause.
        self.told_leaving, self.told_pause, self.arrivals = {}, {}, []

    async def start(self):
        host, port = self.address.split(":")
        await asyncio.start_server(self.serve, host, int(port))

    async def serve(self, reader, writer):
        try:
            while head := (await reader.readuntil(b"\r\n\r\n")).decode():
                fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
                attempt = fields.get("attempt-id", "")
                writer.write(await self.answer(attempt))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, attempt):
        instance = attempt.split("-")[0]
        self.arrivals.append((time.monotonic(), instance, attempt))
        extra = "Server-Leaving: 1\r\n" if self.leaving else ""
        if self.pausing:
            self.told_pause.setdefault(instance, []).append(time.monotonic())
            return (f"HTTP/1.1 503 X\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\nRetry-After: {PAUSE_S}\r\n{extra}"
                    "Content-Length: 0\r\n\r\n").encode()
        await asyncio.sleep(WORK_S)
        if extra:
            self.told_leaving.setdefault(instance, time.monotonic())
        return (f"HTTP/1.1 200 X\r\nAttempt-Id: {attempt}\r\nResponse-Seal: s\r\n{extra}Content-Length: 2\r\n\r\nok").encode()


async def client(front, name, stop, sent, statuses, retry_after):
    host, port = front.split(":")
    count = 0
    while not stop.is_set():
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            while not stop.is_set():
                count += 1
                attempt = f"{name}-{count}"
                sent[attempt] = time.monotonic()
                writer.write((f"GET /plain/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 1500\r\n"
                              "Authorization: Bearer key\r\n\r\n").encode())
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
                await reader.readexactly(int(fields.get("content-length", 0)))
                status = head.split(" ")[1]
                statuses[status] = statuses.get(status, 0) + 1
                if "retry-after" in fields:
                    retry_after.append((time.monotonic(), float(fields["retry-after"])))
                await asyncio.sleep(0.05 if status == "200" else 0.3)
        except (ConnectionError, asyncio.IncompleteReadError):
            await asyncio.sleep(0.1)


def put(store, name, address):
    spec = {"service": "s", "address": address, "zone": "a", "slots": SLOTS, "state": "ready", "born": 1}
    urllib.request.urlopen(f"http://{store}/put?kind=servers&name={name}", json.dumps(spec).encode()).read()


def requests_in_pauses(server):
    """Returns the largest number of requests that one instance sent within one pause."""
    most = 0
    for instance, answers in server.told_pause.items():
        for told in answers:
            within = [at for at, of, _ in server.arrivals
                      if of == instance and told + PAUSE_SLACK_S < at < told + PAUSE_S]
            most = max(most, len(within))
    return most


async def main(store, fronts, addresses, scenario):
    servers = [BackendServer(f"i-{n}", address) for n, address in enumerate(addresses)]
    for server in servers:
        await server.start()
        put(store, server.name, server.address)
    await asyncio.sleep(3)
    stop, sent, statuses, retry_after = asyncio.Event(), {}, {}, []
    tasks = [asyncio.create_task(client(front, f"e{n}-{c}", stop, sent, statuses, retry_after))
             for n, front in enumerate(fronts) for c in range(CLIENTS)]
    await asyncio.sleep(2)
    before = sum(len(server.arrivals) for server in servers)
    odd = servers if scenario == "allpaused" else servers[:1]
    for server in odd:
        server.leaving, server.pausing = scenario == "leaving", scenario != "leaving"
    if scenario == "leaving":
        await asyncio.sleep(RUN_S)
    else:
        # Serves again just before the time is over, and is under pressure once more.
        for _ in range(2):
            await asyncio.sleep(PAUSE_S - 0.5)
            for server in odd:
                server.pausing = False
            await asyncio.sleep(2)
            for server in odd:
                server.pausing = True
        await asyncio.sleep(1)
    stop.set()
    await asyncio.gather(*tasks)
    late = [attempt for server in servers for at, instance, attempt in server.arrivals
            if instance in server.told_leaving and sent[attempt] > server.told_leaving[instance] + DRAIN_S]
    most = max(requests_in_pauses(server) for server in servers)
    told = sum(len(server.told_leaving) + sum(map(len, server.told_pause.values())) for server in odd)
    print(f"scenario={scenario} before={before} answers_with_notice={told} late_at_leaving={len(late)} "
          f"most_in_a_pause={most} statuses={statuses} "
          f"longest_retry_after={max((value for _, value in retry_after), default=0):.3f}")
    if before < 100 or told == 0:
        sys.exit("the case could not run: hardly any requests or notices")
    if late or most > PAUSED_REQUESTS:
        sys.exit("requests reached a server that wanted none")
    if scenario == "allpaused" and not any(PAUSE_S * 0.5 < value < PAUSE_S * 1.6 for _, value in retry_after):
        sys.exit("no caller was told when the servers take requests again")


asyncio.run(main(sys.argv[1], sys.argv[2].split(","), sys.argv[3].split(","), sys.argv[4]))
