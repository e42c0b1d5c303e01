"""A connection keeps the header limit of the manifest under which it was opened."""

import asyncio
import os
import sys
import time
import uuid
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "tools-2"))

from rig import ZONES, Record, Rig, encode_request, read_answer  # noqa: E402
from traffic import LIMITS, manifest, replace_manifest, route, service  # noqa: E402
from upstream import Upstream  # noqa: E402

APPLY_S = 2.0
CONNECTIONS = 40
NOTE_BYTES = 24_000
SERVICE = "cizim"
HOST = "drawings.example"


class Client:
    """A client that keeps its connection open for many requests."""

    def __init__(self, number: int, record: Record) -> None:
        self._number, self._record = number, record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def connect(self, rig: Rig) -> None:
        edge = rig.edge[self._number % len(rig.edge)]
        self._reader, self._writer = await asyncio.open_connection(edge.host, rig.front_port)

    async def request(self, note_bytes: int) -> str:
        request = uuid.uuid4().hex[:16]
        headers = {"X-Request-Id": request, "X-Deadline-Ms": "1000"}
        if note_bytes:
            headers["X-Note"] = "n" * note_bytes
        data = encode_request("GET", f"/draw/{self._number}", HOST, headers, None)
        self._record(f"client {self._number}: sends {request}, {len(data)} bytes of header")
        self._writer.write(data)
        try:
            async with asyncio.timeout(2):
                answer = await read_answer(self._reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
            self._record(f"client {self._number}: {request} got {exc!r}")
            return "no answer"
        self._record(f"client {self._number}: {request} got {answer.status} {answer.body[:80]!r}")
        return str(answer.status)

    def close(self) -> None:
        if self._writer is not None:
            self._writer.close()


def count(statuses: list[str]) -> dict[str, int]:
    return {status: statuses.count(status) for status in sorted(set(statuses))}


async def main() -> int:
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(HERE / "record.txt")
    rig = Rig(core=3, edge=2)
    upstreams: list[Upstream] = []
    clients = [Client(number, record) for number in range(CONNECTIONS)]
    fresh = [Client(100 + number, record) for number in range(4)]
    try:
        rig.start()
        until = time.monotonic() + 30
        routes = [route("r-draw", "/draw/", "safe", SERVICE)]
        large = LIMITS | {"MaxHeaderBytes": 65_536}
        new = manifest(
            1, services=[service(SERVICE)], host=HOST, routes=routes,
            limits=LIMITS if trouble else large,
        )
        if await replace_manifest(rig, record, new, base="0", until=until) is None:
            return 2
        for i in range(3):
            upstream = Upstream(
                rig, record, id=f"i-{i}", service=SERVICE, host=next(rig.spare_hosts),
                zone=ZONES[i],
            )
            await upstream.start()
            upstreams.append(upstream)
        await asyncio.sleep(3)
        for client in clients:
            await client.connect(rig)
        before = [await client.request(0) for client in clients]
        record.say(f"under r1, small headers: {count(before)}")
        if before != ["200"] * CONNECTIONS:
            return 2
        if trouble:
            new = manifest(
                2, services=[service(SERVICE)], host=HOST, routes=routes, limits=large
            )
            if await replace_manifest(rig, record, new, base="r1", until=until) is None:
                return 2
        # The connections are in use all the while.
        after = time.monotonic() + APPLY_S + 1
        while time.monotonic() < after:
            if set([await client.request(0) for client in clients]) != {"200"}:
                return 2
            await asyncio.sleep(0.3)
        for client in fresh:
            await client.connect(rig)
        on_fresh = [await client.request(NOTE_BYTES) for client in fresh]
        on_kept = [await client.request(NOTE_BYTES) for client in clients]
        record.say(f"header of {NOTE_BYTES} bytes, limit 65,536: new connections {count(on_fresh)}")
        record.say(f"the same on connections from before: {count(on_kept)}")
        if on_fresh != ["200"] * len(fresh):
            return 2
        denied = sum(status.startswith("4") and status not in ("408", "429") for status in on_kept)
        if denied > 5 + (len(before) + len(on_kept)) / 500:
            record.say(
                f"BROKEN (CONFIG): {denied} of {len(on_kept)} proper requests, sent more than "
                f"{APPLY_S} s after the ack, were refused as only the older manifest allows"
            )
            return 1
        record.say("HELD: the manifest in force is applied on connections from before")
        return 0
    finally:
        for client in clients + fresh:
            client.close()
        for upstream in upstreams:
            await upstream.exit()
        rig.stop()


if __name__ == "__main__":
    try:
        async def limited() -> int:
            async with asyncio.timeout(60):
                return await main()

        code = asyncio.run(limited())
    except (OSError, TimeoutError) as exc:
        print(f"the case could not run: {exc!r}")
        code = 2
    sys.exit(code)
