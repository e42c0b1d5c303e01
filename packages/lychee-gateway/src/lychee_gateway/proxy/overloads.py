"""Overloaded owners of keys, as told by the leader, and requests that are refused for them."""

from collections.abc import Callable
from random import Random

from loguru import logger

from lychee_policy import OwnerAdmission
from lychee_types.clock import Clock
from lychee_types.ids import ServerId, ServiceName
from lychee_types.overload_messages import KnownOverloads
from lychee_types.registry import ServerIncarnation
from lychee_types.routing import Route


class OverloadedOwners:
    """Refuses what overloaded owners cannot serve.

    :param clock: source of time.
    :param on_refused: called with the name of the route of each refused request.
    :param rng: source of random numbers.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        on_refused: Callable[[str], None] = lambda route: None,
        rng: Random | None = None,
    ) -> None:
        self._clock = clock
        self._on_refused = on_refused
        self._admission = OwnerAdmission(rng=rng or Random())

    @property
    def shares(self) -> dict[ServerId, float]:
        """The admitted share of the requests for each overloaded owner."""
        known = self._admission.shares(self._clock.monotonic())
        return {run.server: owner.share for run, owner in known.items()}

    @property
    def lowest_share(self) -> float:
        """The lowest of these shares, 1 if no owner is overloaded."""
        return min(self.shares.values(), default=1.0)

    def receive_news(self, news: KnownOverloads) -> None:
        """Replace what is known of overloaded owners."""
        was_limited = bool(self.shares)
        self._admission.record(news.owners, self._clock.monotonic())
        shares = self.shares
        if bool(shares) != was_limited:
            logger.bind(
                event="owners_overloaded" if shares else "owners_relieved",
                shares={server: round(share, 3) for server, share in shares.items()},
            ).info(
                "{}",
                "owners of keys are overloaded" if shares else "no owner is overloaded any more",
            )

    def refused_for_s(
        self, owner: ServerIncarnation, route: Route, service: ServiceName
    ) -> float | None:
        """Return after which time a refused caller may return, None if the request is admitted.

        :param owner: the owner of the request's key.
        :param route: the request's route.
        :param service: the service that it is sent to.
        """
        self._admission.count(service, route.priority)
        retry_after_s = self._admission.refused_for_s(
            owner, service, priority=route.priority, now=self._clock.monotonic()
        )
        if retry_after_s is not None:
            self._on_refused(route.name)
        return retry_after_s

    def admitted_share(self, owner: ServerIncarnation, route: Route, service: ServiceName) -> float:
        """Return the share of a route's requests for an owner that is admitted.

        :param owner: the owner of the requests' keys.
        :param route: the route.
        :param service: the service that they are sent to.
        """
        return self._admission.admitted_share(
            owner, service, priority=route.priority, now=self._clock.monotonic()
        )
