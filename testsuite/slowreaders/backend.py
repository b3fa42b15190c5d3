"""A backend server with long answers. Usage: backend.py IP PORT.

The last segment of the path but one chooses the answer: "stream" 4 MB in 1000 events, "long" 20 MB in 5000, both as fast as they
are taken, "whole" 3 MB without events, others a small one at once. Prints "cut ATTEMPT" for a stream whose connection ended before its end.
"""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib"))
from faultybackend import Connection, answer_head, answer_text, serve  # noqa: E402

EVENTS = {"stream": 1000, "long": 5000}
EVENT_TEXT = "x" * 4000
# More than the system buffers for a connection, so that the rest waits in the instance.
WHOLE_BYTES = 3_000_000
SEAL = ("Response-Seal", "seal")


class LongConnection(Connection):
    def answer(self):
        kind = self.path[-2]
        if kind not in EVENTS:
            self.send(answer_text(200, self.attempt, "w" * WHOLE_BYTES if kind == "whole" else "done\n", SEAL))
            return
        self.send(answer_head(200, self.attempt, [SEAL, ("Content-Type", "text/event-stream"),
                                                  ("Transfer-Encoding", "chunked")]))
        try:
            for number in range(EVENTS[kind]):
                piece = f"id: {number}\ndata: {EVENT_TEXT}\n\n"
                self.send(f"{len(piece):x}\r\n{piece}\r\n")
            self.send("0\r\n\r\n")
        except OSError:
            print(f"cut {self.attempt}\n", end="", flush=True)
            self.kept = False


serve(LongConnection, sys.argv)
