"""Callers of servers whose answers are broken. Arguments: address of the instance, its process id, its memory limit in MB,
log of the servers.

Prints what callers got for each kind of answer; exits with 1 if one of them got a success for a broken answer, a false verdict or no
answer in time.
"""

import collections
import concurrent.futures
import os
import pathlib
import socket
import sys
import threading
import time

FRONT, PID, LIMIT_MB, LOG = sys.argv[1], sys.argv[2], float(sys.argv[3]), pathlib.Path(sys.argv[4])
LONG_BODY = b"b" * 3_500_000
DEADLINE_MS = 6000
# A broken answer is known at once; a repetition may wait for a place.
SLOWEST_S = 4
CALLERS = 6
# Calls that get bytes without end are made at once, with as many others beside them.
FLOODS_OF_KIND = 8

FRAMINGS = ("unframed", "closing", "length", "chunked", "stream", "stream-length", "stream-chunked")
MALFORMED = ("status-000", "status-099", "status-101", "status-600", "status-999", "name-blank", "name-control", "name-colon",
             "name-none", "value-control", "two-lengths", "encoding")
ENDLESS = ("endless-head", "endless-fields", "endless-chunk", "endless-body", "endless-event", "endless-status")
HEAD_BYTES = 79


def read_answer(peer):
    """Returns the status, the body and whether the answer is complete by its framing."""
    data = b""
    try:
        while part := peer.recv(65536):
            data += part
            if len(data) > 20_000_000:
                break
    except OSError:
        pass
    head, end, body = data.partition(b"\r\n\r\n")
    if not end:
        return 0, b"", False
    lines = head.decode("latin-1").lower().split("\r\n")
    fields = dict(line.split(": ", 1) for line in lines[1:])
    length = fields.get("content-length")
    complete = body.endswith(b"0\r\n\r\n") if length is None else len(body) == int(length)
    return int(lines[0].split()[1]), body, complete


def call(attempt, route, kind, ending):
    body = LONG_BODY if ending == "early" else b"short"
    start = time.monotonic()
    peer = socket.create_connection((FRONT, 8080), timeout=10)
    head = (f"POST /{route}/{kind}/{ending}/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {attempt}\r\nConnection: close\r\n"
            f"Authorization: Bearer key\r\nDeadline-Ms: {DEADLINE_MS}\r\nContent-Length: {len(body)}\r\n\r\n").encode()
    try:
        peer.sendall(head + body)
    except OSError:
        pass
    status, answer, complete = read_answer(peer)
    peer.close()
    return route, kind, ending, attempt, status, answer, complete, time.monotonic() - start


def planned():
    """Yields the route, the kind of the answer and the way in which it ends."""
    for kind in ("whole-unframed", "whole-length", "whole-chunked", "folded"):
        ending = "close" if kind == "whole-unframed" else "open"
        yield from [("plain", kind, ending), ("once", kind, ending)]
    for kind in FRAMINGS:
        route = "stream" if kind.startswith("stream") else "plain"
        yield from [(route, kind, "early")] * 20 + [(route, kind, "reset")] * 3
        if route == "stream":
            yield from [(route, f"resumed-{kind}", ending) for ending in ("early", "reset")] * 3
        else:
            yield from [("once", kind, ending) for ending in ("early", "reset")] * 3
    for kind in MALFORMED:
        yield from [("plain", kind, "open"), ("once", kind, "open")]
    for length in range(HEAD_BYTES):
        yield from [("plain", f"head-{length}", ending) for ending in ("close", "reset")]
        yield "once", f"head-{length}", "close"


def floods():
    for kind in ENDLESS:
        route = "stream" if kind == "endless-event" else "plain"
        yield from [(route, kind, "open"), ("plain", "whole-length", "open")] * FLOODS_OF_KIND


def runs_of(attempt):
    return LOG.read_text().count(f"run {attempt}\n")


def faults(route, kind, attempt, status, answer, complete, seconds):
    if kind.startswith("whole") or kind == "folded":
        if (status, complete) != (200, True) or b"whole" not in answer:
            yield "a whole answer did not arrive"
        return
    if status == 200 and complete:
        yield "a success"
    not_run = b'"verdict":"not_run"' in answer
    if status != 200 and (status not in ((429, 503) if not_run else (502, 504)) or not complete):
        yield "no proper failure"
    if not_run and runs_of(attempt) > 0:
        yield "false verdict"
    if route == "once" and runs_of(attempt) > 1:
        yield "run twice"
    if seconds > SLOWEST_S:
        yield "late"


def resident_mb():
    page = os.sysconf("SC_PAGE_SIZE")
    return int(pathlib.Path(f"/proc/{PID}/statm").read_text().split()[1]) * page / 1e6


def main():
    peak, done, wrong = 0, threading.Event(), []
    seen, played = collections.defaultdict(collections.Counter), collections.Counter()

    def watch():
        nonlocal peak
        while not done.wait(0.02):
            peak = max(peak, resident_mb())

    watcher = threading.Thread(target=watch)
    watcher.start()
    for name, plans, callers in (("c", list(planned()), CALLERS), ("f", list(floods()), len(list(floods())))):
        with concurrent.futures.ThreadPoolExecutor(callers) as pool:
            calls = [pool.submit(call, f"{name}-{number}.", *plan) for number, plan in enumerate(plans)]
        for finished in calls:
            route, kind, ending, attempt, status, answer, complete, seconds = finished.result()
            label = "head" if kind.startswith("head-") else kind
            seen[f"{route} {label} {ending}"][f"{status}{'' if complete else ' incomplete'}"] += 1
            played[kind] += runs_of(attempt)
            wrong += [f"{route} {kind} {ending} {attempt}: {fault}: {status} after {seconds:.1f} s {answer[:60]}"
                      for fault in faults(route, kind, attempt, status, answer, complete, seconds)]
    done.set()
    watcher.join()
    for label, outcomes in seen.items():
        print(f"{label}: " + ", ".join(f"{count} of {outcome}" for outcome, count in sorted(outcomes.items())))
    reused = LOG.read_text().count("reused")
    print(f"peak_mb={peak:.0f} reused={reused}")
    wrong += [f"{kind} was not played" for kind, runs in played.items() if runs == 0]
    if peak > LIMIT_MB:
        wrong.append("the memory exceeded its limit")
    if reused:
        wrong.append("a connection with a broken answer was used again")
    if wrong:
        sys.exit("\n".join(wrong))


main()
