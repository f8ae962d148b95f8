"""Cuts one zone off from the others and from the platform, calls into it, changes the configuration outside, and heals
the cut."""

import time

from cluster import ZONES, Cluster
from load import READ, Load

CUT_ZONE = 0
RATE_PER_S = 100
CUT_S = 8
HEAL_TIMEOUT_S = 20
POLL_S = 0.02
WORK_MS = 10


def set_cut(cluster, mode):
    for vm in cluster.vms():
        if vm % len(ZONES) == CUT_ZONE:
            for zone in range(len(ZONES)):
                if zone != CUT_ZONE:
                    cluster.set_relay_mode(vm, mode, **{"from": cluster.zone_prefix(zone)})
        else:
            cluster.set_relay_mode(vm, mode, **{"from": cluster.zone_prefix(CUT_ZONE)})
    cluster.set_platform_relay_mode(CUT_ZONE, mode)


def run(options):
    cluster = Cluster(options.daemons, with_relays=True, target_options=["--work-ms", str(WORK_MS)]).start()
    inside = cluster.vms_of_zone(CUT_ZONE)
    version_before = cluster.version
    set_cut(cluster, "silent")
    load = Load(cluster, options.seed, RATE_PER_S, CUT_S, calls=READ, entry_vms=inside)
    time.sleep(CUT_S / 2)
    outside = [vm for vm in cluster.vms() if vm not in inside]
    cluster.change(outside[0])
    cluster.wait_in_force(vms=outside)
    result = load.result()
    behind = sum(1 for vm in inside if cluster.applied(vm) == version_before)
    set_cut(cluster, "pass")
    healed_at = time.monotonic()
    reverted = set()
    healed_ms = None
    while time.monotonic() - healed_at < HEAL_TIMEOUT_S:
        applied = [cluster.applied(vm) for vm in cluster.vms()]
        reverted |= {vm for vm, version in enumerate(applied) if version is not None and version < version_before}
        if all(version == cluster.version for version in applied):
            healed_ms = round((time.monotonic() - healed_at) * 1000, 1)
            break
        time.sleep(POLL_S)
    return {
        "calls": result["calls"], "served_ratio": round(result["answered"] / max(1, result["calls"]), 4),
        "not_run": result["not_run"], "unknown": result["unknown"], "p99_ms": result["p99_ms"],
        "max_ms": result["max_ms"], "cut_off_daemons_behind": behind, "reverted": len(reverted),
        "healed_ms": healed_ms, "rate_per_s": RATE_PER_S,
    }
