"""Stand-ins for the platform, its runners and its clients, and the processes under test, on loopback addresses.

A case builds a Deployment, starts instances of the program with the command of the deploy file, and judges what the
stand-ins saw. Everything runs in one event loop; only the instances are processes of their own.
"""
import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
KEY, HOST, TENANT = "key-of-yard", "a.example", "yard"
# Bounds of the smallest deployment in SYSTEM.md.
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4, "drainMs": 2000,
          "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000,
          "failClosed": False, "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 106,
          "recoveryS": 12, "passMs": 120, "retryAfterS": 0, "stall_ms": 1500, "holdMaxMs": 20000, "freeMs": 4000,
          "idleMaxMs": 9000, "ttl_max_s": 5}
DRAIN_S, STABLE_S = BOUNDS["drainMs"] / 1000, BOUNDS["stableWindowMs"] / 1000
HEARTBEAT_S = 1.2
STORE_DELAY_S = 0.004


class CannotRun(Exception):
    """The case could not be set up, so it says nothing about the rule."""


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def now():
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run to record.txt in the folder of the case."""

    def __init__(self, folder):
        self.began = now()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def __call__(self, *words):
        if self.file.closed:
            return
        self.file.write(f"{now() - self.began:8.3f}  " + " ".join(str(word) for word in words) + "\n")

    def both(self, *words):
        self(*words)
        print(*words, flush=True)

    def at(self, moment):
        return f"{moment - self.began:.3f} s"


async def read_head(reader):
    """Reads a request or response head. Returns the first line and the fields, by name in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields.setdefault(name.strip().lower(), value.strip())
    return first, fields


async def read_body(reader, fields, until_close=False):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
            body += piece
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    return await reader.read() if until_close else b""


def response(status, body, fields=()):
    text = f"HTTP/1.1 {status} X\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields)
    return (text + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class Server:
    """Serves HTTP/1.1, one request at a time on a connection; `serve` writes the answer itself."""

    def __init__(self, address, serve):
        self.host, port = address.rsplit(":", 1)
        self.port, self.serve, self.writers = int(port), serve, set()

    async def start(self):
        try:
            self.server = await asyncio.start_server(self._connection, self.host, self.port, limit=1 << 20)
        except OSError as error:
            raise CannotRun(f"cannot listen on {self.host}:{self.port}: {error}") from error
        return self

    async def _connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, fields = await read_head(reader)
                method, target, _ = first.split(" ")
                body = await read_body(reader, fields)
                await self.serve(method, target, fields, body, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        """Ends it as a process that exits does: no new connections, and all open ones are closed."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """The platform's store: objects by kind and name, one revision counter, lists and watches."""

    def __init__(self, address, record):
        self.address, self.record = address, record
        self.revision, self.kinds, self.history = 10, {}, []
        self.changed = asyncio.Condition()
        self.server = Server(address, self._serve)

    async def start(self):
        await self.server.start()

    async def put(self, kind, name, spec):
        """Writes an object. Returns the moment of the acknowledgement."""
        self.revision += 1
        self.kinds.setdefault(kind, {})[name] = {"metadata": {"name": name, "revision": self.revision}, "spec": spec}
        return await self._note(kind, name, False)

    async def remove(self, kind, name):
        self.revision += 1
        entry = self.kinds[kind].pop(name)
        entry = {**entry, "metadata": {"name": name, "revision": self.revision}}
        return await self._note(kind, name, True, entry)

    async def _note(self, kind, name, deleted, entry=None):
        entry = entry or self.kinds[kind][name]
        self.history.append((self.revision, kind, {"object": entry, "deleted": deleted}))
        async with self.changed:
            self.changed.notify_all()
        self.record("store", f"revision={self.revision}", kind, name, "deleted" if deleted else json.dumps(entry["spec"]))
        return now()

    async def _serve(self, method, target, fields, body, writer):
        path, _, query = target.partition("?")
        arguments = dict(part.partition("=")[::2] for part in query.split("&") if part)
        parts = path.removeprefix("/pomeloport/objects/").split("/")
        await asyncio.sleep(STORE_DELAY_S)
        if method == "GET" and "watch" in arguments:
            status, answer = 200, await self._watch(parts[0], int(arguments["watch"]), int(arguments.get("waitMs", 0)))
        elif method == "GET" and len(parts) == 1:
            items = sorted(self.kinds.get(parts[0], {}).values(), key=lambda item: item["metadata"]["name"])
            status, answer = 200, {"items": items, "hasMore": False, "asOf": self.revision}
        elif method in ("POST", "PUT", "GET", "DELETE"):
            status, answer = await self._change(method, parts, body)
        else:
            status, answer = 400, {}
        # ASCII only: what JSON text cannot hold as it is, stands there as an escape.
        writer.write(response(status, json.dumps(answer).encode("ascii"), [("Content-Type", "application/json")]))

    async def _watch(self, kind, after, wait_ms):
        def events():
            return [event for revision, of, event in self.history if of == kind and revision > after]

        deadline = now() + wait_ms / 1000
        async with self.changed:
            while not events() and now() < deadline:
                try:
                    await asyncio.wait_for(self.changed.wait(), deadline - now())
                except asyncio.TimeoutError:
                    break
        return {"events": events(), "asOf": self.revision}

    async def _change(self, method, parts, body):
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        content = json.loads(body) if body else {}
        name = name or content["metadata"]["name"]
        found = self.kinds.get(kind, {}).get(name)
        if method == "POST" and found:
            return 409, found
        if method != "POST" and not found:
            return 404, {}
        if method == "DELETE":
            await self.remove(kind, name)
            return 200, {}
        if method != "GET":
            await self.put(kind, name, content["spec"])
        return 200, self.kinds[kind][name]


class Runner:
    """A sound runner of plain requests, which works on as many at once as it has slots. Keeps when each reached it."""

    def __init__(self, identity, address, service, record, slots=6, work_s=0.02):
        self.identity, self.address, self.service, self.record = identity, address, service, record
        self.slots, self.work_s, self.arrivals, self.born = slots, work_s, [], int(time.time() * 1000)
        self.free_slots = asyncio.Semaphore(slots)
        self.server = Server(address, self._serve)

    def entry(self, state="ready", **more):
        return {"service": self.service, "address": self.address, "zone": "brisbane-a", "version": "1",
                "slots": self.slots, "state": state, "coldRemainingMs": 0, "sequence": 0, "born": self.born, **more}

    async def start(self):
        await self.server.start()

    async def _serve(self, method, target, fields, body, writer):
        attempt, expected = fields.get("attempt-id", ""), fields.get("expect-instance", self.identity)
        common = [("Attempt-Id", attempt), ("Instance-Load", f"1,0,{self.slots}")]
        if expected != self.identity:
            self.record("runner", self.identity, "421 for", attempt)
            writer.write(response(421, b"", [*common, ("Not-Executed", "1")]))
            return
        self.arrivals.append((now(), attempt))
        self.record("runner", self.identity, "gets", attempt)
        async with self.free_slots:
            await self.answer(attempt, common, writer)

    async def answer(self, attempt, common, writer):
        await asyncio.sleep(self.work_s)
        writer.write(response(200, f"{self.identity} {attempt}\n".encode(),
                              [*common, ("Response-Seal", f"seal.{attempt}"), ("Content-Type", "text/plain")]))


class Link:
    """A proxy for one instance's path to the store. While it is cut, it holds all bytes in both directions and passes
    them on afterwards, as a network does whose lost packets are sent again."""

    def __init__(self, address, target):
        self.host, port = address.rsplit(":", 1)
        self.port, self.target = int(port), target
        self.open, self.used_at, self.writers = asyncio.Event(), 0.0, set()
        self.open.set()

    async def start(self):
        self.server = await asyncio.start_server(self._connection, self.host, self.port)

    async def _connection(self, reader, writer):
        host, port = self.target.rsplit(":", 1)
        await self.open.wait()
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
            self.writers.update((writer, far_writer))
            await asyncio.gather(self._pass(reader, far_writer), self._pass(far_reader, writer))
        except OSError:
            writer.close()

    def cut_off(self):
        """Closes the open connections, as the store does when it cuts off its watches. New ones are accepted."""
        for writer in self.writers:
            writer.close()
        self.writers.clear()

    async def _pass(self, reader, writer):
        try:
            while piece := await reader.read(65536):
                await self.open.wait()
                self.used_at = now()
                writer.write(piece)
                await writer.drain()
            await self.open.wait()
        except OSError:
            pass
        finally:
            writer.close()


class Client:
    """One client with one kept connection, which it opens again when it was closed."""

    def __init__(self, address, record):
        self.address, self.record, self.streams = address, record, None

    async def call(self, attempt, path, deadline_ms=1000, method="GET", body=b""):
        """Sends a request. Returns its status, or 0 if the connection ended without an answer, with body and fields."""
        fresh = self.streams is None
        try:
            if fresh:
                host, port = self.address.rsplit(":", 1)
                self.streams = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
            reader, writer = self.streams
            head = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: {deadline_ms}\r\n"
                    f"Authorization: Bearer {KEY}\r\nContent-Length: {len(body)}\r\n\r\n")
            self.record("client", self.address, "sends", attempt, path)
            writer.write(head.encode() + body)
            first, fields = await asyncio.wait_for(read_head(reader), deadline_ms / 1000 + 1)
            answer = await asyncio.wait_for(read_body(reader, fields), deadline_ms / 1000 + 1)
            status = int(first.split(" ")[1])
            self.record("client", self.address, "gets", status, "for", attempt, answer[:60])
            if fields.get("connection", "").lower() == "close":
                self.close()
            return status, answer, fields
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            self.close()
            self.record("client", self.address, "gets no answer for", attempt, type(error).__name__)
            return 0, b"", {}

    def close(self):
        if self.streams:
            self.streams[1].close()
        self.streams = None


class Instance:
    """One instance of the program, started with the command of the deploy file."""

    def __init__(self, name, ip, zone, store, seeds, folder, zones, memory_mb=260):
        self.name, self.ip, self.folder, self.process, self.memory_mb = name, ip, folder, None, memory_mb
        self.front, self.ready, self.directory = f"{ip}:8227", f"{ip}:8220", f"{ip}:8224"
        settings = {
            "nodeName": name, "role": "entry", "machineClass": "edge", "serves": ["edge", "directory", "control_plane"],
            "ip": ip, "zone": zone, "region": "qld-south", "zones": {each: "qld-south" for each in zones},
            "listen": {"front": self.front, "ready": self.ready, "control": f"{ip}:8229", "directory": self.directory},
            "internalPorts": [7340, 7355], "seeds": seeds, "bootstrap": True, "lossCounts": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": memory_mb, "maxFds": 4100, "linkMbps": 1000.0,
                       "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "directory", "heartbeatMs": int(HEARTBEAT_S * 1000),
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "tenants", "platform"],
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0}, "bounds": BOUNDS,
            "platform": {"address": store, "form": "objects", "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
                         "valueBytes": 1048576, "ttlMinMs": 1000}}
        self.settings = pathlib.Path(folder) / f"{name}.json"
        self.settings.write_text(json.dumps(settings))

    async def start(self):
        with open(ROOT / "deploy/system.toml", "rb") as file:
            command = tomllib.load(file)["roles"]["entry"]["run"].split(" ")
        if not (ROOT / command[0]).exists():
            raise CannotRun(f"{command[0]} is missing: run the build of deploy/system.toml first")
        environment = {"PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/"), "LANG": "C.UTF-8",
                       "POMELOPORT_BOOT": str(self.settings)}
        with open(pathlib.Path(self.folder) / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log,
                                            stderr=log)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    async def is_ready(self):
        host, port = self.ready.rsplit(":", 1)
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
            writer.write(b"GET /pomeloport/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            first, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return " 200 " in first + " "
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit_s=10):
        end = now() + limit_s
        while not await self.is_ready():
            if now() > end or not self.is_running():
                raise CannotRun(f"{self.name} is not ready after {limit_s} s")
            await asyncio.sleep(0.05)

    def memory(self):
        """Resident memory in bytes; 0 once the process has ended."""
        try:
            pages = pathlib.Path(f"/proc/{self.process.pid}/statm").read_text().split()[1]
            return int(pages) * os.sysconf("SC_PAGE_SIZE")
        except (OSError, IndexError):
            return 0

    def send(self, number):
        if self.is_running():
            self.process.send_signal(number)


def route(name, service, kind="idempotent", **more):
    return {"name": name, "hostname": HOST, "pathPrefix": f"/{name}/", "kind": kind, "timeoutMs": 3000,
            "targetLatencyMs": 200, "priority": 1, "service": service, "maxAttempts": 2, **more}


def configuration(version, routes, services):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "maxConnections": 110, "healthPath": "/health"} for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": TENANT, "apiKeys": [KEY]}]}


async def heartbeats(store, runners):
    """Keeps the entries of the runners alive, as they do themselves. Only `sequence` changes, which is no event."""
    while True:
        await asyncio.sleep(HEARTBEAT_S)
        for runner in runners:
            if entry := store.kinds["servers"].get(runner.identity):
                entry["spec"]["sequence"] += 1


def run_case(folder, case):
    """Runs `case(record, work_folder, processes)`; it returns HELD or BROKEN. Ends all processes and exits. A case that is
    stopped, or fails by itself, says nothing about the rule."""
    async def main():
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        record, processes = Record(folder), []
        with tempfile.TemporaryDirectory(prefix="pomeloport-review-") as work:
            try:
                result = await asyncio.wait_for(case(record, work, processes), 110)
            except (Exception, asyncio.CancelledError) as error:
                record.both("the case could not run:", type(error).__name__, error)
                result = NOT_RUN
            finally:
                for instance in processes:
                    instance.send(signal.SIGKILL)
                for instance in processes:
                    if instance.process:
                        instance.process.wait()
            if os.environ.get("KEEP_LOGS"):
                for log in pathlib.Path(work).glob("*.log"):
                    (pathlib.Path(os.environ["KEEP_LOGS"]) / log.name).write_bytes(log.read_bytes())
        record.both({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[result],
                    "with the disruption" if trouble() else "without the disruption")
        record.file.close()
        return result

    loop = asyncio.new_event_loop()
    result = loop.run_until_complete(main())
    sys.stdout.flush()
    os._exit(result)
