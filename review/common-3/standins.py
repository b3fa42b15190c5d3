"""Stand-ins for the platform's store and for backend servers, as the users' pages describe them. Standard library only.

All of them run in the process of the case, on loopback addresses. A Record notes what was sent, answered and run.
"""

import asyncio
import json
import os
import re
import time
import urllib.parse


# The store's rate of reading calls on the sheets of the two first deployments.
READS_PER_S = 2000


class Record:
    """record.txt of a case: one line for each event, with the seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def note(self, *words):
        self.file.write(f"{self.now():8.3f} " + " ".join(str(word) for word in words) + "\n")
        self.file.flush()


async def read_message(reader):
    """Reads one HTTP message. Returns its first line, its fields in lower case and its body, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    elif fields.get("transfer-encoding") == "chunked":
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    return lines[0], fields, body


def message(status, fields, body=b""):
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in fields), f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's metadata store: objects with revisions, lists, watches, and the drill in which it comes back from a
    copy that is some seconds old."""

    def __init__(self, record):
        self.record = record
        self.revision = 40
        self.era = 1
        self.kinds = {}
        self.history = []
        self.changed = asyncio.Event()
        self.away = False
        self.copies = []
        self.writers = set()
        self.calls = 0
        self.refused = 0
        self.second = (0, 0)

    def takes_call(self):
        """Whether the rate of reading calls permits another one in this second."""
        self.calls += 1
        second = int(time.monotonic())
        self.second = (second, self.second[1] + 1 if self.second[0] == second else 1)
        self.refused += self.second[1] > READS_PER_S
        return self.second[1] <= READS_PER_S

    def put(self, kind, name, spec, born=None):
        """Writes an object; a write that changes nothing does not raise the revision. Returns the revision."""
        known = self.kinds.setdefault(kind, {}).get(name)
        if known and known["spec"] == spec and known.get("born") == born:
            return known["metadata"]["revision"]
        self.revision += 1
        created = known["metadata"]["createdRev"] if known else self.revision
        item = {"metadata": {"name": name, "revision": self.revision, "createdRev": created, "finalizers": []},
                "spec": spec, "status": {}}
        if born is not None:
            item["born"] = born
        self.kinds[kind][name] = item
        self.tell(kind, item, False)
        return self.revision

    def remove(self, kind, name):
        item = self.kinds.get(kind, {}).pop(name, None)
        if item:
            self.revision += 1
            gone = json.loads(json.dumps(item))
            gone["metadata"]["revision"] = self.revision
            self.tell(kind, gone, True)
        return self.revision

    def tell(self, kind, item, deleted):
        self.history.append((self.revision, kind, json.loads(json.dumps(item)), deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    def take_copy(self):
        self.copies = [(self.record.now(), self.revision, json.dumps(self.kinds), list(self.history))]

    def go_away(self):
        """The store is down: its connections end and calls are refused."""
        self.away = True
        for writer in list(self.writers):
            writer.close()
        self.record.note("store away at revision", self.revision)

    def return_from_copy(self):
        taken, self.revision, kinds, self.history = self.copies[0]
        self.kinds = json.loads(kinds)
        self.era += 1
        self.away = False
        self.record.note(f"store back from a copy {self.record.now() - taken:.1f} s old, revision", self.revision,
                         "Store-Era", self.era)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while request := await read_message(reader):
                if self.away:
                    break
                writer.write(await self.answer(*request))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, line, fields, body):
        method, target, _ = line.split(" ")
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        if method == "GET" and not self.takes_call():
            return self.reply(429, {})
        _, _, _, kind, *rest = parts.path.split("/")
        name = urllib.parse.unquote(rest[0]) if rest else None
        objects = self.kinds.setdefault(kind, {})
        if method in ("POST", "PUT"):
            sent = json.loads(body)
            name = name or sent["metadata"]["name"]
            known = objects.get(name)
            wanted = sent["metadata"].get("revision")
            if (method == "POST" and known) or (method == "PUT" and wanted is not None
                                                and known and known["metadata"]["revision"] != wanted):
                return self.reply(409, known)
            if method == "PUT" and not known:
                return self.reply(404, {})
            self.put(kind, name, sent["spec"])
            return self.reply(200, objects[name])
        if method == "DELETE":
            if name not in objects:
                return self.reply(404, {})
            if "revision" in query and int(query["revision"]) != objects[name]["metadata"]["revision"]:
                return self.reply(409, objects[name])
            gone = objects[name]
            self.remove(kind, name)
            return self.reply(200, gone)
        if name:
            return self.reply(200, objects[name]) if name in objects else self.reply(404, {})
        if "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("waitMs", "0")))
        names = sorted(entry for entry in objects if entry > query.get("after", ""))
        return self.reply(200, {"items": [objects[entry] for entry in names[:500]], "hasMore": len(names) > 500,
                                "asOf": self.revision})

    async def watch(self, kind, since, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            if since > self.revision:
                return self.reply(410, {})
            events = [{"object": item, "deleted": deleted}
                      for revision, entry, item, deleted in self.history if revision > since and entry == kind]
            left = end - time.monotonic()
            if events or left <= 0:
                return self.reply(200, {"events": events, "asOf": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def reply(self, status, body):
        return message(status, [("Content-Type", "application/json"), ("Store-Era", self.era)],
                       json.dumps(body).encode())


class Runner:
    """A backend server that answers each request at once and notes its runs."""

    def __init__(self, record, ident, service):
        self.record = record
        self.ident = ident
        self.service = service
        self.runs = []

    async def serve(self, reader, writer):
        try:
            while request := await read_message(reader):
                line, fields, _ = request
                writer.write(self.answer(line, fields))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def answer(self, line, fields):
        attempt = fields.get("attempt-id", "")
        expected = fields.get("expect-instance", self.ident)
        common = [("Attempt-Id", attempt), ("Content-Type", "text/plain")]
        if expected != self.ident:
            return message(421, [*common, ("Not-Executed", "1")])
        if not attempt:
            return message(200, [("Instance-Id", self.ident)])
        self.runs.append((self.record.now(), attempt, fields.get("tenant", "")))
        self.record.note("run", attempt, "at", self.ident, "service", self.service, "tenant",
                         fields.get("tenant", "-"))
        return message(200, [*common, ("Response-Seal", f"seal.{attempt}")], f"{self.ident} {attempt}\n".encode())


async def call(address, target, fields, method="GET", body=b"", timeout=5.0):
    """Sends one request on a new connection. Returns the status, the fields and the body, or None without an answer."""
    host, port = address.split(":")
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)
        lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in fields)]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        answer = await asyncio.wait_for(read_message(reader), timeout)
        return None if answer is None else (int(re.split(r"\s+", answer[0])[1]), answer[1], answer[2])
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer:
            writer.close()


def settings(name, ip, store, zone, zones, seeds, bounds, memory_mb=260):
    """The settings file of one machine, with the fields of the page on deployment."""
    return {
        "nodeName": name, "role": "entry", "machineClass": "edge", "serves": ["edge", "directory", "control_plane"],
        "ip": ip, "zone": zone, "region": zones[zone], "zones": zones,
        "listen": {"front": f"{ip}:8227", "ready": f"{ip}:8220", "control": f"{ip}:8229", "directory": f"{ip}:8224"},
        "internalPorts": [7340, 7355], "seeds": [f"{seed}:8229" for seed in seeds], "bootstrap": True,
        "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": memory_mb, "maxFds": 4100, "linkMbps": 1000.0,
                   "diskMb": 0},
        "dataDir": None, "discovery": "platform", "entry": "directory", "heartbeatMs": 1200,
        "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
        "bounds": bounds,
        "platform": {"address": store, "form": "objects", "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
                     "valueBytes": 1048576, "ttlMinMs": 1000}}


# The bounds of the deployment of Clipback on its sheet.
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4, "drainMs": 2000,
          "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000,
          "failClosed": False, "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 106,
          "recoveryS": 12, "passMs": 120, "retryAfterS": 0, "stall_ms": 1500, "holdMaxMs": 20000, "freeMs": 4000,
          "idleMaxMs": 9000, "ttl_max_s": 5}


class Entries:
    """Entry instances, started as the deploy file says. Ends those that it started, by their process ids."""

    def __init__(self, folder, work):
        self.root = os.path.abspath(os.path.join(folder, "..", ".."))
        self.work = work
        self.processes = {}

    def command(self):
        with open(os.path.join(self.root, "deploy", "system.toml"), encoding="utf-8") as file:
            run = re.search(r'^run = "(.*)"$', file.read(), re.MULTILINE)
        return run.group(1).split(" ")

    async def start(self, name, values):
        path = os.path.join(self.work, name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(values, file)
        log = open(os.path.join(self.work, name + ".log"), "ab")
        self.processes[name] = await asyncio.create_subprocess_exec(
            *self.command(), cwd=self.root, stdout=log, stderr=log, env={**os.environ, "POMELOPORT_BOOT": path})

    async def end(self):
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
        for process in self.processes.values():
            await process.wait()


async def until(seconds, check):
    """Repeats an asynchronous check until it holds. Returns whether it did in time."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if await check():
            return True
        await asyncio.sleep(0.1)
    return False


async def is_ready(ip):
    answer = await call(f"{ip}:8220", "/pomeloport/readiness", [("Host", ip)], timeout=1.0)
    return answer is not None and answer[0] == 200
