"""Benchmarks of the log on this host: commits per second and recovery time.

``python -m lychee_log.measure`` prints the results; other programs can call the functions.
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
"""Size of a proposal in the benchmarks, in bytes."""


class CommitRate(Struct, frozen=True, kw_only=True):
    """Commit rate of a group whose replicas share one process and one disk.

    :param voters: number of voters.
    :param proposers: number of concurrent proposals.
    :param inline_sync: whether to sync on the event loop's thread instead of a worker thread.
    :param commits_per_s: acknowledged proposals per second.
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

    :param entries: number of entries in the log.
    :param log_bytes: size of the data folder in bytes.
    :param seconds: the recovery time.
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


class _LoopbackTransport:
    """Delivers messages to replicas in the same process."""

    def __init__(self) -> None:
        self.replicas: dict[ReplicaId, Replica] = {}

    def post(self, *, to: ReplicaAddress, message: PeerMessage) -> None:
        self.replicas[to.id].receive(message)


@contextmanager
def _logging_disabled() -> Iterator[None]:
    logger.disable("lychee_log")
    try:
        yield
    finally:
        logger.enable("lychee_log")


@asynccontextmanager
async def _running_leader(
    *, folder: Path, voters: int, inline_sync: bool, snapshot_entries: int
) -> AsyncIterator[Replica]:
    """Run a group, and yield its leader."""
    addresses = tuple(
        ReplicaAddress(id=ReplicaId(f"r{number}"), endpoint=Endpoint(host="127.0.0.1", port=number))
        for number in range(voters)
    )
    transport = _LoopbackTransport()
    has_leader = asyncio.Event()
    for number, member in enumerate(addresses):
        transport.replicas[member.id] = Replica(
            id=member.id,
            endpoint=member.endpoint,
            data_folder=folder / member.id,
            initial_voters=addresses,
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


async def _propose_until(replica: Replica, deadline: float, latencies: list[float]) -> None:
    while (start := time.monotonic()) < deadline:
        await replica.propose(bytes(PAYLOAD_BYTES))
        latencies.append(time.monotonic() - start)


async def _commit_rate(
    *, folder: Path, voters: int, proposers: int, seconds: float, inline_sync: bool
) -> CommitRate:
    latencies: list[float] = []
    async with _running_leader(
        folder=folder, voters=voters, inline_sync=inline_sync, snapshot_entries=10_000
    ) as leader:
        deadline = time.monotonic() + seconds
        await asyncio.gather(
            *(_propose_until(leader, deadline, latencies) for _ in range(proposers))
        )
    latencies.sort()
    return CommitRate(
        voters=voters,
        proposers=proposers,
        inline_sync=inline_sync,
        commits_per_s=len(latencies) / seconds,
        median_ms=latencies[len(latencies) // 2] * 1_000,
        p99_ms=latencies[len(latencies) * 99 // 100] * 1_000,
    )


def measure_commits(
    *, folder: Path, voters: int, proposers: int, seconds: float, inline_sync: bool = False
) -> CommitRate:
    """Measure acknowledged proposals per second.

    :param folder: an empty folder on the disk to measure.
    :param voters: number of voters.
    :param proposers: number of concurrent proposals.
    :param seconds: duration of the measurement.
    :param inline_sync: whether to sync on the event loop's thread instead of a worker thread.
    """
    with _logging_disabled():
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
    async with _running_leader(
        folder=folder, voters=1, inline_sync=False, snapshot_entries=sys.maxsize
    ):
        return time.monotonic() - start


def measure_recovery(*, folder: Path, entries: int, batch: int = 100) -> RecoveryTime:
    """Measure the time from opening a data folder until the replica leads with a current state.

    :param folder: an empty folder on the disk to measure.
    :param entries: number of entries in the log.
    :param batch: number of entries per write.
    """
    with _logging_disabled():
        asyncio.run(_recover(folder))
        with open_storage(folder=folder / "r0", replica=ReplicaId("r0")) as storage:
            recovered = storage.take_recovered_state()
            first = recovered.entries[-1].index + 1
            term = recovered.hard_state.term
            for start in range(first, first + entries, batch):
                batch_entries = tuple(
                    Entry(index=LogIndex(index), term=term, data=bytes(PAYLOAD_BYTES))
                    for index in range(start, min(start + batch, first + entries))
                )
                storage.write(
                    Write(
                        number=0,
                        identity=None,
                        hard_state=None,
                        entries=batch_entries,
                        committed=LogIndex(0),
                    )
                )
        seconds = asyncio.run(_recover(folder))
    size = sum(path.stat().st_size for path in (folder / "r0").iterdir())
    return RecoveryTime(entries=entries, log_bytes=size, seconds=seconds)


def main(seconds: float = 2.0) -> None:
    """Run the benchmarks and print their results."""
    with tempfile.TemporaryDirectory(dir=Path.cwd()) as folder_name:
        for voters in (1, 3):
            for proposers in (1, 10, 100, 1_000):
                for inline_sync in (False, True):
                    folder = Path(folder_name) / f"{voters}-{proposers}-{inline_sync}"
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
            print(
                measure_recovery(folder=Path(folder_name) / f"recovery-{entries}", entries=entries)
            )


if __name__ == "__main__":
    main()
