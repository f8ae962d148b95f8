"""Draws the figures of scaling runs as SVG. Usage: python3 Meta/measure/plot.py [folder of JSON] [folder of figures]

Every file NAME-N.json in the folder holds the line of one run of Meta/measure.sh NAME --daemons N."""

import json
import sys
from pathlib import Path

WIDTH, HEIGHT, MARGIN = 640, 400, 60
TICKS = 5
COLOURS = ["#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad"]
PLOTS = {
    "convergence": ("milliseconds until in force on every daemon", ["in_force_p50_ms", "in_force_p99_ms"]),
    "control-bytes": ("bytes a second for each daemon", ["idle_bytes_per_s_per_daemon", "churn_bytes_per_s_per_daemon",
                                                          "announce_churn_bytes_per_s_per_daemon"]),
    "daemon-cost": ("percent of a core, megabytes", ["core_percent", "core_percent_most", "rss_mb"]),
}


def read_runs(folder, name):
    """The runs of an experiment, by rising number of daemons."""
    runs = [json.loads(path.read_text()) for path in sorted(folder.glob(f"{name}-*.json"))]
    return sorted((run for run in runs if run["name"] == name), key=lambda run: run["daemons"])


def text(x, y, content, anchor="middle", colour="#333"):
    return f'<text x="{x:.1f}" y="{y:.1f}" text-anchor="{anchor}" fill="{colour}">{content}</text>'


def scale(value, most, length):
    return length * value / most if most else 0


def draw(name, title, keys, runs):
    most_x = max(run["daemons"] for run in runs)
    most_y = max(run[key] for run in runs for key in keys) or 1
    inner_width, inner_height = WIDTH - 2 * MARGIN, HEIGHT - 2 * MARGIN

    def place(x, y):
        return MARGIN + scale(x, most_x, inner_width), HEIGHT - MARGIN - scale(y, most_y, inner_height)

    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}" '
             'font-family="sans-serif" font-size="12">', f'<rect width="{WIDTH}" height="{HEIGHT}" fill="#fff"/>',
             text(WIDTH / 2, MARGIN / 2, f"{name}: {title}")]
    for tick in range(TICKS + 1):
        value = most_y * tick / TICKS
        left, y = place(0, value)
        parts.append(f'<line x1="{left}" y1="{y:.1f}" x2="{WIDTH - MARGIN}" y2="{y:.1f}" stroke="#ddd"/>')
        parts.append(text(left - 6, y + 4, f"{value:.4g}", "end"))
    for run in runs:
        x, bottom = place(run["daemons"], 0)
        parts.append(text(x, bottom + 18, run["daemons"]))
    parts.append(text(WIDTH / 2, HEIGHT - 12, "daemons"))
    for colour, (row, key) in zip(COLOURS, enumerate(keys)):
        points = [place(run["daemons"], run[key]) for run in runs]
        line = " ".join(f"{x:.1f},{y:.1f}" for x, y in points)
        parts.append(f'<polyline points="{line}" fill="none" stroke="{colour}" stroke-width="2"/>')
        parts += [f'<circle cx="{x:.1f}" cy="{y:.1f}" r="3" fill="{colour}"/>' for x, y in points]
        parts.append(text(MARGIN + 8, MARGIN + 14 * row, key, "start", colour))
    parts.append("</svg>")
    return "\n".join(parts) + "\n"


def main(arguments):
    source = Path(arguments[0] if arguments else "docs/measurements")
    target = Path(arguments[1] if len(arguments) > 1 else "docs/figures")
    target.mkdir(parents=True, exist_ok=True)
    for name, (title, keys) in PLOTS.items():
        runs = read_runs(source, name)
        if len(runs) < 2:
            print(f"{name}: fewer than two runs in {source}, nothing drawn", file=sys.stderr)
            continue
        (target / f"{name}.svg").write_text(draw(name, title, keys, runs))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
