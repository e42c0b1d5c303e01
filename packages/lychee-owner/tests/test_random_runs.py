"""Random simulations of the ownership protocol with model gateways and servers and a manual clock.

A simulation fails if a server runs a request while the log says that another server owns its key.
Each mutant removes one mechanism from the protocol and must make some simulation fail.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule
from msgspec.structs import replace

from lychee_owner import ClusterState, Coordinator, hash_key
from lychee_owner.transitions import FinishCondition
from lychee_types.commands import DocumentAccepted, LoseGateway, Noop, SubmitDocument
from lychee_types.document import (
    Document,
    KeyPin,
    PlacementPolicy,
    RequestKind,
    ServerRule,
    Service,
)
from lychee_types.messages import (
    Announcement,
    Drained,
    EndSession,
    GrantLease,
    HotKey,
    RenewLease,
    ReportLoad,
    ServerGrant,
    ServerLoad,
)
from lychee_types.records import Endpoint, GatewayRecord, ServerRecord
from lychee_types.timing import MAX_UNAVAILABLE_S, Timing

TIMING = Timing()
SERVICE = "repair-status"
STEP_S = 0.05
NAMES = [f"spade-{i}" for i in range(12)]
KEYS = [hash_key(name.encode()) for name in NAMES]
DOMAINS = ("nord", "midt", "syd")
CHECKING = {"r0", "r1"}
SERVERS = ("r0", "r1", "r2", "r3")


class OwnershipError(AssertionError):
    """A server ran a request while another server owned its key."""


@dataclass(kw_only=True, eq=False)
class Request:
    key: int
    token: int
    deadline: float
    answered: bool = False


@dataclass(kw_only=True, eq=False)
class Process:
    """A process whose clocks differ within the drift margin.

    :param rate: speed of its monotonic clock relative to the simulation's time.
    :param base: its monotonic time at the start of the simulation, in seconds.
    :param skew: difference of its wall clock from the simulation's time, in seconds.
    :param alive: whether the process exists.
    :param stopped: whether it is frozen, as by SIGSTOP.
    :param cut: whether it is disconnected from the control replicas.
    """

    rate: float
    base: float
    skew: float
    alive: bool = True
    stopped: bool = False
    cut: bool = False

    def clock(self, t: float) -> float:
        return self.base + t * self.rate

    def wall(self, t: float) -> float:
        return t + self.skew

    @property
    def is_running(self) -> bool:
        return self.alive and not self.stopped


@dataclass(kw_only=True, eq=False)
class Gateway(Process):
    """A model gateway.

    :param lagging: whether it receives no log entries.
    :param deaf: whether it receives no responses of backend servers.
    :param lease_end: end of its lease on its own monotonic clock.
    :param number: number of its last renewal.
    :param sent: when it sent each renewal, on its own monotonic clock.
    :param requests: requests that it tracks as in flight.
    :param unwritten: requests that passed the lease check but have not been written yet.
    """

    record: GatewayRecord
    state: ClusterState
    lagging: bool = False
    deaf: bool = False
    lease_end: float = float("-inf")
    number: int = 0
    sent: dict[int, float] = field(default_factory=dict)
    requests: list[Request] = field(default_factory=list)
    unwritten: list[tuple[Endpoint, Request]] = field(default_factory=list)

    def drained(self, t: float) -> tuple[Drained, ...]:
        done = []
        for ownership in self.state.ownerships.values():
            if ownership.pending is None:
                continue
            margin_s = TIMING.drift_s
            busy = any(
                not request.answered
                and self.wall(t) <= request.deadline + margin_s
                and self.state.route(SERVICE, request.key).moving
                for request in self.requests
            )
            if not busy:
                done.append(Drained(service=ownership.service, begun=ownership.pending.begun))
        return tuple(done)


@dataclass(kw_only=True, eq=False)
class Server(Process):
    """A model backend server.

    :param number: number of its last announcement.
    :param sent: when it sent each announcement, on its own monotonic clock.
    :param unread: received requests that it has not processed yet.
    """

    record: ServerRecord
    number: int = 0
    fence: int = 0
    lease_end: float = float("-inf")
    sent: dict[int, float] = field(default_factory=dict)
    unread: list[tuple[Gateway, Request]] = field(default_factory=list)

    @property
    def checks_tokens(self) -> bool:
        return self.record.id in CHECKING

    def accepts(self, t: float, request: Request) -> bool:
        if self.wall(t) > request.deadline:
            return False
        fenced = self.clock(t) >= self.lease_end or request.token < self.fence
        return not (self.checks_tokens and fenced)


class Simulation:
    """The simulation: all processes, the committed log and the messages in flight."""

    def __init__(
        self,
        *,
        seed: int,
        coordinator: type[Coordinator] = Coordinator,
        faults: Sequence[Callable[["Simulation"], None]] = (),
    ) -> None:
        self.random = Random(seed)
        self.faults = faults or FAULTS
        self.coordinator_type = coordinator
        self.t = 0.0
        self.state = ClusterState()
        self.log: list[object] = []
        self.proposed: list[object] = []
        self.scheduled: list[tuple[float, Callable[[], None]]] = []
        self.gateways: dict[str, Gateway] = {}
        self.servers: list[Server] = []
        self.requests_run = 0
        self.healed = False
        self.sessions = count()
        self.stalled_until = 0.0
        self.leader: Coordinator | None = None
        self.leader_clock = self.process()
        self.elect()
        self.submit(self.document())
        for name in SERVERS:
            self.start_server(name)
        for position, domain in enumerate(DOMAINS):
            self.start_gateway(f"g{position}", domain)
        self.advance(60)

    def process(self) -> dict[str, float]:
        return {
            "rate": self.random.uniform(0.97, 1.03),
            "base": self.random.uniform(0, 1_000),
            "skew": self.random.uniform(-0.05, 0.05),
        }

    # documents

    def document(self, *, removed: bool = False) -> Document:
        pick = self.random.choice
        service = Service(
            name=SERVICE,
            path="/repair-status/",
            kind=RequestKind.KEYED,
            idempotent=True,
            deadline_ms=pick([300, 1_000]),
            shards=pick([8, 8, 8, 16]),
            placement=PlacementPolicy(settle_ms=200, rejoin_ms=400, hot_keys=pick([0, 4])),
        )
        leaving = pick([None, None, *SERVERS])
        rules = tuple(
            ServerRule(
                id=name,
                checks_tokens=name in CHECKING and pick([True, True, False]),
                leaving=name == leaving,
            )
            for name in SERVERS
        )
        pins = (KeyPin(service=SERVICE, key=NAMES[0], server=pick(SERVERS)),)
        return Document(
            organisation="skaft",
            domains=DOMAINS,
            services=() if removed else (service,),
            servers=rules,
            pins=pick([pins, ()]),
        )

    def submit(self, document: Document) -> None:
        based_on = self.state.document_version
        for author in ("anna", "bo"):
            submission = f"{author}-{len(self.log)}"
            command = SubmitDocument(
                submission=submission, based_on=based_on, author=author, document=document
            )
            outcome = self.commit(command)
            assert isinstance(outcome, DocumentAccepted) == (author == "anna")

    # the log

    def commit(self, command: object) -> object:
        index = len(self.log) + 1
        version = self.state.document_version
        outcome = self.state.apply(index, command)
        assert self.state.document_version >= version
        self.log.append(command)
        if self.leader is not None:
            now = self.leader_now
            self.leader.on_applied(now=now, index=index, command=command, outcome=outcome)
        return outcome

    @property
    def leader_now(self) -> float:
        return self.leader_clock["base"] + self.t * self.leader_clock["rate"]

    def lose_leader(self) -> None:
        """Stop the leader; some of its outstanding proposals are still committed."""
        self.leader = None
        for command in self.proposed:
            if self.random.random() < 0.5:
                self.commit(command)
        self.proposed.clear()
        self.schedule(self.random.uniform(0, 0.8), self.elect)

    def elect(self) -> None:
        if self.leader is None:
            self.leader_clock = self.process()
            self.commit(Noop())
            state = self.state
            self.leader = self.coordinator_type(state=state, timing=TIMING, now=self.leader_now)

    def state_at(self, index: int) -> ClusterState:
        state = ClusterState()
        for position, command in enumerate(self.log[:index], start=1):
            state.apply(position, command)
        return state

    # processes

    def start_gateway(self, name: str, domain: str) -> None:
        if name in self.gateways:
            self.gateways[name].alive = False
        index = max(1, len(self.log) - self.random.choice([0, 0, 3, 8]))
        self.gateways[name] = Gateway(
            record=GatewayRecord(id=name, session=f"{name}-{next(self.sessions)}", domain=domain),
            state=self.state_at(index),
            lagging=not self.healed and self.random.random() < 0.3,
            **self.process(),
        )

    def start_server(self, name: str, *, port: int = 1, kill: bool = True) -> None:
        for old in self.servers:
            if old.record.id == name and (kill or old.record.endpoint.port == port):
                old.alive = False
        record = ServerRecord(
            id=name,
            incarnation=1 + sum(server.record.id == name for server in self.servers),
            endpoint=Endpoint(host=name, port=port),
            domain=DOMAINS[int(name[1:]) % 3],
            service=SERVICE,
            slots=3,
            connections=120,
        )
        self.servers.append(Server(record=record, **self.process()))

    def newest_incarnation(self, name: str) -> Server:
        return [server for server in self.servers if server.record.id == name][-1]

    def delay(self) -> float:
        slow = 0.0 if self.healed else self.random.uniform(0, 0.6)
        return self.random.choice([0.0, 0.0, 0.0, slow])

    def is_due(self, process: Process) -> bool:
        """Return whether a process sends its periodic message now; at random until faults end."""
        if self.healed:
            return round(self.t / STEP_S) % 6 == 0
        return self.random.random() < STEP_S / 0.3

    def schedule(self, seconds: float, action: Callable[[], None]) -> None:
        self.scheduled.append((self.t + seconds, action))

    # requests

    def prepare(self, gateway: Gateway, key: int) -> tuple[Endpoint, Request] | None:
        route = gateway.state.route(SERVICE, key)
        service = gateway.state.service(SERVICE)
        over = gateway.clock(self.t) >= gateway.lease_end
        if route.server is None or service is None or over:
            return None
        deadline = gateway.wall(self.t) + service.deadline_ms / 1_000
        request = Request(key=key, token=route.token, deadline=deadline)
        gateway.requests.append(request)
        return route.server.endpoint, request

    def write(self, gateway: Gateway, endpoint: Endpoint, request: Request) -> None:
        for server in self.servers:
            if server.alive and server.record.endpoint == endpoint:
                server.unread.append((gateway, request))
                return
        request.answered = True

    def read(self, server: Server) -> None:
        for gateway, request in server.unread:
            if server.accepts(self.t, request):
                self.check_owner(server, request)
            request.answered = request.answered or not gateway.deaf
        server.unread.clear()

    def check_owner(self, server: Server, request: Request) -> None:
        table = self.state.table(SERVICE)
        owner = table.owner(request.key) if table is not None else None
        known = self.state.servers.get(server.record.id)
        moved = known is not None and known.endpoint != server.record.endpoint
        if owner is not None and (owner != server.record.id or moved):
            raise OwnershipError(f"{server.record.id} ran a key of {owner} at {self.t:.2f}")
        self.requests_run += 1

    # time

    def advance(self, steps: int) -> None:
        for _ in range(steps):
            self.step()

    def step(self) -> None:
        self.t += STEP_S
        due = [action for at, action in self.scheduled if at <= self.t]
        self.scheduled = [(at, action) for at, action in self.scheduled if at > self.t]
        for action in due:
            action()
        for server in self.servers:
            if server.is_running:
                self.read(server)
        for gateway in self.gateways.values():
            if gateway.is_running:
                self.step_gateway(gateway)
        for server in self.servers:
            if server.is_running and self.is_due(server):
                self.announce(server)
        if self.leader is not None:
            self.proposed += self.leader.take_commands(now=self.leader_now)
            if self.healed or (self.t > self.stalled_until and self.random.random() < 0.8):
                proposed, self.proposed = self.proposed, []
                for command in proposed:
                    self.commit(command)

    def step_gateway(self, gateway: Gateway) -> None:
        for endpoint, request in gateway.unwritten:
            self.write(gateway, endpoint, request)
        gateway.unwritten.clear()
        if not gateway.lagging:
            self.apply_log(gateway)
        for key in self.random.sample(KEYS, 2):
            prepared = self.prepare(gateway, key)
            if prepared is not None:
                self.write(gateway, *prepared)
        wall = gateway.wall(self.t)
        gateway.requests = [r for r in gateway.requests if wall < r.deadline + 1.0]
        if self.is_due(gateway) and not gateway.cut:
            self.renew(gateway)
            self.report(gateway)

    def apply_log(self, gateway: Gateway) -> None:
        version = gateway.state.document_version
        while gateway.state.index < len(self.log):
            index = gateway.state.index + 1
            gateway.state.apply(index, self.log[index - 1])
        assert gateway.state.document_version >= version

    def renew(self, gateway: Gateway) -> None:
        gateway.number += 1
        gateway.sent[gateway.number] = gateway.clock(self.t)
        renewal = RenewLease(
            session=gateway.record.session,
            number=gateway.number,
            applied=gateway.state.index,
            document_version=gateway.state.document_version,
            drained=gateway.drained(self.t),
        )
        self.schedule(self.delay(), partial(self.receive_renewal, gateway, renewal))

    def receive_renewal(self, gateway: Gateway, renewal: RenewLease) -> None:
        if self.leader is None:
            return
        if renewal.number % 4 == 1:
            self.leader.attach_gateway(now=self.leader_now, gateway=gateway.record)
        answer = self.leader.renew_lease(now=self.leader_now, renewal=renewal)
        if isinstance(answer, GrantLease):
            self.schedule(self.delay(), partial(self.receive_lease, gateway, answer))
        if isinstance(answer, EndSession):
            self.schedule(self.delay(), partial(self.receive_end, gateway))

    def receive_lease(self, gateway: Gateway, grant: GrantLease) -> None:
        if gateway.is_running and not gateway.cut:
            end = gateway.sent[grant.number] + TIMING.lease_s
            gateway.lease_end = max(gateway.lease_end, end)

    def receive_end(self, gateway: Gateway) -> None:
        if gateway.is_running and self.gateways[gateway.record.id] is gateway:
            self.start_gateway(gateway.record.id, gateway.record.domain)

    def report(self, gateway: Gateway) -> None:
        loads = tuple(
            ServerLoad(
                server=server.record.id,
                answered=self.random.randint(1, 300) if server.is_running else 0,
                failed=int(not server.is_running),
                busy_ms=10.0,
                in_flight=0,
            )
            for server in map(self.newest_incarnation, SERVERS)
        )
        hot = HotKey(
            service=SERVICE, key=self.random.choice(KEYS), rate=self.random.uniform(10, 90)
        )
        report = ReportLoad(session=gateway.record.session, servers=loads, hot_keys=(hot,))
        if self.leader is not None:
            self.leader.handle_load_report(now=self.leader_now, report=report)

    def announce(self, server: Server) -> None:
        reachable_gateways = [g for g in self.gateways.values() if g.is_running and not g.cut]
        if not reachable_gateways or server.cut:
            return
        server.number += 1
        server.sent[server.number] = server.clock(self.t)
        announcement = Announcement(server=server.record, number=server.number, fence=server.fence)
        session = self.random.choice(reachable_gateways).record.session
        self.schedule(
            self.delay(), partial(self.receive_announcement, server, session, announcement)
        )

    def receive_announcement(
        self, server: Server, session: str, announcement: Announcement
    ) -> None:
        if self.leader is None:
            return
        grant = self.leader.handle_announcement(
            now=self.leader_now, session=session, announcement=announcement
        )
        if grant is not None and grant.lease_ms:
            self.schedule(self.delay(), partial(self.receive_grant, server, grant))

    def receive_grant(self, server: Server, grant: ServerGrant) -> None:
        if server.is_running:
            end = server.sent[grant.number] + TIMING.lease_s
            server.lease_end = max(server.lease_end, end)
            server.fence = max(server.fence, grant.fence)

    # faults

    def pause_gateway(self, gateway: Gateway | None = None) -> None:
        """Freeze a gateway after it has checked its lease and before it writes the requests."""
        gateway = gateway or self.random.choice(list(self.gateways.values()))
        if gateway.is_running:
            prepared = [self.prepare(gateway, key) for key in KEYS]
            gateway.unwritten = [target for target in prepared if target is not None]
        gateway.stopped = True

    def resume_gateway(self) -> None:
        self.random.choice(list(self.gateways.values())).stopped = False

    def restart_gateway(self) -> None:
        name = self.random.choice(list(self.gateways))
        self.start_gateway(name, self.gateways[name].record.domain)

    def cut_gateway(self) -> None:
        gateway = self.random.choice(list(self.gateways.values()))
        flag = self.random.choice(["cut", "deaf", "lagging"])
        setattr(gateway, flag, not getattr(gateway, flag))

    def freeze_server(self) -> None:
        self.random.choice(self.servers).stopped = True

    def unfreeze_server(self) -> None:
        self.random.choice([s for s in self.servers if s.stopped] or self.servers).stopped = False

    def cut_server(self) -> None:
        server = self.random.choice(self.servers)
        server.cut = not server.cut

    def restart_server(self) -> None:
        name = self.random.choice(SERVERS)
        self.start_server(name, port=self.newest_incarnation(name).record.endpoint.port)

    def replace_server(self) -> None:
        """Start a server at another endpoint while its previous incarnation may only be frozen."""
        name = self.random.choice(SERVERS)
        port = self.newest_incarnation(name).record.endpoint.port + 1
        self.start_server(name, port=port, kill=self.random.random() < 0.3)

    def change_document(self) -> None:
        self.submit(self.document())

    def move_away(self, server: Server) -> None:
        """Mark a server as leaving and wait for its keys to move, for at most three seconds."""
        document = self.document()
        leaving = ServerRule(id=server.record.id, leaving=True, checks_tokens=server.checks_tokens)
        others = [rule for rule in document.servers if rule.id != leaving.id]
        self.submit(replace(document, servers=(*others, leaving), pins=()))
        for _ in range(60):
            self.step()
            ownership = self.state.ownerships[SERVICE]
            if all(member.server != leaving.id for member in ownership.current.members):
                return

    def move_while_paused(self) -> None:
        """Move keys while a gateway is frozen with pending writes, near the end of its lease."""
        gateway = self.random.choice(list(self.gateways.values()))
        gateway.cut = gateway.lagging = True
        for _ in range(40):
            if gateway.lease_end - gateway.clock(self.t) < 0.25:
                break
            self.step()
        self.pause_gateway(gateway)
        server = self.newest_incarnation(self.random.choice(SERVERS))
        server.cut = self.random.random() < 0.7
        self.move_away(server)
        self.resume_processes()
        server.cut = False

    def move_while_frozen(self) -> None:
        """Move keys away from a frozen server that has unread requests."""
        server = self.newest_incarnation(self.random.choice(SERVERS))
        server.stopped = True
        self.advance(self.random.randint(1, 6))
        self.move_away(server)
        self.resume_processes()

    def move_while_cut_off(self) -> None:
        """Move keys away from a frozen server that a disconnected gateway still sends to."""
        gateway = self.random.choice(list(self.gateways.values()))
        gateway.cut = gateway.lagging = True
        self.advance(self.random.randint(1, 26))
        server = self.newest_incarnation(self.random.choice(SERVERS))
        server.stopped = True
        self.advance(self.random.randint(1, 16))
        self.move_away(server)
        self.resume_processes()

    def move_after_election(self) -> None:
        """Move keys under a new leader while a gateway holds a lease from the previous one."""
        gateway = self.random.choice(list(self.gateways.values()))
        gateway.cut = gateway.lagging = True
        self.lose_leader()
        while self.leader is None:
            self.step()
        self.move_away(self.newest_incarnation(self.random.choice(SERVERS)))

    def return_while_ending(self) -> None:
        """Resume a gateway while a command to remove its session is being committed."""
        gateway = self.random.choice(list(self.gateways.values()))
        gateway.stopped = True
        ending = LoseGateway(gateway=gateway.record.id, session=gateway.record.session)
        for _ in range(80):
            self.step()
            if ending in self.proposed:
                self.stalled_until = self.t + 0.4
                break
        gateway.stopped = False
        gateway.lagging = True
        self.advance(10)
        self.move_away(self.newest_incarnation(self.random.choice(SERVERS)))

    def resume_processes(self) -> None:
        for process in [*self.gateways.values(), *self.servers]:
            process.stopped = False
        for gateway in self.gateways.values():
            gateway.cut = gateway.lagging = gateway.deaf = False

    def remove_service(self) -> None:
        self.submit(self.document(removed=True))
        self.schedule(self.random.uniform(0, 1.0), self.change_document)

    def inject_fault(self) -> None:
        """Apply a random fault."""
        self.random.choice(self.faults)(self)

    def heal(self) -> None:
        """End all faults."""
        self.healed = True
        for process in [*self.gateways.values(), *self.servers]:
            process.stopped = process.cut = False
        for gateway in self.gateways.values():
            gateway.lagging = gateway.deaf = False
            if not gateway.alive:
                self.start_gateway(gateway.record.id, gateway.record.domain)
        for gateway in self.gateways.values():
            gateway.lagging = False
        for name in SERVERS:
            if not self.newest_incarnation(name).alive:
                self.start_server(name, port=self.newest_incarnation(name).record.endpoint.port)

    def check_served_again(self) -> None:
        """Check that each key has a running owner within the promised time after all faults end."""
        self.heal()
        left = set(KEYS)
        for _ in range(round(MAX_UNAVAILABLE_S / STEP_S)):
            self.step()
            left -= {key for key in left if self.is_served(key)}
        assert not left, f"{len(left)} keys have no owner at {self.t:.2f}"

    def is_served(self, key: int) -> bool:
        for gateway in self.gateways.values():
            route = gateway.state.route(SERVICE, key)
            if route.server is None or gateway.clock(self.t) >= gateway.lease_end:
                return False
            endpoint = route.server.endpoint
            if not any(s.is_running and s.record.endpoint == endpoint for s in self.servers):
                return False
        return True


FAULTS = (
    Simulation.pause_gateway,
    Simulation.pause_gateway,
    Simulation.resume_gateway,
    Simulation.resume_gateway,
    Simulation.restart_gateway,
    Simulation.cut_gateway,
    Simulation.cut_gateway,
    Simulation.freeze_server,
    Simulation.freeze_server,
    Simulation.unfreeze_server,
    Simulation.unfreeze_server,
    Simulation.cut_server,
    Simulation.restart_server,
    Simulation.replace_server,
    Simulation.lose_leader,
    Simulation.change_document,
    Simulation.change_document,
    Simulation.remove_service,
    Simulation.move_while_paused,
    Simulation.move_while_frozen,
    Simulation.move_while_cut_off,
    Simulation.move_after_election,
    Simulation.return_while_ending,
)


def run(
    seed: int,
    *,
    coordinator: type[Coordinator] = Coordinator,
    faults: Sequence[Callable[[Simulation], None]] = (),
) -> Simulation:
    simulation = Simulation(seed=seed, coordinator=coordinator, faults=faults)
    for _ in range(40):
        simulation.inject_fault()
        simulation.advance(simulation.random.choice([1, 4, 10, 30]))
    simulation.check_served_again()
    return simulation


@pytest.mark.parametrize("seed", range(12))
def test_no_server_runs_requests_for_keys_of_another(seed: int) -> None:
    assert run(seed).requests_run > 1_000


class OwnershipMachine(RuleBasedStateMachine):
    """Lets Hypothesis choose the faults and the times between them."""

    @initialize(seed=st.integers(0, 1_000))
    def start(self, seed: int) -> None:
        self.simulation = Simulation(seed=seed)

    @rule(fault=st.sampled_from(FAULTS), steps=st.sampled_from([1, 4, 10, 30]))
    def fail(self, fault: Callable[[Simulation], None], steps: int) -> None:
        fault(self.simulation)
        self.simulation.advance(steps)

    def teardown(self) -> None:
        if hasattr(self, "simulation"):
            self.simulation.check_served_again()


TestOwnershipMachine = OwnershipMachine.TestCase
TestOwnershipMachine.settings = settings(
    derandomize=True, deadline=None, database=None, max_examples=25, stateful_step_count=25
)


# Mutants


class WithRule(Coordinator):
    rule: type[FinishCondition] = FinishCondition

    def _make_finish_condition(self) -> FinishCondition:
        return self.rule(
            state=self._state,
            gateways=self._gateways,
            servers=self._servers,
            timing=self._timing,
        )


def with_rule(mutant: type[FinishCondition]) -> type[Coordinator]:
    return type(mutant.__name__, (WithRule,), {"rule": mutant})


class NoGatewayLeaseWait(FinishCondition):
    def gateway_lease_end(self, session: object) -> float:
        return float("-inf")


class NoFence(FinishCondition):
    def is_fenced(self, **_: object) -> bool:
        return True


class NoServerLease(FinishCondition):
    """Treats every server as one that checks tokens."""

    def checks_tokens(self, **_: object) -> bool:
        return True


class NoDeadlineWait(FinishCondition):
    def deadline_s(self, service: str) -> float:
        return 0.0


class NoDrain(FinishCondition):
    def is_drained(self, *, now: float, session: object, ownership: object) -> bool:
        return session.applied >= ownership.pending.begun


class DrainOfAnyTransition(FinishCondition):
    def is_drained(self, *, now: float, session: object, ownership: object) -> bool:
        return bool(session.drained.get(ownership.service))


class NewestDeadlineOnly(FinishCondition):
    def deadline_s(self, service: str) -> float:
        found = self._state.service(service)
        return (found.deadline_ms if found else 0) / 1_000 + TIMING.drift_s


class LeaseForOutdatedState(Coordinator):
    def renew_lease(self, **renewal: object) -> object:
        for session in self._gateways.sessions.values():
            session.granted_until = float("inf")
        return super().renew_lease(**renewal)


class LeaderForgetsGatewayLeases(Coordinator):
    def __init__(self, **given: object) -> None:
        super().__init__(**given)
        for session in self._gateways.sessions.values():
            session.lease_end = float("-inf")


class SessionRemovedTooEarly(Coordinator):
    def _gateway_commands(self, *, now: float) -> object:
        yield from super()._gateway_commands(now=now)
        for session_id, session in self._gateways.sessions.items():
            if self._gateways.is_expired(now=now, session=session):
                yield LoseGateway(gateway=session.record.id, session=session_id)


class LeaseForEndingSession(Coordinator):
    def take_commands(self, *, now: float) -> object:
        taken = super().take_commands(now=now)
        for session in self._gateways.sessions.values():
            session.ending = False
        return taken


class MoveWithoutTransition(Coordinator):
    def __init__(self, **given: object) -> None:
        super().__init__(**given)
        self._state.is_move_needed = lambda **_: False


DISTURBANCES = (
    Simulation.restart_gateway,
    Simulation.unfreeze_server,
    Simulation.change_document,
    Simulation.cut_gateway,
)

MUTANTS: list[tuple[type[Coordinator], Callable[[Simulation], None]]] = [
    (with_rule(NoGatewayLeaseWait), Simulation.move_while_cut_off),
    (with_rule(NoFence), Simulation.move_while_paused),
    (with_rule(NoServerLease), Simulation.move_while_cut_off),
    (with_rule(NoDeadlineWait), Simulation.move_while_cut_off),
    (with_rule(NoDrain), Simulation.move_while_frozen),
    (with_rule(DrainOfAnyTransition), Simulation.move_while_frozen),
    (with_rule(NewestDeadlineOnly), Simulation.move_while_cut_off),
    (LeaseForOutdatedState, Simulation.move_while_cut_off),
    (LeaderForgetsGatewayLeases, Simulation.move_after_election),
    (SessionRemovedTooEarly, Simulation.move_while_cut_off),
    (LeaseForEndingSession, Simulation.return_while_ending),
    (MoveWithoutTransition, Simulation.replace_server),
]

MUTANT_SEEDS = 40


def is_caught(mutant: type[Coordinator], fault: Callable[[Simulation], None]) -> bool:
    for seed in range(MUTANT_SEEDS):
        try:
            run(seed, coordinator=mutant, faults=(*DISTURBANCES, fault, fault, fault))
        except OwnershipError:
            return True
        except AssertionError:
            continue
    return False


@pytest.mark.parametrize(
    ("mutant", "fault"), MUTANTS, ids=[mutant.__name__ for mutant, _ in MUTANTS]
)
def test_a_protocol_without_one_mechanism_breaks(
    mutant: type[Coordinator], fault: Callable[[Simulation], None]
) -> None:
    assert is_caught(mutant, fault)
