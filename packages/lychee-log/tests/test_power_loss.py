"""What survives when as many disks as allowed are lost while all other VMs lose power."""

from random import Random

import pytest

from lychee_log.testing import Group, Node
from lychee_types.timing import Timing

TIMING = Timing(heartbeat_ms=60, election_ms=300, drift_ms=60)


def propose_for(group: Group, rng: Random, seconds: float) -> None:
    """Propose at the leader now and then, with messages and writes at random moments."""
    until = group.now + seconds
    while group.now < until:
        leader = group.current_leader()
        if leader is not None and rng.random() < 0.5:
            group.propose(leader, b"%d" % rng.randrange(1_000_000))
        for _ in range(rng.randrange(8)):
            if group.messages:
                group.deliver(0)
            group.finish_write(rng.choice(list(group.nodes.values())))
        group.run_round()


def lose_power(group: Group, rng: Random, lost_disks: list[Node]) -> None:
    """Take the power from all replicas at once, and the disk from some."""
    for node in group.nodes.values():
        if node in lost_disks:
            group.wipe(node)
        else:
            group.crash(node, is_stored=rng.random() < 0.5)
    group.messages.clear()


@pytest.mark.parametrize("voters", ["abc", "abcde"])
@pytest.mark.parametrize("seed", range(25))
def test_everything_acknowledged_survives_lost_disks_and_a_loss_of_all_power(voters, seed):
    rng = Random(seed)
    group = Group(initial_voters=voters, timing=TIMING, seed=seed)
    group.run_until_leader()
    propose_for(group, rng, 1.0)
    acknowledged = group.acknowledged[-1].index
    tolerated = (len(voters) - 1) // 2
    lost_disks = rng.sample(list(group.nodes.values()), tolerated)
    lose_power(group, rng, lost_disks)
    for node in group.nodes.values():
        if node not in lost_disks:
            group.start(node)
            assert node.core.confirmed_at(group.now) == 0.0
    leader = group.run_until_leader()
    group.run(1.0)
    survivors = [node for node in group.nodes.values() if node not in lost_disks]
    assert leader in survivors
    assert all(node.core.state.applied_index >= acknowledged for node in survivors)
    assert all(group.now - node.core.confirmed_at(group.now) < 0.3 for node in survivors)
