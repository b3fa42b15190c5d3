#!/usr/bin/env python3
"""Writes the fault page from the output of scripts/faults.sh: FOLDER SEED, page on standard output."""

import pathlib
import re
import sys

INTRODUCTION = """# Fault matrix

Written by `scripts/faults.sh --report`; do not edit. Every fault happens at every step of an observed request or
change, on a virtual clock, over the real code of request lifecycles, claims, placement, membership, configuration
spread, leases, orders, orphan sweep and group coordination. Three instances, four engines and two plain services
serve background traffic meanwhile. After each run these are checked:

- every admitted request ended by its deadline, with one outcome;
- engine memory is back to zero, and no sweep touched a stream of a live owner;
- each answer is whole, in order, once, and belongs to its request;
- what was told `not_run` did not run, and its resend is accepted; a recorded outcome is given to a resend;
- no action ran twice;
- a leaving backend server gets nothing new after 3 s;
- a planned stop cuts nothing off, and no idempotent request fails that the fault does not excuse;
- an accepted configuration is in force after 3 s wherever work is admitted, and never lower;
- no engine gets orders from two owners, and engines hold what is declared at the end;
- every instance admits again at the end.

A cell counts as run when its fault touched something. A run is one kind of work in one cell.
"""


def lines(folder: pathlib.Path, name: str) -> list[str]:
    """The lines of one output, or none when it was left out."""
    file = folder / name
    return file.read_text().splitlines() if file.exists() else []


def table(rows: list[str]) -> list[str]:
    """The rows of faults as a table."""
    result = ["| fault | cells | run | impossible | runs | violations |", "|---|---|---|---|---|---|"]
    for row in rows:
        fields = dict(re.findall(r"(\w+)=(\S+)", row))
        names = ("fault", "cells", "run", "impossible", "runs", "violations")
        result.append("| " + " | ".join(fields[name] for name in names) + " |")
    return result


def main() -> None:
    """Prints the page."""
    folder, seed = pathlib.Path(sys.argv[1]), sys.argv[2]
    singles, pairs = lines(folder, "singles"), lines(folder, "pairs")
    page = [INTRODUCTION, f"Seed: {seed}.", "", "## Single faults", ""]
    page += table([line for line in singles if line.startswith("fault=")])
    page += ["", "`" + singles[-1] + "`", "", "## Impossible cells", ""]
    reasons: dict[str, list[str]] = {}
    for line in singles:
        found = re.match(r"  impossible: (\w+) \((\w+): (.*)\)", line)
        if found:
            reasons.setdefault(f"{found[2]}: {found[3]}", []).append(found[1])
    page += [f"- {reason}: {', '.join(steps)}" for reason, steps in reasons.items()]
    page += ["", "## Mutants", "", "Mistakes built in on purpose, and the run that reports each.", ""]
    page += ["- `" + line + "`" for line in lines(folder, "mutants")]
    if pairs:
        page += ["", "## Pairs of faults", "", "The second fault follows within half a second.", ""]
        page += ["`" + pairs[-1] + "`", ""]
        page += ["- " + line for line in pairs if line.startswith("FAILED")]
    if lines(folder, "random"):
        page += ["", "## Random schedules", "", "One to four faults at one step, by RapidCheck.", ""]
        page += ["`" + lines(folder, "random")[-1] + "`"]
    print("\n".join(page))


main()
