"""Callers that come late in a planned stop. Arguments: address of the instance, its process id, log of the server.

Prints how many of each kind were answered how; exits with 1 if one that the server ran got no answer, or was told "not run".
"""

import collections
import os
import pathlib
import signal
import socket
import sys
import threading
import time

FRONT, PID, LOG = sys.argv[1], int(sys.argv[2]), pathlib.Path(sys.argv[3])
LATE_FROM_S, LATE_UNTIL_S, INTERVAL_S = 3.0, 5.4, 0.05
OPEN_MS = 5700
LONG_DEADLINE_MS = 8000


def call(attempt, time_ms, deadline_ms):
    """Returns the status and the body of the answer; "cut" if the connection ends without a whole one, "refused" without a
    connection."""
    try:
        peer = socket.create_connection((FRONT, 8080), timeout=10)
        peer.sendall((f"POST /once/{time_ms}/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {attempt}\r\nConnection: close\r\n"
                      f"Authorization: Bearer key\r\nDeadline-Ms: {deadline_ms}\r\nContent-Length: 0\r\n\r\n").encode())
        data = b""
        while part := peer.recv(65536):
            data += part
    except ConnectionRefusedError:
        return "refused", b""
    except OSError:
        return "cut", b""
    head, end, body = data.partition(b"\r\n\r\n")
    fields = dict(line.split(": ", 1) for line in head.decode().lower().split("\r\n")[1:])
    if not end or len(body) != int(fields.get("content-length", -1)):
        return "cut", body
    return head.split()[1].decode(), body


results = []


def record(kind, attempt, *arguments):
    results.append((kind, attempt, *call(attempt, *arguments)))


threads = [threading.Thread(target=record, args=("open", "open", OPEN_MS, LONG_DEADLINE_MS))]
threads[0].start()
time.sleep(0.3)
os.kill(PID, signal.SIGTERM)
start = time.monotonic()
number = 0
while (now := time.monotonic() - start) < LATE_UNTIL_S:
    if now >= LATE_FROM_S:
        number += 1
        # Slow ones would end after the stop, the others end before it by their deadline.
        threads.append(threading.Thread(target=record, args=("slow", f"slow-{number}.", 3000, LONG_DEADLINE_MS)))
        threads[-1].start()
        if now < LATE_UNTIL_S - 1:
            threads.append(threading.Thread(target=record, args=("bounded", f"bounded-{number}.", 50, 800)))
            threads[-1].start()
    time.sleep(INTERVAL_S)
for thread in threads:
    thread.join()

log = LOG.read_text()
counts, wrong = collections.Counter(), []
for kind, attempt, status, body in results:
    counts[f"{kind} {status}"] += 1
    runs = log.count(f"run {attempt}\n")
    not_run = b'"verdict":"not_run"' in body
    if runs != (1 if status == "200" else 0) or not (status in ("200", "refused") or not_run):
        wrong.append(f"{attempt}: {status}, runs {runs}, {body}")
    if kind != "slow" and status != "200":
        wrong.append(f"{attempt}: {status} {body}, although it ends before the stop")
print(dict(counts))
if wrong:
    sys.exit("\n".join(wrong))
