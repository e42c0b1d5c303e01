"""The replicated state machine: every replica and gateway applies the same commands in order."""

from dataclasses import dataclass

from msgspec.structs import replace

from lychee_owner.ledger import Ledger
from lychee_owner.placement import OwnerTable
from lychee_owner.planner import apply_change
from lychee_types.commands import (
    BeginTransition,
    CloseLedger,
    Command,
    DocumentAccepted,
    DocumentConflict,
    DocumentRefused,
    Done,
    ExpireLedger,
    FinishTransition,
    ForgetServer,
    Ignored,
    JoinGateway,
    JoinServer,
    LoseGateway,
    LoseServer,
    Noop,
    OpenLedger,
    Outcome,
    SetSpeed,
    SubmitDocument,
)
from lychee_types.document import Document, RequestKind, Service
from lychee_types.exceptions import require
from lychee_types.ids import KeyHash, LogIndex, ServerId, ServiceName, Token
from lychee_types.records import (
    Ownership,
    Placement,
    ServerRecord,
    ServerStatus,
    Transition,
)
from lychee_types.state import DocumentVersion, StateImage, SubmissionRecord

HISTORY_LIMIT = 64
"""Maximum number of document versions that are kept."""

SUBMISSION_LIMIT = 4_096
"""Maximum number of submission results that are kept."""

MAX_OWNER_TABLES = 3
"""Maximum number of owner tables that are cached for a service."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """The server that may receive requests for a key.

    :param server: the owner; None while the key moves or if no server can own it.
    :param token: fencing token to send with the request.
    :param moving: whether the key is moving and will have an owner shortly.
    """

    server: ServerRecord | None
    token: Token
    moving: bool


class ClusterState:
    """The replicated state, and the owner of every key that follows from it.

    :param image: the state to start from; None for an empty state.
    """

    def __init__(self, *, image: StateImage | None = None) -> None:
        image = image or StateImage(index=LogIndex(0))
        self.index = image.index
        self.history = list(image.history)
        self.submissions = {record.submission: record for record in image.submissions}
        self.servers = {record.id: record for record in image.servers}
        self.gateways = {record.session: record for record in image.gateways}
        self.ownerships = {record.service: record for record in image.ownerships}
        self.ledger = Ledger(entries=image.ledger)
        self._tables: dict[ServiceName, list[OwnerTable]] = {}

    @property
    def document(self) -> Document | None:
        """The current document; None before the first one."""
        return self.history[-1].document if self.history else None

    @property
    def document_version(self) -> int:
        """Version of the current document; 0 before the first one."""
        return self.history[-1].version if self.history else 0

    def image(self, *, with_ledger: bool = True) -> StateImage:
        """Return a copy of the whole state that can be encoded.

        :param with_ledger: whether to include the ledger and the submissions, which gateways do not
            need.
        """
        return StateImage(
            index=self.index,
            history=tuple(self.history),
            submissions=tuple(self.submissions.values()) if with_ledger else (),
            servers=tuple(self.servers[key] for key in sorted(self.servers)),
            gateways=tuple(self.gateways[key] for key in sorted(self.gateways)),
            ownerships=tuple(self.ownerships[key] for key in sorted(self.ownerships)),
            ledger=self.ledger.entries if with_ledger else (),
        )

    def apply(self, index: LogIndex, command: Command) -> Outcome:
        """Apply one committed command and return its outcome.

        :param index: its log index, greater than that of any command applied before.
        :param command: the command.
        :raises InvariantError: if the index is not greater than the previous one.
        """
        require(index > self.index, f"log index {index} applied after {self.index}")
        self.index = index
        match command:
            case Noop():
                return Done()
            case SubmitDocument():
                return self._submit(index, command)
            case JoinServer():
                return self._join_server(command)
            case LoseServer():
                return self._lose_server(command)
            case ForgetServer():
                return self._forget_server(command)
            case SetSpeed():
                return self._set_speed(command)
            case JoinGateway():
                self.gateways[command.gateway.session] = command.gateway
                return Done()
            case LoseGateway():
                return self._lose_gateway(command)
            case BeginTransition():
                return self._begin_transition(index, command)
            case FinishTransition():
                return self._finish_transition(index, command)
            case OpenLedger():
                return self.ledger.open(command)
            case CloseLedger():
                return self.ledger.close(command)
            case ExpireLedger():
                return self.ledger.expire(command)

    def service(self, name: ServiceName) -> Service | None:
        """Return a service of the current document, or None."""
        return self.document.service(name) if self.document else None

    def table(self, name: ServiceName) -> OwnerTable | None:
        """Return the current owner table of a keyed service, or None if the name is unknown."""
        ownership = self.ownerships.get(name)
        if ownership is None:
            return None
        return self._table(name, ownership.current)

    def pending_table(self, name: ServiceName) -> OwnerTable | None:
        """Return the owner table of the pending transition, or None if none is pending."""
        ownership = self.ownerships.get(name)
        if ownership is None or ownership.pending is None:
            return None
        return self._table(name, ownership.pending.target)

    def route(self, name: ServiceName, key: KeyHash) -> Route:
        """Return the server that may receive requests for a key now.

        :param name: a keyed service.
        :param key: the key's hash.
        """
        ownership = self.ownerships.get(name)
        table = self.table(name)
        if ownership is None or table is None:
            return Route(server=None, token=Token(0), moving=False)
        owner = table.owner(key)
        pending = self.pending_table(name)
        token = ownership.token
        if ownership.pending is not None:
            token = Token(ownership.pending.begun)
        if pending is not None and pending.owner(key) != owner:
            return Route(server=None, token=token, moving=True)
        server = self.servers.get(owner) if owner is not None else None
        return Route(server=server, token=token, moving=False)

    def _table(self, name: ServiceName, placement: Placement) -> OwnerTable:
        tables = self._tables.setdefault(name, [])
        for table in tables:
            if table.placement is placement:
                return table
        base = tables[-1] if tables else None
        table = OwnerTable(placement=placement, shards=placement.shards or 1, base=base)
        tables.append(table)
        del tables[:-MAX_OWNER_TABLES]
        return table

    def _submit(self, index: LogIndex, command: SubmitDocument) -> Outcome:
        existing = self.submissions.get(command.submission)
        if existing is not None:
            return _submission_outcome(existing)
        is_current = command.based_on == self.document_version
        winner = "" if is_current or not self.history else self.history[-1].author
        refusal = self._refusal(command.document) if is_current else None
        accepted = is_current and refusal is None
        if accepted:
            self._install(index, command)
        record = SubmissionRecord(
            submission=command.submission,
            author=command.author,
            based_on=command.based_on,
            accepted=accepted,
            version=self.document_version,
            winner=winner,
            refusal=refusal.reason if refusal else "",
            remedy=refusal.remedy if refusal else "",
        )
        self.submissions[record.submission] = record
        while len(self.submissions) > SUBMISSION_LIMIT:
            del self.submissions[next(iter(self.submissions))]
        return _submission_outcome(record)

    def _refusal(self, document: Document) -> DocumentRefused | None:
        """Return why a document conflicts with the state, or None if it can be accepted.

        A service may not change its kind: a gateway that has not applied the change yet would send
        requests of a service that has become keyed to any server.
        """
        kinds = {service.name: service.kind for service in document.services}
        for version in self.history:
            for earlier in version.document.services:
                kind = kinds.get(earlier.name, earlier.kind)
                if kind is not earlier.kind:
                    return DocumentRefused(
                        reason=f"service {earlier.name} was {earlier.kind.value} in version"
                        f" {version.version} and would become {kind.value}",
                        remedy="give the service a new name, or keep its kind",
                    )
        return None

    def _install(self, index: LogIndex, command: SubmitDocument) -> None:
        version = DocumentVersion(
            version=self.document_version + 1,
            author=command.author,
            index=index,
            document=command.document,
        )
        before = self.history[-1] if self.history else None
        require(
            before is None or index > before.index,
            "the log index of a document version is not greater than the previous one",
        )
        self.history = [*self.history[-(HISTORY_LIMIT - 1) :], version]
        keyed = {s.name for s in command.document.services if s.kind is RequestKind.KEYED}
        for name in list(self.ownerships):
            if name not in keyed and not has_owners(self.ownerships[name]):
                del self.ownerships[name]
        for name in sorted(keyed - set(self.ownerships)):
            self.ownerships[name] = Ownership(service=name, token=Token(index), current=Placement())

    def _join_server(self, command: JoinServer) -> Outcome:
        existing = self.servers.get(command.server.id)
        if existing is not None and existing.incarnation > command.server.incarnation:
            return Ignored(reason=f"a later run of server {existing.id} has joined")
        if existing is not None and self.is_move_needed(existing=existing, new=command.server):
            return Ignored(
                reason=f"server {existing.id} owns keys at its former endpoint or service"
            )
        self.servers[command.server.id] = command.server
        return Done()

    def is_move_needed(self, *, existing: ServerRecord, new: ServerRecord) -> bool:
        """Return whether a server's keys must move to others before its new record is committed.

        The previous incarnation may still be alive at another endpoint, with requests in its
        receive buffer.
        """
        same = existing.endpoint == new.endpoint and existing.service == new.service
        return not same and self.owns_keys(existing.id)

    def owns_keys(self, server: ServerId) -> bool:
        """Return whether a server is part of any placement, current or pending."""
        return any(server in placed_servers(o) for o in self.ownerships.values())

    def _lose_server(self, command: LoseServer) -> Outcome:
        existing = self.servers.get(command.server)
        if existing is None or existing.incarnation != command.incarnation:
            return Ignored(reason="another run of the server has joined")
        self.servers[existing.id] = replace(existing, status=ServerStatus.LOST)
        return Done()

    def _forget_server(self, command: ForgetServer) -> Outcome:
        existing = self.servers.get(command.server)
        if existing is None or existing.status is not ServerStatus.LOST:
            return Ignored(reason="the server is not lost")
        if self.owns_keys(existing.id):
            return Ignored(reason="the server still owns keys")
        del self.servers[existing.id]
        return Done()

    def _set_speed(self, command: SetSpeed) -> Outcome:
        existing = self.servers.get(command.server)
        if existing is None:
            return Ignored(reason="the server is not known")
        self.servers[existing.id] = replace(existing, speed=command.speed)
        return Done()

    def _lose_gateway(self, command: LoseGateway) -> Outcome:
        if command.session not in self.gateways:
            return Ignored(reason="the run of the gateway is not known")
        del self.gateways[command.session]
        return Done()

    def _begin_transition(self, index: LogIndex, command: BeginTransition) -> Outcome:
        ownership = self.ownerships.get(command.service)
        if ownership is None:
            return Ignored(reason="the service is not keyed or not in the document")
        service = self.service(command.service)
        target = command.target
        if command.change is not None:
            if command.change.token != ownership.token:
                return Ignored(reason="another placement has come into force")
            target = apply_change(current=ownership.current, change=command.change)
        if not target.shards:
            shards = service.shards if service is not None else ownership.current.shards
            target = replace(target, shards=shards)
        if service is None and target.members:
            return Ignored(reason="the service is not in the document any more")
        _check_placement(target)
        transition = Transition(begun=index, target=target)
        self.ownerships[command.service] = replace(ownership, pending=transition)
        return Done()

    def _finish_transition(self, index: LogIndex, command: FinishTransition) -> Outcome:
        ownership = self.ownerships.get(command.service)
        pending = ownership.pending if ownership is not None else None
        if ownership is None or pending is None or pending.begun != command.begun:
            return Ignored(reason="another transition has taken its place")
        require(
            index > pending.begun > ownership.token,
            "a new fencing token is not greater than the previous one",
        )
        require(pending.begun > ownership.fence, "a new fence is not greater than the previous one")
        self.ownerships[command.service] = Ownership(
            service=command.service,
            token=Token(index),
            current=pending.target,
            fence=Token(pending.begun),
        )
        if self.service(command.service) is None and not pending.target.members:
            del self.ownerships[command.service]
        return Done()


def _check_placement(placement: Placement) -> None:
    """Check the form that makes every replica and gateway compute the same owner for each key."""
    servers = [member.server for member in placement.members]
    keys = [key.key for key in placement.keys]
    require(
        servers == sorted(set(servers)), "members of a placement are not sorted by id or not unique"
    )
    require(keys == sorted(set(keys)), "keys of a placement are not sorted by hash or not unique")
    require(
        all(m.weight > 0 for m in placement.members),
        "a placement member does not have a positive weight",
    )
    shards = placement.shards
    require(shards & (shards - 1) == 0, "the number of shards is not a power of two")


def has_owners(ownership: Ownership) -> bool:
    """Return whether any server owns keys of a service, now or after the pending transition."""
    return bool(placed_servers(ownership))


def placed_servers(ownership: Ownership) -> set[ServerId]:
    """Return the servers in the current placement and in the pending one."""
    placements = [ownership.current]
    if ownership.pending is not None:
        placements.append(ownership.pending.target)
    members = {member.server for placement in placements for member in placement.members}
    return members | {key.server for placement in placements for key in placement.keys}


def _submission_outcome(record: SubmissionRecord) -> Outcome:
    if record.accepted:
        return DocumentAccepted(version=record.version)
    if record.refusal:
        return DocumentRefused(reason=record.refusal, remedy=record.remedy)
    return DocumentConflict(version=record.version, author=record.winner)
