"""Gateways' reports on themselves, as known to control replicas."""

import pytest

from lychee_control.registry.gateways import COLLECT_S, MAX_AGE_S, TOTAL_S, GatewayBoard
from lychee_types.ids import DomainName, GatewayId
from lychee_types.peer_messages import GatewayReport
from lychee_types.records import Endpoint
from lychee_types.testing import ManualClock


def report(number, *, reaches_none=False):
    return GatewayReport(
        gateway=GatewayId(f"g{number}"),
        domain=DomainName("nord"),
        carry=Endpoint(host="10.0.0.1", port=number),
        reaches_none=reaches_none,
        unreached=(),
    )


def make_board(count):
    clock = ManualClock()
    board = GatewayBoard(clock=clock)
    for number in range(1, count + 1):
        assert board.record(report(number))
    return board, clock


def told(news):
    return {known.report.gateway for known in news.gateways}


def test_only_changes_are_told_at_once():
    board, _ = make_board(3)
    assert told(board.take_changes()) == {"g1", "g2", "g3"}
    assert not board.record(report(2))
    assert board.record(report(3, reaches_none=True))
    assert told(board.take_changes()) == {"g3"}
    assert not board.take_changes().gateways


def test_a_new_gateway_is_told_of_all_others():
    board, _ = make_board(60)
    assert len(board.news().gateways) == 60


def test_all_gateways_are_told_again_in_turn_by_small_messages():
    board, _ = make_board(60)
    samples = [board.take_sample() for _ in range(20)]
    assert max(len(sample.gateways) for sample in samples) == 3
    assert len(set().union(*(told(sample) for sample in samples))) == 60


def test_a_gateway_that_reports_nothing_is_forgotten():
    board, clock = make_board(2)
    clock.advance(MAX_AGE_S * 0.6)
    board.record(report(1))
    clock.advance(MAX_AGE_S * 0.6)
    assert told(board.news()) == {"g1"}


def test_the_next_leader_begins_with_what_the_former_one_has_told():
    former, _ = make_board(3)
    following = GatewayBoard(clock=ManualClock())
    following.record_known(former.news())
    assert told(following.news()) == {"g1", "g2", "g3"}


def lead(board, clock, count, seconds):
    """Let gateways report every 2 s to a board whose replica leads."""
    for step in range(round(seconds / 0.1)):
        clock.advance(0.1)
        for number in range(1, count + 1):
            if (step - number) % 20 == 0:
                board.record(report(number))


def test_a_replica_knows_the_number_of_gateways_that_its_leader_has_told():
    leading, leaders_clock = make_board(0)
    lead(leading, leaders_clock, 60, COLLECT_S + 0.2)
    clock = ManualClock()
    following = GatewayBoard(clock=clock)
    assert following.total == 0
    following.record_known(leading.take_sample())
    assert following.total == leading.total == 60
    clock.advance(TOTAL_S + 0.1)
    assert following.total == 0


@pytest.mark.parametrize("had_led", [False, True])
def test_a_leader_tells_no_number_before_all_gateways_can_have_reported(had_led):
    # After a restart of all replicas each gateway took the first few for all of them.
    board, clock = make_board(0)
    if had_led:
        lead(board, clock, 60, COLLECT_S + 0.2)
        clock.advance(MAX_AGE_S + TOTAL_S)
    for _ in range(20):
        lead(board, clock, 60, 0.1)
        assert board.take_changes().total == board.total == 0


def test_the_total_does_not_fall_while_a_new_leader_has_heard_of_few_gateways():
    # Each gateway's share of a limit would be too large.
    board, clock = make_board(0)
    lead(board, clock, 60, COLLECT_S + 0.2)
    board.take_sample()
    new_leader, its_clock = make_board(0)
    lead(new_leader, its_clock, 4, COLLECT_S + 0.2)
    board.record_known(new_leader.take_changes())
    assert board.total == 60
    clock.advance(TOTAL_S + 0.1)
    board.record_known(new_leader.take_changes())
    assert board.total == 4
