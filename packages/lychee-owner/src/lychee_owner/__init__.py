"""Decisions on key ownership: placement, leases, grants and transitions. Performs no I/O."""

from lychee_owner.coordinator import Coordinator
from lychee_owner.placement import OwnerTable, hash_key, rendezvous, shard_of
from lychee_owner.state import ClusterState, Route

__all__ = [
    "ClusterState",
    "Coordinator",
    "OwnerTable",
    "Route",
    "hash_key",
    "rendezvous",
    "shard_of",
]
