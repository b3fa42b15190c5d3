"""A backend server whose answers may go on without end, or take long.

Usage: backend.py IP PORT. The last segment of the path but one chooses the answer: "endless" a body without end, at
first fast and then in drops; "event" the same inside an event of a stream; "slow" after half a second; others at once.
"""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib"))
from faultybackend import Connection, answer_head, answer_text, serve  # noqa: E402

FAST_BYTES = 12_000_000
PIECE = "x" * 65536
DROP_INTERVAL_S = 0.05
SLOW_S = 0.5
SEAL = ("Response-Seal", "seal")


class FloodingConnection(Connection):
    def answer(self):
        kind = self.path[-2]
        if kind not in ("endless", "event"):
            time.sleep(SLOW_S if kind == "slow" else 0)
            self.send(answer_text(200, self.attempt, "done\n", SEAL))
            return
        content = "text/event-stream" if kind == "event" else "application/octet-stream"
        self.send(answer_head(200, self.attempt, [SEAL, ("Content-Type", content), ("Transfer-Encoding", "chunked")]))
        sent = 0
        try:
            while True:
                piece = PIECE if sent < FAST_BYTES else "x"
                self.send(f"{len(piece):x}\r\n{piece}\r\n")
                sent += len(piece)
                time.sleep(0 if sent < FAST_BYTES else DROP_INTERVAL_S)
        except OSError:
            self.kept = False


serve(FloodingConnection, sys.argv)
