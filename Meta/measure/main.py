"""Chooses an experiment by name, runs it and prints its table and its line of JSON."""

import argparse
import importlib
import json
import signal
import sys

import compare
from cluster import MAXIMUM_PROCESSES, Cluster, MeasurementError

EXPERIMENTS = {
    "convergence": "time until an accepted change is in force on every daemon",
    "control-bytes": "configuration and membership traffic, idle and under changes, against a baseline",
    "added-latency": "time that the daemons add to a call, against calls straight to the target",
    "daemon-cost": "processor time and memory of a daemon for control",
    "overload": "goodput at two and five times the slots, and recovery",
    "limit": "whether limits on requests that targets announce are held and used at twice the load",
    "drain": "calls lost by the planned stop of a target and of a daemon under load",
    "silent-connection": "fate of calls whose connection goes silent for good",
    "herd": "recovery after most daemons die at once",
    "partition": "service in a zone cut off from the others and from the platform, and its return",
    "at-most-once": "doubled or wrongly reported calls under kills, pauses and cuts",
}
DEFAULT_SEED = 20261203
DEFAULT_DAEMONS = 9
SMALLEST_CLUSTER = 3
# A daemon may come with a target and a relay; the platform and its relays are few.
PROCESSES_PER_DAEMON = 3
OTHER_PROCESSES = 8


def stop_on_signal(number, _frame):
    raise KeyboardInterrupt(f"signal {number}")


def parse_arguments(arguments):
    parser = argparse.ArgumentParser(prog="Meta/measure.sh")
    parser.add_argument("name", choices=sorted(EXPERIMENTS))
    parser.add_argument("--daemons", type=int, default=DEFAULT_DAEMONS, help="number of daemons, over three zones")
    parser.add_argument("--seed", type=int, default=DEFAULT_SEED)
    options = parser.parse_args(arguments)
    most = (MAXIMUM_PROCESSES - OTHER_PROCESSES) // PROCESSES_PER_DAEMON
    if not SMALLEST_CLUSTER <= options.daemons <= most:
        parser.error(f"--daemons must lie between {SMALLEST_CLUSTER} and {most}")
    return options


def run(options):
    experiment = importlib.import_module(options.name.replace("-", "_"))
    figures = {"name": options.name, "seed": options.seed, "daemons": options.daemons}
    figures.update(experiment.run(options))
    width = max(len(key) for key in figures)
    for key, value in figures.items():
        print(f"{key:<{width}}  {value}")
    print(json.dumps(figures))


def main():
    arguments = sys.argv[1:]
    if not arguments:
        for name, purpose in EXPERIMENTS.items():
            print(f"{name:<18} {purpose}")
        return 0
    if arguments[0] == "compare":
        return compare.main(arguments[1:])
    options = parse_arguments(arguments)
    signal.signal(signal.SIGTERM, stop_on_signal)
    signal.signal(signal.SIGHUP, stop_on_signal)
    try:
        run(options)
    except MeasurementError as failure:
        print(f"measurement failed: {failure}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        print("interrupted", file=sys.stderr)
        return 130
    finally:
        Cluster.stop_all()
    return 0


if __name__ == "__main__":
    sys.exit(main())
