"""Shares of a backend server's slots and connections that one gateway may use."""

from dataclasses import dataclass

from lychee_types.records import ServerRecord


@dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """What one gateway may use of one backend server.

    :param connections: connections open at once.
    :param in_flight: requests in flight at once, one on each connection.
    """

    connections: int
    in_flight: int


def limits_for(server: ServerRecord, *, gateways: int) -> Limits:
    """Return one gateway's share of a server's connections and slots, at least one of each.

    Slots are rounded up, so that a server with fewer slots than gateways can still be filled.

    :param server: the backend server.
    :param gateways: number of gateways that share it.
    """
    gateways = max(1, gateways)
    connections = max(1, server.connections // gateways)
    slots = max(1, -(-server.slots // gateways))
    return Limits(connections=connections, in_flight=min(slots, connections))
