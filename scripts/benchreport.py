#!/usr/bin/env python3
"""Writes index.html with plots (SVG) and tables, and figures.json, from the outputs of the bench programs.

Usage: benchreport.py FOLDER, where FOLDER holds the programs' outputs as bench-*.txt.
"""
import html
import json
import math
import pathlib
import sys

WIDTH, BAR_HEIGHT, LABEL_WIDTH = 720, 18, 250
COLOURS = {"ours": "#2a7f62", "oracle": "#8a8a8a", "floor": "#c9c9c9"}
OTHER_COLOUR = "#4a78b5"
VERDICT_COLOURS = {"pass": "#d9f2e3", "aim_met": "#d9f2e3", "fail": "#f6c7c3", "aim_missed": "#fbe7c0"}
CLASSES = ("short", "medium", "long", "huge")


def parse_lines(folder):
    """Returns a dictionary of the key=value pairs of each metric line, with the program's name added."""
    lines = []
    for path in sorted(folder.glob("bench-*.txt")):
        for text in path.read_text().splitlines():
            if text.startswith("metric="):
                fields = dict(pair.split("=", 1) for pair in text.split() if "=" in pair)
                fields["program"] = path.stem
                lines.append(fields)
    return lines


def number(text):
    """Returns the value of a figure, infinity if the event never occurred, or None if it is not a number."""
    try:
        return float(text)
    except ValueError:
        return None


def bars(title, entries, logarithmic=False):
    """Returns an SVG bar chart of (label, value, colour) entries."""
    finite = [value for _, value, _ in entries if value is not None and math.isfinite(value)]
    if not finite:
        return ""
    maximum = max(finite) or 1
    minimum = min((value for value in finite if value > 0), default=maximum)
    height = BAR_HEIGHT * len(entries) + 28
    parts = [f'<svg width="{WIDTH}" height="{height}" font-family="sans-serif" font-size="12">']
    parts.append(f'<text x="0" y="14" font-weight="bold">{html.escape(title)}</text>')
    for index, (label, value, colour) in enumerate(entries):
        top = 22 + index * BAR_HEIGHT
        never = value is None or not math.isfinite(value)
        share = 1.0
        if not never:
            share = value / maximum
            if logarithmic and value > 0 and maximum > minimum:
                share = 0.03 + 0.97 * math.log(value / minimum) / math.log(maximum / minimum)
        length = max(1.0, share * (WIDTH - LABEL_WIDTH - 90))
        text = "never" if never else f"{value:.4g}"
        fill = "#f6c7c3" if never else colour
        parts.append(f'<text x="0" y="{top + 13}">{html.escape(label)}</text>')
        parts.append(f'<rect x="{LABEL_WIDTH}" y="{top + 2}" width="{length:.1f}" height="{BAR_HEIGHT - 4}" fill="{fill}"/>')
        parts.append(f'<text x="{LABEL_WIDTH + length + 6:.1f}" y="{top + 13}">{text}</text>')
    parts.append("</svg>")
    return "".join(parts)


def colour_of(policy):
    return COLOURS.get(policy, OTHER_COLOUR)


def select(lines, **wanted):
    return [line for line in lines if all(line.get(key) == value for key, value in wanted.items())]


def decision_plots(lines):
    """Returns the plots of bench-decisions."""
    plots = []
    deployments = sorted({line["deployment"] for line in lines})
    for deployment in deployments:
        for prompt_class in CLASSES:
            metric = f"first_token_{prompt_class}_p95"
            chosen = select(lines, deployment=deployment, scenario="steady", metric=metric)
            entries = [(line["policy"], number(line["value"]), colour_of(line["policy"])) for line in chosen]
            plots.append(bars(f"{deployment}, steady: first token p95 of {prompt_class} prompts, s (log)", entries, True))
        scenarios = []
        for line in select(lines, deployment=deployment, metric="crest_worth_part"):
            if line["scenario"] not in scenarios:
                scenarios.append(line["scenario"])
        for scenario in scenarios:
            chosen = select(lines, deployment=deployment, scenario=scenario, metric="crest_worth_part")
            entries = [(line["policy"], number(line["value"]), colour_of(line["policy"])) for line in chosen]
            plots.append(bars(f"{deployment}, {scenario}: share of the worth offered at peak load that was answered", entries))
        chosen = select(lines, deployment=deployment, metric="short_slowdown_p95")
        entries = [(line["policy"], number(line["value"]), colour_of(line["policy"])) for line in chosen]
        plots.append(bars(f"{deployment}: slowdown of short prompts by long ones, p95", entries))
    return [plot for plot in plots if plot]


def other_plots(lines):
    """Returns a plot for each metric that has more than one value."""
    plots = []
    for metric in sorted({line["metric"] for line in lines}):
        chosen = select(lines, metric=metric)
        names = ("deployment", "scenario", "policy")
        entries = [
            (" ".join(line[name] for name in names if line.get(name, "-") != "-"), number(line["value"]), OTHER_COLOUR)
            for line in chosen
        ]
        if len(entries) > 1:
            plots.append(bars(metric, entries))
    return [plot for plot in plots if plot]


def table(lines):
    columns = ["metric", "deployment", "scenario", "policy", "value", "bound", "verdict"]
    rows = ["<tr>" + "".join(f"<th>{column}</th>" for column in columns) + "</tr>"]
    for line in lines:
        colour = VERDICT_COLOURS.get(line.get("verdict"), "#ffffff")
        cells = "".join(f"<td>{html.escape(line.get(column, ''))}</td>" for column in columns)
        rows.append(f'<tr style="background:{colour}">{cells}</tr>')
    return "<table>" + "".join(rows) + "</table>"


def main():
    folder = pathlib.Path(sys.argv[1])
    lines = parse_lines(folder)
    if not lines:
        print("no figures found in", folder, file=sys.stderr)
        return 1
    page = ["<!doctype html><meta charset=utf-8><title>pomeloport benches</title>"]
    page.append("<style>body{font-family:sans-serif}table{border-collapse:collapse;font-size:12px}td,th{padding:2px 8px}svg{display:block;margin:12px 0}</style>")
    page.append("<h1>pomeloport benches</h1>")
    for program in sorted({line["program"] for line in lines}):
        own = select(lines, program=program)
        page.append(f"<h2>{program}</h2>")
        page.extend(decision_plots(own) if program == "bench-decisions" else other_plots(own))
        bounded = [line for line in own if line.get("bound", "-") != "-"]
        page.append(f"<h3>Bounds and aims</h3>{table(bounded)}")
        page.append(f"<details><summary>All figures</summary>{table(own)}</details>")
    (folder / "index.html").write_text("\n".join(page))
    (folder / "figures.json").write_text(json.dumps(lines, indent=1))
    print("wrote", folder / "index.html")
    return 0


if __name__ == "__main__":
    sys.exit(main())
