"""Stand-ins and helpers for the cases of review/6 to review/10: the platform's store, model engines, and the processes of
pomelo-entry. They follow PROTOCOL.md and DEPLOY.md of the users' pages. Every address is a loopback address."""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def now():
    return time.monotonic()


class CouldNotRun(Exception):
    """The case itself could not run, which says nothing about the rule."""


class Record:
    """Lines of record.txt, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = now()

    def write(self, text):
        self.file.write(f"{now() - self.start:8.3f} {text}\n")
        self.file.flush()


async def read_head(reader):
    """Returns the first line and the fields by lower-case name, or None at the end of the connection."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.lower()] = value.strip()
    return lines[0], fields


class Store:
    """The platform's metadata store: list, watch, create, replace and delete of objects, one revision counter."""

    def __init__(self, ip, port=7000):
        self.address = (ip, port)
        self.revision = 1
        self.kinds = {}
        self.changed = asyncio.Condition()
        # While it is silent, calls are read and never answered. The times of watches by kind, for the cases.
        self.silent = False
        self.watches = []
        # Connections that were accepted before this count have gone silent for good; new ones work.
        self.accepted, self.silent_before = 0, 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    async def put(self, kind, name, spec):
        async with self.changed:
            self.revision += 1
            self.kinds.setdefault(kind, {})[name] = {"revision": self.revision, "spec": spec, "deleted": False}
            self.changed.notify_all()

    async def delete(self, kind, name):
        async with self.changed:
            entry = self.kinds.get(kind, {}).get(name)
            if entry and not entry["deleted"]:
                self.revision += 1
                entry.update(revision=self.revision, deleted=True)
                self.changed.notify_all()

    def encode(self, name, entry):
        metadata = {"name": name, "revision": entry["revision"], "createdRev": 1, "finalizers": [], "deleting": False}
        return {"metadata": metadata, "spec": entry["spec"], "status": None}

    def events(self, kind, after):
        entries = sorted(self.kinds.get(kind, {}).items(), key=lambda item: item[1]["revision"])
        return [{"object": self.encode(name, entry), "deleted": entry["deleted"]} for name, entry in entries if entry["revision"] > after]

    async def watch(self, kind, after, seconds):
        end = now() + seconds
        async with self.changed:
            while not self.events(kind, after) and now() < end:
                try:
                    await asyncio.wait_for(self.changed.wait(), end - now())
                except asyncio.TimeoutError:
                    pass
            return {"events": self.events(kind, after), "asOf": self.revision}

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        kind, _, name = path.removeprefix("/pomeloport/objects/").partition("/")
        name = urllib.parse.unquote(name)
        known = self.kinds.get(kind, {}).get(name)
        alive = known and not known["deleted"]
        if method == "GET" and "watch" in query:
            return 200, await self.watch(kind, int(query["watch"]), int(query.get("waitMs", "0")) / 1000)
        if method == "GET" and not name:
            items = [self.encode(n, e) for n, e in sorted(self.kinds.get(kind, {}).items()) if not e["deleted"]]
            return 200, {"items": items, "hasMore": False, "asOf": self.revision}
        if method == "POST":
            document = json.loads(body)
            name = document["metadata"]["name"]
            known = self.kinds.get(kind, {}).get(name)
            if known and not known["deleted"]:
                return 409, self.encode(name, known)
            await self.put(kind, name, document["spec"])
            return 201, self.encode(name, self.kinds[kind][name])
        if not alive:
            return 404, {}
        if method == "PUT":
            document = json.loads(body)
            if document.get("metadata", {}).get("revision", known["revision"]) != known["revision"]:
                return 409, self.encode(name, known)
            await self.put(kind, name, document["spec"])
        elif method == "DELETE":
            await self.delete(kind, name)
        return 200, self.encode(name, self.kinds[kind][name])

    def silence_connections(self):
        self.silent_before = self.accepted

    async def serve(self, reader, writer):
        number = self.accepted
        self.accepted += 1
        try:
            while head := await read_head(reader):
                method, target, _ = head[0].split(" ")
                body = await reader.readexactly(int(head[1].get("content-length", 0)))
                if "watch=" in target:
                    self.watches.append((target.partition("?")[0].rpartition("/")[2], now()))
                status, document = (0, {}) if self.silent else await self.answer(method, target, body)
                if self.silent or status == 0 or number < self.silent_before:
                    # A connection on which a response is lost returns nothing further.
                    await reader.read()
                    return
                text = json.dumps(document).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Stream:
    """A request at an engine."""

    def __init__(self, attempt, prompt, answer, first):
        self.attempt, self.prompt, self.answer = attempt, prompt, answer
        self.written = first
        self.unread = []
        self.context = prompt
        self.events = asyncio.Queue()
        self.left = False
        self.arrived = now()


class Engine:
    """A model engine that works as its service's `engine` says: passes of `stride` steps while requests are writing, and
    reading of up to `chunk` prompt tokens in each step."""

    def __init__(self, identity, ip, port, model, record):
        self.identity, self.address, self.model, self.record = identity, (ip, port), model, record
        self.queue, self.writing, self.reading = [], [], []
        self.tickets = {}
        self.group = {}
        self.wake = asyncio.Event()
        self.log = {}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)
        self.task = asyncio.create_task(self.work())

    def check(self):
        """A stand-in that has stopped working says nothing about the rule."""
        if self.task.done():
            raise CouldNotRun(f"the engine {self.identity} has stopped: {self.task.exception()!r}")

    def used(self):
        return sum(s.prompt + s.answer for s in self.writing + [r[0] for r in self.reading if r[3]])

    def admit(self):
        while self.queue and len(self.writing) + sum(1 for r in self.reading if r[3]) < self.model["slots"]:
            stream, parts = self.queue[0]
            if self.used() + stream.prompt + stream.answer > self.model["kvCapacityTokens"]:
                return
            self.queue.pop(0)
            share = stream.prompt / len(parts)
            stream.unread = [share] * len(parts)
            for index, engine in enumerate(parts):
                entry = [stream, index, share, engine is self]
                engine.reading.insert(0, entry) if engine is not self else engine.reading.append(entry)
                engine.wake.set()

    def read(self, budget):
        """Reads prompt tokens for one step; returns the milliseconds that it takes."""
        spent = 0.0
        for entry in list(self.reading):
            stream, index, _, _ = entry
            if stream.left:
                self.reading.remove(entry)
                continue
            take = min(budget, stream.unread[index])
            pairs = stream.prompt * take / 2 / 1e6
            spent += take * 1000 / self.model["read_per_s"] + pairs * self.model["pairs_per_m"]
            stream.unread[index] -= take
            budget -= take
            if stream.unread[index] <= 0 and not entry[3]:
                self.reading.remove(entry)
            if budget <= 0:
                break
        return spent

    async def work(self):
        model = self.model
        due = now()
        while True:
            self.admit()
            self.writing = [s for s in self.writing if not s.left]
            for entry in [e for e in self.reading if e[3] and (e[0].left or max(e[0].unread) <= 0)]:
                self.reading.remove(entry)
                if not entry[0].left:
                    self.writing.append(entry[0])
            if not self.writing and not any(e[0].unread[e[1]] > 0 for e in self.reading):
                self.wake.clear()
                try:
                    await asyncio.wait_for(self.wake.wait(), 0.005 if self.reading or self.queue else 1)
                except asyncio.TimeoutError:
                    pass
                due = now()
                continue
            writers = list(self.writing)
            spent = 0.0
            for _ in range(int(model["stride"]) if writers else 1):
                spent += model["step_ms"] + sum(model["per_seq_ms"] + s.context / 1000 * model["context_per_k"] for s in writers)
                spent += self.read(model["chunk"])
            due = max(due, now() - 0.05) + spent / 1000
            await asyncio.sleep(max(0.0, due - now()))
            for stream in writers:
                stream.written += 1
                stream.context += model["stride"]
                stream.events.put_nowait(stream.written)
                if stream.written * model["stride"] >= stream.answer:
                    stream.events.put_nowait(None)
                    self.writing.remove(stream)

    def order(self, body):
        order = json.loads(body)
        if order.get("operation") == "reserve":
            self.tickets[order["id"]] = order["tokens"]
        else:
            self.tickets.pop(order.get("id"), None)
        return 200, {"free": self.model["kvCapacityTokens"] - self.used()}

    def report(self):
        tickets = [{"id": name, "tokens": tokens, "state": "used", "ageMs": 0} for name, tokens in self.tickets.items()]
        return 200, {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False, "sequence": 0, "queued": len(self.queue), "running": len(self.writing), "kvUsed": self.used(), "kvTotal": self.model["kvCapacityTokens"], "handles": 0, "pace": 1, "tickets": tickets}

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                method, target, _ = head[0].split(" ")
                fields = head[1]
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                if target.startswith("/pomeloport/"):
                    status, document = self.order(body) if method == "POST" else self.report()
                    text = json.dumps(document).encode()
                    writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(text)) + text)
                elif not await self.stream(fields, reader, writer):
                    return
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def stream(self, fields, reader, writer):
        attempt = fields.get("attempt-id", "")
        base = f"Attempt-Id: {attempt}\r\nInstance-Id: {self.identity}\r\nInstance-Load: {len(self.writing)},{len(self.queue)},{self.model['slots']}\r\n"

        def refuse(status):
            writer.write(f"HTTP/1.1 {status} X\r\n{base}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
            return True

        if fields.get("expect-instance", self.identity) != self.identity:
            return refuse(421)
        if len(self.queue) >= 32:
            return refuse(503)
        prompt, answer = (int(part) for part in fields["token-usage"].split(","))
        last = int(fields.get("last-event-id", 0))
        parts = [self]
        for name in filter(None, fields.get("helpers", "").split(",")):
            helper = self.group.get(name.partition("/")[0].strip())
            if helper and helper not in parts:
                parts.append(helper)
        stream = Stream(attempt, prompt, answer, last)
        self.log.setdefault(attempt, []).append(["arrived", now()])
        self.queue.append((stream, parts))
        self.wake.set()
        closed = asyncio.create_task(reader.read(1))
        begun = False
        try:
            while True:
                item = asyncio.create_task(stream.events.get())
                await asyncio.wait({item, closed}, return_when=asyncio.FIRST_COMPLETED)
                if not item.done():
                    item.cancel()
                    self.log[attempt].append(["closed by the system", now()])
                    return False
                event = item.result()
                if not begun:
                    writer.write(f"HTTP/1.1 200 OK\r\n{base}Response-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
                    begun = True
                if event is None:
                    writer.write(b"0\r\n\r\n")
                    self.log[attempt].append(["whole", now()])
                    return not closed.done()
                text = f"id: {event}\ndata: {'x' * 60}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(text), text))
                await writer.drain()
        finally:
            stream.left = True
            self.wake.set()
            closed.cancel()
            # The system may have reset the connection, which ends the read with an error.
            await asyncio.gather(closed, return_exceptions=True)


class Entry:
    """A process of pomelo-entry, started with the command of the deploy file."""

    def __init__(self, folder, name, ip, zone, zones, store, seeds, bounds, limits):
        self.name, self.ip, self.folder = name, ip, folder
        self.settings = folder / f"{name}.json"
        self.settings.write_text(json.dumps({
            "nodeName": name, "role": "entry", "machineClass": "edge", "serves": ["edge", "directory", "control_plane"], "ip": ip, "zone": zone,
            "region": "r", "zones": {z: "r" for z in zones}, "listen": {"front": f"{ip}:8080", "ready": f"{ip}:8081", "directory": f"{ip}:8082", "control": f"{ip}:8083"},
            "internalPorts": [7340, 7355], "seeds": [f"{seed}:8083" for seed in seeds], "bootstrap": True, "limits": limits, "dataDir": None,
            "bounds": bounds, "platform": {"address": "%s:%d" % store, "form": "objects", "writesPerS": 400, "readsPerS": 2000}}))
        self.process = None
        self.starts = 0

    def start(self):
        command = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]["run"].split()
        if not (ROOT / command[0]).exists():
            raise CouldNotRun(f"{command[0]} is missing; run the build of the deploy file first")
        self.starts += 1
        log = open(self.folder / f"{self.name}-{self.starts}.log", "w", encoding="utf-8")
        environment = {"POMELOPORT_BOOT": str(self.settings), "PATH": os.environ.get("PATH", "/usr/bin:/bin"), "HOME": "/tmp"}
        self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log, stderr=subprocess.STDOUT)

    async def ready(self):
        status, _ = await call(self.ip, 8081, "/pomeloport/readiness")
        return status == 200

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


async def call(ip, port, target, timeout=1.0):
    """A small GET; returns the status and the body, status 0 if there is no answer."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), timeout)
        writer.write(f"GET {target} HTTP/1.1\r\nHost: {ip}\r\nConnection: close\r\n\r\n".encode())
        data = await asyncio.wait_for(reader.read(), timeout)
        writer.close()
        head, _, body = data.partition(b"\r\n\r\n")
        return int(head.split(b" ")[1]), body
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return 0, b""


async def wait_ready(entries, seconds=15):
    end = now() + seconds
    for entry in entries:
        while not await entry.ready():
            if now() > end:
                raise CouldNotRun("the instances did not become ready")
            await asyncio.sleep(0.1)


def folder():
    return pathlib.Path(tempfile.mkdtemp(prefix="pomeloport-review."))


def run(case, path):
    """Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    record = Record(pathlib.Path(path).resolve().parent / "record.txt")
    record.write(f"TROUBLE={1 if TROUBLE else 0}")
    try:
        broken = asyncio.run(asyncio.wait_for(case(record), 115))
    except Exception as error:  # noqa: BLE001, an error of the case itself must not look like a broken rule
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        raise SystemExit(2)
    verdict = "broken" if broken else "held"
    record.write(f"the rule {verdict}")
    print(f"the rule {verdict}: {broken}" if broken else "the rule held")
    raise SystemExit(1 if broken else 0)
