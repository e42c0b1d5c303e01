"""Proposes changes of key ranges: in order, in batches, and only if they are still valid."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from lychee_ranges import KeyTable
from lychee_types.ids import ServiceName
from lychee_types.registry import KeyRange
from lychee_types.registry_commands import RoutedCommand, RoutedOutcome, SetRanges

Propose = Callable[[RoutedCommand], Awaitable[RoutedOutcome | None]]
"""Commits and applies a command; returns None if it is unknown whether it was committed."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Change:
    expected: tuple[KeyRange, ...]
    new: KeyRange
    done: "asyncio.Future[bool]"


class RangeWriter:
    """Proposes changes of one service's ranges, one command at a time.

    :param service: the service.
    :param table: returns its ranges as applied.
    :param propose: commits a command.
    """

    def __init__(
        self, *, service: ServiceName, table: Callable[[], KeyTable], propose: Propose
    ) -> None:
        self._service = service
        self._table = table
        self._propose = propose
        self._waiting: list[_Change] = []
        self._pending = asyncio.Event()

    async def change(self, *, expected: KeyRange | None = None, new: KeyRange) -> bool:
        """Replace the ranges of some keys.

        Returns whether the change was committed. It is not proposed if the owner, token or phase
        of a key has changed meanwhile.

        :param expected: the range that the keys belong to; None for the ranges at the time of the
            call.
        :param new: the new range.
        """
        if expected is None:
            covering = self._table().overlapping(new.low, new.high)
        else:
            covering = (expected,)
        done: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._waiting.append(_Change(expected=covering, new=new, done=done))
        self._pending.set()
        return await done

    async def run(self) -> None:
        """Propose waiting changes until cancelled."""
        while True:
            await self._pending.wait()
            self._pending.clear()
            batch, self._waiting = self._waiting, []
            await self._write(batch)

    def _defer(self, change: _Change) -> None:
        """Look at a change again once the one before it, of the same keys, is applied."""
        self._waiting.append(change)
        self._pending.set()

    async def _write(self, batch: list[_Change]) -> None:
        table = self._table()
        valid: list[_Change] = []
        for change in batch:
            if any(_overlaps(change, earlier) for earlier in valid):
                self._defer(change)
            elif _is_current(table, change):
                valid.append(change)
            else:
                _resolve(change, False)
        if not valid:
            return
        command = SetRanges(service=self._service, ranges=tuple(change.new for change in valid))
        outcome = await self._propose(command)
        for change in valid:
            _resolve(change, outcome is not None)


def _overlaps(change: _Change, other: _Change) -> bool:
    return change.new.low <= other.new.high and other.new.low <= change.new.high


def _is_current(table: KeyTable, change: _Change) -> bool:
    expected = {(old.owner, old.token, old.phase) for old in change.expected}
    present = table.overlapping(change.new.low, change.new.high)
    return all((current.owner, current.token, current.phase) in expected for current in present)


def _resolve(change: _Change, result: bool) -> None:
    if not change.done.done():
        change.done.set_result(result)
