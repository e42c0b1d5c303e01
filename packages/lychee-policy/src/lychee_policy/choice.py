"""Choice of a backend server for a request that any server of the service may run."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from lychee_types.ids import ServerId


@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A server with capacity for another request.

    :param server: the server's id.
    :param in_flight: requests that this gateway has in flight on it.
    :param response_s: expected response time in seconds.
    :param warm_up_share: share of its normal load that it may be sent; below 1 while it warms up.
    """

    server: ServerId
    in_flight: int
    response_s: float = 1.0
    warm_up_share: float = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class PowerOfTwo:
    """Choose the one of two random candidates with the lower :func:`cost`."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RoundRobin:
    """Choose the candidates in turn, regardless of their speed."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LeastConnections:
    """Choose the candidate with the fewest requests in flight, regardless of its speed."""


ChoiceRule = PowerOfTwo | RoundRobin | LeastConnections


def cost(candidate: Candidate) -> float:
    """Return the expected completion time of one more request on a candidate, as a relative value.

    It is (requests in flight + 1) * expected response time / warm-up share.
    """
    return (candidate.in_flight + 1) * candidate.response_s / candidate.warm_up_share


def choose(
    rule: ChoiceRule, candidates: Sequence[Candidate], *, rng: Random, choices_made: int
) -> Candidate:
    """Return the candidate that a request is sent to.

    :param rule: how to choose.
    :param candidates: servers with capacity, in a stable order; must not be empty.
    :param rng: random number generator.
    :param choices_made: number of earlier choices, for round robin.
    """
    match rule:
        case RoundRobin():
            return candidates[choices_made % len(candidates)]
        case LeastConnections():
            fewest = min(candidate.in_flight for candidate in candidates)
            return rng.choice([c for c in candidates if c.in_flight == fewest])
        case PowerOfTwo():
            if len(candidates) == 1:
                return candidates[0]
            return min(rng.sample(candidates, 2), key=cost)
