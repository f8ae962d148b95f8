"""Draws the faults of a run from its seed."""

KINDS = ("kill", "herd_kill", "stop", "roll", "pause", "target_kill", "target_leave", "target_pause", "reset", "delay",
         "silent", "silent_in", "silent_out", "store", "store_some", "store_forgets", "change", "storm", "hang_up")
# Drawn apart from the others, so that a seed keeps the faults that it had: more clients than descriptors, then a stop;
# a stop or loss of all daemons right after a target's departure was acknowledged, with a late heartbeat on the way.
LATER_KINDS = ("crowd", "stop_all", "lose_all")
# Work that operators plan; the rest is harm.
PLANNED = ("stop", "roll", "target_leave", "change", "storm", "hang_up", "crowd", "stop_all")
STORE_MODES = ("silent", "busy", "reset", "lost", "slow")
# Seeds divisible by this play planned work alone, so that what it cuts shows.
PLANNED_ONLY_EVERY = 4


# How long a target names a limit on requests, and the pause before the next does, in seconds.
LIMIT_S = (5.0, 9.0)
LIMIT_PAUSE_S = (0.5, 3.0)


def draw_limits(seeded, duration, vms):
    """Returns when the targets of which VMs begin and end to name a limit: (at, for_s, vm). Drawn apart from the faults,
    so that these stay what they were for a seed."""
    limits = []
    at = seeded.uniform(*LIMIT_PAUSE_S)
    while at < duration:
        limits.append((at, seeded.uniform(*LIMIT_S), seeded.choice(vms)))
        at += seeded.uniform(*LIMIT_PAUSE_S)
    return limits


def draw_later(seeded, seed, duration, vms, kinds):
    """Returns a crowd in the first half of the run and an end of all daemons in the second."""
    end = "stop_all" if seed % PLANNED_ONLY_EVERY == 0 or seeded.random() < 0.5 else "lose_all"
    faults = []
    for kind, begin in (("crowd", 0.1), (end, 0.5)):
        fault = {"at": duration * (begin + seeded.uniform(0, 0.4)), "kind": kind, "for_s": round(seeded.uniform(1, 3), 2),
                 "vms": [seeded.choice(vms)] if kind == "crowd" else list(vms), "leaving": seeded.choice(vms)}
        if not kinds or kind in kinds:
            faults.append(fault)
    return faults


def draw(seeded, seed, duration, vms, kinds):
    """Returns the faults in order: dictionaries with at, kind, vms, for_s and more. They overlap and come in series."""
    allowed = [kind for kind in KINDS if not kinds or kind in kinds]
    if seed % PLANNED_ONLY_EVERY == 0 and not kinds:
        allowed = [kind for kind in PLANNED if kind in KINDS]
    faults = []
    at = 1.0
    while at < duration and allowed:
        kind = seeded.choice(allowed)
        count = seeded.randint(1, max(1, len(vms) // 4))
        if kind == "herd_kill":
            count = seeded.randint(len(vms) // 2, len(vms))
        # The same VM is struck again now and then, while it is still recovering.
        victims = faults[-1]["vms"] if faults and seeded.random() < 0.2 else seeded.sample(vms, count)
        faults.append({"at": at, "kind": kind, "vms": victims, "for_s": round(seeded.uniform(0.3, 3.0), 2),
                       "mode": seeded.choice(STORE_MODES), "gap_s": round(seeded.uniform(0.05, 0.6), 2)})
        at += seeded.choice([0.05, 0.4, 1.0, 2.5]) * seeded.uniform(0.5, 1.5)
    return faults
