"""Identifiers that every package shares, as distinct types over built-in ones."""

from typing import NewType

ServerId = NewType("ServerId", str)
"""Name of a backend server, unique in the deployment and stable across its restarts."""

GatewayId = NewType("GatewayId", str)
"""Name of a gateway process, stable across its restarts."""

ReplicaId = NewType("ReplicaId", str)
"""Name of a control replica; a replica that lost its disk comes back under a new one."""

SessionId = NewType("SessionId", str)
"""Random name of one run of a gateway process; a restart gives a new one."""

Incarnation = NewType("Incarnation", int)
"""Number of one run of a backend server; a later run has a higher one."""

ServiceName = NewType("ServiceName", str)
"""Name of a service in the operators' document."""

DomainName = NewType("DomainName", str)
"""Name of a failure domain."""

Shard = NewType("Shard", int)
"""Index of one hash range of a service's keys, from 0 to the service's shard count less one."""

KeyHash = NewType("KeyHash", int)
"""64-bit hash of the raw bytes of a key."""

Token = NewType("Token", int)
"""Fencing token: the log index of the commit that gave an owner its keys; it only grows."""

LogIndex = NewType("LogIndex", int)
"""Position of an entry in the replicated log, from 1."""
