"""What a control replica holds of the log and for gateways, derived from its VM's limits.

What it holds for servers and operators has its own account, :mod:`lychee_http.caller_memory`.
"""

from dataclasses import dataclass
from math import inf

from lychee_http.caller_memory import BYTES_PER_MB, PROCESS_MB
from lychee_log import LogBounds
from lychee_types.routed_settings import VmLimits

MEMORY_SHARE = 1 / 4
"""Share of a VM's memory, beside the process's own, for the log and for gateways."""

DISK_SHARE = 1 / 4
"""Share of a VM's disk for the same, as most of it is stored as well."""

LEAST_ROOM_BYTES = 4_194_304
"""Least room for both, in bytes."""

LOG_SHARE = 3 / 4
"""Share of the room for the log."""

RECENT_SHARE = 1 / 16
"""Share of the room for recent commands."""

RECENT_BYTES = 2_097_152
"""Recent commands kept for gateways, at the most, in bytes. More of them, packed, are larger than
the snapshot that a gateway gets in their place.
"""

GATEWAYS_SHARE = 3 / 16
"""Share of the room for what gateways have not read yet."""

GATEWAYS_BYTES = 16_777_216
"""What all gateways have not read yet, at the most, in bytes."""

LEAST_GATEWAY_BYTES = 262_144
"""What one gateway may be behind with in any case, in bytes."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ReplicaMemory:
    """Bounds on what a control replica holds.

    :param log: bounds on what it holds of the log.
    :param recent_bytes: recent commands kept for gateways, in bytes.
    :param gateways_bytes: what all gateways have not read yet, in bytes.
    """

    log: LogBounds = LogBounds()
    recent_bytes: int = RECENT_BYTES
    gateways_bytes: int = GATEWAYS_BYTES

    @classmethod
    def of_vm(cls, vm: VmLimits) -> "ReplicaMemory":
        """Return the bounds for a VM; limits that are not known bound nothing."""
        room = min(_memory_room(vm.memory_mb), _disk_room(vm.disk_mb))
        if room == inf:
            return cls()
        room = max(LEAST_ROOM_BYTES, room)
        return cls(
            log=LogBounds.within(room * LOG_SHARE),
            recent_bytes=int(min(RECENT_BYTES, room * RECENT_SHARE)),
            gateways_bytes=int(min(GATEWAYS_BYTES, room * GATEWAYS_SHARE)),
        )

    def bytes_a_gateway(self, gateways: int) -> float:
        """Return with how much one gateway may be behind before its stream ends, in bytes.

        :param gateways: number of gateways.
        """
        return max(LEAST_GATEWAY_BYTES, self.gateways_bytes / max(1, gateways))


def _memory_room(memory_mb: float | None) -> float:
    if memory_mb is None:
        return inf
    return max(0.0, memory_mb - PROCESS_MB) * BYTES_PER_MB * MEMORY_SHARE


def _disk_room(disk_mb: float | None) -> float:
    return inf if disk_mb is None else disk_mb * BYTES_PER_MB * DISK_SHARE
