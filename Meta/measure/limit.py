"""Lets every target name a limit on requests, offers twice as much, and shows whether the limits are held and used."""

import threading
import time

from cluster import Cluster, request
from load import READ, Load

# The targets' limit, and what is offered, as requests a second of each target.
LIMIT_PER_S = 20
OFFERED_PER_S = 40
SECONDS = 12
# Until every daemon has learnt of the limits.
SETTLE_S = 3
POLL_S = 0.05
WINDOW_S = 4.0
WORK_MS = 20
# The users' bound for each window.
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5


class RunCounts(threading.Thread):
    """Reads now and then how many calls each target has run."""

    def __init__(self, cluster, targets):
        super().__init__(daemon=True)
        self.addresses = {vm: cluster.target_address(vm) for vm in targets}
        self.counts = {vm: [] for vm in targets}
        self.is_ended = False

    def run(self):
        while not self.is_ended:
            for vm, address in self.addresses.items():
                try:
                    ran = len(request(address, "GET", "/ledger")[1]["ran"])
                except (OSError, TypeError, KeyError):
                    continue
                self.counts[vm].append((time.monotonic(), ran))
            time.sleep(POLL_S)

    def most_in_window(self, since):
        most = 0
        for counts in self.counts.values():
            known = [(at, ran) for at, ran in counts if at >= since]
            for first, (begin, before) in enumerate(known):
                inside = [ran for at, ran in known[first:] if at - begin <= WINDOW_S]
                most = max(most, inside[-1] - before)
        return most

    def ran_since(self, since):
        ran = 0
        for counts in self.counts.values():
            known = [count for at, count in counts if at >= since]
            ran += known[-1] - known[0] if known else 0
        return ran


def run(options):
    cluster = Cluster(options.daemons, target_options=["--work-ms", str(WORK_MS), "--request-limit", str(LIMIT_PER_S)])
    cluster.start()
    targets = list(cluster.targets)
    load = Load(cluster, options.seed, OFFERED_PER_S * len(targets), SECONDS, calls=READ)
    counts = RunCounts(cluster, targets)
    counts.start()
    time.sleep(SETTLE_S)
    since = time.monotonic()
    time.sleep(SECONDS - SETTLE_S - 0.5)
    until = time.monotonic()
    most, ran = counts.most_in_window(since), counts.ran_since(since)
    result = load.result()
    counts.is_ended = True
    return {
        "targets": len(targets), "limit_per_s": LIMIT_PER_S, "offered_per_s": OFFERED_PER_S,
        "most_in_4_s": most, "allowed_in_4_s": round(ALLOWED_FACTOR * LIMIT_PER_S * WINDOW_S + ALLOWED_EXTRA),
        "used": round(ran / (LIMIT_PER_S * len(targets) * (until - since)), 3), "calls": result["calls"],
        "answered": result["answered"], "not_run": result["not_run"], "unknown": result["unknown"],
        "doubled": result["doubled"], "p99_ms": result["p99_ms"],
    }
