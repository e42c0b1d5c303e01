"""Tests of membership changes and of the log in memory."""

from collections.abc import Callable

import pytest

from lychee_log.entries import EntryLog
from lychee_log.membership import MembershipError, check_change
from lychee_log.records import Entry, EntryId, Membership, ReplicaAddress, StorageId
from lychee_log.testing import make_address
from lychee_types.exceptions import InvariantError
from lychee_types.ids import LogIndex, ReplicaId

A, B, C, D, E = (
    ReplicaAddress(
        id=ReplicaId(name), endpoint=make_address(name).endpoint, storage=StorageId(number)
    )
    for number, name in enumerate("abcde", start=1)
)
THREE = Membership(voters=(A, B, C), learners=(D,))


@pytest.mark.parametrize(
    ("new", "fault"),
    [
        (Membership(voters=(A, B, C, D)), None),
        (Membership(voters=(A, B), learners=(D,)), None),
        (Membership(voters=(A, B, C), learners=(D, E)), None),
        (Membership(voters=(A, B, D)), "more than one voter"),
        (Membership(voters=(A, B, C, E), learners=(D,)), "no learner"),
        (Membership(voters=(A, B, C, D), learners=(D,)), "same id"),
        (Membership(voters=(A, B, C), learners=(D, make_address("e"))), "storage is not known"),
    ],
)
def test_changes_of_members(new: Membership, fault: str | None) -> None:
    result = check_change(old=THREE, new=new)
    if fault is None:
        assert result.ok == new
    else:
        assert isinstance(result.error, MembershipError) and fault in result.error.message


def make_log(*terms: int) -> EntryLog:
    log = EntryLog(base=EntryId(index=LogIndex(0), term=0), members=THREE)
    log.extend([Entry(index=LogIndex(n), term=term) for n, term in enumerate(terms, start=1)])
    return log


@pytest.mark.parametrize(
    "breach",
    [
        lambda log: log.append(Entry(index=LogIndex(9), term=3)),
        lambda log: log.append(Entry(index=LogIndex(4), term=1)),
        lambda log: log.truncate(LogIndex(0)),
        lambda log: log.compact(LogIndex(9)),
    ],
)
def test_breaches_of_the_log_are_found(breach: Callable[[EntryLog], None]) -> None:
    with pytest.raises(InvariantError):
        breach(make_log(1, 1, 2))


def test_memberships_follow_the_log() -> None:
    log = make_log(1, 1)
    log.append(Entry(index=LogIndex(3), term=1, members=Membership(voters=(A,))))
    log.append(Entry(index=LogIndex(4), term=1))
    assert log.members.voters == (A,) and log.members_at(LogIndex(2)) == THREE
    log.compact(LogIndex(2))
    assert log.members_at(LogIndex(2)) == THREE and log.last.index == 4
    log.truncate(LogIndex(3))
    assert log.members == THREE and log.last == EntryId(index=LogIndex(2), term=1)
