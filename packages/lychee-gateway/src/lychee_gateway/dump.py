"""Diagnostic dump of a gateway's state, with a bounded size."""

from msgspec import Struct

from lychee_gateway.announce import Readiness
from lychee_gateway.servers import BackendServers
from lychee_owner import ClusterState
from lychee_types.ids import LogIndex, ServerId, ServiceName, SessionId, Token

MAX_SERVERS = 2_000
"""Maximum number of backend servers in a dump."""


class ServerDump(Struct, frozen=True, kw_only=True):
    """A backend server as this gateway sees it.

    :param id: its id.
    :param endpoint: its address.
    :param service: its service.
    :param status: joined, leaving or lost.
    :param in_flight: this gateway's requests in flight.
    :param limit: maximum number of requests in flight from this gateway.
    :param connections: this gateway's idle connections to it.
    :param answer_ms: mean response time in milliseconds.
    :param standing: ejection state: in use, left out (ejected) or probed.
    """

    id: ServerId
    endpoint: str
    service: ServiceName
    status: str
    in_flight: int
    limit: int
    connections: int
    answer_ms: float
    standing: str


class OwnershipDump(Struct, frozen=True, kw_only=True):
    """A keyed service as this gateway sees it.

    :param service: its name.
    :param token: the current fencing token.
    :param pending: log index of the pending transition, 0 if there is none.
    """

    service: ServiceName
    token: Token
    pending: LogIndex


class GatewayDump(Struct, frozen=True, kw_only=True):
    """A gateway's state.

    :param id: its id.
    :param session: id of its session.
    :param control: address of the connected control replica, empty without a connection.
    :param readiness: whether it may be sent requests.
    :param lease_left_ms: remaining time of its session lease in milliseconds.
    :param applied: last applied log index.
    :param document_version: version of the current document.
    :param callers: open caller connections.
    :param keyed_flights: keyed requests that a server may still run.
    :param waiting: requests that wait for a server.
    :param ownerships: the keyed services.
    :param servers: the backend servers.
    """

    id: str
    session: SessionId
    control: str
    readiness: Readiness
    lease_left_ms: int
    applied: LogIndex
    document_version: int
    callers: int
    keyed_flights: int
    waiting: int
    ownerships: tuple[OwnershipDump, ...]
    servers: tuple[ServerDump, ...]


def dump_servers(servers: BackendServers) -> tuple[ServerDump, ...]:
    """Return the backend servers for a dump."""
    return tuple(
        ServerDump(
            id=server.record.id,
            endpoint=str(server.record.endpoint),
            service=server.record.service,
            status=server.record.status.value,
            in_flight=server.in_flight,
            limit=server.limits.in_flight,
            connections=len(server.pool),
            answer_ms=round(server.response_time.mean_s * 1_000, 2),
            standing=servers.describe_ejection_state(server),
        )
        for server in list(servers)[:MAX_SERVERS]
    )


def dump_ownerships(state: ClusterState) -> tuple[OwnershipDump, ...]:
    """Return the keyed services for a dump."""
    return tuple(
        OwnershipDump(
            service=name,
            token=ownership.token,
            pending=ownership.pending.begun if ownership.pending else LogIndex(0),
        )
        for name, ownership in state.ownerships.items()
    )
