"""Identifiers shared by every package, as distinct types over built-in ones."""

from typing import NewType

ServerId = NewType("ServerId", str)
"""Name of a backend server, unique in the deployment and stable across its restarts."""

GatewayId = NewType("GatewayId", str)
"""Name of a gateway process, stable across its restarts."""

ReplicaId = NewType("ReplicaId", str)
"""Name of a control replica; a replica that lost its disk rejoins under a new name."""

SessionId = NewType("SessionId", str)
"""Random id of a gateway session, the lifetime of one gateway process; a restart gets a new one."""

Incarnation = NewType("Incarnation", int)
"""Number of one lifetime of a backend server process; it is higher after each restart."""

ServiceName = NewType("ServiceName", str)
"""Name of a service in the operators' document."""

DomainName = NewType("DomainName", str)
"""Name of a failure domain."""

UNKNOWN_DOMAIN = DomainName("")
"""Failure domain of a process that has not told its own."""

RequestSignature = NewType("RequestSignature", bytes)
"""Hash of all that tells a request apart from others, the same for each repeat of it."""

Shard = NewType("Shard", int)
"""Index of a hash range of a service's keys, from 0 to the service's number of shards less one."""

KeyHash = NewType("KeyHash", int)
"""64-bit hash of the raw bytes of a key."""

Token = NewType("Token", int)
"""Fencing token: log index of the commit that assigned keys to an owner; it only increases."""

LogIndex = NewType("LogIndex", int)
"""Position of an entry in the replicated log, from 1."""
