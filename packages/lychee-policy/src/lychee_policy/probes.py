"""Choice among servers that are asked for their load just before a request is sent.

The load that is responded to is uneven and changes within tenths of a second: other gateways send
requests too, and the speed of a server's VM changes. A few servers that are asked at once tell more
than the old loads of all of them, by which many gateways would choose the same server.
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from random import Random

from lychee_types.registry import ServerIncarnation

MAX_PROBED = 3
"""Maximum number of servers that are asked in one round."""

MAX_ROUNDS = 3
"""Maximum number of rounds for one request."""

MAX_NEAR_PROBED = 6
"""Number of servers of the own domain after which only those of others are asked."""

REMEMBERED = 2
"""Number of these that are chosen by what is known of them; the others are chosen at random."""

FRESH_S = 0.01
"""Age below which a load is used without asking again, in seconds."""

REMOTE_DOMAIN_SHARE = 0.5
"""Delay that a server of another failure domain is charged with, as a share of the time of work.

Traffic between failure domains is expensive, and the load of the own domain's servers is known.
"""

GOOD_FACTOR = 1.15
"""Largest expected time of a server after which no others are asked, by that of the best one."""

ACCEPTABLE_FACTOR = 1.5
"""Largest expected time of the best server that was asked, by that of one that cannot be."""

JITTER = 0.05
"""Maximum random increase of an expected time, as a share; spreads the gateways."""


@dataclass(frozen=True, kw_only=True, slots=True)
class KnownLoad:
    """What is known of one server that may get a request.

    :param run: the server.
    :param is_local: whether it is in the gateway's own failure domain.
    :param occupied: estimated number of its requests, by all gateways.
    :param slots: number of requests that it works on at once.
    :param work_s: time that it takes for one request at this moment, in seconds.
    :param age_s: age of the last load that it was asked for, infinite if there is none.
    :param delay_s: other expected delay, in seconds.
    """

    run: ServerIncarnation
    is_local: bool
    occupied: float
    slots: int
    work_s: float
    age_s: float
    delay_s: float = 0.0

    @property
    def wait_s(self) -> float:
        """Expected time in its queue, in seconds."""
        queue = max(0.0, self.occupied + 1 - self.slots)
        return queue * self.work_s / self.slots

    @property
    def is_fresh(self) -> bool:
        """Whether its load is known well enough without asking."""
        return self.age_s < FRESH_S

    @property
    def expected_s(self) -> float:
        """Expected response time, in seconds, including what another domain is charged with."""
        remote_s = 0.0 if self.is_local else REMOTE_DOMAIN_SHARE * self.work_s
        return self.wait_s + self.work_s + self.delay_s + remote_s


def servers_to_probe(
    loads: Sequence[KnownLoad],
    *,
    best: KnownLoad | None,
    probed: Collection[ServerIncarnation],
    rng: Random,
) -> tuple[KnownLoad, ...]:
    """Return the servers to ask in the next round, none if there is nobody left to ask.

    Those of the own domain come first. Those of others follow if there are few, or if some were
    asked and all of them have so long a queue that one elsewhere may be better. Some are chosen by
    what is known of them and the others at random, so that a server which was slow is noticed when
    it is no longer.

    :param loads: what is known of the servers that may get the request.
    :param best: the best one of those whose load was heard, None if there is none yet.
    :param probed: servers that were asked for it already.
    :param rng: source of random numbers.
    """
    left = [load for load in loads if load.run not in probed]
    near = [load for load in left if load.is_local]
    far = [load for load in left if not load.is_local]
    near_probed = sum(load.is_local and load.run in probed for load in loads)
    if best is not None and near_probed >= MAX_NEAR_PROBED:
        near = []
        if best.wait_s <= REMOTE_DOMAIN_SHARE * best.work_s:
            return ()
    first = _pick(near, MAX_PROBED, rng)
    return (*first, *_pick(far, MAX_PROBED - len(first), rng))


def is_good(best: KnownLoad, loads: Sequence[KnownLoad]) -> bool:
    """Return whether no further servers are asked, as one is almost as good as any may be.

    :param best: the best server whose load was heard.
    :param loads: what is known of all servers that may get the request.
    """
    return best.expected_s <= GOOD_FACTOR * min(load.expected_s for load in loads)


def is_acceptable(best: KnownLoad, others: Sequence[KnownLoad]) -> bool:
    """Return whether the best server that was asked is not much worse than one that cannot be.

    Otherwise a gateway that has connections to few servers would never use any others.

    :param best: the best server whose load was heard.
    :param others: what is known of the servers to which there is no connection to ask on.
    """
    return all(best.expected_s <= ACCEPTABLE_FACTOR * load.expected_s for load in others)


def rank(loads: Sequence[KnownLoad], *, rng: Random) -> list[KnownLoad]:
    """Return servers whose load was heard, the best one first."""
    return sorted(loads, key=lambda load: load.expected_s * (1 + JITTER * rng.random()))


def _pick(loads: Sequence[KnownLoad], count: int, rng: Random) -> tuple[KnownLoad, ...]:
    if len(loads) <= count:
        return tuple(loads)
    known = rank(loads, rng=rng)[: min(REMEMBERED, count)]
    others = [load for load in loads if load not in known]
    return (*known, *rng.sample(others, count - len(known)))
