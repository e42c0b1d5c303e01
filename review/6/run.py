"""A leader that was frozen acknowledges a deregistration that it does not record."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "tools-2"))

from rig import ZONES, Record, Rig, call_any, find_leader  # noqa: E402
from traffic import Clients, manifest, replace_manifest, route, service  # noqa: E402
from upstream import Upstream  # noqa: E402

FREEZE_S = 4.0
"""for_s of node_freeze on the core in kemer-gw's list of troubles."""
DRAIN_S = 2.0
CONTACT_S = 3.0
SERVES_ON_S = 9.0
"""How long the upstream serves on after the ack: DrainS and a little longer, at times many seconds."""
SERVICE = "siparis"
HOST = "orders.example"


async def main() -> int:
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(HERE / "record.txt")
    rig = Rig(core=3, edge=2)
    upstreams: list[Upstream] = []
    try:
        rig.start()
        until = time.monotonic() + 20
        first = manifest(
            1, services=[service(SERVICE)], host=HOST,
            routes=[route("r-orders", "/cut/", "unsafe", SERVICE)],
        )
        if await replace_manifest(rig, record, first, base="0", until=until) is None:
            return 2
        for i in range(3):
            upstreams.append(await start_upstream(rig, record, f"i-{i}", ZONES[i]))
        await asyncio.sleep(3)
        leader = await find_leader(rig)
        if leader is None:
            return 2
        record.say(f"{leader.name} leads")
        clients = Clients(
            rig, record, host=HOST, path="/cut/", method="POST", count=8, pause_s=0.1
        )
        await asyncio.sleep(1)
        frozen_at = time.monotonic()
        if trouble:
            leader.signal(signal.SIGSTOP)
            record.say(f"{leader.name} freezes for {FREEZE_S} s")
        await asyncio.sleep(1.2)
        new = await start_upstream(rig, record, "i-new", ZONES[0])
        upstreams.append(new)
        while new.acked_at is None:
            if time.monotonic() > frozen_at + FREEZE_S - 1:
                record.say("the new upstream was not acknowledged in time")
                return 2
            await asyncio.sleep(0.02)
        await asyncio.sleep(frozen_at + FREEZE_S - 0.5 - time.monotonic())
        # It is taken away again: it says so to one core machine, and to the next ones if need be.
        new.stop_beats()
        call = asyncio.create_task(new.deregister_at(leader.host))
        await asyncio.sleep(frozen_at + FREEZE_S - time.monotonic())
        thawed_at = time.monotonic()
        if trouble:
            leader.signal(signal.SIGCONT)
            record.say(f"{leader.name} wakes")
        answer = await call
        if answer is None or not 200 <= answer.status < 300:
            answer = await call_any(
                rig, "POST", f"/-/instances/{new.id}/deregister", body={"born": new.born}
            )
            status = "no answer" if answer is None else answer.status
            record.say(f"i-new: deregister at the next core machines got {status}")
        if answer is None or not 200 <= answer.status < 300:
            record.say("no core machine has acknowledged the deregistration")
            return 2
        acked_at = time.monotonic()
        await asyncio.sleep(SERVES_ON_S)
        await new.exit()
        record.say("i-new: exits")
        await clients.stop()
        # The edge machines had no trouble; ContactS after the thaw the core is stable again.
        from_s = max(acked_at + DRAIN_S, thawed_at + CONTACT_S + 0.5)
        late = [at for at, _ in new.runs if at > from_s]
        if not any(at <= acked_at for at, _ in new.runs):
            record.say("the new upstream got no request before it left")
            return 2
        record.say(f"clients: {clients.sent} requests, {clients.statuses}")
        if late:
            record.say(
                f"BROKEN (DRAIN): {len(late)} requests reached i-new more than {DRAIN_S} s after "
                f"its leaving was acknowledged, the last {late[-1] - acked_at:.1f} s after"
            )
            return 1
        record.say("HELD: no request reached i-new later than DrainS after the ack")
        return 0
    finally:
        for upstream in upstreams:
            await upstream.exit()
        rig.stop()


async def start_upstream(rig: Rig, record: Record, id: str, zone: str) -> Upstream:
    upstream = Upstream(
        rig, record, id=id, service=SERVICE, host=next(rig.spare_hosts), zone=zone
    )
    await upstream.start()
    return upstream


if __name__ == "__main__":
    try:
        async def limited() -> int:
            async with asyncio.timeout(110):
                return await main()

        code = asyncio.run(limited())
    except (OSError, TimeoutError) as exc:
        print(f"the case could not run: {exc!r}")
        code = 2
    sys.exit(code)
