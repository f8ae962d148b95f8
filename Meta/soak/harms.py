"""Carries out the faults of a run, from outside the processes."""

import asyncio
import signal

# Between two stops of a rolling restart, and until the last process is certain to have ended.
STOP_BETWEEN_S = 3.0
STOP_S = 6.0
# A target that leaves serves on after its daemon has acknowledged that, and is started again.
LEAVE_S = 7.0
TARGET_RESTART_S = 3.0
STORM_CHANGES = 8


class Harms:
    """One method for each kind of plan.KINDS; it returns when the fault is over."""

    def __init__(self, soak):
        self.soak = soak

    async def carry_out(self, fault, victims):
        await getattr(self, fault["kind"])(fault, victims)

    async def change(self, fault, victims):
        await self.soak.change()

    async def kill(self, fault, victims):
        for vm in victims:
            vm.signal_daemon(signal.SIGKILL)

    herd_kill = kill

    async def stop(self, fault, victims):
        for vm in victims:
            vm.signal_daemon(signal.SIGTERM)
        await asyncio.sleep(STOP_S)

    async def roll(self, fault, victims):
        for vm in victims:
            vm.signal_daemon(signal.SIGTERM)
            await asyncio.sleep(STOP_BETWEEN_S)
        await asyncio.sleep(STOP_S)

    async def pause(self, fault, victims):
        for vm in victims:
            vm.signal_daemon(signal.SIGSTOP)
        await asyncio.sleep(fault["for_s"])
        for vm in victims:
            vm.signal_daemon(signal.SIGCONT)

    async def target_kill(self, fault, victims):
        for vm in victims:
            vm.signal_target(signal.SIGKILL)
        await asyncio.sleep(TARGET_RESTART_S)

    async def target_leave(self, fault, victims):
        for vm in victims:
            vm.signal_target(signal.SIGTERM)
        await asyncio.sleep(LEAVE_S)

    async def target_pause(self, fault, victims):
        for vm in victims:
            vm.signal_target(signal.SIGSTOP)
        await asyncio.sleep(fault["for_s"])
        for vm in victims:
            vm.signal_target(signal.SIGCONT)

    async def reset(self, fault, victims):
        for vm in victims:
            vm.relay.reset()

    async def spoil_links(self, fault, victims):
        for vm in victims:
            vm.relay.mode = fault["kind"]
        await asyncio.sleep(fault["for_s"])
        for vm in victims:
            vm.relay.mode = ""

    delay = silent = silent_in = silent_out = spoil_links

    async def store_fails(self, fault, victims):
        self.soak.store.mode = fault["mode"]
        self.soak.store.victims = {vm.ip for vm in victims} if fault["kind"] == "store_some" else None
        await asyncio.sleep(fault["for_s"])
        self.soak.store.mode = ""

    store = store_some = store_fails

    async def store_forgets(self, fault, victims):
        self.soak.store.forget_history()

    async def hang_up(self, fault, victims):
        for vm in victims:
            vm.signal_daemon(signal.SIGHUP)

    async def storm(self, fault, victims):
        for _ in range(STORM_CHANGES):
            await self.soak.change()
            await asyncio.sleep(fault["gap_s"])
