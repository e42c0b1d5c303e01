"""Messages about gateways that carry connections to servers for each other.

Gateways report to the leader, and the leader tells all gateways. Times are ages at the moment of
sending, as no two VMs have the same clock.
"""

from msgspec import Struct

from lychee_types.ids import DomainName, GatewayId
from lychee_types.records import Endpoint
from lychee_types.registry import ServerIncarnation


class GatewayReport(Struct, frozen=True, kw_only=True, tag=True):
    """Where a gateway takes connections of other gateways, and what it cannot reach.

    :param gateway: its id.
    :param domain: its failure domain.
    :param carry: address at which it takes connections for servers; None while it takes none.
    :param reaches_none: whether it reaches no server directly.
    :param unreached: servers that it does not reach directly; incomplete if there are many.
    """

    gateway: GatewayId
    domain: DomainName
    carry: Endpoint | None
    reaches_none: bool
    unreached: tuple[ServerIncarnation, ...]


class KnownGateway(Struct, frozen=True, kw_only=True, array_like=True):
    """A gateway's report, as another process knows it.

    :param report: the report.
    :param ms_ago: how long ago it arrived, in milliseconds.
    """

    report: GatewayReport
    ms_ago: int


class KnownGateways(Struct, frozen=True, kw_only=True, tag=True):
    """What the leader knows of some gateways, for all gateways.

    :param gateways: one entry a gateway.
    :param total: number of gateways; 0 from a leader that does not know it yet, or of an earlier
        version.
    """

    gateways: tuple[KnownGateway, ...]
    total: int = 0


class CarryRequest(Struct, frozen=True, kw_only=True, tag=True):
    """First message on a connection by which a gateway asks another one for a way to a server.

    :param run: the server and its incarnation.
    :param endpoint: the server's address.
    :param timeout_ms: time after which the answer is of no use, in milliseconds.
    """

    run: ServerIncarnation
    endpoint: Endpoint
    timeout_ms: int


class CarryAccepted(Struct, frozen=True, kw_only=True, tag=True):
    """The connection to the server is open; all that follows is carried."""


class CarryRefused(Struct, frozen=True, kw_only=True, tag=True):
    """The connection to the server is not open.

    :param reason: why, for the log.
    :param is_unreached: whether the server accepts no connection from the refusing gateway either.
    :param retry_after_ms: time after which it makes sense to ask again, in milliseconds.
    """

    reason: str
    is_unreached: bool
    retry_after_ms: int


CarryReply = CarryAccepted | CarryRefused
"""The answer to a :class:`CarryRequest`."""
