"""A backend server whose answers take a stated time. Usage: backend.py IP PORT.

The path is /KIND/MS/x: a "stream" sends events for that time, others answer after it. Prints "run ATTEMPT" and "at ATTEMPT TIME"
with the monotonic time at which each run began.
"""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib"))
from faultybackend import Connection, answer_head, answer_text, serve  # noqa: E402

EVENT_INTERVAL_S = 0.1
SEAL = ("Response-Seal", "seal")


class SlowConnection(Connection):
    def answer(self):
        self.count_run()
        start = time.monotonic()
        print(f"at {self.attempt} {start:.3f}\n", end="", flush=True)
        kind, end = self.path[-3], start + int(self.path[-2]) / 1000
        if kind != "stream":
            time.sleep(end - start)
            self.send(answer_text(200, self.attempt, "done\n", SEAL))
            return
        self.send(answer_head(200, self.attempt, [SEAL, ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]))
        try:
            number = 0
            while time.monotonic() < end:
                piece = f"id: {number}\ndata: part\n\n"
                self.send(f"{len(piece):x}\r\n{piece}\r\n")
                number += 1
                time.sleep(EVENT_INTERVAL_S)
            self.send("0\r\n\r\n")
        except OSError:
            self.kept = False


serve(SlowConnection, sys.argv)
