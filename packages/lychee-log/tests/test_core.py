"""Single faults and what the group must do about each."""

import pytest

from lychee_log.core import Core
from lychee_log.effects import Received, Tick, Write, Written
from lychee_log.membership import (
    with_learner,
    with_promoted,
    without,
)
from lychee_log.messages import AppendReply, AppendRequest, VoteReply, VoteRequest
from lychee_log.records import (
    Entry,
    GroupId,
    HardState,
    Identity,
    Membership,
    Recovered,
    ReplicaAddress,
    StorageId,
)
from lychee_log.state import Role
from lychee_log.testing import Group, Node, make_voter
from lychee_types.exceptions import InvariantError
from lychee_types.ids import LogIndex, ReplicaId
from lychee_types.timing import Timing

TIMING = Timing(heartbeat_ms=50, election_ms=200, drift_ms=20)
ELECTION_S = 0.2


def group_of(first: str) -> Group:
    group = Group(first=first, timing=TIMING)
    group.settle()
    return group


def core_of(node: Node) -> Core:
    assert node.core is not None
    return node.core


def others(group: Group, leader: Node) -> list[Node]:
    return [node for node in group.nodes.values() if node is not leader]


def commit(group: Group, data: bytes) -> None:
    assert group.propose(group.settle(), data)
    group.run(0.3)


def replace_node(group: Group, old: Node, name: str) -> Node:
    """Put a new replica in a lost one's place, as the driver does."""
    leader = group.settle()
    core = core_of(leader)
    added = group.add(name)
    assert core.change_members(with_learner(core.state.members, core_of(added).state.me)).is_ok()
    while not core.is_caught_up(added.voter.id, group.now):
        group.round()
    group.run(0.2)
    assert core.change_members(with_promoted(core.state.members, added.voter.id)).is_ok()
    group.run(0.2)
    assert core.change_members(without(core.state.members, old.voter.id)).is_ok()
    while core.state.commit < core.state.log.members_index:
        group.round()
    return added


def test_no_leader_before_every_first_voter_was_heard() -> None:
    group = Group(first="abc", timing=TIMING)
    absent = group.nodes[ReplicaId("c")]
    group.crash(absent, is_stored=False)
    group.run(3.0)
    assert group.leading() is None
    assert core_of(group.nodes[ReplicaId("a")]).missing == ("c",)
    group.start(absent)
    assert group.settle()


def test_a_replica_cut_off_for_long_does_not_disturb() -> None:
    group = group_of("abc")
    leader = group.settle()
    term = core_of(leader).state.term
    group.isolate(others(group, leader)[0])
    group.run(10.0)
    group.cuts.clear()
    group.run(1.0)
    assert group.settle() is leader
    assert core_of(leader).state.term == term


def test_a_replica_that_hears_nothing_does_not_disturb() -> None:
    group = group_of("abc")
    leader = group.settle()
    term = core_of(leader).state.term
    deaf = others(group, leader)[0].voter.id
    group.cuts |= {(other, deaf) for other in group.nodes}
    group.run(5.0)
    assert group.settle() is leader
    assert core_of(leader).state.term == term


def test_a_replica_that_does_not_hear_the_leader_does_not_disturb() -> None:
    group = group_of("abc")
    leader = group.settle()
    term = core_of(leader).state.term
    deaf = others(group, leader)[0]
    group.cuts.add((leader.voter.id, deaf.voter.id))
    group.run(5.0)
    assert group.settle() is leader
    assert core_of(leader).state.term == core_of(deaf).state.term == term


def test_a_single_voter_leads_once_its_vote_is_on_disk() -> None:
    group = Group(first="a", timing=TIMING)
    node = group.nodes[ReplicaId("a")]
    while not isinstance(node.write, Write) or node.write.hard_state is None:
        group.finish_write(node)
        group.now += 0.01
        group.step(node, Tick())
    assert core_of(node).leader is None
    group.finish_write(node)
    assert core_of(node).leader is not None


def test_a_leader_cut_off_serves_nothing_and_loses_what_was_not_acknowledged() -> None:
    group = group_of("abc")
    old = group.settle()
    group.isolate(old)
    assert group.propose(old, b"lost")
    until = core_of(old).leads_until(group.now)
    group.run(2.0)
    assert until < group.now
    assert core_of(old).leader is None and core_of(old).leads_until(group.now) == 0.0
    new = group.settle()
    assert new is not old
    commit(group, b"kept")
    group.cuts.clear()
    group.run(1.0)
    assert all(node.items == [b"kept"] for node in group.nodes.values())


def test_a_lease_ends_before_another_replica_leads() -> None:
    group = group_of("abc")
    old = group.settle()
    group.isolate(old)
    until = core_of(old).leads_until(group.now)
    while not any(core_of(node).state.role is Role.LEADER for node in others(group, old)):
        group.round()
    assert until < group.now


def test_a_restarted_follower_keeps_its_promise() -> None:
    group = group_of("abc")
    leader = group.settle()
    follower = others(group, leader)[0]
    group.crash(follower, is_stored=True)
    group.start(follower)
    core, state = core_of(follower), core_of(follower).state
    request = core_of(leader).state.build(
        VoteRequest,
        state.me,
        term=state.term + 1,
        pre=False,
        last_index=state.log.last.index,
        last_term=state.log.last.term,
    )
    assert not core.step(Received(message=request), group.now)
    group.now += ELECTION_S
    core.step(Received(message=request), group.now)
    assert state.hard_state.vote == leader.voter.id


def test_an_emptied_disk_never_votes_under_its_old_id() -> None:
    group = group_of("abc")
    commit(group, b"kept")
    leader = group.settle()
    wiped = others(group, leader)[0]
    group.wipe(wiped)
    group.start(wiped)
    group.crash(leader, is_stored=True)
    group.run(3.0)
    assert wiped.is_expelled
    assert group.leading() is None
    group.start(leader)
    group.settle()
    assert group.settle().items == [b"kept"]


def test_an_emptied_disk_is_found_when_it_joins_under_its_old_id() -> None:
    group = group_of("abc")
    commit(group, b"kept")
    wiped = others(group, group.settle())[0]
    group.wipe(wiped)
    wiped.first = ()
    group.start(wiped)
    group.run(1.0)
    assert wiped.is_expelled


@pytest.mark.parametrize("first", ["abc", "abcde"])
def test_a_second_loss_right_after_a_repair_loses_nothing(first: str) -> None:
    group = group_of(first)
    for number in range(30):
        commit(group, b"%d" % number)
    lost = others(group, group.settle())[0]
    group.wipe(lost)
    added = replace_node(group, lost, "z")
    group.crash(group.settle(), is_stored=False)
    leader = group.settle()
    assert leader.items == [b"%d" % number for number in range(30)]
    group.run(0.3)
    assert added.items == leader.items


def test_a_learner_does_not_count_for_a_quorum() -> None:
    group = group_of("abc")
    leader = group.settle()
    added = group.add("z")
    core = core_of(leader)
    core.change_members(with_learner(core.state.members, core_of(added).state.me))
    group.run(0.5)
    for node in others(group, leader):
        if node is not added:
            group.crash(node, is_stored=True)
    group.propose(leader, b"lost")
    commit_before = core.state.commit
    group.run(2.0)
    assert core.state.commit == commit_before and core.leader is None
    assert core_of(added).state.role is Role.FOLLOWER


def test_a_removed_leader_leaves_once_its_removal_is_committed() -> None:
    group = group_of("abc")
    leader = group.settle()
    core = core_of(leader)
    assert core.change_members(without(core.state.members, leader.voter.id)).is_ok()
    group.run(0.3)
    assert core.leader is None
    new = group.settle()
    assert len(core_of(new).state.members.voters) == 2
    term = core_of(new).state.term
    group.run(5.0)
    assert core_of(group.settle()).state.term == term


def test_a_leader_whose_own_removal_was_not_committed_can_still_be_elected() -> None:
    group = group_of("abcd")
    leader = group.settle()
    group.isolate(leader)
    core = core_of(leader)
    group.crash(others(group, leader)[0], is_stored=True)
    assert core.change_members(without(core.state.members, leader.voter.id)).is_ok()
    group.run(1.0)
    assert core.leader is None
    group.cuts.clear()
    commit(group, b"kept")
    assert group.settle() is not leader
    assert group.settle().items == [b"kept"]


@pytest.mark.parametrize("faulty_leader", [True, False])
def test_a_full_disk_acknowledges_nothing_and_recovers(faulty_leader: bool) -> None:
    group = group_of("abc")
    leader = group.settle()
    faulty = leader if faulty_leader else others(group, leader)[0]
    assert group.propose(leader, b"first")
    if not faulty_leader:
        while faulty.write is None and group.messages:
            group.deliver(0)
    group.refuse_write(faulty)
    assert core_of(faulty).state.fault == "no room"
    assert core_of(faulty).leader is None
    write, faulty.write = faulty.write, None
    durable = core_of(faulty).state.durability.durable
    group.run(1.0)
    assert group.settle() is not faulty
    commit(group, b"second")
    assert core_of(faulty).state.durability.durable == durable
    faulty.write = write
    group.run(1.0)
    assert core_of(faulty).state.fault is None
    assert faulty.items == group.settle().items
    assert faulty.items[-1] == b"second"


def test_a_leader_whose_disk_hangs_gives_way() -> None:
    group = group_of("abc")
    leader = group.settle()
    assert group.propose(leader, b"kept")
    write, leader.write = leader.write, None
    group.run(3.0)
    assert "does not finish" in (core_of(leader).state.fault or "")
    new = group.settle()
    assert new is not leader and new.items == [b"kept"]
    leader.write = write
    group.run(0.5)
    assert core_of(leader).state.fault is None
    assert leader.items == [b"kept"]


def test_a_replica_far_behind_gets_a_snapshot() -> None:
    group = group_of("abc")
    behind = group.settle()
    group.isolate(behind)
    assert group.propose(behind, b"lost")
    group.run(1.0)
    batch = [b"%d" % number for number in range(1_200)]
    assert core_of(group.settle()).propose(batch).is_ok()
    group.run(1.0)
    for node in others(group, behind):
        group.take_snapshot(node)
    group.run(0.3)
    assert core_of(group.settle()).state.log.base.index > 100
    group.cuts.clear()
    group.run(2.0)
    assert behind.items == batch
    assert behind.disk.snapshot is not None


def test_an_entry_of_an_earlier_term_is_not_committed_by_counting() -> None:
    members = Membership(
        voters=tuple(
            ReplicaAddress(
                id=ReplicaId(name), endpoint=make_voter(name).endpoint, storage=StorageId(number)
            )
            for number, name in enumerate("abc", start=1)
        )
    )
    identity = Identity(
        replica=ReplicaId("a"), storage=StorageId(1), group=GroupId(1), founding=members
    )
    entry = Entry(index=LogIndex(1), term=2, data=b"old")
    disk = Recovered(identity=identity, hard_state=HardState(term=3), entries=(entry,))
    core = Core(
        endpoint=members.voters[0].endpoint,
        recovered=disk,
        first=(),
        timing=TIMING,
        seed=1,
        now=0.0,
    )
    core.step(Tick(), 1.0)
    me, peer = members.voters[0], members.voters[1]

    def hear(kind: type, **fields: object) -> None:
        message = kind(
            sender=peer.id,
            endpoint=peer.endpoint,
            storage=peer.storage,
            to=me.id,
            to_storage=me.storage,
            group=GroupId(1),
            term=4,
            **fields,
        )
        core.step(Received(message=message), 1.0)

    hear(VoteReply, pre=True, granted=True)
    core.step(Written(number=1), 1.0)
    hear(VoteReply, pre=False, granted=True)
    assert core.state.role is Role.LEADER
    hear(AppendReply, match=LogIndex(1), sent=1.0)
    assert core.state.commit == 0
    core.step(Written(number=2), 1.0)
    hear(AppendReply, match=LogIndex(2), sent=1.0)
    assert core.state.commit == 2
    with pytest.raises(InvariantError, match="one leader"):
        hear(
            AppendRequest,
            prev_index=LogIndex(0),
            prev_term=0,
            entries=(),
            commit=LogIndex(0),
            sent=0.0,
        )


def test_one_change_of_members_at_a_time() -> None:
    group = group_of("abc")
    core = core_of(group.settle())
    learner = ReplicaAddress(
        id=ReplicaId("z"), endpoint=make_voter("z").endpoint, storage=StorageId(99)
    )
    assert core.change_members(with_learner(core.state.members, learner)).is_ok()
    assert core.change_members(without(core.state.members, learner.id)).is_error()
    group.run(0.3)
    assert core.change_members(without(core.state.members, learner.id)).is_ok()


def test_a_vote_is_on_disk_before_it_is_given() -> None:
    group = group_of("abc")
    leader = group.settle()
    voter, candidate = others(group, leader)
    group.run(0.2)
    group.now += ELECTION_S
    group.messages.clear()
    state = core_of(voter).state
    request = core_of(candidate).state.build(
        VoteRequest,
        state.me,
        term=state.term + 1,
        pre=False,
        last_index=state.log.last.index,
        last_term=state.log.last.term,
    )
    group.step(voter, Received(message=request))
    assert not group.messages and voter.disk.hard_state.vote != candidate.voter.id
    group.finish_write(voter)
    assert voter.disk.hard_state.vote == candidate.voter.id
    assert [message.granted for message in group.messages if isinstance(message, VoteReply)]


def test_a_late_answer_does_not_lengthen_the_lease() -> None:
    group = group_of("abc")
    leader = group.settle()
    core = core_of(leader)
    group.messages.clear()
    group.now += 0.05
    group.step(leader, Tick())
    sent = group.now
    while any(isinstance(message, AppendRequest) for message in group.messages):
        group.deliver(0)
    group.now += 0.1
    for message in group.messages:
        core.step(Received(message=message), group.now)
    assert core.leads_until(group.now) == pytest.approx(sent + ELECTION_S - TIMING.drift_s)


def test_a_leader_that_steps_down_keeps_its_own_lease() -> None:
    group = group_of("abc")
    leader = group.settle()
    core, state = core_of(leader), core_of(leader).state
    until = core.leads_until(group.now)
    peer = core_of(others(group, leader)[0]).state
    refusal = peer.build(AppendReply, state.me, term=state.term + 1, match=LogIndex(0), sent=0.0)
    core.step(Received(message=refusal), group.now)
    assert core.leader is None and core.leads_until(group.now) == 0.0
    request = peer.build(
        VoteRequest,
        state.me,
        term=state.term + 1,
        pre=False,
        last_index=state.log.last.index,
        last_term=state.log.last.term,
    )
    core.step(Received(message=request), until - 0.001)
    assert state.hard_state.vote is None
    core.step(Received(message=request), until)
    assert state.hard_state.vote == peer.id


def test_a_new_leader_changes_no_members_before_its_first_commit() -> None:
    group = group_of("abc")
    group.crash(group.settle(), is_stored=True)
    leading = [node for node in group.nodes.values() if node.core]
    while not any(core_of(node).leader for node in leading):
        group.round()
    core = next(core_of(node) for node in leading if core_of(node).leader)
    assert not core.leads
    assert core.change_members(without(core.state.members, ReplicaId("z"))).is_error()


def test_replaced_entries_are_not_acknowledged_before_they_are_written() -> None:
    group = group_of("abc")
    old = group.settle()
    group.isolate(old)
    for number in range(5):
        group.propose(old, b"lost %d" % number)
    while (new := group.leading()) is old or new is None:
        group.round()
    durable = core_of(old).state.durability.durable
    for number in range(9):
        commit(group, b"%d" % number)
    group.cuts.clear()
    for _ in range(20):
        group.now += 0.01
        for node in others(group, old):
            group.step(node, Tick())
        while group.messages:
            group.deliver(0)
        if isinstance(old.write, Write) and not old.write.entries:
            group.finish_write(old)
    assert core_of(old).state.durability.durable < durable
    assert old.disk.entries[-1].data.startswith(b"lost")
    group.run(0.5)
    assert old.items == [b"%d" % number for number in range(9)]
    assert [entry.data for entry in old.disk.entries if entry.data] == old.items


def test_a_leader_counts_itself_only_for_what_is_on_its_disk() -> None:
    group = group_of("a")
    leader = group.settle()
    before = core_of(leader).state.commit
    assert group.propose(leader, b"x")
    assert core_of(leader).state.commit == before
    group.finish_write(leader)
    assert core_of(leader).state.commit == before + 1


def test_a_follower_commits_only_what_the_leader_has_verified() -> None:
    group = group_of("abc")
    old = group.settle()
    group.isolate(old)
    assert group.propose(old, b"lost")
    group.run(2.0)
    new, state = core_of(group.settle()).state, core_of(old).state
    before = state.commit
    heartbeat = new.build(
        AppendRequest,
        state.me,
        prev_index=LogIndex(0),
        prev_term=0,
        entries=(),
        commit=state.log.last.index,
        sent=group.now,
    )
    group.step(old, Received(message=heartbeat))
    assert state.leader is not None and state.commit == before


def test_replicas_that_all_restart_elect_a_leader_soon_after_their_promises() -> None:
    waits = []
    for seed in range(40):
        group = Group(first="abc", timing=TIMING, seed=seed)
        group.settle()
        for node in group.nodes.values():
            group.crash(node, is_stored=True)
        group.run(1.0)
        for node in group.nodes.values():
            group.start(node)
        began = group.now
        group.settle()
        waits.append((group.now - began) / ELECTION_S)
    assert sum(waits) / len(waits) < 1.5


def test_what_was_committed_is_applied_again_before_there_is_a_leader() -> None:
    group = group_of("abc")
    commit(group, b"kept")
    for node in group.nodes.values():
        group.crash(node, is_stored=False)
    for node in group.nodes.values():
        group.start(node)
    assert group.leading() is None
    assert [node.items for node in group.nodes.values()] == [[b"kept"]] * 3


def test_what_may_not_be_committed_waits_for_a_leader() -> None:
    group = group_of("abc")
    leader = group.settle()
    group.isolate(leader)
    assert group.propose(leader, b"open")
    group.finish_write(leader)
    group.crash(leader, is_stored=True)
    group.start(leader)
    assert any(entry.data == b"open" for entry in leader.disk.entries)
    assert leader.items == []
