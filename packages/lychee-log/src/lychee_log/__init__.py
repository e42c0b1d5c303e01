"""Raft replicated log: elections, synced appends, snapshots and membership changes.

:class:`~lychee_log.replica.Replica` runs one replica on asyncio. :class:`~lychee_log.core.Core` is
the protocol itself and does no I/O.
"""

from lychee_log.bounds import LogBounds
from lychee_log.dump import ReplicaDump
from lychee_log.exceptions import DiskFullError, LostStorageError, StorageError
from lychee_log.interfaces import StateMachine, Transport
from lychee_log.known_voters import load_known_voters, store_known_voters
from lychee_log.membership import MembershipError
from lychee_log.messages import PeerMessage
from lychee_log.records import Committed, ReplicaAddress
from lychee_log.recovery import stored_replica_id
from lychee_log.replica import Replica

__all__ = [
    "Committed",
    "DiskFullError",
    "LogBounds",
    "LostStorageError",
    "StateMachine",
    "MembershipError",
    "PeerMessage",
    "Replica",
    "ReplicaDump",
    "StorageError",
    "Transport",
    "ReplicaAddress",
    "load_known_voters",
    "store_known_voters",
    "stored_replica_id",
]
