"""Base of backend servers with faults, for whole-program cases: reads requests on kept connections and counts their runs.

A case derives from Connection and implements answer(). Each run of an attempt is printed as "run ATTEMPT".
"""

import re
import socketserver

RUNS = {}


def answer_head(status, attempt, fields):
    lines = [f"HTTP/1.1 {status} X", f"Attempt-Id: {attempt}"] + [f"{name}: {value}" for name, value in fields]
    return "\r\n".join(lines) + "\r\n\r\n"


def answer_text(status, attempt, body, *fields):
    return answer_head(status, attempt, [*fields, ("Content-Length", len(body))]) + body


def refusal(attempt):
    return answer_text(503, attempt, "", ("Not-Executed", "1"))


class Connection(socketserver.StreamRequestHandler):
    """One kept connection; self.path has the segments of the current request's path."""

    disable_nagle_algorithm = True

    def handle(self):
        self.kept = True
        while self.kept and (request := self.rfile.readline().decode()):
            self.fields = {}
            while line := self.rfile.readline().decode().strip():
                name, _, value = line.partition(":")
                self.fields[name.lower()] = value.strip()
            self.rfile.read(int(self.fields.get("content-length", 0)))
            self.path = re.split(r"[ /]", request)[2:-2]
            self.attempt = self.fields.get("attempt-id", "")
            self.answer()

    def count_run(self):
        RUNS[self.attempt] = RUNS.get(self.attempt, 0) + 1
        print(f"run {self.attempt}\n", end="", flush=True)
        return RUNS[self.attempt]

    def send(self, text):
        self.wfile.write(text.encode())
        self.wfile.flush()


class Server(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True


def serve(connection, arguments):
    """Serves on the IP and port given as the first two arguments until the process is stopped."""
    Server((arguments[1], int(arguments[2])), connection).serve_forever()
