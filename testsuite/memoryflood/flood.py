"""Floods an instance and watches its memory. Usage: flood.py FRONT PID LIMIT_MB FLOOD

FLOOD is "endless" or "event" (answers without end), or "bodies" (large bodies of requests that take long). Beside the flood
small requests are sent, which must all be answered. Prints what was seen; exits 1 if the memory exceeded the limit.
"""

import asyncio
import os
import pathlib
import sys

CALLS = 60
BODY = b"b" * 3_000_000
RUN_S = 4


async def call(front, attempt, path, body=b""):
    """Returns the status of an answer that came whole, otherwise 0."""
    host, port = front.split(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write((f"POST {path} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {attempt}\r\nAuthorization: Bearer key\r\n"
                      f"Deadline-Ms: 4000\r\nContent-Length: {len(body)}\r\n\r\n").encode())
        writer.write(body)
        head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 8)).decode()
        length = next((line.split(": ")[1] for line in head.split("\r\n") if line.lower().startswith("content-length")), None)
        if length is not None:
            await asyncio.wait_for(reader.readexactly(int(length)), 8)
        writer.close()
        return int(head.split(" ")[1])
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        return 0


async def main(front, pid, limit_mb, flood):
    page = os.sysconf("SC_PAGE_SIZE")
    statm = pathlib.Path(f"/proc/{pid}/statm")
    peak, samples, done = 0, [], asyncio.Event()

    async def watch():
        nonlocal peak
        while not done.is_set():
            used = int(statm.read_text().split()[1]) * page / 1e6
            peak = max(peak, used)
            samples.append(used)
            await asyncio.sleep(0.02)

    async def small():
        statuses = []
        for number in range(RUN_S * 20):
            statuses.append(await call(front, f"small-{number}", "/small/good/x", b"small"))
            await asyncio.sleep(0.05)
        return statuses

    watcher = asyncio.create_task(watch())
    path, body = {"endless": ("/plain/endless/x", b""), "event": ("/stream/event/x", b""),
                  "bodies": ("/plain/slow/x", BODY)}[flood]
    floods = [asyncio.create_task(call(front, f"flood-{number}", path, body)) for number in range(CALLS)]
    small_statuses = await small()
    flood_statuses = await asyncio.gather(*floods)
    done.set()
    await watcher
    counts = {status: flood_statuses.count(status) for status in sorted(set(flood_statuses))}
    each_half_second = [round(value) for value in samples[::25]]
    print(f"flood={flood} peak_mb={peak:.0f} small_answered={small_statuses.count(200)} of {len(small_statuses)} "
          f"flood_statuses={counts} resident_mb={each_half_second}")
    if peak > limit_mb:
        sys.exit("the memory exceeded its limit")
    if small_statuses.count(200) < len(small_statuses):
        sys.exit("small requests were not answered")


asyncio.run(main(sys.argv[1], sys.argv[2], float(sys.argv[3]), sys.argv[4]))
