"""Each check of the soak fails when its promise is broken."""

import unittest
from types import SimpleNamespace

from clients import Attempt
from soak import EVENTS, Checks


def process(runs=()):
    """An undisturbed process whose log shows runs as (time, attempt)."""
    lines = [(at, f"run {attempt} /x\n") for at, attempt in runs]
    return SimpleNamespace(lines=lines, calm=lambda begin, end: True)


def world(runs=()):
    return SimpleNamespace(
        runners={"i-1": process(runs)}, entries=[process()], keys={"key": None, "old": 10.0},
        extra_routes={"/new/": 10.0}, store_disturbed=[], drained={},
    )  # fmt: skip


def answer(path="/plain/x", status=200, body=b"i-1 org a\n", key="key", sent=100.0, took=0.1, end="whole"):
    headers = {"response-seal": "s", "retry-after": "1"}
    return Attempt("a", path, key, 0, sent, status, sent + took, end, headers, body)


class ChecksTest(unittest.TestCase):
    def failures(self, attempt, runs=(), drained=None):
        scene = world(runs)
        scene.drained = drained or {}
        return Checks(scene, [attempt]).check()

    def broken(self, promise, *arguments, **options):
        failures = self.failures(*arguments, **options)
        self.assertTrue(any(promise in failure for failure in failures), failures)

    def test_a_right_answer_passes(self):
        self.assertEqual(self.failures(answer(), [(100.0, "a")]), [])
        self.assertEqual(self.failures(answer("/stream/x", body=EVENTS)), [])

    def test_runs(self):
        self.broken("ran twice", answer("/once/x"), [(100.0, "a"), (100.1, "a")])
        self.broken("told as not run", answer("/once/x", status=429, body=b""), [(101.0, "a")])

    def test_bodies(self):
        self.broken("another request", answer(body=b"i-1 org b\n"))
        self.broken("ended as whole", answer("/stream/x", body=EVENTS[:20]))
        self.broken("out of order", answer("/stream/x", body=EVENTS[20:], end="cut"))
        unsealed = answer()
        unsealed.headers = {}
        self.broken("seal", unsealed)

    def test_ends(self):
        self.broken("no answer in time", answer(status=0, end="none", took=4.0))
        self.broken("no answer in time", answer(took=3.6))
        self.broken("without an answer", answer(status=0, end="cut"))
        self.broken("not in the log", answer(status=502, body=b""))
        silent = answer(status=503, body=b"")
        silent.headers = {}
        self.broken("when to come back", silent)

    def test_configuration(self):
        self.broken("taken away", answer(key="old"))
        self.broken("not in force", answer("/new/x", status=404, body=b""))

    def test_drain(self):
        self.broken("leaving server", answer(), [(100.0, "a")], drained={"i-1": 90.0})


if __name__ == "__main__":
    unittest.main()
