"""A backend server whose streams have neither a length nor chunks and end with their connection.

Usage: backend.py IP PORT. The end of the path chooses where the first run of an attempt ends: "whole" after all
events, "inside" in the middle of an event, "before" before the first event. "never" ends each run before the first
event.
"""

import re
import socketserver
import sys

EVENTS = 10
TRUNCATED_EVENT = 5
RUNS = {}


def event(number):
    return f"id: {number}\ndata: {number}\n\n"


class Connection(socketserver.StreamRequestHandler):
    def handle(self):
        request = self.rfile.readline().decode()
        fields = {}
        while (line := self.rfile.readline().decode().strip()):
            name, _, value = line.partition(":")
            fields[name.lower()] = value.strip()
        attempt = fields["attempt-id"]
        RUNS[attempt] = RUNS.get(attempt, 0) + 1
        path = re.split(r"[ /]", request)[-3]
        first = int(fields.get("last-event-id", 0)) + 1
        body = "".join(event(number) for number in range(first, EVENTS + 1))
        if path == "never" or (path == "before" and RUNS[attempt] == 1):
            body = ""
        elif path == "inside" and RUNS[attempt] == 1:
            body = "".join(event(number) for number in range(first, TRUNCATED_EVENT)) + event(TRUNCATED_EVENT)[:-3]
        head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: seal\r\nContent-Type: text/event-stream\r\n\r\n"
        self.wfile.write((head + body).encode())


class Server(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True


if __name__ == "__main__":
    Server((sys.argv[1], int(sys.argv[2])), Connection).serve_forever()
