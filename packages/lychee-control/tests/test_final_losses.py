"""What was acknowledged to operators is read back after all VMs have lost power at one moment.

Simulated replicas, without network or files, with the product's own log, state, admission of voters
and change of voters. ``LYCHEE_FINAL_SEEDS`` plays other seeds ("1-400").
"""

import os
from collections import Counter
from copy import deepcopy
from dataclasses import dataclass
from random import Random
from types import SimpleNamespace, coroutine

import pytest
from msgspec.msgpack import Decoder, Encoder

from lychee_control.registry.admission import Admission
from lychee_log import ReplicaAddress, core, replacement
from lychee_log.dump import replica_states
from lychee_log.effects import Tick
from lychee_log.testing import Group, Node
from lychee_ranges import RoutedState
from lychee_types.exceptions import NotLeaderError
from lychee_types.ids import ReplicaId
from lychee_types.records import Endpoint
from lychee_types.registry import RegisteredServer, RoutedImage, ServerIncarnation
from lychee_types.registry_commands import (
    Applied,
    ChangeRouting,
    EvacuateDomain,
    RegisterServer,
    RoutingAccepted,
    decode_routed_command,
    encode_routed_command,
)
from lychee_types.routing import RoutedService, Routing, RoutingPatch
from lychee_types.timing import Timing

TIMING = Timing(heartbeat_ms=60, election_ms=300, drift_ms=60)
DOMAINS = ("nord", "syd", "vest")
VOTER_LOST_S = 0.7
FIRST, _, LAST = os.environ.get("LYCHEE_FINAL_SEEDS", "1-6").partition("-")
SEEDS = range(int(FIRST), int(LAST or FIRST) + 1)

seen = Counter()
"""What the plays have had, for those who choose seeds."""


@dataclass(eq=False, kw_only=True)
class Order:
    """An operator's order, which is sent again until it is answered."""

    command: ChangeRouting | EvacuateDomain
    is_answered: bool = False
    acked_at: int = 0


@dataclass(eq=False, kw_only=True)
class Operator:
    """An operator with one order at a time, who does not ask what the others do."""

    name: str
    makes: type
    order: Order | None = None
    count: int = 0

    def next_order(self, state, rng):
        self.count += 1
        if self.makes is EvacuateDomain:
            domain, is_evacuated = rng.choice(DOMAINS), rng.random() < 0.6
            return Order(command=EvacuateDomain(domain=domain, is_evacuated=is_evacuated))
        base = state.version.number
        service = make_service(f"{self.name}-{self.count}")
        kind = rng.choice([Routing, RoutingPatch])
        return Order(
            command=ChangeRouting(
                number=base + rng.choice([1, 1, 2]),
                based_on=base,
                change=kind(services=(service,)),
                digest=service.name.encode(),
            )
        )


class Desk:
    """Admission at one replica, with the product's own change of voters."""

    def __init__(self, *, deployment, node):
        self._deployment, self._node = deployment, node
        self._work = None
        self._led = False
        self.admission = Admission(
            replica=self,
            target_voter_count=2 * deployment.tolerated + 1,
            voter_lost_s=lambda: VOTER_LOST_S,
            clock=deployment,
            domain_of=deployment.domains.__getitem__,
        )

    @property
    def voters(self):
        return self._node.core.state.members.voters

    def replica_states(self):
        return replica_states(self._node.core, self._deployment.now)

    async def replace_voter(self, *, old, new):
        if self._node.core.leader is None:
            raise NotLeaderError(leader=None)
        change = replacement.VoterReplacement(
            core=self._node.core,
            clock=self._deployment,
            wake_loop=lambda: self._deployment.flush(self._node),
        )
        voters = await change.run(old=old, new=new)
        seen["voters_changed"] += 1
        return voters

    def go_on(self):
        leads = self._node.core.is_ready_leader
        if leads and not self._led:
            self.admission.begin_term()
        self._led = leads
        if self._work is None and leads:
            self._work = self.admission.carry_out_next()
        if self._work is not None:
            try:
                self._work.send(None)
            except StopIteration:
                self._work = None

    @property
    def is_busy(self):
        """Return whether it is changing the voters."""
        core = self._node.core
        return self._work is not None and core is not None and core.leader is not None

    def close(self):
        if self._work is not None:
            self._work.close()
            self._work = None


@dataclass(frozen=True, kw_only=True)
class Waiting:
    """An order that a leader has appended and not answered."""

    term: int
    order: Order | None


@dataclass(kw_only=True)
class Day:
    """How often what happens in one play."""

    loss: float
    crash: float
    slow: float
    snapshot: float
    leave: float = 0.004
    wipe: float = 0.004
    hand_over: float = 0.03
    full: float = 0.004

    @classmethod
    def draw(cls, rng):
        return cls(
            loss=rng.choice([0.0, 0.05, 0.2]),
            crash=rng.choice([0.0, 0.002, 0.01]),
            slow=rng.choice([0.1, 0.3, 0.9]),
            snapshot=rng.choice([0.0, 0.02, 0.1]),
        )


class Deployment(Group):
    """Control replicas in failure domains, with operators, standing by and lost disks."""

    def __init__(self, *, seed, tolerated, standing_by, rng):
        self.states, self.desks, self.domains = {}, {}, {}
        self.rng, self.tolerated = rng, tolerated
        self.waiting = {}
        self.gone = set()
        self.leaving = {}
        self.acked, self.refused = [], []
        self.operators = [
            Operator(name="anna", makes=ChangeRouting),
            Operator(name="bo", makes=ChangeRouting),
            Operator(name="carl", makes=EvacuateDomain),
        ]
        self.servers = 0
        self._names = iter("ABCDEFGHIJKLMNOPQRSTUVW")
        super().__init__(initial_voters="abc", timing=TIMING, seed=seed)
        for name in "tuvwx"[:standing_by]:
            self.add(name)

    def monotonic(self):
        return self.now

    def start(self, node):
        self.domains.setdefault(node.address.id, self.rng.choice(DOMAINS))
        super().start(node)
        self.desks[node.address.id] = Desk(deployment=self, node=node)

    def crash(self, node, *, is_stored):
        super().crash(node, is_stored=is_stored)
        desk = self.desks.pop(node.address.id, None)
        if desk is not None:
            desk.close()

    def flush(self, node):
        self._perform(node, node.core.flush(self.now))

    def _apply_entry(self, node, entry):
        outcome = self.states[node.address.id].apply(entry.index, decode_routed_command(entry.data))
        # The product answers that it does not know once the leadership is lost; this is stricter.
        waiting = self.waiting.pop((node.address.id, node.start_count, entry.index), None)
        if waiting is not None and waiting.term == entry.term and waiting.order is not None:
            self.answer(waiting.order, entry.index, outcome)

    def _image(self, node):
        seen["snapshots"] += 1
        return Encoder().encode(self.states[node.address.id].image())

    def _restore(self, node, image):
        seen["restored"] += bool(image)
        image = Decoder(RoutedImage).decode(image) if image else None
        self.states[node.address.id] = RoutedState(image=image)

    def append(self, node, command, order=None):
        """Have a leader append a command; nothing happens at another replica."""
        if node.core is None:
            return
        appended = node.core.propose((encode_routed_command(command),))
        if appended.is_ok():
            key = (node.address.id, node.start_count, appended.ok.index)
            self.waiting[key] = Waiting(term=appended.ok.term, order=order)
            self.flush(node)

    def answer(self, order, index, outcome):
        """Record the answer that the operator gets, and check that it fits the earlier ones."""
        order.is_answered = True
        if isinstance(outcome, Applied | RoutingAccepted):
            if not order.acked_at:
                seen[type(order.command).__name__] += 1
                self.acked.append(order)
            order.acked_at = index
        else:
            assert not order.acked_at, "an acknowledged order is refused when it is sent again"
            self.refused.append(order)

    # What may happen at any moment

    def act(self, operator):
        """Send a new order, or the last one again, to the leader or to one that was the leader."""
        order, rng = operator.order, self.rng
        leader = self.current_leader()
        if order is None or (order.is_answered and rng.random() < 0.9):
            if leader is None:
                return
            order = operator.order = operator.next_order(self.states[leader.address.id], rng)
        node = leader if rng.random() < 0.8 else rng.choice(list(self.nodes.values()))
        if node is not None:
            self.append(node, order.command, order)

    def register_server(self):
        leader = self.current_leader()
        if leader is not None:
            self.servers += 1
            name = f"s{self.rng.randrange(6)}"
            server = RegisteredServer(
                run=ServerIncarnation(server=name, incarnation=self.servers),
                endpoint=Endpoint(host="10.0.0.1", port=1 + self.rng.randrange(4)),
                domain=self.rng.choice(DOMAINS),
                service="bo-1",
                release="r",
                slots=1,
            )
            self.append(leader, RegisterServer(server=server))

    def ask(self, node):
        """Send a replica's request to join or to leave to all others."""
        address = ReplicaAddress(id=node.address.id, endpoint=node.address.endpoint)
        for desk in self.desks.values():
            if not node.core.state.is_voter:
                desk.admission.record_joining(address, self.domains[address.id])
            elif address.id in self.leaving:
                desk.admission.record_leaving(address.id)

    def member_sets(self):
        """Return the newest set of voters that is committed, and all later ones on a disk."""
        newest = max(self.committed, default=0)
        memberships = [(i, e.members) for i, e in self.committed.items() if e.members]
        sets = [max(memberships, key=lambda item: item[0])[1]] if memberships else []
        for node in self.nodes.values():
            log = node.core.state.log if node.core else None
            entries = log.slice(start=log.base.index + 1, end=log.last.index) if log else ()
            entries += node.disk.entries
            sets += [e.members for e in entries if e.members and e.index > newest]
        return [{voter.id for voter in members.voters} for members in sets]

    def may_lose(self, ids):
        lost = self.gone | set(ids)
        sets = self.member_sets()
        return bool(sets) and all(len(lost & each) <= (len(each) - 1) // 2 for each in sets)

    def lose_disk(self, node):
        """Take a VM's disk; a replica with another id comes up at its address."""
        seen["disks_lost"] += 1
        old = node.address.id
        self.crash(node, is_stored=False)
        del self.nodes[old]
        self.gone.add(old)
        address = ReplicaAddress(id=ReplicaId(next(self._names)), endpoint=node.address.endpoint)
        self.domains[address.id] = self.domains[old]
        node = Node(address=address, initial_voters=(), disk=self._empty_disk(address.id))
        self.nodes[address.id] = node
        self.start(node)

    def play(self, day, rounds):
        for _ in range(rounds):
            self.now += self.rng.choice([0.001, 0.01, 0.03])
            if self.rng.random() < 0.02:
                self.change_cuts()
            for _ in range(len(self.messages)):
                self.deliver_any(day)
            for node in list(self.nodes.values()):
                self.act_at(node, day)
            for operator in self.operators:
                if self.rng.random() < 0.15:
                    self.act(operator)
            if self.rng.random() < 0.05:
                self.register_server()

    def change_cuts(self):
        self.cut_links.clear()
        if self.rng.random() < 0.3:
            self.isolate(self.rng.choice(list(self.nodes.values())))

    def deliver_any(self, day):
        if not self.messages or self.rng.random() < 0.2:
            return
        position = self.rng.randrange(len(self.messages))
        if self.rng.random() < day.loss:
            self.messages.pop(position)
        else:
            self.deliver(position, keep=self.rng.random() < 0.05)

    def act_at(self, node, day):
        rng, id = self.rng, node.address.id
        if node.core is None:
            if rng.random() < 0.1:
                self.start(node)
            return
        if rng.random() < day.crash:
            self.crash(node, is_stored=rng.random() < 0.5)
            return
        if rng.random() < day.wipe and len(self.gone) < 8 and self.may_lose([id]):
            self.lose_disk(node)
            return
        if rng.random() < day.full:
            self.report_disk_full(node)
        elif rng.random() < day.slow:
            self.finish_write(node)
        if rng.random() < 0.7:
            self.step(node, Tick())
        if rng.random() < day.snapshot:
            self.take_snapshot(node)
        if rng.random() < day.hand_over:
            seen["handed_over"] += self.hand_over(node)
        if rng.random() < day.leave and node.core.leader is None:
            self.leaving[id] = self.now + 2.0
        if self.now > self.leaving.get(id, self.now):
            del self.leaving[id]
        if rng.random() < 0.1:
            self.ask(node)
        self.desks[id].go_on()

    # The final loss

    def play_until_the_end(self, day):
        """Play on until voters are being changed, for a while at most."""
        for _ in range(self.rng.choice([0, 150])):
            if any(desk.is_busy for desk in self.desks.values()):
                break
            self.play(day, rounds=1)
        self.play(day, rounds=self.rng.randrange(12))

    def lose_power(self):
        """Take the power from all VMs at once, and as many disks as are tolerated from some."""
        nodes = list(self.nodes.values())
        self.rng.shuffle(nodes)
        if self.rng.random() < 0.5:
            # The disks with the newest entries.
            nodes.sort(key=last_stored, reverse=True)
        lost = []
        for node in nodes:
            some = [*lost, node.address.id]
            if len(some) <= self.tolerated and self.rng.random() < 0.9 and self.may_lose(some):
                lost = some
        for node in nodes:
            self.crash(node, is_stored=self.rng.random() < 0.5)
        seen["disks_lost_at_the_end"] += len(lost)
        for id in lost:
            del self.nodes[id]
            self.gone.add(id)
        self.messages.clear()
        self.cut_links.clear()

    def must_serve(self, ids):
        return all(len(ids & each) > len(each) // 2 for each in self.member_sets())

    def copy_without_desks(self):
        """Return a copy; changes of voters that are under way end in it."""
        desks, self.desks = self.desks, {}
        future, self.desks = deepcopy(self), desks
        return future

    def choose_replicas(self):
        """Return all replicas that have a disk, or some of them, which start again."""
        ids = sorted(self.nodes)
        some = set(self.rng.sample(ids, self.rng.randrange(1, len(ids) + 1)))
        return some if self.rng.random() < 0.7 else set(ids)

    def start_again(self, ids):
        """Start some replicas, and check what they tell the operators if they have a leader."""
        for id in sorted(ids):
            self.start(self.nodes[id])
        if self.must_serve(ids):
            leader = self.run_until_leader()
        else:
            self.run(2.0)
            leader = self.current_leader()
        seen["read_back" if leader else "not_started"] += 1
        if leader is not None:
            self.check(self.states[leader.address.id])

    def check(self, state):
        acked_at = max((order.acked_at for order in self.acked), default=0)
        assert state.index >= acked_at, "an acknowledged order is gone"
        expected = RoutedState()
        for index, entry in sorted(self.committed.items()):
            if entry.data and index <= state.index:
                expected.apply(index, decode_routed_command(entry.data))
        assert state.image() == expected.image()
        assert state.evacuated == expected.evacuated
        changes = [order for order in self.acked if isinstance(order.command, ChangeRouting)]
        newest = max((order.command.number for order in changes), default=0)
        assert state.version.number >= newest
        for order in changes:
            assert state.was_accepted(order.command.number, order.command.digest)
            if order.command.number == state.version.number:
                service = order.command.change.services[-1]
                assert service in state.routing.services
        bases = [order.command.based_on for order in changes]
        assert len(set(bases)) == len(bases), "two changes of the same version are acknowledged"
        for order in self.refused:
            assert not state.was_accepted(order.command.number, order.command.digest)


def last_stored(node):
    """Return the index of the last entry on a replica's disk."""
    snapshot, entries = node.disk.snapshot, node.disk.entries
    return entries[-1].index if entries else snapshot.index if snapshot else 0


def make_service(name):
    return RoutedService(name=name, health_path="/", connections=9, protocol="h1", tls=False)


@coroutine
def pause(seconds):
    """Wait for the next round, in place of a wait on an event loop."""
    yield


@pytest.fixture(autouse=True)
def simulated(monkeypatch):
    monkeypatch.setattr(replacement, "asyncio", SimpleNamespace(sleep=pause))
    # Few entries stay in the log, so that replicas which were away are sent snapshots.
    monkeypatch.setattr(core, "KEPT_ENTRIES", 3)


@pytest.mark.parametrize("tolerated", [1, 2])
@pytest.mark.parametrize("seed", SEEDS)
def test_what_was_acknowledged_is_read_back_after_a_final_loss_of_power(seed, tolerated):
    rng = Random(seed)
    deployment = Deployment(
        seed=seed, tolerated=tolerated, standing_by=rng.randrange(1, 4), rng=rng
    )
    deployment.run_until_leader()
    for _ in range(3):
        day = Day.draw(rng)
        deployment.play(day, rounds=rng.randrange(20, 250))
    deployment.play_until_the_end(day)
    for number in range(5):
        future = deployment.copy_without_desks()
        future.rng.seed(seed * 5 + number)
        future.lose_power()
        future.start_again(future.choose_replicas())


@pytest.mark.parametrize("tolerated", [1, 2])
def test_the_others_suffice_when_a_disk_is_lost_again_while_its_voter_is_replaced(tolerated):
    """At each moment of the repair, the VM is lost again and all others lose power.

    Where two losses are tolerated, another VM is lost with it.
    """
    deployment = Deployment(seed=1, tolerated=tolerated, standing_by=0, rng=Random(1))
    leader = deployment.run_until_leader()
    for name in "tu"[: 2 * tolerated - 2]:
        deployment.add(name)
    for _ in repair(deployment, leader):
        pass
    lost, other = sorted(deployment.nodes.keys() - {leader.address.id})[:2]
    deployment.lose_disk(deployment.nodes[lost])
    newcomer = next(reversed(deployment.nodes))
    moments = 0
    for future in repair(deployment, leader):
        for node in future.nodes.values():
            future.crash(node, is_stored=True)
        for id in (newcomer, other)[:tolerated]:
            del future.nodes[id]
        for node in future.nodes.values():
            future.start(node)
        future.run_until_leader()
        moments += 1
    assert moments > 5


def repair(deployment, leader):
    """Run until all replicas vote, and yield a copy after each round."""
    while {voter.id for voter in leader.core.state.members.voters} != set(deployment.nodes):
        for node in deployment.nodes.values():
            deployment.ask(node)
        deployment.desks[leader.address.id].go_on()
        deployment.run_round()
        yield deployment.copy_without_desks()
