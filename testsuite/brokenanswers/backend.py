"""Backend servers whose answers are broken in many ways, byte by byte.

Usage: backend.py PORT IP... Each IP is a server. The second segment of the path names the answer, see ANSWERS; "head-N" cuts
the head after N bytes. "early" in the third segment sends the answer before the body of the request is read and then resets
the connection, "reset" reads the request first, "close" closes instead, "open" leaves the connection open. Each run of an attempt is
printed as "run ATTEMPT", a request on a connection that had a broken answer as "reused ATTEMPT". Runs of a stream after the
first one, which breaks off after one event, answer as named.
"""

import re
import socket
import struct
import sys
import threading
import time

RECEIVE_BYTES = 4096
ENDLESS_PIECE = b"x" * 65536
RUNS = {}
LOCK = threading.Lock()

SEAL = "Attempt-Id: {attempt}\r\nResponse-Seal: seal\r\n"
OK = "HTTP/1.1 200 OK\r\n" + SEAL
STREAM = OK + "Content-Type: text/event-stream\r\n"
EVENT = "id: {event}\ndata: {event}\n\n"
ANSWERS = {
    "unframed": OK + "\r\npart",
    "closing": OK + "Connection: close\r\n\r\npart",
    "length": OK + "Content-Length: 9\r\n\r\npart",
    "chunked": OK + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
    "stream": STREAM + "\r\n" + EVENT,
    "stream-length": STREAM + "Content-Length: 90\r\n\r\n" + EVENT,
    "stream-chunked": STREAM + "Transfer-Encoding: chunked\r\n\r\n400\r\n" + EVENT,
    "whole-unframed": OK + "\r\nwhole",
    "whole-length": OK + "Content-Length: 5\r\n\r\nwhole",
    "whole-chunked": OK + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
    "folded": OK + "Field: a\r\n b\r\nContent-Length:\r\n 5\r\n\r\nwhole",
    "name-blank": OK + "Content Length: 5\r\n\r\nwhole",
    "name-control": OK + "Fie\x01ld: 5\r\nContent-Length: 5\r\n\r\nwhole",
    "name-colon": OK + "Content-Length : 5\r\n\r\nwhole",
    "name-none": OK + ": 5\r\nContent-Length: 5\r\n\r\nwhole",
    "value-control": OK + "Field: \x01\r\nContent-Length: 5\r\n\r\nwhole",
    "two-lengths": OK + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nwhole",
    "encoding": OK + "Transfer-Encoding: gzip\r\n\r\nwhole",
    "endless-head": OK + "Field: ",
    "endless-fields": OK,
    "endless-chunk": OK + "Transfer-Encoding: chunked\r\n\r\n5;",
    "endless-body": OK + "\r\n",
    "endless-event": STREAM + "\r\ndata: ",
    "endless-status": "",
}
for status in ("000", "099", "101", "600", "999"):
    ANSWERS["status-" + status] = f"HTTP/1.1 {status} X\r\n" + SEAL + "Content-Length: 5\r\n\r\nwhole"


def reset(connection):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


def read_head(connection, data=b""):
    while b"\r\n\r\n" not in data:
        part = connection.recv(4096)
        if not part:
            return None, None, b""
        data += part
    head, _, rest = data.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    fields = dict(line.lower().split(": ", 1) for line in lines[1:])
    return re.split(r"[ /]", lines[0])[2:-2], fields, rest


def answer_bytes(kind, attempt, run, fields):
    event = int(fields.get("last-event-id", 0)) + 1
    if kind.startswith("resumed-") and run == 1:
        return (STREAM + "Transfer-Encoding: chunked\r\n\r\nf\r\n" + EVENT + "\r\n").format(attempt=attempt, event=event).encode()
    if kind.startswith("head-"):
        return ANSWERS["whole-length"].format(attempt=attempt).encode()[:int(kind[5:])]
    return ANSWERS[kind.removeprefix("resumed-")].format(attempt=attempt, event=event).encode()


def flood(connection, kind):
    piece = b"Field: x\r\n" * 1000 if kind == "endless-fields" else ENDLESS_PIECE
    while True:
        connection.sendall(piece)


def handle(connection):
    broken = False
    connection.settimeout(10)
    try:
        while True:
            path, fields, rest = read_head(connection)
            if path is None:
                return
            kind, ending = path[1], path[2]
            attempt = fields["attempt-id"]
            with LOCK:
                run = RUNS[attempt] = RUNS.get(attempt, 0) + 1
            print(f"{'reused' if broken else 'run'} {attempt}\n", end="", flush=True)
            broken = not kind.startswith(("whole-", "folded"))
            if ending != "early":
                length = int(fields.get("content-length", 0)) - len(rest)
                while length > 0:
                    length -= len(connection.recv(65536))
            connection.sendall(answer_bytes(kind, attempt, run, fields))
            if kind.startswith("endless-"):
                flood(connection, kind)
            if ending in ("early", "reset"):
                time.sleep(run % 3 * 0.002 if ending == "early" else 0.01)
                reset(connection)
                return
            if ending == "close":
                return
    except OSError:
        return
    finally:
        connection.close()


def serve(address, port):
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    listener.bind((address, port))
    listener.listen(128)
    while True:
        threading.Thread(target=handle, args=(listener.accept()[0],), daemon=True).start()


threads = [threading.Thread(target=serve, args=(address, int(sys.argv[1]))) for address in sys.argv[2:]]
for thread in threads:
    thread.start()
