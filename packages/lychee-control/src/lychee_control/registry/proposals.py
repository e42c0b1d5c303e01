"""Changes of key ranges on their way into the log: in order, together, and only if still right."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from lychee_ranges import KeyTable
from lychee_types.ids import ServiceName
from lychee_types.registry import KeyRange
from lychee_types.registry_commands import RoutedCommand, RoutedOutcome, SetRanges

Propose = Callable[[RoutedCommand], Awaitable[RoutedOutcome | None]]
"""Has a command committed and applied; None if that is not known to have happened."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Change:
    expected: tuple[KeyRange, ...]
    new: KeyRange
    done: "asyncio.Future[bool]"


class RangeWriter:
    """Proposes changes of one service's ranges, one command at a time.

    :param service: the service.
    :param table: returns its ranges as applied.
    :param propose: has a command committed.
    """

    def __init__(
        self, *, service: ServiceName, table: Callable[[], KeyTable], propose: Propose
    ) -> None:
        self._service = service
        self._table = table
        self._propose = propose
        self._waiting: list[_Change] = []
        self._wake = asyncio.Event()

    async def change(self, *, expected: KeyRange | None = None, new: KeyRange) -> bool:
        """Replace keys of a range; False if the range is no longer as expected.

        :param expected: the range that covers the keys, with owner, token and phase; None for
            what covers them now.
        :param new: the keys with what they become.
        """
        if expected is None:
            covering = self._table().overlapping(new.low, new.high)
        else:
            covering = (expected,)
        done: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._waiting.append(_Change(expected=covering, new=new, done=done))
        self._wake.set()
        return await done

    async def run(self) -> None:
        """Propose what waits until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            batch, self._waiting = self._waiting, []
            await self._write(batch)

    async def _write(self, batch: list[_Change]) -> None:
        table = self._table()
        valid = []
        for change in batch:
            if _still_holds(table, change):
                valid.append(change)
            else:
                _finish(change, False)
        if not valid:
            return
        command = SetRanges(service=self._service, ranges=tuple(change.new for change in valid))
        outcome = await self._propose(command)
        for change in valid:
            _finish(change, outcome is not None)


def _still_holds(table: KeyTable, change: _Change) -> bool:
    expected = {(old.owner, old.token, old.phase) for old in change.expected}
    present = table.overlapping(change.new.low, change.new.high)
    return all((now.owner, now.token, now.phase) in expected for now in present)


def _finish(change: _Change, result: bool) -> None:
    if not change.done.done():
        change.done.set_result(result)
