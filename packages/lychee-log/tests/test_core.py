"""Tests of a simulated group under single faults."""

import pytest

from lychee_log.core import Core
from lychee_log.effects import Received, Tick, Write, Written
from lychee_log.membership import (
    with_learner,
    with_promoted_learner,
    without_member,
)
from lychee_log.messages import AppendReply, AppendRequest, VoteReply, VoteRequest
from lychee_log.records import (
    Entry,
    GroupId,
    HardState,
    Identity,
    Membership,
    RecoveredState,
    ReplicaAddress,
    StorageId,
)
from lychee_log.state import Role
from lychee_log.testing import Group, Node, make_address
from lychee_types.exceptions import InvariantError
from lychee_types.ids import LogIndex, ReplicaId
from lychee_types.timing import Timing

TIMING = Timing(heartbeat_ms=50, election_ms=200, drift_ms=20)
ELECTION_S = 0.2


def make_group(initial_voters: str) -> Group:
    group = Group(initial_voters=initial_voters, timing=TIMING)
    group.run_until_leader()
    return group


def core_of(node: Node) -> Core:
    assert node.core is not None
    return node.core


def other_nodes(group: Group, leader: Node) -> list[Node]:
    return [node for node in group.nodes.values() if node is not leader]


def commit(group: Group, data: bytes) -> None:
    assert group.propose(group.run_until_leader(), data)
    group.run(0.3)


def replace_node(group: Group, old: Node, name: str) -> Node:
    """Replace a lost replica by a new one, in the steps of ``VoterReplacement``."""
    new = group.add(name)
    replace_by(group, old, new)
    return new


def replace_by(group: Group, old: Node, new: Node) -> None:
    leader = group.run_until_leader()
    core = core_of(leader)
    assert core.change_members(
        with_learner(core.state.members, core_of(new).state.own_address)
    ).is_ok()
    while not core.is_caught_up(new.address.id, group.now):
        group.run_round()
    group.run(0.2)
    assert core.change_members(with_promoted_learner(core.state.members, new.address.id)).is_ok()
    group.run(0.2)
    assert core.change_members(without_member(core.state.members, old.address.id)).is_ok()
    while core.state.commit_index < core.state.log.members_index:
        group.run_round()


def test_no_leader_before_every_initial_voter_has_sent_a_hello() -> None:
    group = Group(initial_voters="abc", timing=TIMING)
    absent = group.nodes[ReplicaId("c")]
    group.crash(absent, is_stored=False)
    group.run(3.0)
    assert group.current_leader() is None
    assert core_of(group.nodes[ReplicaId("a")]).missing_voters == ("c",)
    group.start(absent)
    assert group.run_until_leader()


def test_a_replica_cut_off_for_long_does_not_disturb() -> None:
    group = make_group("abc")
    leader = group.run_until_leader()
    term = core_of(leader).state.term
    group.isolate(other_nodes(group, leader)[0])
    group.run(10.0)
    group.cut_links.clear()
    group.run(1.0)
    assert group.run_until_leader() is leader
    assert core_of(leader).state.term == term


def test_a_replica_that_receives_no_messages_starts_no_term() -> None:
    group = make_group("abc")
    leader = group.run_until_leader()
    term = core_of(leader).state.term
    unreachable = other_nodes(group, leader)[0].address.id
    group.cut_links |= {(other, unreachable) for other in group.nodes}
    group.run(5.0)
    assert group.run_until_leader() is leader
    assert core_of(leader).state.term == term


def test_a_replica_cut_off_from_the_leader_starts_no_term() -> None:
    group = make_group("abc")
    leader = group.run_until_leader()
    term = core_of(leader).state.term
    cut_off = other_nodes(group, leader)[0]
    group.cut_links.add((leader.address.id, cut_off.address.id))
    group.run(5.0)
    assert group.run_until_leader() is leader
    assert core_of(leader).state.term == core_of(cut_off).state.term == term


def test_a_single_voter_leads_once_its_vote_is_on_disk() -> None:
    group = Group(initial_voters="a", timing=TIMING)
    node = group.nodes[ReplicaId("a")]
    while not isinstance(node.write, Write) or node.write.hard_state is None:
        group.finish_write(node)
        group.now += 0.01
        group.step(node, Tick())
    assert core_of(node).leader is None
    group.finish_write(node)
    assert core_of(node).leader is not None


def test_a_leader_cut_off_serves_nothing_and_loses_what_was_not_acknowledged() -> None:
    group = make_group("abc")
    old = group.run_until_leader()
    group.isolate(old)
    assert group.propose(old, b"lost")
    until = core_of(old).lease_expires_at(group.now)
    group.run(2.0)
    assert until < group.now
    assert core_of(old).leader is None and core_of(old).lease_expires_at(group.now) == 0.0
    new = group.run_until_leader()
    assert new is not old
    commit(group, b"kept")
    group.cut_links.clear()
    group.run(1.0)
    assert all(node.items == [b"kept"] for node in group.nodes.values())


def test_a_lease_ends_before_another_replica_leads() -> None:
    group = make_group("abc")
    old = group.run_until_leader()
    group.isolate(old)
    until = core_of(old).lease_expires_at(group.now)
    while not any(core_of(node).state.role is Role.LEADER for node in other_nodes(group, old)):
        group.run_round()
    assert until < group.now


def test_a_restarted_follower_blocks_its_votes_again() -> None:
    group = make_group("abc")
    leader = group.run_until_leader()
    follower = other_nodes(group, leader)[0]
    group.crash(follower, is_stored=True)
    group.start(follower)
    core, state = core_of(follower), core_of(follower).state
    request = core_of(leader).state.build_message(
        VoteRequest,
        state.own_address,
        term=state.term + 1,
        pre=False,
        last_index=state.log.last.index,
        last_term=state.log.last.term,
    )
    assert not core.step(Received(message=request), group.now)
    group.now += ELECTION_S
    core.step(Received(message=request), group.now)
    assert state.hard_state.vote == leader.address.id


def test_an_emptied_disk_never_votes_under_its_old_id() -> None:
    group = make_group("abc")
    commit(group, b"kept")
    leader = group.run_until_leader()
    wiped = other_nodes(group, leader)[0]
    group.wipe(wiped)
    group.start(wiped)
    group.crash(leader, is_stored=True)
    group.run(3.0)
    assert wiped.has_lost_storage
    assert group.current_leader() is None
    group.start(leader)
    group.run_until_leader()
    assert group.run_until_leader().items == [b"kept"]


def test_an_emptied_disk_is_found_when_it_joins_under_its_old_id() -> None:
    group = make_group("abc")
    commit(group, b"kept")
    wiped = other_nodes(group, group.run_until_leader())[0]
    group.wipe(wiped)
    wiped.initial_voters = ()
    group.start(wiped)
    group.run(1.0)
    assert wiped.has_lost_storage


@pytest.mark.parametrize("first", ["abc", "abcde"])
def test_a_second_loss_right_after_a_repair_loses_nothing(first: str) -> None:
    group = make_group(first)
    for number in range(30):
        commit(group, b"%d" % number)
    lost = other_nodes(group, group.run_until_leader())[0]
    group.wipe(lost)
    added = replace_node(group, lost, "z")
    group.crash(group.run_until_leader(), is_stored=False)
    leader = group.run_until_leader()
    assert leader.items == [b"%d" % number for number in range(30)]
    group.run(0.3)
    assert added.items == leader.items


def test_a_replaced_voter_that_kept_its_disk_can_replace_another_one() -> None:
    group = make_group("abc")
    commit(group, b"1")
    away = other_nodes(group, group.run_until_leader())[0]
    group.propose(away, b"refused")
    group.crash(away, is_stored=True)
    replace_node(group, away, "z")
    commit(group, b"2")
    group.start(away)
    lost = next(node for node in other_nodes(group, group.run_until_leader()) if node is not away)
    group.crash(lost, is_stored=True)
    replace_by(group, lost, away)
    commit(group, b"3")
    group.run(0.3)
    assert away.items == [b"1", b"2", b"3"]
    assert core_of(away).state.is_voter


def test_a_learner_does_not_count_for_a_quorum() -> None:
    group = make_group("abc")
    leader = group.run_until_leader()
    added = group.add("z")
    core = core_of(leader)
    core.change_members(with_learner(core.state.members, core_of(added).state.own_address))
    group.run(0.5)
    for node in other_nodes(group, leader):
        if node is not added:
            group.crash(node, is_stored=True)
    group.propose(leader, b"lost")
    commit_before = core.state.commit_index
    group.run(2.0)
    assert core.state.commit_index == commit_before and core.leader is None
    assert core_of(added).state.role is Role.FOLLOWER


def test_a_removed_leader_leaves_once_its_removal_is_committed() -> None:
    group = make_group("abc")
    leader = group.run_until_leader()
    core = core_of(leader)
    assert core.change_members(without_member(core.state.members, leader.address.id)).is_ok()
    group.run(0.3)
    assert core.leader is None
    new = group.run_until_leader()
    assert len(core_of(new).state.members.voters) == 2
    term = core_of(new).state.term
    group.run(5.0)
    assert core_of(group.run_until_leader()).state.term == term


def test_a_leader_whose_own_removal_was_not_committed_can_still_be_elected() -> None:
    group = make_group("abcd")
    leader = group.run_until_leader()
    group.isolate(leader)
    core = core_of(leader)
    group.crash(other_nodes(group, leader)[0], is_stored=True)
    assert core.change_members(without_member(core.state.members, leader.address.id)).is_ok()
    group.run(1.0)
    assert core.leader is None
    group.cut_links.clear()
    commit(group, b"kept")
    assert group.run_until_leader() is not leader
    assert group.run_until_leader().items == [b"kept"]


@pytest.mark.parametrize("faulty_leader", [True, False])
def test_a_full_disk_acknowledges_nothing_and_recovers(faulty_leader: bool) -> None:
    group = make_group("abc")
    leader = group.run_until_leader()
    faulty = leader if faulty_leader else other_nodes(group, leader)[0]
    assert group.propose(leader, b"first")
    if not faulty_leader:
        while faulty.write is None and group.messages:
            group.deliver(0)
    group.report_disk_full(faulty)
    assert core_of(faulty).state.disk_fault == "no room"
    assert core_of(faulty).leader is None
    write, faulty.write = faulty.write, None
    durable = core_of(faulty).state.durability.durable_index
    group.run(1.0)
    assert group.run_until_leader() is not faulty
    commit(group, b"second")
    assert core_of(faulty).state.durability.durable_index == durable
    faulty.write = write
    group.run(1.0)
    assert core_of(faulty).state.disk_fault is None
    assert faulty.items == group.run_until_leader().items
    assert faulty.items[-1] == b"second"


def test_a_leader_whose_disk_hangs_steps_down() -> None:
    group = make_group("abc")
    leader = group.run_until_leader()
    assert group.propose(leader, b"kept")
    write, leader.write = leader.write, None
    group.run(3.0)
    assert "does not finish" in (core_of(leader).state.disk_fault or "")
    new = group.run_until_leader()
    assert new is not leader and new.items == [b"kept"]
    leader.write = write
    group.run(0.5)
    assert core_of(leader).state.disk_fault is None
    assert leader.items == [b"kept"]


def test_a_replica_far_behind_gets_a_snapshot() -> None:
    group = make_group("abc")
    behind = group.run_until_leader()
    group.isolate(behind)
    assert group.propose(behind, b"lost")
    group.run(1.0)
    batch = [b"%d" % number for number in range(1_200)]
    assert core_of(group.run_until_leader()).propose(batch).is_ok()
    group.run(1.0)
    for node in other_nodes(group, behind):
        group.take_snapshot(node)
    group.run(0.3)
    assert core_of(group.run_until_leader()).state.log.base.index > 100
    group.cut_links.clear()
    group.run(2.0)
    assert behind.items == batch
    assert behind.disk.snapshot is not None


def test_an_entry_of_an_earlier_term_is_not_committed_by_counting() -> None:
    members = Membership(
        voters=tuple(
            ReplicaAddress(
                id=ReplicaId(name), endpoint=make_address(name).endpoint, storage=StorageId(number)
            )
            for number, name in enumerate("abc", start=1)
        )
    )
    identity = Identity(
        replica=ReplicaId("a"), storage=StorageId(1), group=GroupId(1), founding=members
    )
    entry = Entry(index=LogIndex(1), term=2, data=b"old")
    disk = RecoveredState(identity=identity, hard_state=HardState(term=3), entries=(entry,))
    core = Core(
        endpoint=members.voters[0].endpoint,
        recovered=disk,
        initial_voters=(),
        timing=TIMING,
        seed=1,
        now=0.0,
    )
    core.step(Tick(), 1.0)
    me, peer = members.voters[0], members.voters[1]

    def receive(kind: type, **fields: object) -> None:
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

    receive(VoteReply, pre=True, granted=True)
    core.step(Written(number=1), 1.0)
    receive(VoteReply, pre=False, granted=True)
    assert core.state.role is Role.LEADER
    receive(AppendReply, match=LogIndex(1), sent=1.0)
    assert core.state.commit_index == 0
    core.step(Written(number=2), 1.0)
    receive(AppendReply, match=LogIndex(2), sent=1.0)
    assert core.state.commit_index == 2
    with pytest.raises(InvariantError, match="one leader"):
        receive(
            AppendRequest,
            prev_index=LogIndex(0),
            prev_term=0,
            entries=(),
            commit=LogIndex(0),
            sent=0.0,
        )


def test_one_change_of_members_at_a_time() -> None:
    group = make_group("abc")
    core = core_of(group.run_until_leader())
    learner = ReplicaAddress(
        id=ReplicaId("z"), endpoint=make_address("z").endpoint, storage=StorageId(99)
    )
    assert core.change_members(with_learner(core.state.members, learner)).is_ok()
    assert core.change_members(without_member(core.state.members, learner.id)).is_error()
    group.run(0.3)
    assert core.change_members(without_member(core.state.members, learner.id)).is_ok()


def test_a_vote_is_on_disk_before_it_is_given() -> None:
    group = make_group("abc")
    leader = group.run_until_leader()
    voter, candidate = other_nodes(group, leader)
    group.run(0.2)
    group.now += ELECTION_S
    group.messages.clear()
    state = core_of(voter).state
    request = core_of(candidate).state.build_message(
        VoteRequest,
        state.own_address,
        term=state.term + 1,
        pre=False,
        last_index=state.log.last.index,
        last_term=state.log.last.term,
    )
    group.step(voter, Received(message=request))
    assert not group.messages and voter.disk.hard_state.vote != candidate.address.id
    group.finish_write(voter)
    assert voter.disk.hard_state.vote == candidate.address.id
    assert [message.granted for message in group.messages if isinstance(message, VoteReply)]


def test_a_late_answer_does_not_lengthen_the_lease() -> None:
    group = make_group("abc")
    leader = group.run_until_leader()
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
    assert core.lease_expires_at(group.now) == pytest.approx(sent + ELECTION_S - TIMING.drift_s)


def test_a_leader_that_steps_down_keeps_its_own_lease() -> None:
    group = make_group("abc")
    leader = group.run_until_leader()
    core, state = core_of(leader), core_of(leader).state
    until = core.lease_expires_at(group.now)
    peer = core_of(other_nodes(group, leader)[0]).state
    rejection = peer.build_message(
        AppendReply, state.own_address, term=state.term + 1, match=LogIndex(0), sent=0.0
    )
    core.step(Received(message=rejection), group.now)
    assert core.leader is None and core.lease_expires_at(group.now) == 0.0
    request = peer.build_message(
        VoteRequest,
        state.own_address,
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
    group = make_group("abc")
    group.crash(group.run_until_leader(), is_stored=True)
    running = [node for node in group.nodes.values() if node.core]
    while not any(core_of(node).leader for node in running):
        group.run_round()
    core = next(core_of(node) for node in running if core_of(node).leader)
    assert not core.is_ready_leader
    assert core.change_members(without_member(core.state.members, ReplicaId("z"))).is_error()


def test_replaced_entries_are_not_acknowledged_before_they_are_written() -> None:
    group = make_group("abc")
    old = group.run_until_leader()
    group.isolate(old)
    for number in range(5):
        group.propose(old, b"lost %d" % number)
    while (new := group.current_leader()) is old or new is None:
        group.run_round()
    durable = core_of(old).state.durability.durable_index
    for number in range(9):
        commit(group, b"%d" % number)
    group.cut_links.clear()
    for _ in range(20):
        group.now += 0.01
        for node in other_nodes(group, old):
            group.step(node, Tick())
        while group.messages:
            group.deliver(0)
        if isinstance(old.write, Write) and not old.write.entries:
            group.finish_write(old)
    assert core_of(old).state.durability.durable_index < durable
    assert old.disk.entries[-1].data.startswith(b"lost")
    group.run(0.5)
    assert old.items == [b"%d" % number for number in range(9)]
    assert [entry.data for entry in old.disk.entries if entry.data] == old.items


def test_a_leader_counts_itself_only_for_what_is_on_its_disk() -> None:
    group = make_group("a")
    leader = group.run_until_leader()
    before = core_of(leader).state.commit_index
    assert group.propose(leader, b"x")
    assert core_of(leader).state.commit_index == before
    group.finish_write(leader)
    assert core_of(leader).state.commit_index == before + 1


def test_a_follower_commits_only_what_the_leader_has_verified() -> None:
    group = make_group("abc")
    old = group.run_until_leader()
    group.isolate(old)
    assert group.propose(old, b"lost")
    group.run(2.0)
    new, state = core_of(group.run_until_leader()).state, core_of(old).state
    before = state.commit_index
    heartbeat = new.build_message(
        AppendRequest,
        state.own_address,
        prev_index=LogIndex(0),
        prev_term=0,
        entries=(),
        commit=state.log.last.index,
        sent=group.now,
    )
    group.step(old, Received(message=heartbeat))
    assert state.leader is not None and state.commit_index == before


def test_replicas_that_all_restart_elect_a_leader_soon_after_their_promises() -> None:
    election_times = []
    for seed in range(40):
        group = Group(initial_voters="abc", timing=TIMING, seed=seed)
        group.run_until_leader()
        for node in group.nodes.values():
            group.crash(node, is_stored=True)
        group.run(1.0)
        for node in group.nodes.values():
            group.start(node)
        started_at = group.now
        group.run_until_leader()
        election_times.append((group.now - started_at) / ELECTION_S)
    assert sum(election_times) / len(election_times) < 1.5


def test_what_was_committed_is_applied_again_before_there_is_a_leader() -> None:
    group = make_group("abc")
    commit(group, b"kept")
    for node in group.nodes.values():
        group.crash(node, is_stored=False)
    for node in group.nodes.values():
        group.start(node)
    assert group.current_leader() is None
    assert [node.items for node in group.nodes.values()] == [[b"kept"]] * 3


def test_what_may_not_be_committed_waits_for_a_leader() -> None:
    group = make_group("abc")
    leader = group.run_until_leader()
    group.isolate(leader)
    assert group.propose(leader, b"open")
    group.finish_write(leader)
    group.crash(leader, is_stored=True)
    group.start(leader)
    assert any(entry.data == b"open" for entry in leader.disk.entries)
    assert leader.items == []
