"""How a leader that stops hands its leadership to another replica."""

from random import Random

import pytest

from lychee_log.testing import Group
from lychee_types.timing import Timing

TIMING = Timing(heartbeat_ms=60, election_ms=300, drift_ms=60)


def test_another_replica_leads_long_before_an_election_timeout():
    group = Group(initial_voters="abc", timing=TIMING)
    old = group.run_until_leader()
    assert group.propose(old, b"kept")
    group.run(0.2)
    began = group.now
    assert group.hand_over(old)
    assert old.core.lease_expires_at(group.now) == 0.0
    new = group.run_until_leader()
    assert new is not old and new.items == [b"kept"]
    assert group.now - began < TIMING.election_ms / 1_000 / 2


def test_a_leader_keeps_its_leadership_while_an_entry_is_not_committed():
    group = Group(initial_voters="abc", timing=TIMING)
    leader = group.run_until_leader()
    assert group.propose(leader, b"x")
    assert not group.hand_over(leader)
    group.run(0.2)
    assert group.hand_over(leader)


def test_a_leader_keeps_its_leadership_if_nobody_can_take_it():
    group = Group(initial_voters="abc", timing=TIMING)
    leader = group.run_until_leader()
    for node in group.nodes.values():
        if node is not leader:
            group.crash(node, is_stored=True)
    group.now += TIMING.election_ms / 1_000 + 0.01
    assert not group.hand_over(leader)
    assert group.current_leader() is leader


def test_a_late_hand_over_of_an_earlier_term_changes_nothing():
    group = Group(initial_voters="abc", timing=TIMING)
    old = group.run_until_leader()
    group.run(0.2)
    assert group.hand_over(old)
    message = next(m for m in group.messages if type(m).__name__ == "HandOver")
    group.run_until_leader()
    group.run(0.5)
    term = group.current_leader().core.state.term
    group.messages.append(message)
    group.run(0.5)
    assert group.current_leader().core.state.term == term


@pytest.mark.parametrize("seed", range(30))
def test_hand_overs_among_lost_and_late_messages_keep_all_promises(seed):
    rng = Random(seed)
    group = Group(initial_voters="abcde"[: rng.choice((3, 5))], timing=TIMING, seed=seed)
    group.run_until_leader()
    for _ in range(400):
        leader = group.current_leader()
        if leader is not None and rng.random() < 0.3:
            group.propose(leader, b"%d" % rng.randrange(1_000))
        if leader is not None and rng.random() < 0.05:
            group.hand_over(leader)
        for _ in range(rng.randrange(4)):
            if group.messages and rng.random() < 0.9:
                group.deliver(rng.randrange(len(group.messages)), keep=rng.random() < 0.2)
        if group.messages and rng.random() < 0.2:
            del group.messages[rng.randrange(len(group.messages))]
        if rng.random() < 0.02:
            node = rng.choice(list(group.nodes.values()))
            group.crash(node, is_stored=rng.random() < 0.5)
            group.start(node)
        group.run_round()
    group.run_until_leader()
