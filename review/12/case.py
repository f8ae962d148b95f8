"""One machine freezes as the configuration changes; others of its zone go on by the former version for too long."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-3"))
from mesh import BOUNDS, ZONES, CannotRun, Connection, Mesh, Worker, play  # noqa: E402

# As for the deployments of 59 to 80 machines in three zones.
MACHINES = 54
CONFIG_APPLY_S = 2.5
FREEZE_S = 4.0
ROUNDS = 6
# Time for the machine that was frozen to be in touch again.
PAUSE_S = 5.0
# A daemon watches the configuration, 1.5 s at a time, if it has begun to do so within this time.
WATCHES_S = 2.5


def move_route(mesh, service):
    """Writes a version in which the route leads to this service, as the operator does."""
    mesh.routes["moved"] = {"name": "moved", "host": "moved.example", "path_prefix": "/book/", "kind": "non_idempotent",
                            "timeout_ms": 1500, "target_latency_ms": 400, "priority": 1, "service": service,
                            "max_attempts": 2}
    mesh.store.write("config/main", mesh.configuration(1500))


async def case(record, trouble):
    bounds = [bound.replace("config_apply_ms=2000", "config_apply_ms=2500") for bound in BOUNDS]
    mesh = Mesh(record, ["old" if number % 6 < 3 else "new" for number in range(MACHINES)], bounds)
    broken = []
    try:
        await mesh.start()
        workers = [Worker(record, machine, f"i-{machine.name}", work=0.02) for machine in mesh.machines]
        for worker in workers:
            await worker.start()
        await mesh.wait_until_ready()
        move_route(mesh, "old")
        await asyncio.sleep(6)
        for number in range(ROUNDS):
            zone = ZONES[number % len(ZONES)]
            members = [machine for machine in mesh.machines if machine.zone == zone]
            former, latter = ("old", "new") if number % 2 == 0 else ("new", "old")
            # Of the machines that the store has seen watching lately, the one that began last.
            watching = {machine.ip: mesh.store.watches.get(machine.ip, 0.0) for machine in members}
            frozen = max(members, key=lambda machine: watching[machine.ip])
            if time.monotonic() - watching[frozen.ip] > WATCHES_S:
                raise CannotRun("no daemon of the zone watches the configuration")
            if trouble:
                record.write("freeze", machine=frozen.name)
                frozen.signal(signal.SIGSTOP)
            await asyncio.sleep(0.05)
            move_route(mesh, latter)
            acknowledged = time.monotonic()
            record.write("version_acknowledged", version=mesh.version, route_leads_to=latter)
            sent = {}

            async def ask(machine):
                connection = Connection(record, machine, f"{number}-{machine.name}")
                await connection.open()
                while time.monotonic() < acknowledged + FREEZE_S - 0.1:
                    at = time.monotonic() - acknowledged
                    await connection.call("POST", "moved", f"/book/{number}", 1500, 2, sent=lambda a, at=at: sent.update({a: at}))
                    await asyncio.sleep(0.1)
                connection.close()

            await asyncio.sleep(max(0.0, acknowledged + CONFIG_APPLY_S + 0.05 - time.monotonic()))
            await asyncio.gather(*(ask(machine) for machine in members if machine is not frozen))
            ran = {attempt: worker.machine.service for worker in workers for _, attempt, _, _ in worker.runs}
            late = [at for attempt, at in sent.items() if ran.get(attempt) == former]
            broken += late
            record.write("round", zone=zone, requests=len(sent), run_by_the_former_service=len(late),
                         latest=f"{max(late, default=0):.2f}")
            if trouble:
                record.write("wake", machine=frozen.name)
                frozen.signal(signal.SIGCONT)
            await asyncio.sleep(PAUSE_S)
        record.write("result", run_by_the_former_service=len(broken))
        return not broken
    finally:
        mesh.end()


play(case, Path(__file__).with_name("record.txt"))
