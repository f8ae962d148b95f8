"""Accepts changes one after another and times until each daemon has applied each."""

import concurrent.futures
import random
import time

from cluster import Cluster, MeasurementError
from statistics_tools import quantile

CHANGES = 20
LONGEST_RUN_S = 25
POLL_PERIOD_S = 0.003
CHANGE_TIMEOUT_S = 15
POLLERS = 24


def time_until_applied(cluster, vm, version, since):
    """Milliseconds since the acceptance until the daemon shows the version."""
    while (cluster.applied(vm) or 0) < version:
        if time.monotonic() - since > CHANGE_TIMEOUT_S:
            raise MeasurementError(f"vm-{vm} did not apply version {version} in {CHANGE_TIMEOUT_S} s")
        time.sleep(POLL_PERIOD_S)
    return (time.monotonic() - since) * 1000


def run(options):
    generator = random.Random(options.seed)
    cluster = Cluster(options.daemons).start()
    in_force = []
    each = []
    begin = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(POLLERS) as pool:
        while len(in_force) < CHANGES and time.monotonic() - begin < LONGEST_RUN_S:
            version = cluster.change(generator.randrange(options.daemons))
            accepted = time.monotonic()
            times = list(pool.map(lambda vm: time_until_applied(cluster, vm, version, accepted), cluster.vms()))
            in_force.append(max(times))
            each += times
            time.sleep(generator.uniform(0.1, 0.4))
    return {
        "changes": len(in_force),
        "in_force_p50_ms": round(quantile(in_force, 0.5), 1),
        "in_force_p99_ms": round(quantile(in_force, 0.99), 1),
        "one_daemon_p50_ms": round(quantile(each, 0.5), 1),
        "one_daemon_p99_ms": round(quantile(each, 0.99), 1),
    }
