"""The gateway's subscription to the state of a control replica."""

import asyncio
from collections.abc import Callable
from enum import Enum
from random import Random

from loguru import logger

from lychee_gateway.proxy.age import StateAge
from lychee_gateway.proxy.replica_list import ReplicaList
from lychee_gateway.proxy.view import RoutedView
from lychee_runtime import Link, open_link
from lychee_types.clock import Clock
from lychee_types.exceptions import UnavailableError
from lychee_types.ids import SessionId
from lychee_types.packing import UnpackError
from lychee_types.records import Endpoint
from lychee_types.registry_messages import (
    SUBSCRIBE,
    Follow,
    FromGateway,
    LeaderNews,
    LeaderNote,
    LeaderReply,
    Probe,
    Pulse,
    RoutedDeltas,
    RoutedSnapshot,
    Subscribe,
    ToSubscriber,
)
from lychee_types.routed_settings import ProxySettings
from lychee_types.timeouts import take_input

SILENCE_S = 0.7
"""Time without a byte from the followed replica after which others are tried, in seconds."""

SILENCE_CHECK_S = 0.2
"""Interval between checks whether bytes of the followed replica have arrived, in seconds."""

ATTEMPT_SILENCE_S = 1.5
"""Time without a byte after which an attempt ends, in seconds; others are tried meanwhile."""

CONTACT_SHARE = 0.5
"""Age of the state of the followed replica above which others are tried.

As a share of the time in which a change must be in force; the rest is for finding another replica.
"""

CONTACT_WAIT_S = 1.0
"""Time for which a replica's state may be too old before the attempt ends, in seconds."""

BACKOFF_S = (0.05, 0.2)
"""Shortest and longest random pause before replicas are tried again, in seconds."""

LATE_BACKOFF_S = (1.0, 2.0)
"""The same while a replica is followed whose messages come late, in seconds.

Each attempt adds bytes to a link that may be full.
"""

NEXT_ATTEMPT_DELAY_S = 0.1
"""Delay before the next replica is tried in parallel, in seconds.

A VM that is down does not even refuse connections, so an attempt may stay pending for long.
"""

PROBE_S = 0.2
"""Interval at which the replica is asked how old its state is, in seconds."""

REPORT_S = 0.25
"""Interval between load reports, in seconds."""


class _Contact(Enum):
    """What is known of a replica's state.

    Nothing; that it is recent; that it is, but arrives late; that nothing arrives any more; that it
    is outdated.
    """

    UNTOLD = "untold"
    RECENT = "recent"
    LATE = "late"
    SILENT = "silent"
    OUTDATED = "outdated"


class _OutdatedError(Exception):
    """The replica's state is too old to follow it."""


class _OtherDomainError(Exception):
    """The replica is in another failure domain, and one of the own domain was looked for."""


class Subscription:
    """Keeps a stream open to one control replica and applies its messages to the state.

    A followed replica that is silent, late or outdated is left only when another one has shown that
    its state is recent. On a slow link all streams are late, and a new one is later still.

    :param cfg: the gateway's settings.
    :param session: the gateway's session.
    :param view: the gateway's copy of the replicated state.
    :param age: the age of that state.
    :param clock: source of time.
    :param take_notes: returns what the leader is to know since the last call.
    :param on_gateway_count: called with the approximate number of gateways.
    :param on_shared: called with each message of the leader.
    :param on_attempt_ended: called with the outcome of each ended attempt to follow a replica,
        and with the number of bytes that it received.
    """

    def __init__(
        self,
        *,
        cfg: ProxySettings,
        session: SessionId,
        view: RoutedView,
        age: StateAge,
        clock: Clock,
        take_notes: Callable[[], tuple[LeaderNote, ...]],
        on_gateway_count: Callable[[int], None],
        on_shared: Callable[[LeaderReply | LeaderNews], None],
        on_attempt_ended: Callable[[str, int], None],
    ) -> None:
        self.last_message_at = 0.0
        self._cfg = cfg
        self._session = session
        self._view = view
        self._age = age
        self._contact_s = cfg.bounds.apply_s * CONTACT_SHARE
        self._clock = clock
        self._take_notes = take_notes
        self._on_gateway_count = on_gateway_count
        self._on_shared = on_shared
        self._on_attempt_ended = on_attempt_ended
        self._rng = Random()
        self._replicas = ReplicaList(
            seeds=cfg.seed_endpoints,
            domain=cfg.domain if cfg.follow_own_domain else None,
            clock=clock,
            rng=self._rng,
        )
        self._link: Link[FromGateway, ToSubscriber] | None = None
        self._first_state_link: Link[FromGateway, ToSubscriber] | None = None
        self._contact = _Contact.UNTOLD
        self._follower: asyncio.Task[None] | None = None
        self._attempts: set[asyncio.Task[None]] = set()

    @property
    def replica(self) -> str:
        """Address of the replica that is subscribed to, empty if there is none."""
        return self._link.peer if self._link is not None else ""

    @property
    def follows_near(self) -> bool:
        """Whether that replica is in the preferred failure domain."""
        return self._link is not None and self._replicas.is_near(self._link.peer)

    def set_seeds(self, seeds: tuple[Endpoint, ...]) -> None:
        """Set the replicas to try, in addition to those that a replica has listed."""
        self._replicas.set_seeds(seeds)

    def post(self, note: LeaderNote) -> None:
        """Send a message to the leader; it is lost while no replica is followed."""
        if self._link is not None:
            self._link.post(note)

    async def run(self) -> None:
        """Keep a subscription to one replica at a time until cancelled."""
        try:
            while True:
                if not self._is_followed_well:
                    await self._search()
                await self._wait_for_doubt()
                is_late = self._link is not None and self._contact is _Contact.LATE
                await asyncio.sleep(self._rng.uniform(*(LATE_BACKOFF_S if is_late else BACKOFF_S)))
        finally:
            await _cancel(self._attempts | ({self._follower} if self._follower else set()))

    async def _search(self) -> None:
        """Try replicas with staggered starts until one with a recent state is followed."""
        untried = self._replicas.shuffled()
        tried = set(untried)
        try:
            while untried or self._pending_attempts():
                if untried:
                    task = asyncio.create_task(self._follow(untried.pop(0)), name="subscription")
                    self._attempts.add(task)
                if pending := self._pending_attempts():
                    await asyncio.wait(pending, timeout=NEXT_ATTEMPT_DELAY_S)
                if self._is_followed_well:
                    return
                # A replica that was tried may have named others.
                untried += self._replicas.shuffled(but=tried)
                tried.update(untried)
        finally:
            attempts, self._attempts = self._attempts, set()
            await _cancel(attempts)

    @property
    def _is_followed_well(self) -> bool:
        return self._link is not None and self._contact is _Contact.RECENT

    def _pending_attempts(self) -> set[asyncio.Task[None]]:
        return {task for task in self._attempts if not task.done()}

    async def _wait_for_doubt(self) -> None:
        """Wait until the followed replica is lost, silent, late or outdated."""
        link, follower = self._link, self._follower
        if link is None or follower is None or self._contact is not _Contact.RECENT:
            return
        known_bytes, heard_at = link.received_bytes, self._clock.monotonic()
        while not follower.done() and self._contact is _Contact.RECENT:
            self._try_nearer(link)
            await asyncio.wait({follower}, timeout=SILENCE_CHECK_S)
            await take_input()
            now = self._clock.monotonic()
            if link.received_bytes > known_bytes:
                known_bytes, heard_at = link.received_bytes, now
            elif now - heard_at >= SILENCE_S:
                self._contact = _Contact.SILENT
        if not follower.done():
            logger.bind(
                event="replica_doubted",
                replica=link.peer,
                state=self._contact.value,
                silent_ms=round((self._clock.monotonic() - heard_at) * 1_000),
                age_ms=self._age.age_ms,
            ).info("a followed control replica is late, silent or outdated; others are tried")

    def _try_nearer(self, link: Link[FromGateway, ToSubscriber]) -> None:
        """Try to follow a replica of the own failure domain in place of one of another."""
        if self._pending_attempts():
            return
        endpoint = self._replicas.next_nearer(link.peer)
        if endpoint is not None:
            work = self._follow(endpoint, only_near=True)
            self._attempts = {asyncio.create_task(work, name="subscription")}

    async def _follow(self, endpoint: Endpoint, *, only_near: bool = False) -> None:
        began_at = self._clock.monotonic()
        link: Link[FromGateway, ToSubscriber] | None = None
        try:
            async with open_link(
                endpoint=endpoint, method=SUBSCRIBE, send=FromGateway, receive=ToSubscriber
            ) as link:
                await self._follow_link(link, only_near=only_near)
            outcome, reason = "ended", "the stream ended"
        except _OtherDomainError:
            outcome, reason = "other domain", "it is in another failure domain"
        except _OutdatedError:
            outcome, reason = "outdated", f"its state is older than {self._contact_s} s"
        except TimeoutError:
            outcome, reason = "silent", f"silent for {ATTEMPT_SILENCE_S} s"
        except (UnavailableError, UnpackError) as exc:
            outcome = "broken" if link is not None else "no connection"
            reason = str(exc)
        received_bytes = link.received_bytes if link is not None else 0
        self._on_attempt_ended(outcome, received_bytes)
        logger.bind(
            event="replica_lost",
            replica=str(endpoint),
            reason=reason,
            outcome=outcome,
            ms=round((self._clock.monotonic() - began_at) * 1_000),
            received_bytes=received_bytes,
            index=self._view.state.index,
            age_ms=self._age.age_ms,
        ).info("subscription to a control replica lost")

    async def _follow_link(self, link: Link[FromGateway, ToSubscriber], *, only_near: bool) -> None:
        """Subscribe, and follow the replica unless another one can be followed first.

        :raises _OtherDomainError: if it is in another domain and only a near one is wanted.
        """
        now = self._clock.monotonic()
        link.post(Subscribe(gateway=self._cfg.id, session=self._session, sent_at=now))
        prober = asyncio.create_task(self._probe_periodically(link))
        try:
            contact = await self._wait_for_contact(link)
            if contact is _Contact.UNTOLD:
                return
            if only_near and not self._replicas.is_near(link.peer):
                raise _OtherDomainError
            await self._follow_selected(link, contact)
        finally:
            prober.cancel()
            if self._first_state_link is link:
                self._first_state_link = None

    async def _follow_selected(
        self, link: Link[FromGateway, ToSubscriber], contact: _Contact
    ) -> None:
        self._select_link(link, contact)
        self._request_state(link)
        reporter = asyncio.create_task(self._report_periodically(link))
        try:
            while batch := await link.receive():
                contact = self._apply_batch(link, batch)
                if self._link is link and contact is not _Contact.UNTOLD:
                    self._contact = contact
        finally:
            reporter.cancel()
            if self._link is link:
                self._link = None

    def _request_state(self, link: Link[FromGateway, ToSubscriber]) -> None:
        link.post(Follow(have=self._view.state.index, sent_at=self._clock.monotonic()))

    async def _wait_for_contact(self, link: Link[FromGateway, ToSubscriber]) -> _Contact:
        """Wait until the replica is to be followed; return `UNTOLD` if the stream ends before.

        Its state must be recent, but may come late if no other replica is followed.

        No replica sends its state before it is asked to. So the copies of several replicas never
        share the gateway's link.

        :raises _OutdatedError: if it stays too old for `CONTACT_WAIT_S`.
        """
        until = self._clock.monotonic() + CONTACT_WAIT_S
        while batch := await link.receive(silence_s=ATTEMPT_SILENCE_S):
            contact = self._apply_batch(link, batch)
            match contact:
                case _Contact.RECENT:
                    return contact
                case _Contact.LATE if self._link is None:
                    return contact
                case _Contact.LATE | _Contact.OUTDATED if self._clock.monotonic() > until:
                    raise _OutdatedError
                case _Contact.OUTDATED:
                    self._request_first_state(link)
        return _Contact.UNTOLD

    def _request_first_state(self, link: Link[FromGateway, ToSubscriber]) -> None:
        """Request the state of a replica without contact if this gateway has none at all.

        After the loss of all VMs there is no leader yet, and any replica's state serves callers.
        """
        if self._first_state_link is None and self._view.state.index == 0:
            self._first_state_link = link
            self._request_state(link)

    def _select_link(self, link: Link[FromGateway, ToSubscriber], contact: _Contact) -> None:
        """Select the replica in place of the one that is followed, and leave all others."""
        self._link = link
        self._contact = contact
        self._replicas.record_followed(link.peer)
        former, self._follower = self._follower, asyncio.current_task()
        self._attempts.discard(self._follower)
        if former is not None:
            self._attempts.add(former)
        for task in self._attempts:
            task.cancel()
        logger.bind(
            event="replica_found",
            replica=link.peer,
            is_near=self._replicas.is_near(link.peer),
            index=self._view.state.index,
            age_ms=self._age.age_ms,
        ).info("subscribed to a control replica")

    def _apply_batch(
        self, link: Link[FromGateway, ToSubscriber], batch: tuple[ToSubscriber, ...]
    ) -> _Contact:
        """Apply messages; return what the last pulse among them says of the replica."""
        self.last_message_at = self._clock.monotonic()
        contact = _Contact.UNTOLD
        for message in batch:
            match message:
                case RoutedSnapshot():
                    self._view.install_snapshot(message)
                case RoutedDeltas():
                    self._view.apply_deltas(message)
                case Pulse(gateways=gateways, replicas=replicas):
                    contact = self._record_pulse(message)
                    if contact is not _Contact.OUTDATED:
                        self._on_gateway_count(gateways)
                    self._replicas.record(replicas, is_outdated=contact is _Contact.OUTDATED)
                    self._replicas.record_domain(link.peer, message.domain)
                case _:
                    self._on_shared(message)
        return contact

    def _record_pulse(self, pulse: Pulse) -> _Contact:
        """Record how old a replica's state is."""
        if pulse.age_ms is None:
            return _Contact.OUTDATED
        as_of = pulse.asked_at - pulse.age_ms / 1_000
        if pulse.age_ms / 1_000 > self._contact_s:
            return _Contact.OUTDATED
        self._age.record_pulse(as_of=as_of, index=pulse.index)
        is_late = self._clock.monotonic() - as_of > self._contact_s
        return _Contact.LATE if is_late else _Contact.RECENT

    async def _probe_periodically(self, link: Link[FromGateway, ToSubscriber]) -> None:
        while True:
            await asyncio.sleep(PROBE_S)
            link.post(Probe(sent_at=self._clock.monotonic()))

    async def _report_periodically(self, link: Link[FromGateway, ToSubscriber]) -> None:
        while True:
            await asyncio.sleep(REPORT_S)
            for note in self._take_notes():
                link.post(note)


async def _cancel(tasks: set[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
