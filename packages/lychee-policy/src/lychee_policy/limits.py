"""Limits on the slots and connections of a backend server that one gateway may use."""

from dataclasses import dataclass

from lychee_types.records import ServerRecord


@dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """Limits of one gateway at one backend server.

    :param connections: maximum number of open connections.
    :param in_flight: maximum number of requests in flight, one per connection.
    """

    connections: int
    in_flight: int


def limits_for(server: ServerRecord, *, gateways: int) -> Limits:
    """Return one gateway's share of a server's connections and slots, at least one of each.

    Slots are rounded up, so that even a server with fewer slots than gateways can be filled.

    :param server: the backend server.
    :param gateways: number of gateways that share the server.
    """
    gateways = max(1, gateways)
    connections = max(1, server.connections // gateways)
    slots = max(1, -(-server.slots // gateways))
    return Limits(connections=connections, in_flight=min(slots, connections))
