"""Gateways' reports on themselves, as known to a control replica."""

from collections import deque
from math import ceil

from loguru import logger

from lychee_policy import GatewayTable
from lychee_types.clock import Clock
from lychee_types.ids import GatewayId
from lychee_types.peer_messages import GatewayReport, KnownGateways

MAX_AGE_S = 10.0
"""Time after which a gateway that reports nothing is forgotten, in seconds."""

COLLECT_S = 2.5
"""Time without a gap in the reports after which they tell the number of gateways, in seconds.

Each gateway reports every 2 s, so a leader that has just begun knows few of them.
"""

TOTAL_S = 10.0
"""Time for which the largest number of gateways is kept, in seconds."""

SAMPLE_SHARE = 1 / 25
"""Share of the gateways that is told of again at a time, as messages may have been lost."""


class GatewayBoard:
    """What a replica knows of the gateways.

    Every replica keeps it, so that the next leader begins with what the former one has told.

    :param clock: source of time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._table = GatewayTable(max_age_s=MAX_AGE_S)
        self._changed: set[GatewayId] = set()
        self._next: deque[GatewayId] = deque()
        self._totals: deque[tuple[float, int]] = deque()
        self._reported_at = -COLLECT_S
        self._reported_since = 0.0

    def __len__(self) -> int:
        """Return how many gateways are known."""
        return len(self._table)

    @property
    def total(self) -> int:
        """Return how many gateways there are, 0 if no leader has told it lately.

        It is the largest number of the last `TOTAL_S`: too large a number lets no limit that
        gateways share be exceeded.
        """
        self._drop_old_totals(self._clock.monotonic())
        return max((total for _, total in self._totals), default=0)

    def _record_total(self, total: int) -> None:
        now = self._clock.monotonic()
        self._drop_old_totals(now)
        if total:
            self._totals.append((now, total))

    def _drop_old_totals(self, now: float) -> None:
        while self._totals and self._totals[0][0] < now - TOTAL_S:
            self._totals.popleft()

    def record(self, report: GatewayReport) -> bool:
        """Record a gateway's report, and return whether it says something new."""
        now = self._clock.monotonic()
        if now - self._reported_at >= COLLECT_S:
            self._reported_since = now
        self._reported_at = now
        if not self._table.record(report, now):
            return False
        self._changed.add(report.gateway)
        logger.bind(
            event="gateway_paths",
            gateway=report.gateway,
            carries=report.carry is not None,
            reaches_none=report.reaches_none,
            unreached=len(report.unreached),
        ).info("a gateway reaches other servers than before, or is new")
        return True

    def record_known(self, news: KnownGateways) -> None:
        """Record what the leader knows."""
        now = self._clock.monotonic()
        self._record_total(news.total)
        for known in news.gateways:
            self._table.record(known.report, now - known.ms_ago / 1_000)

    def news(self) -> KnownGateways:
        """Return what is known of all gateways, for a new one."""
        self._table.drop_old(self._clock.monotonic())
        return self._export(self._table.gateways)

    def take_changes(self) -> KnownGateways:
        """Return the reports that have changed since the last call, at the leader."""
        changed, self._changed = self._changed, set()
        return self._export_total(tuple(changed))

    def take_sample(self) -> KnownGateways:
        """Return the next few reports, all in turn, at the leader."""
        if not self._next:
            self._table.drop_old(self._clock.monotonic())
            self._next.extend(self._table.gateways)
        count = min(ceil(len(self._table) * SAMPLE_SHARE), len(self._next))
        return self._export_total(tuple(self._next.popleft() for _ in range(count)))

    def _export_total(self, gateways: tuple[GatewayId, ...]) -> KnownGateways:
        self._record_total(self._count_reporting())
        return self._export(gateways)

    def _count_reporting(self) -> int:
        """Return the number of gateways, 0 if some may not have reported to this leader yet."""
        now = self._clock.monotonic()
        self._table.drop_old(now)
        return len(self._table) if now - self._reported_since >= COLLECT_S else 0

    def _export(self, gateways: tuple[GatewayId, ...]) -> KnownGateways:
        known = self._table.export(gateways, self._clock.monotonic())
        return KnownGateways(gateways=known, total=self._count_reporting())
