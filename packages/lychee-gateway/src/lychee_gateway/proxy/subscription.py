"""The gateway's stream from a control replica."""

import asyncio
from collections.abc import Callable
from random import Random

from loguru import logger

from lychee_gateway.proxy.view import RoutedView
from lychee_runtime import Link, open_link
from lychee_types.clock import Clock
from lychee_types.exceptions import UnavailableError
from lychee_types.ids import SessionId
from lychee_types.records import Endpoint
from lychee_types.registry_messages import (
    SUBSCRIBE,
    FromGateway,
    LoadReport,
    Pulse,
    RoutedDeltas,
    RoutedSnapshot,
    Subscribe,
    ToSubscriber,
)
from lychee_types.routed_settings import ProxySettings

SILENCE_S = 0.7
"""Silence of a replica after which the next one is tried, in seconds."""

STALE_S = 1.0
"""Time without word of the leader after which a replica is left for the next one, in seconds."""

BACKOFF_S = (0.05, 0.2)
"""Least and greatest pause before the next replica is tried, in seconds."""

HEAD_START_S = 0.1
"""Time for which a replica is asked alone before the next one is asked as well, in seconds.

A VM without power answers nothing, not even that it cannot be reached.
"""

REPORT_S = 0.25
"""Interval between load reports, in seconds."""


class Subscription:
    """Keeps one stream from any control replica and applies what comes over it.

    :param cfg: the gateway's settings.
    :param session: the gateway's run.
    :param view: the state.
    :param clock: source of time.
    :param report: returns the load since the last call.
    :param on_gateways: told about how many gateways there are.
    """

    def __init__(
        self,
        *,
        cfg: ProxySettings,
        session: SessionId,
        view: RoutedView,
        clock: Clock,
        report: Callable[[], LoadReport | None],
        on_gateways: Callable[[int], None],
    ) -> None:
        self.heard_at = 0.0
        self._cfg = cfg
        self._session = session
        self._view = view
        self._clock = clock
        self._report = report
        self._on_gateways = on_gateways
        self._draw = Random()
        self._seeds = cfg.seed_endpoints
        self._replicas: list[Endpoint] = []
        self._link: Link[FromGateway, ToSubscriber] | None = None
        self._asked: list[asyncio.Task[None]] = []

    @property
    def replica(self) -> str:
        """Address of the replica that is followed, empty without one."""
        return self._link.peer if self._link is not None else ""

    def use_seeds(self, seeds: tuple[Endpoint, ...]) -> None:
        """Try these replicas from now on, besides those that a replica has told of."""
        self._seeds = seeds

    async def run(self) -> None:
        """Follow one replica after the other until cancelled."""
        while True:
            await self._follow_one()
            await asyncio.sleep(self._draw.uniform(*BACKOFF_S))

    async def _follow_one(self) -> None:
        """Ask one replica after the other, and follow the first that answers until it is lost."""
        try:
            for endpoint in self._order():
                task = asyncio.create_task(self._follow(endpoint), name="subscription")
                self._asked.append(task)
                await asyncio.wait(self._asked, timeout=HEAD_START_S)
                if self._link is not None:
                    break
            await asyncio.wait(self._asked)
        finally:
            asked, self._asked = self._asked, []
            for task in asked:
                task.cancel()
            await asyncio.gather(*asked, return_exceptions=True)

    def _order(self) -> list[Endpoint]:
        known = list(dict.fromkeys((*self._replicas, *self._seeds)))
        self._draw.shuffle(known)
        return known

    async def _follow(self, endpoint: Endpoint) -> None:
        try:
            async with open_link(
                endpoint=endpoint, method=SUBSCRIBE, send=FromGateway, receive=ToSubscriber
            ) as link:
                await self._use(link)
            reason = "the stream ended"
        except TimeoutError:
            reason = f"silent for {SILENCE_S} s"
        except UnavailableError as exc:
            reason = str(exc)
        logger.bind(event="replica_lost", replica=str(endpoint), reason=reason).info(
            "no control replica is followed"
        )

    async def _use(self, link: Link[FromGateway, ToSubscriber]) -> None:
        """Follow a replica unless another one answers first."""
        link.post(
            Subscribe(gateway=self._cfg.id, session=self._session, have=self._view.state.index)
        )
        batch = await self._receive(link)
        if not batch:
            return
        self._choose(link)
        reporter = asyncio.create_task(self._report_often(link))
        try:
            while batch and all([self._take(message) for message in batch]):
                batch = await self._receive(link)
        finally:
            reporter.cancel()
            self._link = None

    async def _receive(self, link: Link[FromGateway, ToSubscriber]) -> tuple[ToSubscriber, ...]:
        """Return the next messages, none if the stream has ended.

        :raises TimeoutError: if the replica is silent for too long.
        """
        async with asyncio.timeout(SILENCE_S):
            return await link.receive()

    def _choose(self, link: Link[FromGateway, ToSubscriber]) -> None:
        """Follow a replica that has answered, and ask no other one."""
        self._link = link
        for task in self._asked:
            if task is not asyncio.current_task():
                task.cancel()
        logger.bind(event="replica_found", replica=link.peer).info("a control replica is followed")

    def _take(self, message: ToSubscriber) -> bool:
        """Apply a message; False if the replica has lost touch itself."""
        self.heard_at = self._clock.monotonic()
        match message:
            case RoutedSnapshot():
                self._view.install(message)
            case RoutedDeltas():
                self._view.extend(message)
            case Pulse(silence_ms=silence_ms, gateways=gateways, replicas=replicas):
                self._replicas = list(replicas)
                self._on_gateways(gateways)
                return silence_ms <= STALE_S * 1_000
        return True

    async def _report_often(self, link: Link[FromGateway, ToSubscriber]) -> None:
        while True:
            await asyncio.sleep(REPORT_S)
            report = self._report()
            if report is not None:
                link.post(report)
