"""The replicated state of a routed deployment: routing configuration, servers, key ranges."""

from msgspec.structs import replace

from lychee_ranges.checks import find_fault
from lychee_ranges.patching import apply_patch
from lychee_ranges.table import KeyTable
from lychee_types.ids import DomainName, LogIndex, ServerId, ServiceName, Token
from lychee_types.registry import (
    AcceptedChange,
    KeyRange,
    RangeTable,
    RegisteredServer,
    RoutedImage,
    ServerIncarnation,
)
from lychee_types.registry_commands import (
    Applied,
    ChangeRouting,
    EvacuateDomain,
    Obsolete,
    RegisterServer,
    RemoveServer,
    RoutedCommand,
    RoutedOutcome,
    RoutingAccepted,
    RoutingConflict,
    RoutingRefused,
    SetRanges,
)
from lychee_types.routing import Routing, RoutingPatch, RoutingVersion

MAX_ACCEPTED_CHANGES = 4_096
"""Number of accepted changes remembered, so that a resent one is recognized."""

MAX_ENDED_INCARNATIONS = 1_024
"""Number of ended incarnations remembered, so a late heartbeat does not register them again."""


class RoutedState:
    """State that is the same in all replicas and gateways at the same log index.

    :param image: the initial state, None for an empty one.
    """

    def __init__(self, *, image: RoutedImage | None = None) -> None:
        image = image or RoutedImage()
        self.index = image.index
        self.version = image.version
        self.servers: dict[ServerId, RegisteredServer] = {
            server.run.server: server for server in image.servers
        }
        self.tables: dict[ServiceName, KeyTable] = {
            table.service: KeyTable(ranges=table.ranges) for table in image.tables
        }
        self._accepted_changes: dict[int, AcceptedChange] = {
            change.number: change for change in image.accepted
        }
        self._ended_incarnations: dict[ServerIncarnation, None] = dict.fromkeys(image.ended)
        self.evacuated: set[DomainName] = set(image.evacuated)

    @property
    def routing(self) -> Routing:
        """Return the configuration in force."""
        return self.version.routing

    def image(self) -> RoutedImage:
        """Return the whole state, for a snapshot."""
        return RoutedImage(
            index=self.index,
            version=self.version,
            accepted=tuple(self._accepted_changes.values()),
            servers=tuple(sorted(self.servers.values(), key=lambda server: server.run.server)),
            tables=tuple(
                RangeTable(service=name, ranges=self.tables[name].ranges)
                for name in sorted(self.tables)
            ),
            ended=tuple(self._ended_incarnations),
            evacuated=tuple(sorted(self.evacuated)),
        )

    def apply(self, index: LogIndex, command: RoutedCommand) -> RoutedOutcome:
        """Apply a committed command and return its outcome.

        :param index: its log index.
        :param command: the command.
        """
        self.index = index
        match command:
            case ChangeRouting():
                return self._change_routing(command)
            case RegisterServer(server=server):
                return self._register_server(server)
            case RemoveServer(run=run):
                return self._remove_server(run)
            case SetRanges():
                return self._set_ranges(index, command)
            case EvacuateDomain():
                return self._evacuate(command)

    def is_leaving(self, server: RegisteredServer) -> bool:
        """Return whether a server gets no new requests: it leaves, or its domain is evacuated."""
        return server.is_leaving or server.domain in self.evacuated

    def was_accepted(self, number: int, digest: bytes) -> bool:
        """Return whether exactly this change was accepted before.

        :param number: number of the version that it created.
        :param digest: digest of the change as it was sent.
        """
        known = self._accepted_changes.get(number)
        return known is not None and known.digest == digest

    def is_outdated(self, incarnation: ServerIncarnation) -> bool:
        """Return whether a later incarnation of the same server is registered or has ended."""
        later = [run for run in self._ended_incarnations if run.server == incarnation.server]
        known = self.servers.get(incarnation.server)
        if known is not None:
            later.append(known.run)
        return any(run.incarnation > incarnation.incarnation for run in later)

    def has_ended(self, incarnation: ServerIncarnation) -> bool:
        """Return whether an incarnation is recorded as ended, so that it is never registered."""
        return incarnation in self._ended_incarnations

    def displaced_by(self, server: RegisteredServer) -> tuple[RegisteredServer, ...]:
        """Return the records with the id or the address of a server that is about to register."""
        return tuple(
            other
            for other in self.servers.values()
            if other.run.server == server.run.server or other.endpoint == server.endpoint
        )

    def _change_routing(self, command: ChangeRouting) -> RoutedOutcome:
        if self.was_accepted(command.number, command.digest):
            return RoutingAccepted(number=command.number, is_repeat=True)
        if command.based_on != self.version.number:
            return RoutingConflict(number=self.version.number)
        if command.number <= self.version.number:
            reason = f"version {command.number} is not above {self.version.number}"
            return RoutingRefused(reason=reason)
        change = command.change
        routing = apply_patch(self.routing, change) if isinstance(change, RoutingPatch) else change
        fault = find_fault(routing)
        if fault is not None:
            return RoutingRefused(reason=fault)
        self.version = RoutingVersion(number=command.number, routing=routing)
        self._accepted_changes[command.number] = AcceptedChange(
            number=command.number, digest=command.digest
        )
        if len(self._accepted_changes) > MAX_ACCEPTED_CHANGES:
            del self._accepted_changes[next(iter(self._accepted_changes))]
        return RoutingAccepted(number=command.number)

    def _remove_server(self, incarnation: ServerIncarnation) -> RoutedOutcome:
        self._ended_incarnations[incarnation] = None
        if len(self._ended_incarnations) > MAX_ENDED_INCARNATIONS:
            del self._ended_incarnations[next(iter(self._ended_incarnations))]
        known = self.servers.get(incarnation.server)
        if known is None or known.run != incarnation:
            return Obsolete(reason="another run is registered")
        del self.servers[incarnation.server]
        return Applied()

    def _register_server(self, server: RegisteredServer) -> RoutedOutcome:
        """Register an incarnation in place of older ones with the same id or address."""
        if server.run in self._ended_incarnations:
            return Obsolete(reason="the run has ended")
        if self.version.number and self.routing.service(server.service) is None:
            return Obsolete(reason="the service is unknown")
        known = self.servers.get(server.run.server)
        if known is not None and known.run.incarnation > server.run.incarnation:
            return Obsolete(reason="a later run is registered")
        for other in self.displaced_by(server):
            if other.run.server == server.run.server:
                continue
            if other.run.incarnation > server.run.incarnation:
                return Obsolete(reason="a later run has this address")
            del self.servers[other.run.server]
        self.servers[server.run.server] = server
        return Applied()

    def _set_ranges(self, index: LogIndex, command: SetRanges) -> RoutedOutcome:
        table = self.tables.setdefault(command.service, KeyTable())
        token = Token(index)
        table.put(_with_token(key_range, token) for key_range in command.ranges)
        return Applied()

    def _evacuate(self, command: EvacuateDomain) -> RoutedOutcome:
        if command.is_evacuated:
            self.evacuated.add(command.domain)
        else:
            self.evacuated.discard(command.domain)
        return Applied()


def _with_token(key_range: KeyRange, token: Token) -> KeyRange:
    if key_range.owner is not None and key_range.token == 0:
        return replace(key_range, token=token)
    return key_range
