"""Drains one target and stops one daemon by SIGTERM under load, and counts what callers lost."""

import threading
import time

from cluster import Cluster, request
from load import BOOK, Load

RATE_PER_S = 150
SECONDS = 10
DRAIN_AFTER_S = 3
STOP_AFTER_S = 3
LEDGER_POLL_S = 0.02
WORK_MS = 30


class LedgerWatch(threading.Thread):
    """Remembers when a target's ledger last grew."""

    def __init__(self, address):
        super().__init__(daemon=True)
        self.address = address
        self.grew_at = 0.0
        self.is_ended = False

    def run(self):
        known = 0
        while not self.is_ended:
            try:
                count = len(request(self.address, "GET", "/ledger")[1]["ran"])
            except (OSError, TypeError, KeyError):
                return
            if count > known:
                known = count
                self.grew_at = time.monotonic()
            time.sleep(LEDGER_POLL_S)


def run(options):
    cluster = Cluster(options.daemons, target_options=["--work-ms", str(WORK_MS)]).start()
    drained, stopped = options.daemons - 1, options.daemons - 2
    entries = [vm for vm in cluster.vms() if vm not in (drained, stopped)]
    load = Load(cluster, options.seed, RATE_PER_S, SECONDS, calls=BOOK, entry_vms=entries)
    watch = LedgerWatch(cluster.target_address(drained))
    watch.start()
    time.sleep(DRAIN_AFTER_S)
    request(cluster.http(drained), "POST", f"/targets/target-{drained}/drain")
    drained_at = time.monotonic()
    time.sleep(STOP_AFTER_S)
    cluster.daemons[stopped].begin_stop()
    result = load.result()
    watch.is_ended = True
    exit_code = cluster.daemons[stopped].finish_stop()
    return {
        "calls": result["calls"], "failed": result["failed"] + result["not_run"] + result["unknown"],
        "cut": result["cut"], "doubled": result["doubled"], "wrong_answer": result["wrong_answer"],
        "false_not_run": result["false_not_run"],
        "new_work_after_ms": round(max(0.0, watch.grew_at - drained_at) * 1000, 1), "daemon_exit_code": exit_code,
        "p99_ms": result["p99_ms"], "rate_per_s": RATE_PER_S,
    }
