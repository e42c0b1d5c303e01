"""Records that the stand-in servers write of their runs, one JSON line each."""

import os
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path

import msgspec
from msgspec import Struct


class ServerBegan(Struct, frozen=True, kw_only=True, tag=True):
    """A server's process began.

    :param server: its id.
    :param incarnation: its run as a process.
    :param service: its service.
    :param checks_tokens: whether it refuses old fencing tokens.
    """

    server: str
    incarnation: int
    service: str
    checks_tokens: bool


class RunBegan(Struct, frozen=True, kw_only=True, tag=True):
    """A server began to run a request.

    :param run: number of the run at this server's process.
    :param request: value of Lychee-Request-Id.
    :param idempotency_key: value of Idempotency-Key, empty if there is none.
    :param key: the request's key.
    :param token: fencing token, 0 if there is none.
    :param at: wall time in seconds.
    :param leased: whether the server's lease held.
    """

    run: int
    request: str
    idempotency_key: str
    key: str
    token: int
    at: float
    leased: bool


class RunEnded(Struct, frozen=True, kw_only=True, tag=True):
    """A run ended.

    :param run: number of the run.
    :param at: wall time in seconds.
    :param done: whether it took effect; False if it was cancelled or its lease ran out.
    """

    run: int
    at: float
    done: bool


RunEvent = ServerBegan | RunBegan | RunEnded


class Run(Struct, frozen=True, kw_only=True):
    """One run of one request by one server.

    :param server: the server's id.
    :param incarnation: the server's process run.
    :param service: the server's service.
    :param checks_tokens: whether the server refuses old fencing tokens.
    :param began: the record of its beginning.
    :param ended: the record of its end; None if the process was killed first.
    """

    server: str
    incarnation: int
    service: str
    checks_tokens: bool
    began: RunBegan
    ended: RunEnded | None


class RunWriter:
    """Appends records to a file without a buffer, so that a killed process loses none.

    :param file: descriptor of the file.
    """

    def __init__(self, *, file: int) -> None:
        self._file = file
        self._encoder = msgspec.json.Encoder()

    def write(self, event: RunEvent) -> None:
        """Append one record."""
        os.write(self._file, self._encoder.encode(event) + b"\n")


@contextmanager
def open_runs(path: Path) -> Iterator[RunWriter]:
    """Open a file of runs for appending; it closes when the block ends."""
    file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
    try:
        yield RunWriter(file=file)
    finally:
        os.close(file)


def read_runs(paths: Iterable[Path]) -> list[Run]:
    """Return the runs of several files in order of their beginning."""
    runs = [run for path in paths for run in _read_file(path)]
    return sorted(runs, key=lambda run: run.began.at)


def _read_file(path: Path) -> Iterator[Run]:
    decoder = msgspec.json.Decoder(RunEvent)
    process: ServerBegan | None = None
    begun: dict[int, RunBegan] = {}
    for line in path.read_bytes().splitlines():
        match decoder.decode(line):
            case ServerBegan() as event:
                yield from _unended(process, begun)
                process, begun = event, {}
            case RunBegan() as event:
                begun[event.run] = event
            case RunEnded() as event:
                yield _join(process, begun.pop(event.run), event)
    yield from _unended(process, begun)


def _unended(process: ServerBegan | None, begun: dict[int, RunBegan]) -> Iterator[Run]:
    for event in begun.values():
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
