"""Exclusive ownership of keys inside a program of one's own.

The decisions of lychee-owner do no I/O: messages and the time go in, messages come out. This
program keeps its log in memory and moves its own clock; a real one proposes each command to a
replicated log and applies it once it is committed.

Run it: python examples/embed_ownership.py
"""

from dataclasses import dataclass, field

from lychee_owner import ClusterState, Coordinator, hash_key
from lychee_types.commands import Command, SubmitDocument
from lychee_types.document import Document, RequestKind, Service
from lychee_types.ids import (
    DomainName,
    GatewayId,
    Incarnation,
    LogIndex,
    ServerId,
    ServiceName,
    SessionId,
    Token,
)
from lychee_types.messages import (
    Announcement,
    Drained,
    RenewLease,
)
from lychee_types.records import Endpoint, GatewayRecord, ServerRecord
from lychee_types.timing import Timing

STEP_S = 0.1
"""Time between two turns, in seconds."""

SERVICE = Service(
    name=ServiceName("repair-status"),
    path="/repair-status/",
    kind=RequestKind.KEYED,
    idempotent=True,
    deadline_ms=1_000,
    shards=64,
)
DOCUMENT = Document(organisation="example", domains=(DomainName("nord"),), services=(SERVICE,))
GATEWAY = GatewayRecord(
    id=GatewayId("gateway-1"), session=SessionId("run-1"), domain=DomainName("nord")
)


@dataclass(kw_only=True)
class Program:
    """A program with owners of keys inside it.

    :param state: who owns what.
    :param now: its clock, in seconds.
    :param fences: the fence that each server has confirmed.
    """

    state: ClusterState = field(default_factory=ClusterState)
    now: float = 0.0
    fences: dict[ServerId, Token] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._apply(SubmitDocument(submission="1", based_on=0, author="me", document=DOCUMENT))
        self.coordinator = Coordinator(state=self.state, timing=Timing(), now=self.now)

    def turn(self, servers: tuple[ServerId, ...]) -> None:
        """Let one step pass in which these servers announce themselves."""
        for server in servers:
            self._announce(server)
        self._renew()
        for command in self.coordinator.take_commands(now=self.now):
            outcome = self._apply(command)
            self.coordinator.on_applied(
                now=self.now, index=self.state.index, command=command, outcome=outcome
            )
        self.now += STEP_S

    def owner(self, key: bytes) -> ServerId | None:
        """Return who may be sent a key now, None while it moves."""
        server = self.state.route(SERVICE.name, hash_key(key)).server
        return server.id if server is not None else None

    def _apply(self, command: Command):
        return self.state.apply(LogIndex(self.state.index + 1), command)

    def _announce(self, server: ServerId) -> None:
        record = ServerRecord(
            id=server,
            incarnation=Incarnation(1),
            endpoint=Endpoint(host="127.0.0.1", port=1),
            domain=DomainName("nord"),
            service=SERVICE.name,
            slots=3,
            connections=120,
        )
        fence = self.fences.get(server, Token(0))
        announcement = Announcement(server=record, number=int(self.now * 1_000), fence=fence)
        grant = self.coordinator.handle_announcement(
            now=self.now, session=GATEWAY.session, announcement=announcement
        )
        if grant is not None:
            self.fences[server] = max(fence, grant.fence)

    def _renew(self) -> None:
        """Renew the lease of the part that sends requests; it has none in flight."""
        moving = [o for o in self.state.ownerships.values() if o.pending is not None]
        drained = tuple(Drained(service=o.service, begun=o.pending.begun) for o in moving)
        renewal = RenewLease(
            session=GATEWAY.session,
            number=int(self.now * 1_000),
            applied=self.state.index,
            document_version=self.state.document_version,
            drained=drained,
        )
        self.coordinator.attach_gateway(now=self.now, gateway=GATEWAY)
        self.coordinator.renew_lease(now=self.now, renewal=renewal)


def main() -> None:
    """Let three servers own keys, lose one, and say when its key is served again."""
    servers = tuple(ServerId(f"repair-{n}") for n in range(1, 4))
    program = Program()
    while program.owner(b"spade-7") is None:
        program.turn(servers)
    owner = program.owner(b"spade-7")
    print(f"spade-7 belongs to {owner}")
    others = tuple(server for server in servers if server != owner)
    lost_at = program.now
    while program.owner(b"spade-7") in (None, owner):
        program.turn(others)
    print(f"after the loss of {owner} it belongs to {program.owner(b'spade-7')}")
    print(f"served again after {program.now - lost_at:.1f} s")


if __name__ == "__main__":
    main()
