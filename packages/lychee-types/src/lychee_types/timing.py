"""Timing parameters of the coordination protocol, shared by control replicas and gateways."""

from msgspec import Struct

MAX_UNAVAILABLE_S = 4.0
"""Maximum time for which a key may be unavailable after a single failure, in seconds."""


class Timing(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Timing parameters in milliseconds.

    :param lease_ms: length of a gateway's or a backend server's session lease.
    :param renew_ms: interval between renewals of a session lease.
    :param drift_ms: margin for the drift of two monotonic clocks over one lease.
    :param suspect_ms: time without an announcement after which a backend server counts as lost.
    :param tick_ms: interval at which the leader checks for due work.
    :param heartbeat_ms: interval between a leader's heartbeats to each follower.
    :param election_ms: minimum time without a message of the leader before a follower starts an
        election.
    """

    lease_ms: int = 1_500
    renew_ms: int = 300
    drift_ms: int = 100
    suspect_ms: int = 1_000
    tick_ms: int = 50
    heartbeat_ms: int = 75
    election_ms: int = 400

    @property
    def longest_election_ms(self) -> int:
        """Time within which followers elect a new leader after losing one, in milliseconds."""
        return 2 * self.election_ms

    @property
    def lease_s(self) -> float:
        """Length of a session lease in seconds."""
        return self.lease_ms / 1_000

    @property
    def drift_s(self) -> float:
        """Margin for clock drift in seconds."""
        return self.drift_ms / 1_000

    @property
    def suspect_s(self) -> float:
        """Time without an announcement after which a backend server counts as lost, in seconds."""
        return self.suspect_ms / 1_000
