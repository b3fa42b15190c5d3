"""A model runner that streams events, and crashes when it begins to write an answer on a certain part of a prompt."""

import asyncio

import standins

# As on the sheets of the deployments: slots, memory and speed of an engine.
ENGINE = {"slots": 16, "kvCapacityTokens": 405000, "kvTokenBytes": 163840, "linkMbps": 400000.0, "stride": 34,
          "models": [{"name": "m"}], "step_ms": 1.31, "per_seq_ms": 0.000917, "context_per_k": 0.00213,
          "read_per_s": 154000.0, "pairs_per_m": 0.162, "chunk": 2048, "report_lag_ms": 200.0, "loadsPerS": 0.0,
          "loads_at_once": 8, "delays": [], "usual": {"prompt": 10000, "answer": 1000}, "hopMs": 0.1}


# How long work that depends on a runner which is gone stalls, as on the sheets.
STALL_S = 1.5


class Engine:
    """One model runner, back some seconds after each crash. A crash ends its connections as the end of a process does:
    what was written still arrives."""

    def __init__(self, record, store, ident, address, zone, bad_part, options):
        self.record = record
        self.store = store
        self.ident = ident
        self.address = address
        self.zone = zone
        self.bad_part = bad_part
        # framed: whether answers are sent in chunks; partial: the bytes of the first event that a crash still writes;
        # first_s: time to the first event, by the number of prompt tokens; events, gap_s: of a whole answer.
        self.options = options
        # All engines by address, for those that help with a prompt.
        self.fleet = {address: self}
        self.born = 1
        self.writers = set()
        self.server = None
        self.crashed = asyncio.Event()
        self.arrivals = []

    def register(self):
        self.store.put("servers", self.ident,
                       {"service": "llm", "address": self.address, "zone": self.zone, "version": "1", "slots": 16,
                        "state": "ready", "coldRemainingMs": 0, "stage": "both",
                        "models": [{"name": "m", "version": 1, "adapters": []}], "sequence": 1}, born=self.born)

    async def start(self):
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.register()

    def crash(self, attempt):
        if self.server is None:
            return
        self.record.note("crash", self.ident, "born", self.born, "on", attempt, "with",
                         len(self.writers) - 1, "other connections")
        self.server.close()
        self.server = None
        self.crashed.set()
        for writer in list(self.writers):
            writer.close()
        asyncio.create_task(self.come_back())

    async def come_back(self):
        await asyncio.sleep(self.options.get("back_s", 2))
        self.born += 1
        self.crashed = asyncio.Event()
        await self.start()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while request := await standins.read_message(reader):
                if not await self.answer(writer, *request):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, writer, line, fields, _):
        """Answers one request. Returns whether the connection is kept."""
        attempt = fields.get("attempt-id", "")
        if fields.get("expect-instance", self.ident) != self.ident:
            writer.write(standins.message(421, [("Attempt-Id", attempt), ("Not-Executed", "1")]))
            return True
        if not attempt:
            writer.write(standins.message(200, [("Instance-Id", self.ident)]))
            return True
        self.record.note("arrives", attempt, "at", self.ident, "born", self.born)
        self.arrivals.append((self.record.now(), attempt))
        parts = [entry.split(":")[0].strip() for entry in fields.get("prompt-prefix", "").split(",")]
        tokens = int(fields["token-usage"].split(",")[0])
        helpers = [entry.split("/")[0] for entry in fields.get("helpers", "").split(",") if entry]
        if at_fault := await self.read_prompt(tokens, helpers):
            self.record.note("503 for", attempt, "since helper", at_fault, "is gone")
            writer.write(standins.message(503, [("Attempt-Id", attempt), ("Not-Executed", "1"),
                                                ("At-Server", at_fault)]))
            return True
        framed = self.options.get("framed", False)
        last = int(fields.get("last-event-id", "0"))
        head = ["HTTP/1.1 200 OK", f"Attempt-Id: {attempt}", f"Response-Seal: seal.{attempt}",
                "Content-Type: text/event-stream", *(["Transfer-Encoding: chunked"] if framed else []), "", ""]
        writer.write("\r\n".join(head).encode())
        if self.bad_part in parts[:-1]:
            self.write(writer, f"id: {last + 1}\ndata: event of {attempt}\n\n"[:self.options.get("partial", 0)], framed)
            await asyncio.sleep(0.01)
            self.crash(attempt)
            return False
        # Each write ends inside an event until the last one, so that a stream which a crash cuts shows that it was cut.
        rest = ""
        for number in range(last + 1, self.options["events"] + 1):
            event = f"id: {number}\ndata: event of {attempt}\n\n"
            self.write(writer, rest + event[:12], framed)
            rest = event[12:]
            await writer.drain()
            await asyncio.sleep(self.options["gap_s"])
        self.write(writer, rest, framed)
        if framed:
            writer.write(b"0\r\n\r\n")
        return framed

    async def read_prompt(self, tokens, helpers):
        """Reads a prompt together with helpers. Returns the address of one that is or goes down, or nothing."""
        others = [self.fleet[address] for address in helpers]
        seconds = self.options["first_s"](tokens) / (1 + len(others))
        gone = [other for other in others if other.server is None]
        if not gone and others:
            waits = {asyncio.create_task(other.crashed.wait()): other for other in others}
            done, pending = await asyncio.wait(waits, timeout=seconds, return_when=asyncio.FIRST_COMPLETED)
            for task in pending:
                task.cancel()
            gone = [waits[task] for task in done]
            if gone:
                await asyncio.sleep(STALL_S)
        elif not gone:
            await asyncio.sleep(seconds)
        return gone[0].address if gone else ""

    @staticmethod
    def write(writer, text, framed):
        if text:
            writer.write(f"{len(text):x}\r\n{text}\r\n".encode() if framed else text.encode())


def configuration():
    """One streaming route to the engines, which may be resumed, as on the sheets."""
    return {"version": 7,
            "routes": [{"name": "batch-query", "hostname": "depot.example", "pathPrefix": "/query/",
                        "kind": "streaming", "timeoutMs": 10000, "targetLatencyMs": 300, "priority": 1,
                        "service": "llm", "maxAttempts": 2, "public": False, "sticky": True, "resumable": True,
                        "gapAimMs": 250},
                       {"name": "hire-reconcile", "hostname": "depot.example", "pathPrefix": "/reconcile/",
                        "kind": "streaming", "timeoutMs": 15000, "targetLatencyMs": 3000, "priority": 1,
                        "service": "llm", "maxAttempts": 2, "public": False, "sticky": True, "resumable": True,
                        "gapAimMs": 1000},
                       {"name": "stock-lookup", "hostname": "depot.example", "pathPrefix": "/stock/",
                        "kind": "idempotent", "timeoutMs": 1000, "targetLatencyMs": 150, "priority": 2,
                        "service": "returns-app", "maxAttempts": 2, "public": False}],
            "services": [{"name": "llm", "healthPath": "/health", "maxConnections": 274, "engine": ENGINE},
                         {"name": "returns-app", "healthPath": "/health", "maxConnections": 110}],
            "limits": {}, "tenants": [{"name": "yard", "apiKeys": ["key-yard"]}]}


async def prompt(record, ip, path, attempt, parts, tokens, timeout_s):
    """Sends a prompt as a client would and reads its answer. Returns the status, the number of whole events and whether
    the answer was complete by its framing."""
    host, port = ip, 8227
    sent = record.now()
    status, events, complete, writer = 0, 0, False, None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, port), 1.0)
        prefix = ",".join(f"{part}:{size}" for part, size in parts)
        lines = [f"POST {path} HTTP/1.1", "Host: depot.example", f"Attempt-Id: {attempt}", "Model: m",
                 f"Token-Usage: {tokens},340", f"Prompt-Prefix: {prefix}", f"Deadline-Ms: {int(timeout_s * 1000)}",
                 "Authorization: Bearer key-yard", "Content-Length: 2", "", "{}"]
        writer.write("\r\n".join(lines).encode())

        async def receive():
            nonlocal status, events, complete
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            status = int(head.split(" ")[1])
            if "transfer-encoding: chunked" not in head:
                return
            body = b""
            while size := int(await reader.readline(), 16):
                body += await reader.readexactly(size)
                await reader.readline()
                events = body.count(b"\n\n")
            complete = True

        await asyncio.wait_for(receive(), timeout_s + 1)
    except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer:
            writer.close()
    record.note("answer", attempt, f"sent {sent:.3f} to {ip}", "status", status or "none", "events", events,
                "complete" if complete else "not complete")
    return status, events, complete
