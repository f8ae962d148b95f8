"""Counts the bytes between daemons and at the platform, idle and under changes, for this design and for daemons that
each watch the platform themselves."""

import time

from cluster import Cluster, questionnaire, request

SETTLE_S = 2
IDLE_S = 4
CHURN_S = 5
CHANGE_PERIOD_S = 1
# The size of the letter: 28 services, 560 licensed copies.
SERVICES = 28
COPIES_PER_SERVICE = 20
# The baseline reads every fragment with every change; a call budget would make it late instead of dear.
UNLIMITED_CALLS = 100_000


def snapshot(cluster):
    totals = cluster.platform_totals()
    calls = totals["reads"] + totals["writes"] + totals["watches"]
    return {"time": time.monotonic(), "control": cluster.sum_metric("merlinpier_control_bytes"), "calls": calls,
            "platform": totals["bytes_out"] + totals["bytes_in"]}


def rates(before, after):
    seconds = after["time"] - before["time"]
    return {key: (after[key] - before[key]) / seconds for key in before if key != "time"}


def add_services(cluster):
    """Submits the services that make the configuration as large as the letter's; nothing calls them."""
    for number in range(1, SERVICES):
        answers = questionnaire(COPIES_PER_SERVICE)
        answers["service"] = f"filler-{number}"
        answers["licences"] = [f"filler-{number}-{copy}" for copy in range(COPIES_PER_SERVICE)]
        body = {"id": f"filler-{number}", "kind": "submit", "service": answers["service"], "answers": answers}
        cluster.version = request(cluster.http(0), "POST", "/config/submissions", body)[1]["version"]
    cluster.wait_in_force()


def measure(options, settings):
    cluster = Cluster(options.daemons, settings=settings).start()
    add_services(cluster)
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
    baseline_idle, baseline = measure(
        options, {"distribution": "baseline", "platform_calls_per_minute": UNLIMITED_CALLS})
    count = options.daemons
    # Each byte between daemons is counted by its sender and by its receiver, each byte of the platform once.
    total = churn["control"] / 2 + churn["platform"]
    announced_total = announced["control"] / 2 + announced["platform"]
    baseline_total = baseline["control"] / 2 + baseline["platform"]
    return {
        "idle_bytes_per_s_per_daemon": round(idle["control"] / count, 1),
        "churn_bytes_per_s_per_daemon": round(churn["control"] / count, 1),
        "announce_churn_bytes_per_s_per_daemon": round(announced["control"] / count, 1),
        "baseline_bytes_ratio": round(baseline_total / total, 3),
        "announce_baseline_bytes_ratio": round(baseline_total / announced_total, 3),
        "platform_calls_per_s": round(churn["calls"], 2),
        "idle_platform_calls_per_s": round(idle["calls"], 2),
        "platform_bytes_per_s": round(churn["platform"], 1),
        "baseline_platform_calls_per_s": round(baseline["calls"], 2),
        "baseline_platform_bytes_per_s": round(baseline["platform"], 1),
        "services": SERVICES,
        "changes_per_s": round(1 / CHANGE_PERIOD_S, 2),
    }
