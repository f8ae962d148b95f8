"""Lets every open connection between daemons go silent for good under load, while new ones work."""

import time

from cluster import Cluster
from load import BOOK, Load

RATE_PER_S = 200
SECONDS = 9
SILENT_AFTER_S = 3.5
WORK_MS = 20


def measure(options, mode):
    cluster = Cluster(options.daemons, with_relays=True, target_options=["--work-ms", str(WORK_MS)]).start()
    load = Load(cluster, options.seed, RATE_PER_S, SECONDS, calls=BOOK)
    time.sleep(SILENT_AFTER_S)
    for vm in cluster.vms():
        cluster.set_relay_mode(vm, mode, connections="existing")
    result = load.result()
    cluster.stop()
    return result


def run(options):
    results = [measure(options, mode) for mode in ("silent", "silent_back")]
    return {
        "calls": sum(result["calls"] for result in results),
        # The worst second of arrivals: that in which the connections went silent.
        "resolved_p99_ms": max(second[3] for result in results for second in result["timeline"]),
        "resolved_max_ms": max(result["max_ms"] for result in results),
        "doubled": sum(result["doubled"] for result in results),
        "wrong_outcome": sum(result["unknown"] + result["failed"] + result["cut"] + result["wrong_answer"]
                             + result["false_not_run"] for result in results),
        "not_run": sum(result["not_run"] for result in results),
        "rate_per_s": RATE_PER_S,
    }
