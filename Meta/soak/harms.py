"""Carries out the faults of a run, from outside the processes."""

import asyncio
import signal

from fleet import MAX_FDS, PORTS

# Between two stops of a rolling restart, and until the last process is certain to have ended.
STOP_BETWEEN_S = 3.0
STOP_S = 6.0
# A target that leaves serves on after its daemon has acknowledged that, and is started again.
LEAVE_S = 7.0
TARGET_RESTART_S = 3.0
STORM_CHANGES = 8
# Connections beyond the daemon's descriptors.
CROWD_BEYOND = 100
# From a target's departure to the end of all daemons, and on until its late heartbeat has arrived and taken effect.
ACKNOWLEDGED_S = 0.5
LATE_HEARTBEAT_S = 8.0


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

    async def crowd(self, fault, victims):
        """Opens more connections than the daemon has descriptors, then stops it while they last."""
        connections = []
        for vm in victims:
            for _ in range(MAX_FDS + CROWD_BEYOND):
                try:
                    connections.append(await asyncio.open_connection(vm.ip, PORTS["outbound"]))
                except OSError:
                    break
        await asyncio.sleep(fault["for_s"])
        for vm in victims:
            vm.signal_daemon(signal.SIGTERM)
        await asyncio.sleep(STOP_S)
        for _, writer in connections:
            writer.transport.abort()
        await asyncio.sleep(0)

    async def end_all(self, fault, victims, number):
        leaving = next(vm for vm in victims if vm.name == fault["leaving"])
        leaving.signal_limit(signal.SIGALRM)
        await asyncio.sleep(ACKNOWLEDGED_S)
        for vm in victims:
            vm.signal_daemon(number)
        await asyncio.sleep(LATE_HEARTBEAT_S)
        leaving.signal_target(signal.SIGKILL)
        await asyncio.sleep(TARGET_RESTART_S)

    async def stop_all(self, fault, victims):
        await self.end_all(fault, victims, signal.SIGTERM)

    async def lose_all(self, fault, victims):
        await self.end_all(fault, victims, signal.SIGKILL)

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
