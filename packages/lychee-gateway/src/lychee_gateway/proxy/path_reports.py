"""What this gateway tells the leader of its ways to servers."""

from lychee_policy import PathTable
from lychee_types.clock import Clock
from lychee_types.ids import DomainName, GatewayId
from lychee_types.peer_messages import GatewayReport
from lychee_types.records import Endpoint

REPORT_S = 2.0
"""Interval at which the report to the leader is repeated, in seconds."""

MAX_REPORTED = 32
"""Maximum number of servers in a report, which names none where none is reached."""


class PathReports:
    """Reports on what has changed, and on everything from time to time.

    :param gateway: this gateway's id.
    :param domain: this gateway's failure domain.
    :param carry: address at which it takes other gateways' connections, None if it takes none.
    :param table: the ways to the servers.
    :param clock: source of time.
    """

    def __init__(
        self,
        *,
        gateway: GatewayId,
        domain: DomainName,
        carry: Endpoint | None,
        table: PathTable,
        clock: Clock,
    ) -> None:
        self._gateway = gateway
        self._domain = domain
        self._carry = carry
        self._table = table
        self._clock = clock
        self._reported: GatewayReport | None = None
        self._reported_at = 0.0
        self._is_stopping = False

    def stop(self) -> None:
        """Tell the other gateways from now on that this one takes no connections."""
        self._is_stopping = True

    def take(self) -> GatewayReport | None:
        """Return what the leader may not know yet, None if there is nothing."""
        if self._carry is None:
            return None
        now = self._clock.monotonic()
        reaches_none = self._table.reaches_none
        report = GatewayReport(
            gateway=self._gateway,
            domain=self._domain,
            carry=None if self._is_stopping else self._carry,
            reaches_none=reaches_none,
            unreached=() if reaches_none else self._table.unreached[:MAX_REPORTED],
        )
        if report == self._reported and now - self._reported_at < REPORT_S:
            return None
        self._reported, self._reported_at = report, now
        return report
