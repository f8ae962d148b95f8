#!/usr/bin/env python3
"""Randomized fault soak: real daemons and targets as processes on loopback, faults from outside, promises checked from what
callers and targets see. One seed decides the faults and their times; the processes' own timing differs from run to run.
Ends only what it started, by id."""

import argparse
import asyncio
import json
import random
import resource
import signal
import sys
import tempfile
import time
from pathlib import Path

sys.dont_write_bytecode = True

import checks  # noqa: E402
import plan  # noqa: E402
from clients import Caller, CrashingCaller, HalfClosingCaller, PipeliningCaller, Prober, SlowCaller  # noqa: E402
from fleet import SERVICES, Vm, store_address  # noqa: E402
from harms import Harms  # noqa: E402
from store import Store  # noqa: E402
from timeline import draw_timeline  # noqa: E402

FIRST_READY_S = 20
# From the users' settings: so long after the last fault at least a quarter of the requests is served.
RECOVER_S = 15
RECOVERED_SHARE = 0.25
# The run ends as soon as this share of a second's requests is served.
ENOUGH_SERVED = 0.9
LAST_ANSWERS_S = 4
# With the last, repeats would go far beyond their budget if nothing held them.
SPOILT_SHARES = (0.0, 0.01, 0.02, 0.4)
CALLERS_PER_VM = 3
MARKED_VERSIONS = 40


class Soak:
    def __init__(self, options, seed, folder):
        self.options = options
        self.seed = seed
        self.folder = folder
        self.seeded = random.Random(seed)
        self.secret = f"{self.seeded.getrandbits(64):x}"
        self.history = checks.History()
        self.is_over = False
        self.vms = [Vm(number, options.network, folder, self.seeded, self.history) for number in range(options.daemons)]
        self.store = Store(random.Random(seed + 1))
        self.spoil = self.seeded.choice(SPOILT_SHARES) if options.spoil is None else options.spoil
        self.number = 0
        self.faults = []
        self.harms = Harms(self)

    async def run(self):
        servers = [await self.store.start(store_address(self.options.network))]
        tasks = []
        try:
            servers += [await vm.relay.start() for vm in self.vms]
            await self.change()
            for vm in self.vms:
                await vm.start_daemon()
                await vm.start_target(self.secret, self.options.work, self.spoil)
            tasks = [asyncio.ensure_future(Prober(self, vm, random.Random(self.seeded.random())).run()) for vm in self.vms]
            await self.wait_until_ready()
            for vm in self.vms:
                for _ in range(CALLERS_PER_VM):
                    caller = Caller(self, vm, random.Random(self.seeded.random()))
                    tasks.append(asyncio.ensure_future(caller.run()))
            # Apart from the other callers, so that these stay what they were for a seed.
            seeded = random.Random(self.seed + 4)
            for vm in self.vms[:: len(SERVICES)]:
                for kind in (PipeliningCaller, SlowCaller):
                    tasks.append(asyncio.ensure_future(kind(self, vm, random.Random(seeded.random())).run()))
            halves = random.Random(self.seed + 6)
            for vm in self.vms[:: len(SERVICES)]:
                caller = HalfClosingCaller(self, vm, random.Random(halves.random()))
                tasks.append(asyncio.ensure_future(caller.run()))
            if self.seed % plan.PLANNED_ONLY_EVERY != 0:
                crashing = CrashingCaller(self, random.Random(self.seed + 3))
                tasks.append(asyncio.ensure_future(crashing.run()))
            began = time.time()
            await self.harm()
            recovered = await self.recover()
            # Callers get their last answers before the processes end.
            self.is_over = True
            await asyncio.wait(tasks, timeout=LAST_ANSWERS_S)
        finally:
            self.is_over = True
            await asyncio.gather(*(vm.end() for vm in self.vms))
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for server in servers:
                server.close()
        broken = checks.violations(self.history)
        if not recovered:
            broken.append(("recovers", f"under a quarter was served {RECOVER_S} s after the last fault"))
        draw_timeline(self.folder / "timeline.svg", began, self.history, self.faults, broken)
        return broken

    async def wait_until_ready(self):
        deadline = time.time() + FIRST_READY_S
        while not all(vm.is_ready for vm in self.vms):
            if time.time() > deadline:
                raise RuntimeError("not every daemon got ready: see the logs in " + str(self.folder))
            await asyncio.sleep(0.05)

    def configuration(self):
        routes = []

        def add(name, host, prefix, service, kind="idempotent"):
            routes.append({"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": 1500,
                           "target_latency_ms": 300, "priority": 1, "service": service, "max_attempts": 3})
        for service in SERVICES:
            add(f"read-{service}", f"{service}.example", "/read/", service)
            add(f"book-{service}", f"{service}.example", "/book/", service, "non_idempotent")
        add("moved", "moved.example", "/moved/", SERVICES[self.number % len(SERVICES)])
        for number in range(max(1, self.number - MARKED_VERSIONS), self.number + 1):
            add(f"since-{number}", "versions.example", f"/since-{number}/", SERVICES[0])
        services = [{"name": name, "health_path": "/health", "max_connections": 200} for name in SERVICES]
        limits = {"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
        return {"version": f"{self.number:08x}", "routes": routes, "services": services, "limits": limits}

    async def change(self):
        self.number += 1
        await self.store.put("config/main", self.configuration())
        self.history.versions.append((time.time(), self.number, SERVICES[self.number % len(SERVICES)]))

    async def harm(self):
        names = [vm.name for vm in self.vms]
        self.faults = plan.draw(self.seeded, self.seed, self.options.duration, names, self.options.faults)
        self.faults += plan.draw_later(
            random.Random(self.seed + 5), self.seed, self.options.duration, names, self.options.faults)
        self.faults.sort(key=lambda fault: fault["at"])
        began = time.time()
        under_way = [asyncio.ensure_future(self.limit(began))]
        for fault in self.faults:
            await asyncio.sleep(max(0, began + fault["at"] - time.time()))
            under_way.append(asyncio.ensure_future(self.carry_out(fault)))
        await asyncio.sleep(max(0, began + self.options.duration - time.time()))
        await asyncio.gather(*under_way)

    async def limit(self, began):
        """Lets targets name limits on requests, several at a time."""
        ends = []
        for at, for_s, name in plan.draw_limits(random.Random(self.seed + 2), self.options.duration, [vm.name for vm in self.vms]):
            await asyncio.sleep(max(0, began + at - time.time()))
            vm = next(vm for vm in self.vms if vm.name == name)
            vm.signal_limit(signal.SIGUSR1)
            ends.append(asyncio.ensure_future(self.end_limit(vm, for_s)))
        await asyncio.gather(*ends)

    async def end_limit(self, vm, for_s):
        await asyncio.sleep(for_s)
        vm.signal_limit(signal.SIGUSR2)

    async def carry_out(self, fault):
        begin = time.time()
        is_planned = fault["kind"] in plan.PLANNED
        everywhere = fault["kind"].startswith("store")
        entries = [[begin, float("inf"), vm, is_planned] for vm in ([None] if everywhere else fault["vms"])]
        self.history.harm += entries
        victims = [vm for vm in self.vms if vm.name in fault["vms"]]
        await self.harms.carry_out(fault, victims)
        # A process that was struck is back after its restart at the latest.
        for entry in entries:
            entry[1] = time.time() + 1.0

    async def recover(self):
        deadline = time.time() + RECOVER_S
        while time.time() < deadline:
            await asyncio.sleep(0.5)
            last = [outcome for outcome in self.history.outcomes.values() if outcome["at"] > time.time() - 1]
            served = sum(outcome["status"] == 200 for outcome in last)
            if len(last) > self.options.daemons and served >= ENOUGH_SERVED * len(last):
                return True
        return bool(last) and served >= RECOVERED_SHARE * len(last)


def options():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds to play, one after the other")
    parser.add_argument("--duration", type=float, default=20, help="seconds of faults for each seed")
    parser.add_argument("--daemons", type=int, default=9, help="daemons, each with a target: twice as many processes")
    parser.add_argument("--faults", nargs="*", choices=plan.KINDS + plan.LATER_KINDS, default=[], help="kinds of faults; all if none is named")
    parser.add_argument("--network", type=int, default=77, help="loopback network 127.N of this run, for runs side by side")
    parser.add_argument("--work", type=float, default=0.03, help="mean seconds of a request at a target")
    parser.add_argument("--pause", type=float, default=0.1, help="mean seconds between a caller's requests")
    parser.add_argument("--spoil", type=float, help="share of the targets' answers that are lost or cut; drawn if not given")
    parser.add_argument("--report", type=Path, help="write a JSON report there")
    parser.add_argument("--keep", type=Path, help="keep logs and timelines in this folder")
    return parser.parse_args()


def play(chosen, seed, folder):
    folder.mkdir(parents=True, exist_ok=True)
    soak = Soak(chosen, seed, folder)
    began = time.time()
    broken = asyncio.run(soak.run())
    result = {"seed": seed, "seconds": round(time.time() - began, 1), "faults": len(soak.faults),
              "broken": broken[:20], **checks.summary(soak.history)}
    print(f"seed {seed}: {'BROKEN' if broken else 'kept'}, {json.dumps({k: v for k, v in result.items() if k != 'broken'})}",
          flush=True)
    for promise, what in broken[:5]:
        print(f"  {promise}: {what}"[:400], flush=True)
    if broken:
        (folder / "plan.json").write_text(json.dumps(soak.faults, indent=1))
        print(f"  again: Meta/soak.sh --seed {seed} --duration {chosen.duration} --daemons {chosen.daemons}; logs: {folder}")
    return result


def main():
    chosen = options()
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(65536, hard), hard))
    kept = chosen.keep or Path(tempfile.mkdtemp(prefix="merlinpier-soak-"))
    results = [play(chosen, seed, kept / f"seed-{seed}") for seed in range(chosen.seed, chosen.seed + chosen.seeds)]
    failed = [result["seed"] for result in results if result["broken"]]
    if chosen.report:
        chosen.report.write_text(json.dumps(results, indent=1))
    print(f"{len(results) - len(failed)} passed, {len(failed)} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
