"""The processes of a soak run and the proxies between them.

Entry instances reach the store and each backend server through a proxy that can delay traffic, reset connections, or
hold back traffic in one or both directions. Every process is stopped by its own process id."""

import asyncio
import json
import os
import signal as signals
import time

NET = os.environ.get("POMELO_NET", "127.48")
STORE = (f"{NET}.0.1", 7000)
# Time limit from SIGTERM to the exit of an instance.
GRACE_S = 6.0
# Time after which nothing reaches the servers of an evacuated failure domain, whatever faults there are.
EVACUATE_S = 5.0
# Time limit of calls that outlast a graceful stop.
LONG_TIMEOUT_S = 7.0


def now():
    return time.monotonic()


def domain_of(runner):
    """Returns the failure domain of a backend server, named "i-INDEX" or "i-INDEX-GENERATION"."""
    return "abc"[int(runner.split("-")[1]) % 3]


class Proxy:
    """Relays TCP connections. A blocked direction holds its bytes back, as a network partition does."""

    def __init__(self, address, target):
        self.address, self.target = address, target
        self.delay_s = 0.0
        self.refusing = False
        self.open = {"up": asyncio.Event(), "down": asyncio.Event()}
        self.writers = set()
        self.heal()

    async def start(self):
        self.server = await asyncio.start_server(self._accept, *self.address)

    def heal(self):
        self.delay_s, self.refusing = 0.0, False
        for event in self.open.values():
            event.set()

    def apply(self, mode):
        """Starts a disruption: "mute" blocks the target's responses, "deaf" the requests to it, "silent" both."""
        if mode == "delay":
            self.delay_s = 0.25
        elif mode == "reset":
            self.refusing = True
            self.reset()
        elif mode == "silent":
            self.open["up"].clear()
            self.open["down"].clear()
        elif mode == "mute":
            self.open["down"].clear()
        elif mode == "deaf":
            self.open["up"].clear()

    def stop(self):
        self.heal()
        self.server.close()
        self.reset()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def _accept(self, reader, writer):
        if self.refusing:
            writer.transport.abort()
            return
        try:
            back_reader, back_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, back_writer}
        await asyncio.gather(
            self._pump(reader, back_writer, "up"), self._pump(back_reader, writer, "down"), return_exceptions=True
        )
        self.writers -= {writer, back_writer}

    async def _pump(self, reader, writer, direction):
        try:
            while data := await reader.read(65536):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                await self.open[direction].wait()
                writer.write(data)
                await writer.drain()
            await self.open[direction].wait()
            writer.close()
        except OSError:
            writer.transport.abort()


class Process:
    """A running program, its timestamped output, and the time spans during which faults affect it."""

    def __init__(self, name, arguments, log_folder):
        self.name, self.arguments = name, arguments
        self.log = open(os.path.join(log_folder, name + ".log"), "w", encoding="utf-8", errors="replace")
        self.lines = []
        self.disturbed = []
        # Spans from the planned exit of the process until it serves again.
        self.restarts = []
        self.leaving_since = None
        self.child = None

    async def start(self):
        self.child = await asyncio.create_subprocess_exec(
            *self.arguments, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT
        )
        self.reading = asyncio.create_task(self._read(self.child))

    async def _read(self, child):
        async for raw in child.stdout:
            line = raw.decode(errors="replace")
            self.lines.append((now(), line))
            self.log.write(line)

    def send_signal(self, number):
        if self.child and self.child.returncode is None:
            self.child.send_signal(number)

    async def end(self, number=signals.SIGKILL):
        self.send_signal(signals.SIGCONT)
        self.send_signal(number)
        status = await self.child.wait()
        await self.reading
        return status

    def undisturbed(self, start, end):
        """Returns whether the span overlaps no disturbance."""
        return all(end < begin or start > finish for begin, finish in self.disturbed)

    def expected_to_serve(self, at):
        """Returns whether no planned restart excuses a request that was sent at this time."""
        return not any(begin <= at <= finish for begin, finish in self.restarts)


class World:
    """A store, backend servers and entry instances."""

    def __init__(self, programs, folder, entries=5, runners=4):
        self.programs, self.folder = programs, folder
        self.entry_count, self.runner_count = entries, runners
        self.runners, self.runner_proxies, self.entries, self.store_proxies = {}, {}, [], []
        self.version = 1
        # API key to the time of its revocation, None while it is valid.
        self.keys = {"key": None}
        # Path prefix of an added route to the time when its configuration was written.
        self.extra_routes = {}
        self.store_disturbed = []
        # Time at which each backend server was announced as draining.
        self.drained = {}
        # Failure domain, time of the store's acknowledgement and time of the end of each evacuation.
        self.evacuations = []

    async def start(self):
        self.store = Process("store", [f"{self.programs}/platform-standin", "%s:%d" % STORE], self.folder)
        await self.store.start()
        await self.wait_until(lambda: self.store_call("GET", "/runs"))
        await self.configure()
        for index in range(self.runner_count):
            await self.add_runner(index, f"i-{index}")
        for index in range(1, self.entry_count + 1):
            await self.add_entry(index)
        for index in range(self.entry_count):
            await self.wait_until(lambda: self.ready(index))

    async def stop(self):
        for process in [*self.entries, *self.runners.values(), self.store]:
            if process.child.returncode is None:
                await process.end()
            process.log.close()
        for proxy in [*self.runner_proxies.values(), *self.store_proxies]:
            proxy.stop()

    async def wait_until(self, check, seconds=15):
        end = now() + seconds
        while now() < end:
            try:
                if await check():
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError("the system did not start")

    async def add_entry(self, index):
        ip, store = f"{NET}.3.{index}", (f"{NET}.4.{index}", 7000)
        proxy = Proxy(store, STORE)
        await proxy.start()
        self.store_proxies.append(proxy)
        settings = {
            "nodeName": f"entry-{index}", "region": "r", "zone": "abc"[index % 3], "ip": ip,
            "internalPorts": [7340, 7355],
            "listen": {"front": f"{ip}:8080", "ready": f"{ip}:8081", "directory": f"{ip}:8082"},
            "seeds": [f"{NET}.3.{seed}:8083" for seed in (1, 2, 3)],
            "platform": {"address": "%s:%d" % store}, 
            "bounds": {"graceS": GRACE_S, "evacuateMs": int(EVACUATE_S * 1000)},
        }  # fmt: skip
        path = os.path.join(self.folder, f"entry-{index}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        process = Process(f"entry-{index}", [f"{self.programs}/pomelo-entry", "--settings", path], self.folder)
        self.entries.append(process)
        await process.start()

    async def add_runner(self, index, name):
        await self.start_runner(index, name)
        await self.announce(index, name, "ready")

    async def start_runner(self, index, name):
        real, seen = (f"{NET}.1.{index + 1}", 8000), (f"{NET}.2.{index + 1}", 8000)
        if index not in self.runner_proxies:
            self.runner_proxies[index] = Proxy(seen, real)
            await self.runner_proxies[index].start()
        process = Process(name, [f"{self.programs}/platform-standin", "--runner", name, "%s:%d" % real], self.folder)
        self.runners[name] = process
        await process.start()

    async def announce(self, index, name, state):
        spec = {"service": "s", "address": f"{NET}.2.{index + 1}:8000", "zone": domain_of(name), "slots": 8, "state": state}
        await self.store_call("POST", f"/put?kind=servers&name={name}", {**spec, "born": int(time.time() * 1000)})

    async def configure(self):
        def route(prefix, kind, service="s", timeout_s=3.0):
            return {
                "name": prefix, "hostname": "a.example", "pathPrefix": prefix, "kind": kind,
                "timeoutMs": int(timeout_s * 1000), "targetLatencyMs": 200, "service": service, "maxAttempts": 2,
                "resumable": kind == "streaming", "gapAimMs": 250,
            }  # fmt: skip

        routes = [
            route("/plain/", "idempotent"), route("/once/", "non_idempotent"), route("/lost/", "non_idempotent"),
            route("/stream/", "streaming"), route("/cut/", "streaming"),
            route("/hang/", "non_idempotent", timeout_s=LONG_TIMEOUT_S),
            route("/absent/", "idempotent", "absent", LONG_TIMEOUT_S),
        ]  # fmt: skip
        routes += [route(prefix, "idempotent") for prefix in self.extra_routes]
        document = {
            "version": self.version, "routes": routes, "services": [{"name": name, "maxConnections": 100} for name in ("s", "absent")],
            "limits": {}, "tenants": [{"name": "org", "apiKeys": [k for k, gone in self.keys.items() if not gone]}],
        }  # fmt: skip
        self.version += 1
        await self.store_call("POST", "/put?kind=config&name=main", document)

    async def store_call(self, method, target, document=None):
        body = json.dumps(document).encode() if document is not None else b""
        return (await exchange(STORE, method, target, body))[0] == 200

    async def ready(self, index):
        return (await exchange((f"{NET}.3.{index + 1}", 8081), "GET", "/pomeloport/readiness"))[0] == 200


async def exchange(address, method, target, body=b"", timeout_s=1.0):
    """Sends a request on a new connection; returns status and body, with status 0 if the response is empty."""
    reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), timeout_s)
    try:
        head = f"{method} {target} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        writer.write(head.encode() + body)
        answer = await asyncio.wait_for(reader.read(), timeout_s)
    finally:
        writer.close()
    head, _, rest = answer.partition(b"\r\n\r\n")
    return int(head.split()[1]) if head else 0, rest
