"""The core machines are replaced one after the other; the new one starts first, then SIGTERM."""

import asyncio
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from harness import BOUNDS, CannotRun, Operator, ask, main, manifest, service  # noqa: E402

MARGIN_S = 4.0
"""Time beyond CatchUpS that the successors run before the first machine is stopped, in seconds."""

GAP_S = 3.0
"""Time between the end of one machine and the SIGTERM of the next one, in seconds."""


async def without_leader(core):
    """Return the machines that redirect the operator to another one."""
    answers = [await ask(machine.control, "GET", "/-/config/describe") for machine in core]
    others = [machine for machine, answer in zip(core, answers) if answer.status == 307]
    if len(others) != 2:
        raise CannotRun("not two of the core machines redirect the operator")
    return others


async def case(world, record, trouble):
    core = world.start_core()
    operator = Operator(world, list(core))
    form = manifest([("r-a", "/a/", "safe", "alpha")], [service("alpha")])
    if not await operator.change(3, form, for_s=15):
        raise CannotRun("the first manifest was not accepted")
    await asyncio.sleep(2 * BOUNDS["ContactS"])
    if not await operator.change(5, form):
        raise CannotRun("the second manifest was not accepted")
    running = list(core)
    leaving = await without_leader(core)
    if trouble:
        for number, old in enumerate(leaving):
            new = world.add("control", 11 + number, old.zone)
            new.start()
            record(f"{new.name} is to replace {old.name}")
            running.append(new)
    await asyncio.sleep(BOUNDS["CatchUpS"] + MARGIN_S)
    if trouble:
        record("both successors have run for longer than CatchUpS")
        for old in leaving:
            running.remove(old)
            operator.daemons = list(running)
            await old.stop()
            await asyncio.sleep(GAP_S)
    record("the machines are replaced; RecoveryS begins")
    await asyncio.sleep(BOUNDS["RecoveryS"])
    broken = []
    # The operator reads at each daemon, again and again, for longer than ContactS.
    until, versions = time.monotonic() + BOUNDS["ContactS"] + 3, []
    while time.monotonic() < until:
        versions += [await operator.read(daemon) for daemon in running]
        await asyncio.sleep(0.3)
    known = [version for version in versions if version is not None]
    if not known:
        broken.append(
            f"CONFIG: the manifest r{operator.acked} was acknowledged; read back {len(versions)} "
            "times, it does not come"
        )
    elif max(known) < operator.acked:
        broken.append(f"CONFIG: read back r{max(known)}, r{operator.acked} was acknowledged")
    if not await operator.change(7, form, for_s=BOUNDS["AckS"] + 4):
        record("a valid manifest was not acknowledged either")
    return broken


main(case, HERE, trouble=os.environ.get("TROUBLE", "1") != "0")
