"""Callers of an instance that stops. Arguments: address of the instance, address of the store, process id."""

import itertools
import os
import signal
import socket
import sys
import threading
import urllib.request

HOST, STORE, PID = sys.argv[1], sys.argv[2], int(sys.argv[3])
CALLERS = 8


def connect():
    return socket.create_connection((HOST, 8080), timeout=10)


def request(name, body_bytes=0):
    return (
        f"POST /plain/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {name}\r\nAuthorization: Bearer key\r\n"
        f"Deadline-Ms: 1500\r\nContent-Length: {body_bytes}\r\n\r\n"
    ).encode()


def read_answer(peer):
    """Returns the status of the next answer, or None if the connection ends before it is complete, and whether it
    closes the connection."""
    data = b""
    while True:
        head, end, body = data.partition(b"\r\n\r\n")
        if end:
            fields = dict(line.lower().split(": ", 1) for line in head.decode().split("\r\n")[1:])
            if len(body) >= int(fields.get("content-length", 0)):
                return int(head.split()[1]), fields.get("connection") == "close"
        part = peer.recv(65536)
        if not part:
            return None, True
        data += part


def runs(name):
    with urllib.request.urlopen(f"http://{STORE}/runs?attempt={name}", timeout=5) as reply:
        return int(reply.read())


def call_in_series(number, unanswered, answered):
    """Calls on kept connections until the instance refuses connections."""
    peer = None
    for count in itertools.count():
        name = f"series-{number}-{count}"
        try:
            peer = peer or connect()
        except OSError:
            return
        try:
            peer.sendall(request(name))
            status, closes = read_answer(peer)
        except OSError:
            status, closes = None, True
        (unanswered if status is None else answered).append(name)
        if closes:
            peer.close()
            peer = None


half, kept, unfinished = connect(), connect(), connect()
half.sendall(request("half", 10) + b"12345")
kept.sendall(request("kept-1"))
assert read_answer(kept) == (200, False)
unfinished.sendall(request("unfinished", 10) + b"12345")
os.kill(PID, signal.SIGTERM)

unanswered, answered = [], []
threads = [threading.Thread(target=call_in_series, args=(n, unanswered, answered)) for n in range(CALLERS)]
for thread in threads:
    thread.start()
half.sendall(b"67890")
status, closes = read_answer(half)
print("body completed during the stop:", status, "close" if closes else "kept")
kept.sendall(request("kept-2"))
status, closes = read_answer(kept)
print("kept connection used during the stop:", status, "close" if closes else "kept")
for thread in threads:
    thread.join()
try:
    status = read_answer(unfinished)[0]
except OSError:
    status = None
print("unfinished body:", status or "no answer,", "runs", runs("unfinished"))
run = [name for name in unanswered if runs(name) > 0]
count = len(answered)
print("calls in series:", "at least 100," if count >= 100 else count, "unanswered but run", len(run))
print(count, "answered,", len(unanswered), "unanswered:", unanswered[:20], "run:", run, file=sys.stderr)
