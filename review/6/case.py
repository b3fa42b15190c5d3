"""Streams that a stopping instance accepts later than 3 s after its SIGTERM, and then cuts. See claim.txt."""

import asyncio
import json
import random
import shutil
import sys

sys.path.insert(0, str(__import__("pathlib").Path(__file__).resolve().parents[1] / "common-2"))
import standins  # noqa: E402
from standins import TROUBLE, CouldNotRun, Engine, Entry, Store, call, now, wait_ready  # noqa: E402

NET = "127.106"
GRACE_S = 8.0
GAP_S = 1.0
RUN_S = 45.0
STOPS_S = (5.0, 18.0, 31.0)
RESTART_S = 0.3
DEADLINE_MS = 10000
# As in the sheet of the Clipback deployment.
MODEL = {"slots": 16, "kvCapacityTokens": 405000, "stride": 34, "models": [{"name": "m"}], "step_ms": 1.31, "per_seq_ms": 0.000917,
         "context_per_k": 0.00213, "read_per_s": 154000.0, "pairs_per_m": 0.162, "chunk": 2048, "report_lag_ms": 200.0, "hopMs": 0.1,
         "usual": {"prompt": 11319, "answer": 1266}}
BOUNDS = {"seedLagS": 3, "stableWindowMs": 3000, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000, "retryBudgetRatio": 0.2,
          "budgetWindowS": 10, "budgetSlack": 106, "stall_ms": 1500, "freeMs": 4000, "idleMaxMs": 9000, "ttl_max_s": 5}
LIMITS = {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0}
# Requests a second of each kind of the sheet, prompt tokens, mean and most events of an answer, target, longest pause.
KINDS = {"batch-query": (42.0, 4960, 30, 96, 300, 250), "damage-review": (5.5, 45000, 23.1, 57, 1500, 600),
         "hire-reconcile": (0.9, 182000, 19.2, 48, 3000, 1000)}


def route(name):
    _, _, _, _, target, gap = KINDS[name]
    return {"name": name, "hostname": "a.example", "pathPrefix": f"/{name}/", "kind": "streaming", "timeoutMs": 10000, "targetLatencyMs": target,
            "priority": 1, "service": "llm", "maxAttempts": 2, "public": False, "sticky": True, "resumable": True, "gapAimMs": gap}


class Client:
    """Asks the directory where to connect, keeps the answer for its time, and longer if it gets no new one."""

    def __init__(self, entries, record, seed):
        self.entries, self.record, self.random = entries, record, random.Random(seed)
        self.addresses, self.until = [], 0
        self.sent = []

    async def resolve(self):
        if now() < self.until:
            return
        for entry in self.random.sample(self.entries, len(self.entries)):
            status, body = await call(entry.ip, 8082, "/pomeloport/resolve?name=a.example&region=r&zone=a")
            if status == 200:
                answer = json.loads(body)
                self.addresses, self.until = answer["addresses"], now() + min(answer["ttlS"], 5)
                return

    async def send(self, kind, number):
        await self.resolve()
        if not self.addresses:
            return
        _, prompt, mean, most, _, _ = KINDS[kind]
        events = int(min(most, max(3, self.random.lognormvariate(0, 0.7) * mean * 0.78)))
        attempt = f"{number:06x}{self.random.getrandbits(40):010x}"
        entry = {"attempt": attempt, "kind": kind, "events": events, "end": "no connection", "got": 0}
        for address in self.random.sample(self.addresses, len(self.addresses)):
            ip, port = address.split(":")
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1)
                break
            except (OSError, asyncio.TimeoutError):
                continue
        else:
            self.sent.append(entry)
            return
        body = b"p" * 1200
        writer.write((f"POST /{kind}/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {attempt}\r\nModel: m\r\nToken-Usage: {prompt},{events * 34}\r\n"
                      f"Prompt-Prefix: {self.random.randrange(1, 60):x}:40,{number + 4096:x}:{prompt - 40}\r\nDeadline-Ms: {DEADLINE_MS}\r\n"
                      f"Authorization: Bearer key\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body)
        entry.update(ip=ip, sent=now())
        self.sent.append(entry)
        try:
            await asyncio.wait_for(self.read(reader, entry), DEADLINE_MS / 1000)
        except asyncio.TimeoutError:
            entry["end"] = "deadline"
        except (asyncio.IncompleteReadError, ConnectionError):
            entry["end"] = "cut"
        entry["ended"] = now()
        writer.close()

    async def read(self, reader, entry):
        head = await standins.read_head(reader)
        if head is None:
            entry["end"] = "cut"
            return
        status, fields = int(head[0].split(" ")[1]), head[1]
        if fields.get("transfer-encoding") != "chunked":
            await reader.readexactly(int(fields.get("content-length", 0)))
            entry["end"] = str(status)
            return
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            entry["got"] += (await reader.readexactly(size + 2)).count(b"id: ")
        await reader.readexactly(2)
        entry["end"] = "whole"


async def stop_in_turn(entries, stops, record):
    """Stops the instances one after the other, as a rolling restart does, and starts each again once it has ended."""
    async def stop(entry):
        times = [entry.ip, now(), now() + GRACE_S]
        stops.append(times)
        record.write(f"SIGTERM to {entry.name}")
        entry.process.terminate()
        killed = False
        end = now() + GRACE_S
        while entry.process.poll() is None:
            if now() > end and not killed:
                killed = True
                entry.process.kill()
            await asyncio.sleep(0.02)
        times[2] = now()
        record.write(f"{entry.name} has ended, killed={killed}")
        await asyncio.sleep(RESTART_S)
        entry.start()

    tasks = []
    for index, entry in enumerate(entries):
        tasks.append(asyncio.create_task(stop(entry)))
        if index + 1 < len(entries):
            await asyncio.sleep(GAP_S)
    await asyncio.gather(*tasks)


async def case(record):
    work = standins.folder()
    store = Store(f"{NET}.0.1")
    await store.start()
    engines = [Engine(f"i-{i}", f"{NET}.1.{i}", 8000, MODEL, record) for i in range(1, 7)]
    group = {"%s:%d" % engine.address: engine for engine in engines}
    for engine in engines:
        engine.group = group
        await engine.start()
        await store.put("servers", engine.identity, {"service": "llm", "address": "%s:%d" % engine.address, "zone": "a", "version": "v1", "slots": MODEL["slots"], "state": "ready", "coldRemainingMs": 0, "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "sequence": 4, "born": 1700000000000})
    await store.put("config", "main", {"version": 3, "routes": [route(kind) for kind in KINDS], "services": [{"name": "llm", "healthPath": "/health", "maxConnections": 274, "protocol": "h1", "tls": False, "engine": MODEL}],
                                       "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}, "tenants": [{"name": "t", "apiKeys": ["key"], "priority": 1}]})
    ips = [f"{NET}.3.1", f"{NET}.3.2"]
    entries = [Entry(work, f"edge-{i}", ip, "a", ["a"], store.address, ips, BOUNDS, LIMITS) for i, ip in enumerate(ips)]
    stops = []
    try:
        for entry in entries:
            entry.start()
        await wait_ready(entries)
        await asyncio.sleep(3)
        client = Client(entries, record, 1)
        begin, number, tasks = now(), 0, []
        stopping = []
        due = {kind: begin for kind in KINDS}
        while now() < begin + RUN_S:
            if TROUBLE and len(stopping) < len(STOPS_S) and now() > begin + STOPS_S[len(stopping)]:
                stopping.append(asyncio.create_task(stop_in_turn(entries, stops, record)))
            for kind, (rate, *_) in KINDS.items():
                while now() >= due[kind]:
                    due[kind] += client.random.expovariate(rate)
                    number += 1
                    tasks.append(asyncio.create_task(client.send(kind, number)))
            await asyncio.sleep(0.005)
        await asyncio.gather(*tasks, *stopping)
        for engine in engines:
            engine.check()
    finally:
        for entry in entries:
            entry.kill()
    ran = {attempt: log for engine in engines for attempt, log in engine.log.items()}
    broken = []
    for entry in client.sent:
        at = entry.get("sent", 0)
        after = [round(at - stop, 2) for ip, stop, end in stops if ip == entry.get("ip") and stop <= at <= end]
        log = ran.get(entry["attempt"], [])
        in_time = entry.get("ended", at) - at < DEADLINE_MS / 1000 - 0.3
        counted = entry["end"] == "cut" and in_time and log and after and after[-1] > 3 and log[-1][0] == "closed by the system"
        record.write(f"{entry['attempt']} {entry['kind']} to {entry.get('ip')} sent={at - begin:.2f} after_sigterm={after} end={entry['end']} "
                     f"events={entry['got']}/{entry['events']} lasted={entry.get('ended', at) - at:.2f} engine={[(w, round(t - begin, 2)) for w, t in log]}{' COUNTED' if counted else ''}")
        if counted:
            broken.append(entry["attempt"])
    ends = {}
    for entry in client.sent:
        ends[entry["end"]] = ends.get(entry["end"], 0) + 1
    record.write(f"requests={len(client.sent)} ends={ends} cut and counted={len(broken)}")
    print(f"requests={len(client.sent)} ends={ends} cut and counted={len(broken)}")
    if ends.get("whole", 0) < 30:
        raise CouldNotRun("too few requests were served")
    shutil.rmtree(work, ignore_errors=True)
    return broken


if __name__ == "__main__":
    standins.run(case, __file__)
