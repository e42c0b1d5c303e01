"""Messages about cold backend servers, between gateways and control replicas.

They are sent only where a service has a rate of cold servers, as earlier versions do not know them.
Times are ages at the moment of sending, as no two VMs have the same clock.
"""

from msgspec import Struct

from lychee_types.registry import ServerIncarnation


class ObservedCold(Struct, frozen=True, kw_only=True, array_like=True):
    """What a server said of the time for which it stays cold.

    :param run: the server and its incarnation.
    :param remaining_ms: how long it was to stay cold when it said so, in milliseconds; 0 if it was
        warm.
    :param heard_ms_ago: how long ago it was heard, in milliseconds.
    """

    run: ServerIncarnation
    remaining_ms: int
    heard_ms_ago: int


class ColdReport(Struct, frozen=True, kw_only=True, tag=True):
    """What a gateway has learnt from servers about the time for which they stay cold.

    :param servers: one entry a server.
    """

    servers: tuple[ObservedCold, ...]


class KnownCold(Struct, frozen=True, kw_only=True, tag=True):
    """What the leader has learnt of it, for all gateways.

    :param servers: one entry a server.
    """

    servers: tuple[ObservedCold, ...]
