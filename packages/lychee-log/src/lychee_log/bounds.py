"""Bounds in bytes on what a replica holds of the log, in memory and on the disk.

Proposals may be of any size, so that a number of entries bounds nothing.
"""

from dataclasses import dataclass

KEPT_BYTES = 8_388_608
"""Entries before a snapshot that stay in the log, at the most, in bytes."""

SNAPSHOT_BYTES = 8_388_608
"""Size of applied entries after which a snapshot is taken, at the most, in bytes."""

IN_FLIGHT_BYTES = 2_097_152
"""Unacknowledged entries on their way to one peer, at the most, in bytes."""

PENDING_BYTES = 16_777_216
"""Pending proposals above which new ones are rejected, at the most, in bytes."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LogBounds:
    """Bounds on what a replica holds of the log.

    Each is exceeded by one entry at the most.

    :param kept_bytes: entries before a snapshot that stay in the log, in bytes.
    :param snapshot_bytes: size of applied entries after which a snapshot is taken, in bytes.
    :param in_flight_bytes: unacknowledged entries on their way to one peer, in bytes.
    :param pending_bytes: pending proposals above which new ones are rejected, in bytes.
    """

    kept_bytes: int = KEPT_BYTES
    snapshot_bytes: int = SNAPSHOT_BYTES
    in_flight_bytes: int = IN_FLIGHT_BYTES
    pending_bytes: int = PENDING_BYTES

    @classmethod
    def within(cls, room: float) -> "LogBounds":
        """Return the bounds that share some room, none of them larger than by default.

        :param room: memory for all of them, in bytes.
        """
        default = cls()
        share = min(1.0, room / default.total_bytes)
        return cls(
            kept_bytes=int(share * default.kept_bytes),
            snapshot_bytes=int(share * default.snapshot_bytes),
            in_flight_bytes=int(share * default.in_flight_bytes),
            pending_bytes=int(share * default.pending_bytes),
        )

    @property
    def total_bytes(self) -> int:
        """Return what they add up to in bytes, with ``in_flight_bytes`` counted once."""
        return self.kept_bytes + self.snapshot_bytes + self.in_flight_bytes + self.pending_bytes
