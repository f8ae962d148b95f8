"""Processor time and memory of the daemons while nothing but control happens: heartbeats and a change now and then."""

import time

from cluster import Cluster

SETTLE_S = 2
SECONDS = 20
CHANGE_PERIOD_S = 5


def run(options):
    cluster = Cluster(options.daemons).start()
    time.sleep(SETTLE_S)
    before = {vm: daemon.processor_seconds() for vm, daemon in cluster.daemons.items()}
    begin = time.monotonic()
    while time.monotonic() - begin < SECONDS:
        cluster.change(0)
        time.sleep(CHANGE_PERIOD_S)
    elapsed = time.monotonic() - begin
    spent = [100 * (daemon.processor_seconds() - before[vm]) / elapsed for vm, daemon in cluster.daemons.items()]
    resident = [daemon.resident_megabytes() for daemon in cluster.daemons.values()]
    return {
        "core_percent": round(sum(spent) / len(spent), 3), "core_percent_most": round(max(spent), 3),
        "rss_mb": round(sum(resident) / len(resident), 2), "rss_mb_most": round(max(resident), 2),
        "seconds": round(elapsed, 1), "change_period_s": CHANGE_PERIOD_S,
    }
