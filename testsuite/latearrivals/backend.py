"""A backend server that takes long. Usage: backend.py IP PORT. The last segment of the path but one is the time in ms."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib"))
from faultybackend import Connection, answer_text, serve  # noqa: E402


class SlowConnection(Connection):
    def answer(self):
        self.count_run()
        time.sleep(int(self.path[-2]) / 1000)
        self.send(answer_text(200, self.attempt, "done\n", ("Response-Seal", "seal")))


serve(SlowConnection, sys.argv)
