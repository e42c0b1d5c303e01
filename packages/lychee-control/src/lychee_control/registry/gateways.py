"""Gateways' reports on themselves, as known to a control replica."""

from collections import deque
from math import ceil

from loguru import logger

from lychee_policy import GatewayTable
from lychee_types.clock import Clock
from lychee_types.ids import GatewayId
from lychee_types.peer_messages import GatewayReport, KnownGateway, KnownGateways

MAX_AGE_S = 10.0
"""Time after which a gateway that reports nothing is forgotten, in seconds."""

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

    def __len__(self) -> int:
        """Return how many gateways are known."""
        return len(self._table)

    def record(self, report: GatewayReport) -> bool:
        """Record a gateway's report, and return whether it says something new."""
        if not self._table.record(report, self._clock.monotonic()):
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

    def record_known(self, gateways: tuple[KnownGateway, ...]) -> None:
        """Record what the leader knows."""
        now = self._clock.monotonic()
        for known in gateways:
            self._table.record(known.report, now - known.ms_ago / 1_000)

    def news(self) -> KnownGateways:
        """Return what is known of all gateways, for a new one."""
        self._table.drop_old(self._clock.monotonic())
        return self._export(self._table.gateways)

    def take_changes(self) -> KnownGateways:
        """Return the reports that have changed since the last call."""
        changed, self._changed = self._changed, set()
        return self._export(tuple(changed))

    def take_sample(self) -> KnownGateways:
        """Return the next few reports, all in turn."""
        if not self._next:
            self._table.drop_old(self._clock.monotonic())
            self._next.extend(self._table.gateways)
        count = min(ceil(len(self._table) * SAMPLE_SHARE), len(self._next))
        return self._export(tuple(self._next.popleft() for _ in range(count)))

    def _export(self, gateways: tuple[GatewayId, ...]) -> KnownGateways:
        return KnownGateways(gateways=self._table.export(gateways, self._clock.monotonic()))
