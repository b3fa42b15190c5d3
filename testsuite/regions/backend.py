"""A backend server that answers each call with its own IP address. Usage: backend.py IP PORT."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib"))
from faultybackend import Connection, answer_text, serve  # noqa: E402


class NamedConnection(Connection):
    def answer(self):
        self.count_run()
        self.send(answer_text(200, self.attempt, sys.argv[1] + "\n", ("Response-Seal", "seal")))


serve(NamedConnection, sys.argv)
