"""Log of the requests that the stand-in servers ran, as JSON lines.

A run is one execution of one request by one server.
"""

import os
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path

import msgspec
from msgspec import Struct


class ServerBegan(Struct, frozen=True, kw_only=True, tag=True):
    """A server process started.

    :param server: the server's id.
    :param incarnation: identifies this lifetime of the server process.
    :param service: the server's service.
    :param checks_tokens: whether it refuses fencing tokens below its fence.
    """

    server: str
    incarnation: int
    service: str
    checks_tokens: bool


class RunBegan(Struct, frozen=True, kw_only=True, tag=True):
    """A server started to run a request.

    :param run: number of the run, unique in this lifetime of the server process.
    :param request: value of Lychee-Request-Id.
    :param idempotency_key: value of Idempotency-Key, empty if there is none.
    :param key: the request's key.
    :param token: fencing token, 0 if there is none.
    :param at: wall time in seconds.
    :param leased: whether the server held a lease.
    """

    run: int
    request: str
    idempotency_key: str
    key: str
    token: int
    at: float
    leased: bool


class RunEnded(Struct, frozen=True, kw_only=True, tag=True):
    """A server finished a run.

    :param run: number of the run.
    :param at: wall time in seconds.
    :param done: whether it took effect; False if it was cancelled or the lease expired.
    """

    run: int
    at: float
    done: bool


RunEvent = ServerBegan | RunBegan | RunEnded


class Run(Struct, frozen=True, kw_only=True):
    """One execution of one request by one server.

    :param server: the server's id.
    :param incarnation: lifetime of the server process.
    :param service: the server's service.
    :param checks_tokens: whether the server refuses fencing tokens below its fence.
    :param began: record of its start.
    :param ended: record of its end, None if the process was killed before.
    """

    server: str
    incarnation: int
    service: str
    checks_tokens: bool
    began: RunBegan
    ended: RunEnded | None


class RunWriter:
    """Appends records to a file, unbuffered, so that none is lost when the process is killed.

    :param file: file descriptor.
    """

    def __init__(self, *, file: int) -> None:
        self._file = file
        self._encoder = msgspec.json.Encoder()

    def write(self, event: RunEvent) -> None:
        """Append one record."""
        os.write(self._file, self._encoder.encode(event) + b"\n")


@contextmanager
def open_runs(path: Path) -> Iterator[RunWriter]:
    """Open a run log for appending, and close it when the block ends."""
    file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
    try:
        yield RunWriter(file=file)
    finally:
        os.close(file)


def read_runs(paths: Iterable[Path]) -> list[Run]:
    """Return the runs in several run logs, ordered by start time."""
    runs = [run for path in paths for run in _read_file(path)]
    return sorted(runs, key=lambda run: run.began.at)


def _read_file(path: Path) -> Iterator[Run]:
    decoder = msgspec.json.Decoder(RunEvent)
    process: ServerBegan | None = None
    unfinished: dict[int, RunBegan] = {}
    for line in path.read_bytes().splitlines():
        match decoder.decode(line):
            case ServerBegan() as event:
                yield from _killed_runs(process, unfinished)
                process, unfinished = event, {}
            case RunBegan() as event:
                unfinished[event.run] = event
            case RunEnded() as event:
                yield _join(process, unfinished.pop(event.run), event)
    yield from _killed_runs(process, unfinished)


def _killed_runs(process: ServerBegan | None, unfinished: dict[int, RunBegan]) -> Iterator[Run]:
    for event in unfinished.values():
        yield _join(process, event, None)


def _join(process: ServerBegan | None, began: RunBegan, ended: RunEnded | None) -> Run:
    assert process is not None
    return Run(
        server=process.server,
        incarnation=process.incarnation,
        service=process.service,
        checks_tokens=process.checks_tokens,
        began=began,
        ended=ended,
    )
