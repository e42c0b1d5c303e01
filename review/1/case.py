"""The settings name other seeds; at the end all processes are killed and start again."""

import asyncio
import os
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from clients import Clients  # noqa: E402
from harness import BOUNDS, CannotRun, Operator, ask, main, manifest, service, until  # noqa: E402
from upstream import Upstream  # noqa: E402

UPSTREAMS = 4
PER_S = 40
DOWN_S = 0.9
MEASURED_S = 6.0


async def case(world, record, trouble):
    core = world.start_core()
    others = [world.add("control", 4 + n, zone, bootstrap=True) for n, zone in enumerate("abc")]
    for machine in others:
        machine.start()
    gateways = [world.add("gateway", 21 + n, zone) for n, zone in enumerate("abc")]
    for gateway in gateways:
        gateway.start()
    operator = Operator(world, [*core, *others])
    form = manifest([("r-a", "/a/", "safe", "alpha")], [service("alpha")])
    if not await operator.change(3, form, for_s=15):
        raise CannotRun("the first manifest was not accepted")
    fleet = []
    for number in range(UPSTREAMS):
        upstream = Upstream(world, core, f"i-{number:04x}", "alpha", sharded=False)
        await upstream.start(f"{world.net}.{101 + number}", world.server_port)
        fleet.append(upstream)

    async def are_ready():
        answers = [await ask(gateway.ready, "GET", "/-/readiness") for gateway in gateways]
        return all(answer.status == 200 for answer in answers)

    await until(are_ready, for_s=10, what="the gateways are ready")
    await asyncio.sleep(3)

    async def served():
        """Return the share of requests that are served, on new connections to all gateways."""
        clients = Clients(record, [gateway.front for gateway in gateways])
        await clients.load(PER_S, MEASURED_S, method="GET", path="/a/x")
        clients.close()
        good = sum(status == 200 for status in clients.answers.values())
        record(f"{good} of {len(clients.answers)} requests were served")
        return good / len(clients.answers)

    before = await served()
    if before < 0.25:
        raise CannotRun(f"only {before:.2f} of the requests were served before")
    if trouble:
        world.seeds = [machine.ip for machine in others]
        record(f"the settings name other seeds: {world.seeds}")
    await asyncio.sleep(BOUNDS["SeedLagS"])
    if not await operator.change(5, form):
        raise CannotRun("the second manifest was not accepted")
    record("all processes are killed")
    for machine in world.machines:
        machine.signal(signal.SIGKILL)
    for machine in world.machines:
        machine.process.wait()
    await asyncio.sleep(DOWN_S)
    for machine in world.machines:
        machine.start()
    await asyncio.sleep(BOUNDS["RecoveryS"])
    after = await served()
    for gateway in gateways:
        answer = await ask(gateway.ready, "GET", "/-/readiness")
        record(f"{gateway.name} answers the question for its readiness with {answer.status}")
    versions = [await operator.read(machine) for machine in (*core, *others)]
    record(f"the manifest read back at each control daemon: {versions}")
    for upstream in fleet:
        await upstream.crash()
    if after >= 0.25:
        return []
    return [
        f"RECOVER: {after:.2f} of the requests were served later than RecoveryS after all machines "
        f"were back, {before:.2f} before"
    ]


main(case, HERE, trouble=os.environ.get("TROUBLE", "1") != "0")
