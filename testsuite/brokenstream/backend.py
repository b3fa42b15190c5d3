"""A backend server whose streams break off, and which answers the attempt to resume them with something else.

Usage: backend.py IP PORT. The first run of an attempt sends four events and breaks off. The second run answers as the last
segment of the path but one says: "error" and "missing" with a failure, "text" with a success that is no stream, "nameless"
with events that have no ids, "resumed" with the rest of the events. The third run of an attempt sends the rest.
"""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib"))
from faultybackend import Connection, answer_head, answer_text, serve  # noqa: E402

EVENTS = 10
SENT_BEFORE_BREAK = 4
SEAL = ("Response-Seal", "seal")
OTHER_ANSWERS = {"error": (500, "internal error\n"), "missing": (404, "no such page\n"), "text": (200, "plain text\n")}


def chunk(text):
    return f"{len(text):x}\r\n{text}\r\n"


class BreakingConnection(Connection):
    def answer(self):
        run = self.count_run()
        kind = self.path[-2]
        if run == 2 and kind in OTHER_ANSWERS:
            status, body = OTHER_ANSWERS[kind]
            self.send(answer_text(status, self.attempt, body, SEAL, ("Content-Type", "text/plain")))
            return
        self.send(answer_head(200, self.attempt,
                              [SEAL, ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]))
        first = int(self.fields.get("last-event-id", 0)) + 1
        last = SENT_BEFORE_BREAK if run == 1 else EVENTS
        for number in range(first, last + 1):
            name = "" if run == 2 and kind == "nameless" else f"id: {number}\n"
            self.send(chunk(f"{name}data: {number}\n\n"))
        if run == 1:
            self.kept = False
        else:
            self.send(chunk(""))


serve(BreakingConnection, sys.argv)
