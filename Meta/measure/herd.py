"""Kills two thirds of the daemons at once and starts them again at once."""

import time

from cluster import Cluster

SETTLE_S = 2
RECOVERY_TIMEOUT_S = 25
POLL_S = 0.05


def run(options):
    cluster = Cluster(options.daemons).start()
    for _ in range(3):
        cluster.change(0)
    cluster.wait_in_force()
    time.sleep(SETTLE_S)
    dying = [vm for vm in cluster.vms() if vm % 3 != 0]
    for vm in dying:
        cluster.daemons[vm].kill()
    for vm in dying:
        cluster.start_daemon(vm)
    begin = time.monotonic()
    reverted = set()
    while True:
        applied = {vm: cluster.applied(vm) for vm in cluster.vms()}
        reverted |= {vm for vm, version in applied.items() if version and version < cluster.version}
        is_whole = all(version == cluster.version for version in applied.values())
        if is_whole and all(cluster.alive_members(vm) == options.daemons for vm in cluster.vms()):
            break
        if time.monotonic() - begin > RECOVERY_TIMEOUT_S:
            return figures(cluster, len(dying), None, reverted)
        time.sleep(POLL_S)
    return figures(cluster, len(dying), round((time.monotonic() - begin) * 1000, 1), reverted)


def figures(cluster, killed, recovered_ms, reverted):
    """recovered_ms is null if the daemons were not whole again in time."""
    return {"killed": killed, "recovered_ms": recovered_ms,
            "platform_calls_per_s_peak": cluster.platform_totals()["peak_calls_per_s"], "reverted": len(reverted)}
