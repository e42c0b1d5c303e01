"""Pending proposals and their outcomes."""

import asyncio
from dataclasses import dataclass

from lychee_log.bounds import PENDING_BYTES
from lychee_log.records import Committed, EntryId
from lychee_types.exceptions import LycheeError, UnavailableError
from lychee_types.ids import LogIndex


@dataclass(kw_only=True, frozen=True)
class Proposal:
    """A proposal and the future of its outcome."""

    data: bytes
    outcome: "asyncio.Future[Committed]"


@dataclass(kw_only=True, frozen=True)
class _AppendedProposal:
    term: int
    proposal: Proposal


class Proposals:
    """Tracks proposals from their arrival until their outcome is known.

    :param max_bytes: total size of pending ones above which new ones are rejected, in bytes.
    """

    def __init__(self, *, max_bytes: int = PENDING_BYTES) -> None:
        self._max_bytes = max_bytes
        self._new: list[Proposal] = []
        self._appended: dict[LogIndex, _AppendedProposal] = {}
        self._pending_bytes = 0

    def __len__(self) -> int:
        """Return the number of pending proposals."""
        return len(self._new) + len(self._appended)

    def add(self, data: bytes) -> "asyncio.Future[Committed]":
        """Add a proposal and return the future of its outcome.

        :raises UnavailableError: if too many proposals are pending.
        """
        if self._pending_bytes > self._max_bytes:
            raise UnavailableError(
                message="too many proposals wait for their commit",
                remedy="wait a moment and propose again; this one was not appended",
            )
        outcome: asyncio.Future[Committed] = asyncio.get_running_loop().create_future()
        self._new.append(Proposal(data=data, outcome=outcome))
        self._pending_bytes += len(data)
        return outcome

    def take_new(self) -> tuple[Proposal, ...]:
        """Return and remove the proposals that have not been appended yet."""
        new, self._new = tuple(self._new), []
        return new

    def mark_appended(self, batch: tuple[Proposal, ...], first_entry: EntryId) -> None:
        """Record that proposals have been appended with consecutive indexes.

        :param batch: the proposals.
        :param first_entry: id of the first proposal's entry.
        """
        for offset, proposal in enumerate(batch):
            index = LogIndex(first_entry.index + offset)
            self._appended[index] = _AppendedProposal(term=first_entry.term, proposal=proposal)

    def reject(self, batch: tuple[Proposal, ...], exc: LycheeError) -> None:
        """Fail proposals that were not appended."""
        for proposal in batch:
            self._resolve(proposal, exc)

    def resolve_applied(self, entry: EntryId, result: object) -> None:
        """Resolve the proposal of an applied entry.

        Its outcome is unknown if an entry of another term took its index.
        """
        appended = self._appended.pop(entry.index, None)
        if appended is None:
            return
        if appended.term != entry.term:
            self._resolve(appended.proposal, _unknown_outcome_error())
            return
        committed = Committed(index=entry.index, term=entry.term, result=result)
        self._resolve(appended.proposal, committed)

    def fail_as_unknown(self, *, above: int = 0, upto: LogIndex | None = None) -> None:
        """Fail the appended proposals in a range of indexes: their outcome is unknown.

        :param above: the index before the range.
        :param upto: the last index of the range, None for no limit.
        """
        for index in list(self._appended):
            if index > above and (upto is None or index <= upto):
                self._resolve(self._appended.pop(index).proposal, _unknown_outcome_error())

    def close(self) -> None:
        """Fail all pending proposals: their outcome is unknown."""
        self.reject(self.take_new(), _unknown_outcome_error())
        self.fail_as_unknown()

    def _resolve(self, proposal: Proposal, outcome: Committed | LycheeError) -> None:
        self._pending_bytes -= len(proposal.data)
        if proposal.outcome.done():
            return
        if isinstance(outcome, Committed):
            proposal.outcome.set_result(outcome)
        else:
            proposal.outcome.set_exception(outcome)


def _unknown_outcome_error() -> UnavailableError:
    return UnavailableError(
        message="the leadership was lost before the outcome was known",
        remedy="ask the new leader whether the proposal has been committed",
    )
