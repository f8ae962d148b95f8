"""Offers two and five times what the targets' slots can do, then half of it."""

from cluster import SLOTS_PER_COPY, Cluster
from load import Load

COPIES = 3
WORK_MS = 60
OVERLOAD_S = 7
RECOVERY_S = 4
# A second counts as recovered when nearly every call of it was answered.
RECOVERED_SHARE = 0.98


def recovered_ms(timeline):
    for second, (calls, answered, _not_run, _p99) in enumerate(timeline):
        if calls and answered >= RECOVERED_SHARE * calls:
            return second * 1000
    return len(timeline) * 1000


def run(options):
    cluster = Cluster(options.daemons, copies=COPIES, target_options=["--work-ms", str(WORK_MS), "--slots",
                                                                      str(SLOTS_PER_COPY)]).start()
    capacity = COPIES * SLOTS_PER_COPY * 1000 / WORK_MS
    figures = {"capacity_per_s": capacity, "copies": COPIES, "work_ms": WORK_MS}
    for factor in (2, 5):
        result = Load(cluster, options.seed, capacity * factor, OVERLOAD_S).result()
        figures[f"goodput_ratio_{factor}x"] = round(result["answered"] / OVERLOAD_S / capacity, 3)
        figures[f"answered_p99_ms_{factor}x"] = result["p99_ms"]
        figures["retry_ratio"] = round(result["retries"] / max(1, result["calls"]), 4)
    after = Load(cluster, options.seed + 1, capacity / 2, RECOVERY_S).result()
    figures["recovered_ms"] = recovered_ms(after["timeline"])
    return figures
