"""Which placement a service should have."""

from collections.abc import Collection, Mapping

from lychee_owner.placement import hash_key
from lychee_types.document import Document, Service
from lychee_types.ids import KeyHash, ServerId
from lychee_types.records import KeyOwner, Member, Placement, ServerRecord


def plan(
    *,
    document: Document,
    service: Service,
    servers: Collection[ServerRecord],
    hot: Mapping[KeyHash, ServerId],
) -> Placement:
    """Return the placement of a service over the servers that may own its keys.

    :param document: the document in force, for its pins.
    :param service: a keyed service.
    :param servers: the servers that may own keys.
    :param hot: hot keys placed apart from their shard.
    """
    ids = {server.id for server in servers}
    keys = {key: server for key, server in hot.items() if server in ids}
    for pin in document.pins:
        if pin.service == service.name and pin.server in ids:
            keys[hash_key(pin.key.encode())] = pin.server
    return Placement(
        members=tuple(
            Member(server=server.id, weight=capacity(server))
            for server in sorted(servers, key=lambda server: server.id)
        ),
        keys=tuple(KeyOwner(key=key, server=keys[key]) for key in sorted(keys)),
        shards=service.shards,
        bounded_load=service.placement.bounded_load,
    )


def capacity(server: ServerRecord) -> float:
    """Return a server's capacity: its slots times its speed."""
    return max(server.slots * server.speed, 1e-3)
