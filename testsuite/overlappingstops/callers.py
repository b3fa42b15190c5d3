"""Callers of two instances that stop one second after the other, at every moment of both stops.

Arguments: grace period in s, log of the backend server, and address and process id of each instance. Prints how many calls of
each kind ended how. Exits with 1 if a call was cut although the server had answered it before the last sixth of the grace period or
the call came later than any caller is expected, or if a refusal that says "not run" had run.
"""

import collections
import os
import pathlib
import signal
import socket
import sys
import threading
import time

GRACE_S, LOG = float(sys.argv[1]), pathlib.Path(sys.argv[2])
INSTANCES = [(sys.argv[i], int(sys.argv[i + 1])) for i in range(3, len(sys.argv), 2)]
STOP_INTERVAL_S = 1.0
CALL_INTERVAL_S = 0.1
# Callers know an address for so long after its instance was asked to stop.
CALLERS_LEAVE_S = 3.0
# An instance that closes a connection sooner has not accepted the call.
LOSS_SLACK_S = 0.2
DEADLINE_S = 20.0
# Time at the server and deadline of each call.
KINDS = {"plain-short": ("plain", 100, DEADLINE_S), "plain-long": ("plain", 2500, DEADLINE_S), "stream-short": ("stream", 300, DEADLINE_S),
         "stream-long": ("stream", 2500, DEADLINE_S), "plain-bounded": ("plain", 300, 0.7), "stream-bounded": ("stream", 300, 0.7)}


def is_whole(head, body):
    fields = dict(line.split(": ", 1) for line in head.lower().split("\r\n")[1:])
    if fields.get("transfer-encoding") == "chunked":
        return body.endswith(b"\r\n0\r\n\r\n") or body == b"0\r\n\r\n"
    return len(body) == int(fields.get("content-length", -1))


class Call:
    def __init__(self, kind, instance, number):
        self.kind, self.instance = kind, instance
        self.attempt = f"{kind}-{GRACE_S:.0f}-{instance}-{number}"
        self.status, self.body = "refused", b""
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        route, time_ms, deadline_s = KINDS[self.kind]
        try:
            peer = socket.create_connection((INSTANCES[self.instance][0], 8080), timeout=DEADLINE_S)
        except OSError:
            return
        data = b""
        self.sent = time.monotonic()
        try:
            peer.sendall((f"POST /{route}/{time_ms}/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {self.attempt}\r\nConnection: close\r\n"
                          f"Authorization: Bearer key\r\nDeadline-Ms: {deadline_s * 1000:.0f}\r\nContent-Length: 0\r\n\r\n").encode())
            while part := peer.recv(65536):
                data += part
        except OSError:
            pass
        self.ended = time.monotonic()
        head, end, self.body = data.partition(b"\r\n\r\n")
        self.status = head.split()[1].decode() if end and is_whole(head.decode(), self.body) else "cut"

    def fault(self, stopped_at, runs, began_at):
        """Returns what is wrong with the end of the call, or nothing."""
        if self.status == "refused":
            return None
        ran = runs.get(self.attempt, 0)
        if self.status == "200":
            return None if ran == 1 else f"answered, runs {ran}"
        if b'"verdict":"not_run"' in self.body:
            return None if ran == 0 else "said to be not run, but was"
        deadline_s, work_s = KINDS[self.kind][2], KINDS[self.kind][1] / 1000
        if ran == 0 and self.ended - self.sent <= LOSS_SLACK_S or self.ended - self.sent >= deadline_s - 0.05:
            return None
        expected = self.sent <= stopped_at + CALLERS_LEAVE_S
        at_work_late = ran and began_at[self.attempt] + work_s >= stopped_at + GRACE_S * 5 / 6
        return None if expected and at_work_late else f"sent {self.sent - stopped_at:.2f} s after the stop, runs {ran}"


calls, stopped_at, number = [], {}, 0
start = time.monotonic()
stop_at = [start + 0.5 + index * STOP_INTERVAL_S for index in range(len(INSTANCES))]
while time.monotonic() < stop_at[-1] + GRACE_S:
    for index, (_, process) in enumerate(INSTANCES):
        if index not in stopped_at and time.monotonic() >= stop_at[index]:
            stopped_at[index] = time.monotonic()
            os.kill(process, signal.SIGTERM)
    number += 1
    calls += [Call(kind, index, number) for kind in KINDS for index in range(len(INSTANCES))]
    time.sleep(CALL_INTERVAL_S)
for call in calls:
    call.thread.join()

runs, began_at = collections.Counter(), {}
for line in LOG.read_text().splitlines():
    words = line.split()
    if words[0] == "run":
        runs[words[1]] += 1
    elif words[0] == "at":
        began_at[words[1]] = float(words[2])
counts = collections.Counter(f"{call.kind} {call.status}" for call in calls)
print(f"grace {GRACE_S:.0f} s:", dict(sorted(counts.items())))
faults = [f"{call.attempt}: {call.status}, {fault}" for call in calls if (fault := call.fault(stopped_at[call.instance], runs, began_at))]
answered = sum(call.status == "200" for call in calls)
if faults or answered < len(calls) / 10:
    sys.exit("\n".join([f"{len(faults)} of {len(calls)} calls ended wrongly, {answered} were answered", *faults[:20]]))
