"""Upstreams reject part of their requests, and repeat some of their answers late."""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from clients import Clients  # noqa: E402
from harness import CannotRun, Operator, ask, main, manifest, service, until  # noqa: E402
from upstream import Upstream  # noqa: E402

UPSTREAMS = 10
GARBLING = 6
PER_S = 160
SHED_SHARE = 0.2
GARBLE_SHARE = 0.03
GARBLE_S = 5.0
PAUSE_S = 3.0
WINDOWS = 4


async def case(world, record, trouble):
    core = world.start_core()
    gateways = [world.add("gateway", 21 + n, zone) for n, zone in enumerate("ab")]
    for gateway in gateways:
        gateway.start()
    operator = Operator(world, list(core))
    keyed = service("alpha", Sharded=True, WarmS=2.0, Grants="invocation")
    form = manifest([("r-a", "/a/", "unsafe", "alpha"), ("r-b", "/b/", "unsafe", "alpha")], [keyed])
    # The pages' own example allows two attempts; a route may allow more.
    form["Hosts"][0]["Paths"][1]["MaxAttempts"] = 3
    if not await operator.change(3, form, for_s=15):
        raise CannotRun("the first manifest was not accepted")
    fleet = []
    for number in range(UPSTREAMS):
        upstream = Upstream(
            world, core, f"i-{number:04x}", "alpha", slots=6, work_s=0.08, zone="abc"[number % 3]
        )
        await upstream.start(f"{world.net}.{101 + number}", world.server_port)
        fleet.append(upstream)
    await until(lambda: all(u.holds for u in fleet), for_s=15, what="all upstreams hold keys")

    async def are_ready():
        answers = [await ask(gateway.ready, "GET", "/-/readiness") for gateway in gateways]
        return all(answer.status == 200 for answer in answers)

    await until(are_ready, for_s=10, what="the gateways are ready")
    clients = Clients(record, [gateway.front for gateway in gateways])
    request = {"method": "POST", "body": b"one seat", "ms": 1_200}

    async def load(for_s):
        await asyncio.gather(
            clients.load(PER_S / 2, for_s, path="/a/book", **request),
            clients.load(PER_S / 2, for_s, path="/b/book", **request),
        )

    await load(6.0)
    for _ in range(WINDOWS):
        if trouble:
            record("the upstreams reject part of their requests, and repeat some answers")
            for upstream in fleet:
                upstream.shed_share = SHED_SHARE
            for upstream in fleet[:GARBLING]:
                upstream.garble_share = GARBLE_SHARE
        await load(GARBLE_S)
        for upstream in fleet:
            upstream.shed_share = upstream.garble_share = 0.0
        await load(PAUSE_S)
    runs = {}
    for upstream in fleet:
        for _, life, name in upstream.runs:
            runs.setdefault(name, []).append(life)
    record(f"{len(clients.answers)} requests, {sum(map(len, runs.values()))} runs")
    broken = [
        f"REFUSED: {name} got {status} and has run at {', '.join(runs[name])}"
        for name, status in clients.answers.items()
        if status in (408, 421, 429, 503) and name in runs
    ]
    broken += [
        f"TWICE: {name} has run at {', '.join(lives)}"
        for name, lives in runs.items()
        if len(lives) > 1
    ]
    clients.close()
    for upstream in fleet:
        await upstream.crash()
    return broken


main(case, HERE, trouble=os.environ.get("TROUBLE", "1") != "0")
