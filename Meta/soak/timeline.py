"""Draws what happened in a soak: requests served and not served for each half second, faults, and broken promises."""

WIDTH = 1200
ROW = 14
CHART = 120
STEP_S = 0.5


def draw_timeline(path, began, history, faults, broken):
    ended = max((outcome["at"] for outcome in history.outcomes.values()), default=began + 1)
    scale = WIDTH / max(1.0, ended - began)
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH + 20}" height="{CHART + ROW * (len(faults) + 3)}" '
             'font-family="sans-serif" font-size="10">']
    counts = {}
    for outcome in history.outcomes.values():
        slot = counts.setdefault(int((outcome["at"] - began) / STEP_S), [0, 0])
        slot[outcome["status"] != 200] += 1
    most = max((sum(slot) for slot in counts.values()), default=1)
    for step, (served, failed) in sorted(counts.items()):
        x, width = step * STEP_S * scale, STEP_S * scale - 1
        tall, more = served * CHART / most, failed * CHART / most
        parts.append(f'<rect x="{x:.1f}" y="{CHART - tall:.1f}" width="{width:.1f}" height="{tall:.1f}" fill="#4a8"/>')
        parts.append(f'<rect x="{x:.1f}" y="{CHART - tall - more:.1f}" width="{width:.1f}" height="{more:.1f}" fill="#c64"/>')
    for row, fault in enumerate(faults):
        y = CHART + ROW * (row + 1)
        parts.append(f'<rect x="{fault["at"] * scale:.1f}" y="{y}" width="{max(2, fault["for_s"] * scale):.1f}" height="8" '
                     f'fill="#88a"/><text x="{fault["at"] * scale + 4:.1f}" y="{y + 8}">{fault["kind"]} '
                     f'{", ".join(fault["vms"])}</text>')
    parts.append(f'<text x="4" y="{CHART + ROW * (len(faults) + 2)}">{len(broken)} promises broken</text></svg>')
    path.write_text("\n".join(parts))
