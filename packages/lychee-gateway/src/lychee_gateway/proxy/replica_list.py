"""The control replicas that a gateway may follow, and which of them are in its failure domain."""

from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from random import Random

from lychee_types.clock import Clock
from lychee_types.ids import UNKNOWN_DOMAIN, DomainName
from lychee_types.records import Endpoint

NEARER_INTERVAL_S = (1.0, 2.0)
"""Shortest and longest random pause before a replica of the own domain is tried, in seconds."""

MAX_NEARER_PAUSE_S = 30.0
"""Maximum pause before the same replica is tried again, in seconds; it doubles each time.

A replica that stands by, or is cut off from the others, is tried in vain.
"""


@dataclass(kw_only=True, slots=True)
class _Trial:
    """Attempts to follow a replica because it may be in the own failure domain.

    :param next_at: monotonic time in seconds before which it is not tried again.
    :param pause_s: pause after the next attempt, in seconds.
    """

    next_at: float
    pause_s: float


class ReplicaList:
    """The known replicas.

    :param seeds: those of the settings.
    :param domain: the failure domain whose replicas are preferred, None for no preference.
    :param clock: source of time.
    :param rng: source of random numbers.
    """

    def __init__(
        self, *, seeds: tuple[Endpoint, ...], domain: DomainName | None, clock: Clock, rng: Random
    ) -> None:
        self._seeds = seeds
        self._domain = domain
        self._clock = clock
        self._rng = rng
        self._told: tuple[Endpoint, ...] = ()
        self._told_by_outdated: tuple[Endpoint, ...] = ()
        self._domains: dict[str, DomainName] = {}
        self._trials: dict[Endpoint, _Trial] = {}
        self._next_trial_at = 0.0

    def set_seeds(self, seeds: tuple[Endpoint, ...]) -> None:
        """Set the replicas that the settings name."""
        self._seeds = seeds

    def record(self, replicas: tuple[Endpoint, ...], *, is_outdated: bool) -> None:
        """Record which replicas there are; one with an outdated state only adds to the others."""
        if not is_outdated:
            self._told = replicas
        elif replicas:
            self._told_by_outdated = replicas

    def record_domain(self, address: str, domain: DomainName) -> None:
        """Record the failure domain that the replica at an address has told."""
        if domain:
            self._domains[address] = domain

    def is_near(self, address: str) -> bool:
        """Return whether the replica at an address is in the preferred failure domain."""
        return self._domain is not None and self._domains.get(address) == self._domain

    def shuffled(self, but: AbstractSet[Endpoint] = frozenset()) -> list[Endpoint]:
        """Return the known replicas without some, in random order, the preferred ones first."""
        chosen = [endpoint for endpoint in self._known() if endpoint not in but]
        if chosen:
            self._rng.shuffle(chosen)
        return sorted(chosen, key=lambda endpoint: not self.is_near(str(endpoint)))

    def next_nearer(self, followed: str) -> Endpoint | None:
        """Return a replica to try because it is, or may be, in the preferred failure domain.

        Returns None most of the time, and always while such a replica is followed.

        :param followed: address of the replica that is followed.
        """
        if self._domain is None or self.is_near(followed):
            return None
        now = self._clock.monotonic()
        if now < self._next_trial_at:
            return None
        self._next_trial_at = now + self._rng.uniform(*NEARER_INTERVAL_S)
        candidates = [e for e in self._known() if str(e) != followed and self._may_try(e, now)]
        if not candidates:
            return None
        endpoint = self._rng.choice(candidates)
        pause_s = self._trials[endpoint].pause_s if endpoint in self._trials else 1.0
        self._trials[endpoint] = _Trial(
            next_at=now + pause_s, pause_s=min(2 * pause_s, MAX_NEARER_PAUSE_S)
        )
        return endpoint

    def record_followed(self, address: str) -> None:
        """Record that the replica at an address is followed; it may be tried again at once."""
        self._trials = {e: trial for e, trial in self._trials.items() if str(e) != address}
        self._next_trial_at = self._clock.monotonic() + self._rng.uniform(*NEARER_INTERVAL_S)

    def _may_try(self, endpoint: Endpoint, now: float) -> bool:
        domain = self._domains.get(str(endpoint), UNKNOWN_DOMAIN)
        if domain not in (UNKNOWN_DOMAIN, self._domain):
            return False
        trial = self._trials.get(endpoint)
        return trial is None or now >= trial.next_at

    def _known(self) -> tuple[Endpoint, ...]:
        return tuple(dict.fromkeys((*self._told, *self._told_by_outdated, *self._seeds)))
