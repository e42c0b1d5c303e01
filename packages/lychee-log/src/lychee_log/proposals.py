"""Proposals that wait for their outcome."""

import asyncio
from dataclasses import dataclass

from lychee_log.records import Committed, EntryId
from lychee_types.exceptions import LycheeError, UnavailableError
from lychee_types.ids import LogIndex

PROPOSAL_BYTES = 16_777_216
"""Size of all proposals without an outcome, in bytes, at which new ones are refused."""


@dataclass(kw_only=True, frozen=True)
class Proposal:
    """A proposal and the future of its outcome."""

    data: bytes
    outcome: "asyncio.Future[Committed]"


@dataclass(kw_only=True, frozen=True)
class _Appended:
    term: int
    proposal: Proposal


class Proposals:
    """Proposals from their arrival to their outcome."""

    def __init__(self) -> None:
        self._new: list[Proposal] = []
        self._appended: dict[LogIndex, _Appended] = {}
        self._bytes = 0

    def __len__(self) -> int:
        """Return how many have no outcome."""
        return len(self._new) + len(self._appended)

    def add(self, data: bytes) -> "asyncio.Future[Committed]":
        """Take a proposal and return the future of its outcome.

        :raises UnavailableError: if too many have no outcome yet.
        """
        if self._bytes > PROPOSAL_BYTES:
            raise UnavailableError(
                message="too many proposals wait for their commit",
                remedy="wait a moment and propose again; this one was not appended",
            )
        outcome: asyncio.Future[Committed] = asyncio.get_running_loop().create_future()
        self._new.append(Proposal(data=data, outcome=outcome))
        self._bytes += len(data)
        return outcome

    def take_new(self) -> tuple[Proposal, ...]:
        """Return the proposals that have not been appended."""
        new, self._new = tuple(self._new), []
        return new

    def appended(self, batch: tuple[Proposal, ...], first: EntryId) -> None:
        """Take note that proposals have been appended one after the other."""
        for offset, proposal in enumerate(batch):
            index = LogIndex(first.index + offset)
            self._appended[index] = _Appended(term=first.term, proposal=proposal)

    def refuse(self, batch: tuple[Proposal, ...], exc: LycheeError) -> None:
        """End proposals that were not appended."""
        for proposal in batch:
            self._end(proposal, exc)

    def applied(self, entry: EntryId, result: object) -> None:
        """End the proposal of an applied entry."""
        waiting = self._appended.pop(entry.index, None)
        if waiting is None:
            return
        if waiting.term != entry.term:
            self._end(waiting.proposal, _unknown())
            return
        committed = Committed(index=entry.index, term=entry.term, result=result)
        self._end(waiting.proposal, committed)

    def lose(self, *, above: int = 0, upto: LogIndex | None = None) -> None:
        """End the proposals of a range of indexes as unknown.

        :param above: the index before the first one.
        :param upto: the last one, None for all.
        """
        for index in list(self._appended):
            if index > above and (upto is None or index <= upto):
                self._end(self._appended.pop(index).proposal, _unknown())

    def close(self) -> None:
        """End all proposals."""
        self.refuse(self.take_new(), _unknown())
        self.lose()

    def _end(self, proposal: Proposal, outcome: Committed | LycheeError) -> None:
        self._bytes -= len(proposal.data)
        if proposal.outcome.done():
            return
        if isinstance(outcome, Committed):
            proposal.outcome.set_result(outcome)
        else:
            proposal.outcome.set_exception(outcome)


def _unknown() -> UnavailableError:
    return UnavailableError(
        message="the leadership was lost before the outcome was known",
        remedy="ask the new leader whether the proposal has been committed",
    )
