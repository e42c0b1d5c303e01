"""How a replica knows up to which time its state holds everything acknowledged."""

import pytest

from lychee_log.confirmations import Confirmations
from lychee_log.testing import Group
from lychee_types.ids import LogIndex
from lychee_types.timing import Timing

TIMING = Timing(heartbeat_ms=60, election_ms=300, drift_ms=60)


def followers(group, leader):
    return [node for node in group.nodes.values() if node is not leader]


def age_of(group, node):
    return group.now - node.core.confirmed_at(group.now)


def test_a_follower_in_contact_knows_that_its_state_is_current():
    group = Group(initial_voters="abc", timing=TIMING)
    leader = group.run_until_leader()
    for _ in range(20):
        assert group.propose(leader, b"x")
        group.run(0.1)
        assert age_of(group, leader) == 0
        assert all(age_of(group, node) < 0.3 for node in followers(group, leader))


def test_a_replaced_voter_that_comes_back_with_its_old_log_never_confirms_its_state():
    group = Group(initial_voters="abc", timing=TIMING)
    leader = group.run_until_leader()
    lost = followers(group, leader)[0]
    group.isolate(lost)
    group.run(1.0)
    confirmed_at = lost.core.confirmed_at(group.now)
    group.run(5.0)
    assert lost.core.confirmed_at(group.now) == confirmed_at
    group.crash(lost, is_stored=True)
    group.start(lost)
    group.run(5.0)
    assert lost.core.confirmed_at(group.now) == 0.0


def test_after_a_loss_of_all_power_nothing_is_confirmed_before_there_is_a_leader():
    group = Group(initial_voters="abc", timing=TIMING)
    group.run_until_leader()
    for node in group.nodes.values():
        group.crash(node, is_stored=False)
    for node in group.nodes.values():
        group.start(node)
        assert node.core.confirmed_at(group.now) == 0.0
    group.run_until_leader()
    group.run(0.5)
    assert all(age_of(group, node) < 0.3 for node in group.nodes.values())


def test_a_number_of_another_process_confirms_nothing():
    replies, others = Confirmations(), Confirmations()
    replies.number_reply(5.0)
    replies.record(others.number_reply(9.0), commit=LogIndex(3), applied=LogIndex(3))
    assert replies.confirmed_at == 0.0


@pytest.mark.parametrize("applied", [6, 7, 8])
def test_a_state_is_confirmed_once_it_has_been_applied(applied):
    replies = Confirmations()
    number = replies.number_reply(5.0)
    replies.record(number, commit=LogIndex(7), applied=LogIndex(2))
    assert replies.confirmed_at == 0.0
    replies.note_applied(LogIndex(applied))
    assert replies.confirmed_at == (5.0 if applied >= 7 else 0.0)
