"""Counts the bytes between daemons and at the platform, idle and under changes, for this design and for daemons that
each watch the platform themselves."""

import time

from cluster import Cluster

SETTLE_S = 2
IDLE_S = 5
CHURN_S = 6
CHANGE_PERIOD_S = 1


def snapshot(cluster):
    totals = cluster.platform_totals()
    calls = totals["reads"] + totals["writes"] + totals["watches"]
    return {"time": time.monotonic(), "control": cluster.sum_metric("merlinpier_control_bytes"), "calls": calls,
            "platform": totals["bytes_out"] + totals["bytes_in"]}


def rates(before, after):
    seconds = after["time"] - before["time"]
    return {key: (after[key] - before[key]) / seconds for key in before if key != "time"}


def measure(options, settings):
    cluster = Cluster(options.daemons, settings=settings).start()
    time.sleep(SETTLE_S)
    idle_begin = snapshot(cluster)
    time.sleep(IDLE_S)
    churn_begin = snapshot(cluster)
    while time.monotonic() - churn_begin["time"] < CHURN_S:
        cluster.change(0)
        time.sleep(CHANGE_PERIOD_S)
    end = snapshot(cluster)
    cluster.stop()
    return rates(idle_begin, churn_begin), rates(churn_begin, end)


def run(options):
    idle, churn = measure(options, {"distribution": "push"})
    announced_idle, announced = measure(options, {"distribution": "announce"})
    baseline_idle, baseline = measure(options, {"distribution": "baseline"})
    count = options.daemons
    total = churn["control"] + churn["platform"]
    return {
        "idle_bytes_per_s_per_daemon": round(idle["control"] / count, 1),
        "churn_bytes_per_s_per_daemon": round(churn["control"] / count, 1),
        "announce_churn_bytes_per_s_per_daemon": round(announced["control"] / count, 1),
        "baseline_bytes_ratio": round((baseline["control"] + baseline["platform"]) / total, 3),
        "platform_calls_per_s": round(churn["calls"], 2),
        "idle_platform_calls_per_s": round(idle["calls"], 2),
        "platform_bytes_per_s": round(churn["platform"], 1),
        "baseline_platform_calls_per_s": round(baseline["calls"], 2),
        "baseline_platform_bytes_per_s": round(baseline["platform"], 1),
        "changes_per_s": round(1 / CHANGE_PERIOD_S, 2),
    }
