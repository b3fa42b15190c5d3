"""A backend server that is full when a call comes first, and writes that refusal once more on another kept connection.

Usage: backend.py IP PORT. /once/busy/ is answered after a while, so that calls at the same time leave several kept
connections. /once/repeated/ refuses the first try of each attempt. When the attempt comes again on a connection that has
served other calls, the refusal is written a second time, while the call runs, and then the answer.
"""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib"))
from faultybackend import Connection, answer_text, refusal, serve  # noqa: E402

BUSY_S = 0.1
REFUSED = set()


class RepeatingConnection(Connection):
    def handle(self):
        self.calls = 0
        super().handle()

    def answer(self):
        self.calls += 1
        if "repeated" in self.path and self.attempt not in REFUSED:
            REFUSED.add(self.attempt)
            self.send(refusal(self.attempt))
            return
        self.count_run()
        if self.attempt in REFUSED and self.calls > 1:
            self.send(refusal(self.attempt))
        if "busy" in self.path:
            time.sleep(BUSY_S)
        self.send(answer_text(200, self.attempt, "done\n", ("Response-Seal", "seal")))


serve(RepeatingConnection, sys.argv)
