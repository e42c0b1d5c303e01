"""A request that ends the servers that run it, simulated in this process."""

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import product

from lychee_bench.measure import Measurement
from lychee_policy.crash_testing import (
    CrashLoad,
    CrashRule,
    CrashSimulation,
    arrivals_after_the_third_end,
)

GATEWAY_COUNTS = (1, 6, 12, 64)
"""Numbers of gateways that are compared."""

RUN_S = 60.0
"""Simulated time of each run, in seconds."""


@dataclass(frozen=True, kw_only=True)
class CrashingRequest:
    """How many servers one request ends, by what gateways know and their number.

    :param interval_s: time after which the request comes again, in seconds.
    :param retries: how often its caller repeats it at once each time.
    """

    interval_s: float = 3.5
    retries: int = 2


def measure_crashing_request(experiment: CrashingRequest) -> Iterator[Measurement]:
    """Yield the servers that ended, and how many of them when all gateways had to know."""
    for rule, gateways in product(CrashRule, GATEWAY_COUNTS):
        load = CrashLoad(
            gateways=gateways,
            rule=rule,
            interval_s=experiment.interval_s,
            retries=experiment.retries,
        )
        arrivals = CrashSimulation(load).run(RUN_S)
        name = f"crashing-request.{rule.value}.{gateways}"
        yield Measurement(name=f"{name}.ended", value=len(arrivals), unit="servers")
        later = arrivals_after_the_third_end(arrivals)
        yield Measurement(name=f"{name}.later", value=later, unit="servers")
