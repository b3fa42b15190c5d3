"""Callers that do not read beside others. Usage: readers.py FRONT PID LIMIT_MB KIND

KIND is "stream" or "whole": the answers that 40 callers leave unread. Beside them, two callers read a stream slowly but
steadily and must get all of it, two a whole answer, and small requests must all be answered. Prints what was seen; exits 1 if
the memory exceeded the limit, a sound or a steady caller lost its answer, or a stream that nobody reads was not reset in time.
"""

import asyncio
import os
import pathlib
import socket
import sys
import time

IDLE_CALLERS = 40
RECEIVE_BUFFER = 32 * 1024
# Reading from a server may pause for 2 s; the rest is for a busy machine. A caller of a whole answer may learn of nothing, since
# the system sends no reset when it gives a connection up.
DISCONNECTED_WITHIN_S = 7
# Steady readers begin earlier, so that their answers find memory.
HEAD_START_S = 0.5
# The pace of steady readers: 4 MB take 20 s and 3 MB 15 s, so that each period of the time limits brings little progress.
PIECE = {"stream": 10_000, "whole": 10_000}
PIECE_INTERVAL_S = 0.05
SMALL_CALLS = 120


def request(front, attempt, path):
    """Sends a request on a new connection with a small receive buffer."""
    host, port = front.split(":")
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    connection.connect((host, int(port)))
    connection.sendall((f"GET {path} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {attempt}\r\nAuthorization: Bearer key\r\n"
                        "Deadline-Ms: 30000\r\nConnection: close\r\n\r\n").encode())
    return connection


def steady(front, attempt, kind):
    """Reads an answer slowly. Returns what came after the head, without the chunk framing of a stream."""
    with request(front, attempt, f"/{kind}/{kind}/x") as connection:
        received = bytearray()
        while piece := connection.recv(PIECE[kind]):
            received += piece
            time.sleep(PIECE_INTERVAL_S * len(piece) / PIECE[kind])
    return bytes(received)


def idle(front, attempt, kind):
    """Reads nothing until it is disconnected. Returns the seconds that it took, or None."""
    # Longer than what the systems buffer between the server and the instance, so that the server sees its stream cut.
    answer = "long" if kind == "stream" else kind
    with request(front, attempt, f"/{kind}/{answer}/x") as connection:
        begin = time.monotonic()
        while time.monotonic() < begin + DISCONNECTED_WITHIN_S:
            time.sleep(0.05)
            # The state of the TCP connection; 1 is established.
            if connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] != 1:
                return time.monotonic() - begin
    return None


def small(front):
    answered = 0
    for number in range(SMALL_CALLS):
        with request(front, f"small-{number}", "/small/small/x") as connection:
            connection.settimeout(5)
            text = b""
            try:
                while piece := connection.recv(4096):
                    text += piece
            except OSError:
                pass
            answered += text.startswith(b"HTTP/1.1 200") and text.endswith(b"done\n")
        time.sleep(0.05)
    return answered


async def main(front, pid, limit_mb, kind):
    page = os.sysconf("SC_PAGE_SIZE")
    statm = pathlib.Path(f"/proc/{pid}/statm")
    samples, done = [], asyncio.Event()

    async def watch():
        while not done.is_set():
            samples.append(int(statm.read_text().split()[1]) * page / 1e6)
            await asyncio.sleep(0.02)

    watcher = asyncio.create_task(watch())
    slow = [asyncio.to_thread(steady, front, f"{kind}-slow-{name}-{number}", name)
            for name in ("stream", "whole") for number in range(2)]
    sound = asyncio.to_thread(small, front)
    begun = asyncio.gather(sound, *slow)
    await asyncio.sleep(HEAD_START_S)
    idlers = asyncio.gather(*(asyncio.to_thread(idle, front, f"{kind}-idle-{number}", kind)
                              for number in range(IDLE_CALLERS)))
    results = [*await begun, *await idlers]
    done.set()
    await watcher
    answered, slow_answers, idle_times = results[0], results[1:5], results[5:]
    events = [answer.count(b"\ndata: ") for answer in slow_answers[:2]]
    whole = [answer.count(b"w" * 1000) for answer in slow_answers[2:]]
    open_callers = idle_times.count(None)
    longest = max((time for time in idle_times if time is not None), default=0)
    print(f"unread={kind} peak_mb={max(samples):.0f} small_answered={answered} of {SMALL_CALLS} steady_events={events} "
          f"steady_kilobytes={whole} still_connected={open_callers} longest_s={longest:.1f} "
          f"resident_mb={[round(value) for value in samples[::25]]}")
    if max(samples) > limit_mb:
        sys.exit("the memory exceeded its limit")
    if answered < SMALL_CALLS:
        sys.exit("small requests were not answered")
    if events != [1000, 1000] or whole != [3000, 3000]:
        sys.exit("callers that read steadily did not get their whole answers")
    if open_callers and kind == "stream":
        sys.exit("callers that read nothing stayed connected")


loop = asyncio.new_event_loop()
from concurrent.futures import ThreadPoolExecutor  # noqa: E402
loop.set_default_executor(ThreadPoolExecutor(IDLE_CALLERS + 8))
loop.run_until_complete(main(sys.argv[1], sys.argv[2], float(sys.argv[3]), sys.argv[4]))
