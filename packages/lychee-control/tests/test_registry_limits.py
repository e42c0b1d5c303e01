"""Rate limits at a control replica, and the permits that the leader issues."""

import pytest

from lychee_control.registry.leader import SPREAD_INTERVAL_S
from lychee_control.registry.limits import LimitBoard, PermitDesk
from lychee_policy import MAX_RAISED_PER_S
from lychee_types.ids import Incarnation, ServerId
from lychee_types.limit_messages import ObservedLimit, PermitRequest
from lychee_types.registry import ServerIncarnation
from lychee_types.testing import ManualClock

RUN = ServerIncarnation(server=ServerId("a"), incarnation=Incarnation(1))


def observed(per_s, *, sent_ms_ago=20, heard_ms_ago=10):
    return ObservedLimit(run=RUN, per_s=per_s, sent_ms_ago=sent_ms_ago, heard_ms_ago=heard_ms_ago)


class Setup:
    """A replica's board and desk."""

    def __init__(self, *limits):
        self.clock = ManualClock()
        self.board = LimitBoard(clock=self.clock)
        self.board.record(limits)
        self.desk = PermitDesk(board=self.board, clock=self.clock)

    def ask(self, *, wanted=1, holds_lease=True):
        request = PermitRequest(limit=observed(10.0), number=7, wanted=wanted)
        return self.desk.answer(request, holds_lease=holds_lease)


def test_permits_fall_due_at_the_limit_and_none_is_saved_before_the_first_question():
    setup = Setup(observed(10.0))
    assert setup.ask().count == 0
    setup.clock.advance(1.0)
    reply = setup.ask(wanted=9)
    assert (reply.run, reply.number) == (RUN, 7)
    assert 1 <= reply.count <= 2


def test_a_replica_that_may_not_lead_issues_no_permits():
    setup = Setup(observed(10.0))
    setup.ask()
    setup.clock.advance(1.0)
    reply = setup.ask(holds_lease=False)
    assert reply.count == 0
    assert reply.retry_after_ms > 0


def test_the_next_leader_begins_with_what_the_former_one_has_told():
    former, following = Setup(observed(10.0)), Setup()
    following.board.record(former.board.news().limits)
    assert following.board.limit_per_s(RUN) == 10.0
    assert following.ask().count == 0


@pytest.mark.parametrize(("per_s", "expected"), [(4.0, 4.0), (None, None)])
def test_a_limit_that_changes_or_ends_replaces_the_former_one(per_s, expected):
    setup = Setup(observed(10.0))
    setup.clock.advance(1.0)
    assert setup.board.record((observed(per_s),))
    assert setup.board.limit_per_s(RUN) == expected
    assert not setup.board.record((observed(10.0, sent_ms_ago=1_020, heard_ms_ago=1_010),))


def test_departed_servers_are_forgotten():
    setup = Setup(observed(10.0))
    setup.board.keep_only(set())
    assert not setup.board.news().limits


def raise_for(setup, seconds, *, asks=False):
    """Let time pass while the leader looks at its limits, and return the limits that were known."""
    known = []
    for _ in range(round(seconds / SPREAD_INTERVAL_S)):
        setup.clock.advance(SPREAD_INTERVAL_S)
        if asks:
            setup.ask()
        setup.desk.raise_unconfirmed()
        known.append(setup.board.limit_per_s(RUN))
    return known


@pytest.mark.parametrize("per_s", [0.0, 0.3, 3.0, 60.0])
def test_a_limit_that_no_request_can_confirm_is_raised_step_by_step(per_s):
    setup = Setup(observed(per_s))
    known = raise_for(setup, 60.0)
    assert known[0] == per_s
    assert known[-1] == MAX_RAISED_PER_S
    assert known == sorted(known)
    setup.board.record((observed(per_s),))
    assert setup.board.limit_per_s(RUN) == per_s


def test_a_limit_holds_while_answers_confirm_it():
    setup = Setup(observed(3.0))
    for _ in range(30):
        assert set(raise_for(setup, 4.0)) == {3.0}
        setup.board.record((observed(3.0),))


def test_a_limit_holds_while_permits_are_issued_for_requests_that_fail():
    setup = Setup(observed(3.0))
    assert set(raise_for(setup, 90.0, asks=True)) == {3.0}


def test_the_next_leader_waits_before_it_raises_a_limit():
    setup = Setup(observed(3.0))
    setup.clock.advance(60.0)
    setup.desk = PermitDesk(board=setup.board, clock=setup.clock)
    setup.desk.raise_unconfirmed()
    assert setup.board.limit_per_s(RUN) == 3.0
