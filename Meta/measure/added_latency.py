"""Times calls through daemons against calls straight to the targets in the same run."""

from cluster import Cluster
from load import Load

RATE_PER_S = 500
SECONDS = 12
WORK_MS = 2


def run(options):
    cluster = Cluster(options.daemons, target_options=["--work-ms", str(WORK_MS)]).start()
    result = Load(cluster, options.seed, RATE_PER_S, SECONDS, direct=True).result()
    return {
        "rate_per_s": RATE_PER_S, "work_ms": WORK_MS, "calls": result["calls"], "answered": result["answered"],
        "added_p50_ms": result["added_p50_ms"], "added_p99_ms": result["added_p99_ms"],
        "through_p50_ms": result["p50_ms"], "through_p99_ms": result["p99_ms"],
        "direct_p50_ms": result["direct"]["p50_ms"], "direct_p99_ms": result["direct"]["p99_ms"],
    }
