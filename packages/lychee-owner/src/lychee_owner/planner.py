"""Computation of the placement that a service should have, and of changes between placements."""

from collections.abc import Collection, Mapping

from lychee_owner.placement import hash_key
from lychee_types.document import Document, Service
from lychee_types.ids import KeyHash, ServerId, Token
from lychee_types.records import (
    KeyOwner,
    Member,
    Placement,
    PlacementChange,
    ServerRecord,
)


def plan_placement(
    *,
    document: Document,
    service: Service,
    servers: Collection[ServerRecord],
    hot: Mapping[KeyHash, ServerId],
) -> Placement:
    """Return the placement of a service over the servers that may own its keys.

    :param document: the current document, for its pinned keys.
    :param service: a keyed service.
    :param servers: the servers that may own keys.
    :param hot: individually placed hot keys with their owners.
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


def difference(*, current: Placement, token: Token, target: Placement) -> PlacementChange:
    """Return the change that turns one placement into another.

    :param current: the current placement.
    :param token: its fencing token.
    :param target: the new placement.
    """
    before, after = set(current.members), {member.server for member in target.members}
    return PlacementChange(
        token=token,
        gone=tuple(m.server for m in current.members if m.server not in after),
        members=tuple(member for member in target.members if member not in before),
        keys=target.keys,
        shards=target.shards,
        bounded_load=target.bounded_load,
    )


def apply_change(*, current: Placement, change: PlacementChange) -> Placement:
    """Return the placement that results from a change.

    :param current: the placement that the change is based on.
    :param change: the change.
    """
    weights = {member.server: member for member in current.members}
    weights |= {member.server: member for member in change.members}
    return Placement(
        members=tuple(weights[server] for server in sorted(weights.keys() - set(change.gone))),
        keys=change.keys,
        shards=change.shards,
        bounded_load=change.bounded_load,
    )
