"""make bench: runs all benchmarks, records the results, and writes plots and an HTML report."""

import argparse
import asyncio
import html
import json
import time
from pathlib import Path
from typing import Any

import matplotlib

from .__main__ import BENCHES
from .cluster import quantile
from .registry import raise_file_limit

matplotlib.use("Agg")
import matplotlib.pyplot as plt

REPORTS = Path("reports")
RESULTS = Path(__file__).with_name("results.jsonl")
RUNS: dict[str, tuple[str, str]] = {
    "spread 8": ("spread", "--vms 8 --size-mib 16 --upload-mib 3.2 --no-naive"),
    "spread 24": ("spread", ""),
    "spread 64": ("spread", "--vms 64 --size-mib 16 --upload-mib 3.2 --no-naive"),
    "spread kill": ("spread", "--kill 0.2 --corrupt 0.01 --no-naive"),
    "spread stall": ("spread", "--stall 0.1 --no-naive"),
    "spread restart": ("spread", "--restart 0.2 --no-naive"),
    "spread supersede": ("spread", "--supersede --no-naive"),
    "update": ("update", ""),
    "requests spread": ("requests", "--spread"),
    "requests overload": ("requests", "--overload 2"),
    "requests faults": ("requests", "--faults"),
    "once": ("once", "--outage --resends 3"),
    "recover": ("recover", "--outage"),
    "config": ("config", ""),
    "config outage": ("config", "--outage"),
    "tokens": ("tokens", ""),
    "footprint entry": ("footprint", "--role entry"),
    "footprint endpoint": ("footprint", "--role endpoint"),
}
REPORTED_FIGURES = {
    "spread": ("time_ratio", "origin_copies", "naive_ratio", "partial_served"),
    "update": ("bytes_moved_ratio",),
    "requests": ("p99_ms", "direct_p99_ms", "goodput_ratio", "lost", "crossed", "duplicated"),
    "once": ("ran_twice", "refused_in_outage", "kv_writes_per_request"),
    "config": ("seconds_to_all_p99", "reverted", "lost_accepted", "kv_calls_per_second"),
    "recover": ("seconds_to_full_service", "partial_served"),
    "tokens": ("entry_us_per_token", "hop_us_per_token", "between_tokens_p95_ms"),
    "footprint": ("cpu_core_fraction", "rss_mb", "control_bytes_per_second"),
}


def main() -> None:
    """Run the selected benchmarks, several times each, and write the report."""
    parser = argparse.ArgumentParser(prog="make bench")
    parser.add_argument("--repeats", type=int, default=1)
    parser.add_argument("--only", default="", help="runs whose name starts with this")
    options = parser.parse_args()
    raise_file_limit()
    REPORTS.mkdir(exist_ok=True)
    earlier = read_results()
    rows = []
    for name, (bench, arguments) in RUNS.items():
        if not name.startswith(options.only):
            continue
        results = [run(bench, arguments) for _ in range(options.repeats)]
        rows.append({"run": name, "bench": bench, "at": time.strftime("%F %T"), "results": results})
        with RESULTS.open("a") as stream:
            stream.write(json.dumps(rows[-1]) + "\n")
        print(name, json.dumps(figures(rows[-1])), flush=True)
    plot_figures(earlier, rows)
    (REPORTS / "index.html").write_text(render_page(earlier, rows))
    print(f"report: {REPORTS / 'index.html'}")


def run(bench: str, arguments: str) -> dict[str, Any]:
    """Run one benchmark with its command line options."""
    return asyncio.run(BENCHES.find(bench)(arguments.split()))


def read_results() -> list[dict[str, Any]]:
    """Return the results that earlier runs recorded in results.jsonl."""
    if not RESULTS.exists():
        return []
    return [json.loads(line) for line in RESULTS.read_text().splitlines()]


def figures(row: dict[str, Any]) -> dict[str, dict[str, float]]:
    """Return median, lowest and highest value of each reported figure of one row."""
    summary = {}
    for name in REPORTED_FIGURES[row["bench"]]:
        values = [result[name] for result in row["results"] if name in result]
        if values:
            summary[name] = {
                "median": quantile(values, 0.5),
                "lowest": min(values),
                "highest": max(values),
            }
    return summary


def plot_figures(earlier: list[dict[str, Any]], rows: list[dict[str, Any]]) -> None:
    """Write one plot file a run: its medians over all recorded results."""
    for row in rows:
        series = [item for item in [*earlier, *rows] if item["run"] == row["run"]]
        names = list(figures(row))
        if not names:
            continue
        figure, axes = plt.subplots(1, len(names), figsize=(3.2 * len(names), 2.6), squeeze=False)
        for axis, name in zip(axes[0], names, strict=True):
            points = [figures(item).get(name) for item in series]
            medians = [point["median"] for point in points if point]
            axis.plot(range(len(medians)), medians, marker="o")
            axis.set_title(name, fontsize=8)
            axis.set_ylim(bottom=0)
        figure.tight_layout()
        figure.savefig(REPORTS / f"{file_stem(row['run'])}.png")
        plt.close(figure)


def file_stem(name: str) -> str:
    """Return the name of a run as a file name without suffix."""
    return name.replace(" ", "-")


def render_page(earlier: list[dict[str, Any]], rows: list[dict[str, Any]]) -> str:
    """Return the HTML page of the report, with the previous result beside each figure."""
    parts = ["<!doctype html><meta charset=utf-8><title>verbenaward benches</title>"]
    parts.append("<style>body{font:14px sans-serif;margin:2em}td,th{padding:2px 10px}</style>")
    parts.append("<h1>verbenaward benches</h1>")
    for row in rows:
        before = [item for item in earlier if item["run"] == row["run"]]
        last = figures(before[-1]) if before else {}
        parts.append(f"<h2>{html.escape(row['run'])}</h2><table>")
        parts.append("<tr><th>figure<th>median<th>lowest<th>highest<th>last time</tr>")
        for name, values in figures(row).items():
            previous = last.get(name, {}).get("median", "-")
            cells = f"<td>{values['median']}<td>{values['lowest']}<td>{values['highest']}"
            parts.append(f"<tr><td>{name}{cells}<td>{previous}</tr>")
        parts.append(f"</table><img src='{file_stem(row['run'])}.png'>")
        command = " ".join(RUNS[row["run"]])
        parts.append(f"<pre>python -m bench {html.escape(command)} --json</pre>")
    return "\n".join(parts)


if __name__ == "__main__":
    main()
