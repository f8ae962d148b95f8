"""Calls that must not run twice, while connections go silent or are cut and daemons are killed, paused and started
again. The targets live through it, so their ledgers know all that ran."""

import random
import signal
import time

from cluster import Cluster
from load import BOOK, Load

RATE_PER_S = 150
SECONDS = 18
FAULT_PERIOD_S = 1.5
PAUSE_S = 0.7
WORK_MS = 25
FAULTS = ["silent", "silent_forward", "silent_back", "refuse", "kill", "pause"]


def inject(cluster, fault, vm):
    if fault == "kill":
        cluster.daemons[vm].kill()
        cluster.start_daemon(vm)
    elif fault == "pause":
        cluster.daemons[vm].send(signal.SIGSTOP)
        time.sleep(PAUSE_S)
        cluster.daemons[vm].send(signal.SIGCONT)
    elif fault == "refuse":
        cluster.set_relay_mode(vm, "refuse", connections="existing")
    else:
        cluster.set_relay_mode(vm, fault, connections="existing")


def run(options):
    generator = random.Random(options.seed)
    cluster = Cluster(options.daemons, with_relays=True, target_options=["--work-ms", str(WORK_MS)]).start()
    load = Load(cluster, options.seed, RATE_PER_S, SECONDS, calls=BOOK)
    begin = time.monotonic()
    injected = []
    while time.monotonic() - begin < SECONDS - FAULT_PERIOD_S:
        time.sleep(generator.uniform(0.5, 1) * FAULT_PERIOD_S)
        fault = generator.choice(FAULTS)
        inject(cluster, fault, generator.randrange(options.daemons))
        injected.append(fault)
    result = load.result()
    return {
        "calls": result["calls"], "answered": result["answered"], "doubled": result["doubled"],
        "false_not_run": result["false_not_run"], "wrong_answer": result["wrong_answer"], "cut": result["cut"],
        "unknown": result["unknown"], "not_run": result["not_run"], "failed": result["failed"],
        "unread_ledgers": len(result["unread_ledgers"]), "faults": len(injected), "rate_per_s": RATE_PER_S,
        "examples": result["examples"],
    }
