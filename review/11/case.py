"""The store comes back from a copy that is some seconds old; a configuration is acknowledged well after that.

Exits with 1 if requests are handled as only an older configuration allows, 0 if not, 2 if the case could not run.
"""

import asyncio
import os
import shutil
import sys
import tempfile

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-3"))
import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NET = "127.71"
STORE = f"{NET}.0.1:8223"
ZONES = {"brisbane-a": "qld-south", "ipswich-b": "qld-south", "logan-c": "qld-south"}
ENTRIES = {"edge-1": (f"{NET}.3.1", "brisbane-a"), "edge-2": (f"{NET}.3.2", "ipswich-b"),
           "edge-3": (f"{NET}.3.3", "logan-c")}
APPLY_S = standins.BOUNDS["configApplyMs"] / 1000
STABLE_S = standins.BOUNDS["stableWindowMs"] / 1000


def route(name, service, timeout_ms):
    return {"name": name, "hostname": "depot.example", "pathPrefix": f"/{name}/", "kind": "idempotent",
            "timeoutMs": timeout_ms, "targetLatencyMs": 150, "priority": 2, "maxAttempts": 2, "service": service}


def configuration(version, timeout_ms, moved):
    """Until the change, /move/ belongs to old-app and the key of the second tenant is valid."""
    return {"version": version,
            "routes": [route("move", "new-app" if moved else "old-app", timeout_ms),
                       route("stay", "old-app", timeout_ms)],
            "services": [{"name": name, "maxConnections": 110} for name in ("old-app", "new-app")],
            "limits": {},
            "tenants": [{"name": "kept", "apiKeys": ["key-kept"]},
                        {"name": "left", "apiKeys": ["key-spare"] if moved else ["key-spare", "key-taken"]}]}


class Case:
    def __init__(self, record, work):
        self.record = record
        self.store = standins.Store(record)
        self.runners = [standins.Runner(record, "i-old-1", "old-app"), standins.Runner(record, "i-old-2", "old-app"),
                        standins.Runner(record, "i-new-1", "new-app")]
        self.entries = standins.Entries(FOLDER, work)
        self.sent = {}
        self.number = 0

    def write(self, version, timeout_ms, moved=False):
        revision = self.store.put("config", "main", configuration(version, timeout_ms, moved))
        self.record.note("operator: version", version, "acknowledged, revision", revision)
        return self.record.now()

    async def begin(self):
        for i, runner in enumerate(self.runners):
            address = (f"{NET}.2.{i + 1}", 8080)
            await asyncio.start_server(runner.serve, *address)
            self.store.put("servers", runner.ident,
                           {"service": runner.service, "address": f"{address[0]}:{address[1]}", "zone": "brisbane-a",
                            "version": "1", "slots": 6, "state": "ready", "coldRemainingMs": 0, "sequence": 1}, born=1)
        self.write(10, 1000)
        await asyncio.start_server(self.store.serve, *STORE.split(":"))
        seeds = [ip for ip, _ in ENTRIES.values()]
        for name, (ip, zone) in ENTRIES.items():
            await self.entries.start(name, standins.settings(name, ip, STORE, zone, ZONES, seeds, standins.BOUNDS))
        for ip, _ in ENTRIES.values():
            if not await standins.until(15, lambda ip=ip: standins.is_ready(ip)):
                raise RuntimeError(f"{ip} is not ready")

    async def request(self, ip, kind, path, key):
        self.number += 1
        attempt = f"{kind}-{self.number:05}"
        self.sent[attempt] = self.record.now()
        answer = await standins.call(f"{ip}:8227", path,
                                     [("Host", "depot.example"), ("Attempt-Id", attempt), ("Deadline-Ms", "1000"),
                                      ("Authorization", f"Bearer {key}")], timeout=2.0)
        self.record.note("answer", attempt, "sent", f"{self.sent[attempt]:.3f} to {ip}", path, key,
                         "status", answer[0] if answer else "none")

    async def traffic(self):
        while True:
            for ip, _ in ENTRIES.values():
                asyncio.create_task(self.request(ip, "move", "/move/1", "key-kept"))
                asyncio.create_task(self.request(ip, "key", "/stay/1", "key-taken"))
            await asyncio.sleep(0.1)

    async def play(self):
        await self.begin()
        traffic = asyncio.create_task(self.traffic())
        await asyncio.sleep(1)
        self.store.take_copy()
        for version, timeout_ms in ((13, 1100), (14, 1200), (19, 1300)):
            await asyncio.sleep(0.7)
            self.write(version, timeout_ms)
        await asyncio.sleep(1.4)
        if TROUBLE:
            self.store.go_away()
            await asyncio.sleep(1)
            self.store.return_from_copy()
        await asyncio.sleep(0.3)
        self.write(19, 1300)
        await asyncio.sleep(STABLE_S + 1)
        acknowledged = self.write(21, 1300, moved=True)
        await asyncio.sleep(APPLY_S + 6)
        judged_until = self.record.now()
        # Shows in the record only whether later changes take effect.
        for version, timeout_ms in ((22, 1400), (25, 1500)):
            self.write(version, timeout_ms, moved=True)
            await asyncio.sleep(3)
        traffic.cancel()
        await asyncio.sleep(1)
        return acknowledged, judged_until

    def judge(self, acknowledged, judged_until):
        """Counts the requests sent later than configApplyMs after the acknowledgement, by how they were handled."""
        stale = {"old service": 0, "key taken away": 0}
        counted = late = 0
        for runner in self.runners:
            for _, attempt, _ in runner.runs:
                sent = self.sent[attempt]
                if sent <= acknowledged + APPLY_S:
                    continue
                wrong = runner.service == "old-app" if attempt.startswith("move") else True
                if sent > judged_until:
                    late += wrong
                    continue
                counted += attempt.startswith("move")
                if wrong:
                    stale["old service" if attempt.startswith("move") else "key taken away"] += 1
        self.record.note("judged: requests on /move/ that ran", counted, "by the old service", stale["old service"],
                         "requests that ran with the key taken away", stale["key taken away"],
                         "| sent after the window, handled as only the older version allows", late)
        print(f"/move/ ran {counted}, at the old service {stale['old service']}; "
              f"ran with the key taken away {stale['key taken away']}; later ones {late}; "
              f"reading calls to the store {self.store.calls}, refused for their rate {self.store.refused}")
        if counted < 20:
            return 2
        return 1 if any(stale.values()) else 0


async def main():
    record = standins.Record(os.path.join(FOLDER, "record.txt"))
    work = tempfile.mkdtemp(prefix="review-11.")
    case = Case(record, work)
    try:
        return case.judge(*await case.play())
    except (OSError, RuntimeError) as error:
        record.note("could not run:", error)
        print("could not run:", error)
        return 2
    finally:
        await case.entries.end()
        if "KEEP" in os.environ:
            print("logs in", work)
        else:
            shutil.rmtree(work, ignore_errors=True)


sys.exit(asyncio.run(main()))
