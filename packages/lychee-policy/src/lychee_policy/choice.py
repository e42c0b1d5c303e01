"""Choice of a backend server for a request that is bound to none."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from lychee_types.ids import ServerId


@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A server that has room for a request.

    :param server: the server's id.
    :param in_flight: requests that this gateway has in flight there.
    :param response_s: expected time to an answer in seconds.
    :param warm_up_share: share of its normal load that it may be sent; below 1 while it warms up.
    """

    server: ServerId
    in_flight: int
    response_s: float = 1.0
    warm_up_share: float = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class PowerOfTwo:
    """Take the better of two drawn at random, by (in flight + 1) * expected time to an answer."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RoundRobin:
    """Take one after the other, whatever their speed."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LeastConnections:
    """Take the one with the fewest requests in flight, whatever its speed."""


ChoiceRule = PowerOfTwo | RoundRobin | LeastConnections


def cost(candidate: Candidate) -> float:
    """Return the expected time that one more request would take there, in relative units."""
    return (candidate.in_flight + 1) * candidate.response_s / candidate.warm_up_share


def choose(
    rule: ChoiceRule, candidates: Sequence[Candidate], *, rng: Random, choices_made: int
) -> Candidate:
    """Return the candidate that a request goes to.

    :param rule: how to choose.
    :param candidates: servers with room, in a stable order; must not be empty.
    :param rng: source of random numbers.
    :param choices_made: number of choices made so far, for round robin.
    """
    match rule:
        case RoundRobin():
            return candidates[choices_made % len(candidates)]
        case LeastConnections():
            least = min(candidate.in_flight for candidate in candidates)
            return rng.choice([c for c in candidates if c.in_flight == least])
        case PowerOfTwo():
            if len(candidates) == 1:
                return candidates[0]
            return min(rng.sample(candidates, 2), key=cost)
