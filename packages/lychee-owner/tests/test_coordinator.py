"""Decisions of the coordinator in single cases."""

from msgspec.structs import replace

from lychee_owner import ClusterState, Coordinator, hash_key
from lychee_types.commands import (
    DocumentRefused,
    JoinGateway,
    LoseGateway,
    LoseServer,
    SubmitDocument,
)
from lychee_types.document import Document, PlacementPolicy, RequestKind, Service
from lychee_types.messages import (
    Announcement,
    Drained,
    EndSession,
    GrantLease,
    RenewLease,
)
from lychee_types.records import Endpoint, GatewayRecord, ServerRecord, ServerStatus
from lychee_types.timing import Timing

KEY = hash_key(b"spade-7")
GATEWAY = GatewayRecord(id="g1", session="run-1", domain="nord")


def document(**changes: object) -> Document:
    service = Service(
        name="repair-status",
        path="/repair-status/",
        kind=RequestKind.KEYED,
        idempotent=True,
        deadline_ms=1_000,
        shards=64,
        **changes,
    )
    return Document(organisation="skaft", domains=("nord",), services=(service,))


class Leader:
    """A coordinator with its state, a manual clock and a log that commits immediately."""

    def __init__(self, **changes: object) -> None:
        self.now = 100.0
        self.state = ClusterState()
        self.log: list[object] = []
        submit = SubmitDocument(
            submission="x", based_on=0, author="a", document=document(**changes)
        )
        self.state.apply(1, submit)
        self.coordinator = Coordinator(state=self.state, timing=Timing(), now=self.now)
        self.numbers: dict[str, int] = {}

    def tick(self, seconds: float = 0.0) -> list[object]:
        self.now += seconds
        taken = list(self.coordinator.take_commands(now=self.now))
        for command in taken:
            index = self.state.index + 1
            outcome = self.state.apply(index, command)
            self.coordinator.on_applied(now=self.now, index=index, command=command, outcome=outcome)
        self.log += taken
        return taken

    def announce(self, name: str, *, fence: int = 0, **changes: object):
        self.numbers[name] = self.numbers.get(name, 0) + 1
        record = ServerRecord(
            id=name,
            incarnation=changes.pop("incarnation", 1),
            endpoint=changes.pop("endpoint", Endpoint(host="127.0.0.1", port=1)),
            domain="nord",
            service="repair-status",
            slots=3,
            connections=120,
            **changes,
        )
        announcement = Announcement(server=record, number=self.numbers[name], fence=fence)
        return self.coordinator.handle_announcement(
            now=self.now, session="run-1", announcement=announcement
        )

    def renew(self, session: str = "run-1", *, applied: int | None = None, drained=()):
        renewal = RenewLease(
            session=session,
            number=1,
            applied=self.state.index if applied is None else applied,
            document_version=1,
            drained=drained,
        )
        return self.coordinator.renew_lease(now=self.now, renewal=renewal)

    def run(self, seconds: float, *servers: str, gateway: bool = True) -> None:
        """Advance the time while the named servers announce and the gateway renews its lease."""
        for _ in range(round(seconds / 0.1)):
            for name in servers:
                grant = self.announce(name, fence=self.fences.get(name, 0))
                if grant is not None:
                    self.fences[name] = max(self.fences.get(name, 0), grant.fence)
            if gateway:
                pending = [o for o in self.state.ownerships.values() if o.pending]
                drained = tuple(Drained(service=o.service, begun=o.pending.begun) for o in pending)
                self.coordinator.attach_gateway(now=self.now, gateway=GATEWAY)
                self.renew(drained=drained)
            self.tick(0.1)

    @property
    def fences(self) -> dict[str, int]:
        return self.__dict__.setdefault("_fences", {})

    def owner(self) -> str | None:
        route = self.state.route("repair-status", KEY)
        return None if route.server is None else route.server.id


def test_servers_that_join_together_make_one_transition() -> None:
    leader = Leader()
    leader.run(3.0, "r1", "r2", "r3")
    begun = [c for c in leader.log if type(c).__name__ == "BeginTransition"]
    assert len(begun) == 1
    assert [member.server for member in begun[0].change.members] == ["r1", "r2", "r3"]
    assert leader.owner() in {"r1", "r2", "r3"}


def test_a_lost_owner_is_replaced_within_the_bound() -> None:
    leader = Leader()
    leader.run(3.0, "r1", "r2", "r3")
    owner = leader.owner()
    others = [name for name in ("r1", "r2", "r3") if name != owner]
    leader.run(3.9, *others)
    assert leader.owner() in others
    assert leader.state.servers[owner].status is ServerStatus.LOST


def test_the_last_placement_stays_when_every_server_is_lost() -> None:
    leader = Leader()
    leader.run(3.0, "r1", "r2")
    current = leader.state.ownerships["repair-status"].current
    leader.run(5.0)
    assert leader.state.ownerships["repair-status"].current == current
    leader.run(4.0, "r1", "r2")
    assert leader.owner() in {"r1", "r2"}


def test_a_session_gets_a_lease_only_once_it_is_committed_and_up_to_date() -> None:
    leader = Leader()
    leader.run(3.0, "r1", gateway=False)
    begun = leader.state.ownerships["repair-status"].fence
    assert begun > 0
    leader.coordinator.attach_gateway(now=leader.now, gateway=GATEWAY)
    assert leader.renew() is None
    assert leader.tick() == [JoinGateway(gateway=GATEWAY)]
    assert leader.renew(applied=begun - 1) is None
    assert isinstance(leader.renew(applied=begun), GrantLease)
    assert leader.renew("run-9") == EndSession(session="run-9")


def test_a_returning_session_with_an_outdated_state_gets_no_lease() -> None:
    leader = Leader()
    leader.run(3.0, "r1", "r2")
    outdated_index = leader.state.index
    leader.tick(1.7)
    owner = leader.owner()
    leader.run(3.9, "r1" if owner == "r2" else "r2", gateway=False)
    assert leader.owner() not in {owner, None}
    leader.coordinator.attach_gateway(now=leader.now, gateway=GATEWAY)
    leader.tick()
    assert leader.renew(applied=outdated_index) is None


def test_a_silent_session_is_kept_until_its_requests_have_passed_their_deadline() -> None:
    leader = Leader()
    leader.coordinator.attach_gateway(now=leader.now, gateway=GATEWAY)
    leader.tick()
    leader.renew()
    leader.tick(1.6 + 1.0)
    assert "run-1" in leader.state.gateways
    leader.tick(0.2)
    assert "run-1" not in leader.state.gateways
    assert leader.renew() == EndSession(session="run-1")


def test_a_session_that_returns_its_lease_is_removed_at_once() -> None:
    leader = Leader()
    leader.run(3.0, "r1", "r2")
    ending = RenewLease(session="run-1", number=9, applied=1, document_version=1, ending=True)
    answer = leader.coordinator.renew_lease(now=leader.now, renewal=ending)
    assert answer == EndSession(session="run-1")
    assert leader.tick() == [LoseGateway(gateway="g1", session="run-1")]


def test_an_incarnation_at_another_endpoint_waits_until_the_keys_have_moved() -> None:
    leader = Leader()
    leader.run(3.0, "r1", "r2")
    name = leader.owner()
    other = "r2" if name == "r1" else "r1"
    elsewhere = Endpoint(host="127.0.0.1", port=2)
    grant = leader.announce(name, incarnation=2, endpoint=elsewhere)
    assert grant.lease_ms == 0 and "former run" in grant.reason
    assert LoseServer(server=name, incarnation=1) in leader.tick()
    leader.run(3.9, other)
    assert leader.owner() == other
    leader.announce(name, incarnation=2, endpoint=elsewhere)
    leader.tick()
    assert leader.announce(name, incarnation=2, endpoint=elsewhere).lease_ms > 0


def test_a_restart_at_the_same_endpoint_keeps_its_keys() -> None:
    leader = Leader()
    leader.run(3.0, "r1", "r2")
    before = leader.state.ownerships["repair-status"]
    assert leader.announce("r1", incarnation=2) is None
    leader.tick()
    assert leader.announce("r1", incarnation=2).lease_ms > 0
    leader.tick()
    assert leader.state.ownerships["repair-status"] == before


def test_a_record_without_a_usable_speed_is_refused() -> None:
    leader = Leader()
    for speed in (float("nan"), float("inf"), 0.0, -1.0):
        grant = leader.announce("r1", speed=speed)
        assert grant.lease_ms == 0 and "speed" in grant.reason
    assert leader.tick() == []


def test_a_server_that_leaves_gives_up_its_keys_while_it_still_answers() -> None:
    leader = Leader()
    leader.run(3.0, "r1", "r2")
    name = leader.owner()
    leader.announce(name, status=ServerStatus.LEAVING)
    leader.tick()
    leader.announce(name, status=ServerStatus.LEAVING)
    leader.run(1.0, "r1" if name == "r2" else "r2")
    assert leader.owner() not in {name, None}
    assert leader.state.servers[name].status is ServerStatus.LEAVING


def test_a_server_that_returns_before_the_transition_finishes_keeps_its_keys() -> None:
    leader = Leader()
    leader.run(3.0, "r1", "r2")
    name, before = leader.owner(), leader.state.ownerships["repair-status"].current
    other = "r1" if name == "r2" else "r2"
    leader.run(1.2, other, gateway=False)
    assert leader.owner() is None
    leader.run(0.3, "r1", "r2", gateway=False)
    assert leader.owner() == name
    assert leader.state.ownerships["repair-status"].current == before


def test_a_server_that_is_lost_repeatedly_waits_longer_for_its_keys() -> None:
    leader = Leader()
    leader.run(3.0, "r1", "r2")
    name = leader.owner()
    other = "r1" if name == "r2" else "r2"
    rejoin_delays = []
    for _ in range(4):
        leader.run(3.0, other)
        returned_at = leader.now
        while leader.owner() != name and leader.now < returned_at + 30.0:
            leader.run(0.1, "r1", "r2")
        rejoin_delays.append(leader.now - returned_at)
    assert rejoin_delays == sorted(rejoin_delays) and rejoin_delays[3] > 4 * rejoin_delays[0]


def test_a_returning_server_gets_keys_at_once_when_there_is_no_other() -> None:
    leader = Leader(placement=PlacementPolicy(rejoin_ms=10_000))
    leader.run(3.0, "r1")
    leader.run(3.0, "r2")
    leader.run(3.0, "r2")
    assert leader.owner() == "r2"
    leader.run(3.9, "r1")
    assert leader.owner() == "r1"


def test_a_document_cannot_turn_a_free_service_into_a_keyed_one() -> None:
    leader = Leader()
    free = replace(document().services[0], kind=RequestKind.FREE)
    changed = replace(document(), services=(free,))
    for version, services in ((1, ()), (2, (free,))):
        command = SubmitDocument(
            submission=f"s{version}",
            based_on=version,
            author="a",
            document=replace(changed, services=services),
        )
        outcome = leader.state.apply(leader.state.index + 1, command)
    assert isinstance(outcome, DocumentRefused) and "new name" in outcome.remedy
    again = leader.state.apply(leader.state.index + 1, command)
    assert again == outcome and leader.state.document_version == 2
