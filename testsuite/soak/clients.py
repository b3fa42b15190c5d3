"""Simulated callers of a soak run: they resolve addresses, reuse connections, and record each request's result."""

import asyncio
import json
from dataclasses import dataclass, field

from world import LONG_TIMEOUT_S, NET, exchange, now

# Time after which a caller gives up; also sent as the deadline of the request.
CALLER_TIMEOUT_S = 4.0
# Paths to choose from; repetition sets the weight. The first segment selects the kind of route and, for cut and lost,
# the fault of the backend stand-in.
PATHS = ["/plain/x"] * 4 + ["/once/x"] * 2 + ["/stream/x"] * 3 + ["/cut/x", "/lost/x"]
# Paths of calls that outlast a graceful stop: they run without a first byte, or wait for a server that does not exist.
LONG_PATHS = ["/hang/x", "/absent/x"]


@dataclass
class Attempt:
    """One request and its result as observed by the caller."""

    id: str
    path: str
    key: str
    entry: int
    sent_at: float
    status: int = 0
    ended_at: float = 0.0
    # "whole" (complete response), "cut" (the connection ended early), or "none" (the caller timed out).
    end: str = "none"
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    timeout_s: float = CALLER_TIMEOUT_S


class Connection:
    """A persistent connection to an entry instance."""

    def __init__(self, entry):
        self.entry = entry
        self.usable = False

    async def open(self):
        address = (f"{NET}.3.{self.entry + 1}", 8080)
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(*address), 1.0)
        self.usable = True

    def close(self):
        self.usable = False
        self.writer.close()

    async def request(self, attempt):
        payload = attempt.id.encode()
        head = (
            f"POST {attempt.path} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {attempt.id}\r\n"
            f"Authorization: Bearer {attempt.key}\r\nDeadline-Ms: {int(attempt.timeout_s * 1000)}\r\n"
            f"Content-Length: {len(payload)}\r\n\r\n"
        )
        try:
            self.writer.write(head.encode() + payload)
            await asyncio.wait_for(self._answer(attempt), attempt.timeout_s)
        except (asyncio.IncompleteReadError, OSError):
            attempt.end = "cut"
        except asyncio.TimeoutError:
            attempt.end = "none"
        attempt.ended_at = now()
        if attempt.end != "whole" or attempt.headers.get("connection") == "close":
            self.close()

    async def _answer(self, attempt):
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        attempt.status = int(head[0].split()[1])
        attempt.headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:])}
        if "content-length" in attempt.headers:
            attempt.body = await self.reader.readexactly(int(attempt.headers["content-length"]))
        else:
            while size := int(await self.reader.readuntil(b"\r\n"), 16):
                attempt.body += (await self.reader.readexactly(size + 2))[:-2]
            await self.reader.readexactly(2)
        attempt.end = "whole"


class Client:
    """Sends requests one at a time over persistent connections to the addresses that the directory returns."""

    def __init__(self, world, random, name, paths=PATHS, timeout_s=CALLER_TIMEOUT_S):
        self.world, self.random, self.name = world, random, name
        self.paths, self.timeout_s = paths, timeout_s
        self.attempts = []
        self.addresses = []
        self.addresses_valid_until = 0.0
        self.connections = {}

    async def run(self, until):
        while now() < until:
            await self.refresh_addresses()
            if not self.addresses:
                await asyncio.sleep(0.1)
                continue
            await self.send(self.random.choice(self.paths), "key", self.random.choice(self.addresses))
            await asyncio.sleep(self.random.uniform(0.0, 0.08))
        for connection in self.connections.values():
            connection.close()

    async def send(self, path, key, entry):
        connection = self.connections.get(entry)
        if not connection or not connection.usable or connection.reader.at_eof():
            connection = Connection(entry)
            try:
                await connection.open()
            except (OSError, asyncio.TimeoutError):
                return None
            self.connections[entry] = connection
        attempt = Attempt(f"{self.name}-{len(self.attempts)}", path, key, entry, now(), timeout_s=self.timeout_s)
        self.attempts.append(attempt)
        await connection.request(attempt)
        return attempt

    async def refresh_addresses(self):
        if now() < self.addresses_valid_until:
            return
        for _ in range(3):
            index = self.random.randrange(self.world.entry_count)
            try:
                status, body = await exchange(
                    (f"{NET}.3.{index + 1}", 8082), "GET", "/pomeloport/resolve?name=a.example&zone=a"
                )
                answer = json.loads(body) if status == 200 else {}
            except (OSError, asyncio.TimeoutError, ValueError):
                continue
            if "addresses" in answer:
                self.addresses = [int(a.split(":")[0].split(".")[3]) - 1 for a in answer["addresses"]]
                self.addresses_valid_until = now() + answer["ttlS"]
                return
