"""What is known of gateways that carry connections for each other, and the choice among them."""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from lychee_types.ids import DomainName, GatewayId
from lychee_types.peer_messages import GatewayReport, KnownGateway
from lychee_types.registry import ServerIncarnation

SAME_DOMAIN_WEIGHT = 4.0
"""How much more often a gateway in the server's failure domain is chosen than one in another.

Bytes then cross between failure domains once only; the rest go elsewhere, so that a few gateways
are not left with all.
"""


@dataclass(kw_only=True, slots=True)
class _Known:
    """A gateway's last report.

    :param report: the report.
    :param heard_at: monotonic time in seconds at which it arrived.
    """

    report: GatewayReport
    heard_at: float


class GatewayTable:
    """The last report of each gateway.

    :param max_age_s: time after which a report is forgotten, in seconds.
    """

    def __init__(self, *, max_age_s: float) -> None:
        self._max_age_s = max_age_s
        self._known: dict[GatewayId, _Known] = {}

    def __len__(self) -> int:
        """Return how many gateways are known."""
        return len(self._known)

    def record(self, report: GatewayReport, heard_at: float) -> bool:
        """Record a report unless a later one is known; return whether it says something new.

        :param report: the report.
        :param heard_at: monotonic time in seconds at which it arrived.
        """
        known = self._known.get(report.gateway)
        if known is not None and heard_at < known.heard_at:
            return False
        self._known[report.gateway] = _Known(report=report, heard_at=heard_at)
        return known is None or known.report != report

    def drop_old(self, now: float) -> None:
        """Forget gateways that have not reported for too long."""
        oldest = now - self._max_age_s
        self._known = {
            gateway: known for gateway, known in self._known.items() if known.heard_at >= oldest
        }

    def export(self, gateways: Iterable[GatewayId], now: float) -> tuple[KnownGateway, ...]:
        """Return what is known of some gateways for another process."""
        found = (self._known.get(gateway) for gateway in gateways)
        return tuple(
            KnownGateway(report=known.report, ms_ago=max(0, round((now - known.heard_at) * 1_000)))
            for known in found
            if known is not None
        )

    @property
    def gateways(self) -> tuple[GatewayId, ...]:
        """Return the ids of all known gateways."""
        return tuple(self._known)

    def reports(self, now: float) -> list[GatewayReport]:
        """Return the reports that are not too old."""
        self.drop_old(now)
        return [known.report for known in self._known.values()]


def choose_carriers(
    reports: Iterable[GatewayReport],
    *,
    run: ServerIncarnation,
    domain: DomainName,
    count: int,
    rng: Random,
) -> list[GatewayReport]:
    """Return gateways to ask for a way to a server, in the order in which to ask them.

    :param reports: the reports of all gateways that may be asked.
    :param run: the server.
    :param domain: the server's failure domain.
    :param count: maximum number of gateways.
    :param rng: source of random numbers.
    """
    able = [report for report in reports if _can_carry(report, run)]
    chosen: list[GatewayReport] = []
    while able and len(chosen) < count:
        weights = [SAME_DOMAIN_WEIGHT if r.domain == domain else 1.0 for r in able]
        (report,) = rng.choices(able, weights)
        able.remove(report)
        chosen.append(report)
    return chosen


def _can_carry(report: GatewayReport, run: ServerIncarnation) -> bool:
    if report.carry is None or report.reaches_none:
        return False
    return run not in report.unreached
