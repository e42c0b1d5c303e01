"""A server's rate limit that many gateways share, simulated in this process."""

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import product

from lychee_bench.measure import Measurement
from lychee_policy.testing import LimitLoad, LimitRule, LimitSimulation, most_in_a_window

GATEWAY_COUNTS = (1, 6, 12, 64)
"""Numbers of gateways that are compared."""

RUN_S = 40.0
"""Simulated time of each run, in seconds."""


@dataclass(frozen=True, kw_only=True)
class SharedLimit:
    """What a server with a limit gets, and what callers get, by rule and number of gateways.

    :param limit_per_s: the limit in requests per second.
    :param calls_per_s: calls per second that want the server.
    """

    limit_per_s: float = 9.0
    calls_per_s: float = 60.0


def measure_shared_limit(experiment: SharedLimit) -> Iterator[Measurement]:
    """Yield the measurements with calls at all gateways, and at a third of them."""
    for rule, gateways in product(LimitRule, GATEWAY_COUNTS):
        for active in sorted({gateways, max(1, gateways // 3)}):
            load = LimitLoad(
                gateways=gateways,
                active=active,
                limit_per_s=experiment.limit_per_s,
                calls_per_s=experiment.calls_per_s,
                rule=rule,
            )
            arrivals = LimitSimulation(load).run(RUN_S)
            name = f"shared-limit.{rule.value}.{active}-of-{gateways}"
            allowed = 1.5 * experiment.limit_per_s * 4 + 5
            yield Measurement(name=f"{name}.gets", value=len(arrivals) / RUN_S, unit="req/s")
            yield Measurement(
                name=f"{name}.peak", value=most_in_a_window(arrivals) / allowed, unit="of allowed"
            )
            served = len(arrivals) / (experiment.calls_per_s * RUN_S)
            yield Measurement(name=f"{name}.served", value=served, unit="share")
