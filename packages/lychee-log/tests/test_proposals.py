"""Tests of the outcomes of proposals."""

import asyncio
from collections.abc import Callable

import pytest

from lychee_log.bounds import PENDING_BYTES
from lychee_log.proposals import Proposals
from lychee_log.records import Committed, EntryId
from lychee_types.exceptions import NotLeaderError, UnavailableError
from lychee_types.ids import LogIndex


def entry_id(index: int, *, term: int = 1) -> EntryId:
    return EntryId(index=LogIndex(index), term=term)


@pytest.mark.parametrize(
    ("event", "expected"),
    [
        (lambda each: each.resolve_applied(entry_id(5), "result"), Committed),
        (lambda each: each.resolve_applied(entry_id(5, term=2), "result"), UnavailableError),
        (lambda each: each.fail_as_unknown(above=4), UnavailableError),
        (lambda each: each.fail_as_unknown(upto=LogIndex(5)), UnavailableError),
        (lambda each: each.close(), UnavailableError),
        (lambda each: each.fail_as_unknown(above=5), None),
        (lambda each: each.fail_as_unknown(upto=LogIndex(4)), None),
        (lambda each: each.resolve_applied(entry_id(4), "result"), None),
    ],
)
def test_outcome_of_an_appended_proposal(
    event: Callable[[Proposals], None], expected: type | None
) -> None:
    async def scenario() -> None:
        proposals = Proposals()
        outcome = proposals.add(b"x")
        proposals.mark_appended(proposals.take_new(), entry_id(5))
        event(proposals)
        if expected is None:
            assert not outcome.done() and len(proposals) == 1
        elif expected is Committed:
            assert outcome.result() == Committed(index=LogIndex(5), term=1, result="result")
        else:
            assert isinstance(outcome.exception(), expected) and len(proposals) == 0

    asyncio.run(scenario())


def test_proposals_that_were_not_appended_are_refused() -> None:
    async def scenario() -> None:
        proposals = Proposals()
        outcome = proposals.add(b"x")
        proposals.reject(proposals.take_new(), NotLeaderError(leader=None))
        assert isinstance(outcome.exception(), NotLeaderError)

    asyncio.run(scenario())


def test_waiting_proposals_are_bounded() -> None:
    async def scenario() -> None:
        proposals = Proposals()
        proposals.add(bytes(PENDING_BYTES + 1))
        with pytest.raises(UnavailableError, match="too many"):
            proposals.add(b"x")
        proposals.reject(proposals.take_new(), NotLeaderError(leader=None))
        proposals.add(b"x")

    asyncio.run(scenario())
