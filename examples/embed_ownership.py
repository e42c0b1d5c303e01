"""Embed exclusive ownership of keys in another program.

The decisions of lychee-owner do no I/O: they take messages and the time, and return messages. This
example keeps its log in memory and simulates the clock; a real program proposes each command to a
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
"""Simulated time per step, in seconds."""

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
class EmbeddingProgram:
    """A simulated program that embeds the ownership of keys.

    :param state: which server owns which keys.
    :param now: the simulated monotonic time, in seconds.
    :param fences: the highest fence that each server has confirmed.
    """

    state: ClusterState = field(default_factory=ClusterState)
    now: float = 0.0
    fences: dict[ServerId, Token] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._apply(SubmitDocument(submission="1", based_on=0, author="me", document=DOCUMENT))
        self.coordinator = Coordinator(state=self.state, timing=Timing(), now=self.now)

    def step(self, servers: tuple[ServerId, ...]) -> None:
        """Simulate one step, in which these servers announce themselves."""
        for server in servers:
            self._announce(server)
        self._renew_lease()
        for command in self.coordinator.take_commands(now=self.now):
            outcome = self._apply(command)
            self.coordinator.on_applied(
                now=self.now, index=self.state.index, command=command, outcome=outcome
            )
        self.now += STEP_S

    def find_owner(self, key: bytes) -> ServerId | None:
        """Return the server that requests for a key may be sent to now, None while it moves."""
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

    def _renew_lease(self) -> None:
        """Renew the gateway's lease, and confirm that the old owners of moving keys are drained.

        This program sends no requests, so none of them is in flight.
        """
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
    """Let three servers own keys, lose one, and print when its key is served again."""
    servers = tuple(ServerId(f"repair-{n}") for n in range(1, 4))
    program = EmbeddingProgram()
    while program.find_owner(b"spade-7") is None:
        program.step(servers)
    owner = program.find_owner(b"spade-7")
    print(f"spade-7 belongs to {owner}")
    remaining_servers = tuple(server for server in servers if server != owner)
    lost_at = program.now
    while program.find_owner(b"spade-7") in (None, owner):
        program.step(remaining_servers)
    print(f"after the loss of {owner} it belongs to {program.find_owner(b'spade-7')}")
    print(f"served again after {program.now - lost_at:.1f} s")


if __name__ == "__main__":
    main()
