"""A backend server that runs each call and answers with a status that promises callers the opposite.

Usage: backend.py IP PORT. The last segment of the path but one is the status; "run" answers with 200.
"""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib"))
from faultybackend import Connection, answer_text, serve  # noqa: E402


class PromisingConnection(Connection):
    def answer(self):
        self.count_run()
        status = 200 if self.path[-2] == "run" else int(self.path[-2])
        self.send(answer_text(status, self.attempt, "done\n", ("Response-Seal", "seal")))


serve(PromisingConnection, sys.argv)
