"""Measurements of the log on this machine: commits a second and time to recover.

``python -m lychee_log.measure`` prints them; other programs call the functions.
"""

import asyncio
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from pathlib import Path

from loguru import logger
from msgspec import Struct

from lychee_log.effects import Write
from lychee_log.messages import PeerMessage
from lychee_log.records import Entry, ReplicaAddress
from lychee_log.replica import Replica
from lychee_log.storage import open_storage
from lychee_types.clock import SystemClock
from lychee_types.ids import LogIndex, ReplicaId
from lychee_types.records import Endpoint
from lychee_types.timing import Timing

PAYLOAD_BYTES = 200
"""Size of a proposal in the measurements, in bytes."""


class CommitRate(Struct, frozen=True, kw_only=True):
    """Commits of a group whose replicas share one process and one disk.

    :param voters: number of voters.
    :param proposers: number of proposals that are under way at any time.
    :param inline_sync: whether the loop itself syncs instead of a worker thread.
    :param commits_per_s: acknowledged proposals a second.
    :param median_ms: median time from proposal to acknowledgement.
    :param p99_ms: 99th percentile of that time.
    """

    voters: int
    proposers: int
    inline_sync: bool
    commits_per_s: float
    median_ms: float
    p99_ms: float


class RecoveryTime(Struct, frozen=True, kw_only=True):
    """Time until a single voter has read and applied its log and leads.

    :param entries: length of the log.
    :param log_bytes: size of the data folder.
    :param seconds: the time.
    """

    entries: int
    log_bytes: int
    seconds: float


class _CountingMachine:
    def __init__(self) -> None:
        self.count = 0

    def apply(self, index: LogIndex, data: bytes) -> object:
        self.count += 1
        return None

    def snapshot(self) -> bytes:
        return self.count.to_bytes(8, "little")

    def restore(self, data: bytes, index: LogIndex) -> None:
        self.count = int.from_bytes(data, "little")


class _Loopback:
    """Hands messages to replicas of the same process."""

    def __init__(self) -> None:
        self.replicas: dict[ReplicaId, Replica] = {}

    def post(self, *, to: ReplicaAddress, message: PeerMessage) -> None:
        self.replicas[to.id].receive(message)


@contextmanager
def _quiet() -> Iterator[None]:
    logger.disable("lychee_log")
    try:
        yield
    finally:
        logger.enable("lychee_log")


@asynccontextmanager
async def _running(
    *, folder: Path, voters: int, inline_sync: bool, snapshot_entries: int
) -> AsyncIterator[Replica]:
    """Run a group and give its leader."""
    members = tuple(
        ReplicaAddress(id=ReplicaId(f"r{number}"), endpoint=Endpoint(host="127.0.0.1", port=number))
        for number in range(voters)
    )
    transport = _Loopback()
    has_leader = asyncio.Event()
    for number, member in enumerate(members):
        transport.replicas[member.id] = Replica(
            id=member.id,
            endpoint=member.endpoint,
            data_folder=folder / member.id,
            initial_voters=members,
            timing=Timing(),
            state_machine=_CountingMachine(),
            transport=transport,
            clock=SystemClock(),
            seed=number,
            on_leadership_change=lambda leads, term: has_leader.set(),
            on_applied=lambda index, data: None,
            snapshot_entries=snapshot_entries,
            inline_sync=inline_sync,
        )
    tasks = [asyncio.create_task(replica.run()) for replica in transport.replicas.values()]
    try:
        await has_leader.wait()
        yield next(replica for replica in transport.replicas.values() if replica.is_leader)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _propose_until(replica: Replica, end: float, times: list[float]) -> None:
    while (start := time.monotonic()) < end:
        await replica.propose(bytes(PAYLOAD_BYTES))
        times.append(time.monotonic() - start)


async def _commit_rate(
    *, folder: Path, voters: int, proposers: int, seconds: float, inline_sync: bool
) -> CommitRate:
    times: list[float] = []
    async with _running(
        folder=folder, voters=voters, inline_sync=inline_sync, snapshot_entries=10_000
    ) as leader:
        end = time.monotonic() + seconds
        await asyncio.gather(*(_propose_until(leader, end, times) for _ in range(proposers)))
    times.sort()
    return CommitRate(
        voters=voters,
        proposers=proposers,
        inline_sync=inline_sync,
        commits_per_s=len(times) / seconds,
        median_ms=times[len(times) // 2] * 1_000,
        p99_ms=times[len(times) * 99 // 100] * 1_000,
    )


def measure_commits(
    *, folder: Path, voters: int, proposers: int, seconds: float, inline_sync: bool = False
) -> CommitRate:
    """Measure acknowledged proposals a second.

    :param folder: an empty folder on the disk in question.
    :param voters: number of voters.
    :param proposers: number of proposals that are under way at any time.
    :param seconds: length of the measurement.
    :param inline_sync: whether the loop itself syncs instead of a worker thread.
    """
    with _quiet():
        return asyncio.run(
            _commit_rate(
                folder=folder,
                voters=voters,
                proposers=proposers,
                seconds=seconds,
                inline_sync=inline_sync,
            )
        )


async def _recover(folder: Path) -> float:
    start = time.monotonic()
    async with _running(folder=folder, voters=1, inline_sync=False, snapshot_entries=sys.maxsize):
        return time.monotonic() - start


def measure_recovery(*, folder: Path, entries: int, batch: int = 100) -> RecoveryTime:
    """Measure the time from opening a data folder to leading with a current machine.

    :param folder: an empty folder on the disk in question.
    :param entries: length of the log.
    :param batch: number of entries in one write.
    """
    with _quiet():
        asyncio.run(_recover(folder))
        with open_storage(folder=folder / "r0", replica=ReplicaId("r0")) as storage:
            recovered = storage.take_recovered()
            first = recovered.entries[-1].index + 1
            term = recovered.hard_state.term
            for start in range(first, first + entries, batch):
                items = tuple(
                    Entry(index=LogIndex(index), term=term, data=bytes(PAYLOAD_BYTES))
                    for index in range(start, min(start + batch, first + entries))
                )
                storage.write(
                    Write(
                        number=0,
                        identity=None,
                        hard_state=None,
                        entries=items,
                        committed=LogIndex(0),
                    )
                )
        seconds = asyncio.run(_recover(folder))
    size = sum(path.stat().st_size for path in (folder / "r0").iterdir())
    return RecoveryTime(entries=entries, log_bytes=size, seconds=seconds)


def main(seconds: float = 2.0) -> None:
    """Print the measurements."""
    with tempfile.TemporaryDirectory(dir=Path.cwd()) as name:
        for voters in (1, 3):
            for proposers in (1, 10, 100, 1_000):
                for inline_sync in (False, True):
                    folder = Path(name) / f"{voters}-{proposers}-{inline_sync}"
                    print(
                        measure_commits(
                            folder=folder,
                            voters=voters,
                            proposers=proposers,
                            seconds=seconds,
                            inline_sync=inline_sync,
                        )
                    )
        for entries in (1_000, 10_000, 100_000):
            print(measure_recovery(folder=Path(name) / f"recovery-{entries}", entries=entries))


if __name__ == "__main__":
    main()
