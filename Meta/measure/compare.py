"""Prints the ratio of each figure of two results."""

import json
import sys

SIZES = {"name", "seed", "daemons"}


def read_result(path):
    """The last line of the file that is a JSON object: a whole output of an experiment is taken as well."""
    with open(path, encoding="utf-8") as file:
        lines = [line for line in file.read().splitlines() if line.startswith("{")]
    if not lines:
        raise ValueError(f"{path} holds no line of JSON: give the output of Meta/measure.sh NAME")
    return json.loads(lines[-1])


def is_figure(value):
    return isinstance(value, (int, float)) and not isinstance(value, bool)


def main(arguments):
    if len(arguments) != 2:
        print("usage: Meta/measure.sh compare A.json B.json", file=sys.stderr)
        return 2
    try:
        first, second = (read_result(path) for path in arguments)
    except (OSError, ValueError) as failure:
        print(failure, file=sys.stderr)
        return 2
    if first.get("name") != second.get("name"):
        print("the two are results of different experiments", file=sys.stderr)
        return 2
    print(f"{'figure':<32} {'A':>14} {'B':>14} {'B/A':>8}")
    for key in first:
        if key in SIZES or not is_figure(first[key]) or not is_figure(second.get(key)):
            continue
        ratio = f"{second[key] / first[key]:.3f}" if first[key] else "-"
        print(f"{key:<32} {first[key]:>14.6g} {second[key]:>14.6g} {ratio:>8}")
    return 0
