"""Gateways attached to this replica, and the broadcast of applied commands to them."""

import asyncio
from collections.abc import Callable

from loguru import logger

from lychee_control.memory import ReplicaMemory
from lychee_control.registry.machine import RoutedMachine
from lychee_runtime import Link, PendingBound
from lychee_types.cold_messages import ColdReport
from lychee_types.crash_messages import CrashReport
from lychee_types.ids import GatewayId, LogIndex, SessionId
from lychee_types.limit_messages import LimitReport, PermitRequest
from lychee_types.peer_messages import GatewayReport
from lychee_types.registry_messages import (
    Follow,
    FromGateway,
    LeaderNews,
    LeaderNote,
    LeaderReply,
    LoadReport,
    Probe,
    Pulse,
    RoutedDelta,
    RoutedDeltas,
    RoutedSnapshot,
    Subscribe,
    ToSubscriber,
)

GatewayLink = Link[ToSubscriber, FromGateway]
"""A gateway's stream."""


class Subscribers:
    """The gateways attached to this replica.

    :param machine: the state machine whose commands are broadcast.
    :param on_note: called with each message for the leader and its sender's session.
    :param pulse: returns the answer to a message that was sent at a time.
    :param news: returns the leader's news so far, for a new gateway.
    """

    def __init__(
        self,
        *,
        machine: RoutedMachine,
        on_note: Callable[[SessionId, LeaderNote], None],
        pulse: Callable[[float], Pulse],
        news: Callable[[], tuple[LeaderNews, ...]],
    ) -> None:
        self._machine = machine
        self._on_note = on_note
        self._pulse = pulse
        self._news = news
        self._links: dict[SessionId, GatewayLink] = {}
        self._followers: set[GatewayLink] = set()
        self._batch: list[RoutedDelta] = []

    def __len__(self) -> int:
        return len(self._followers)

    def pending_bound(self, memory: ReplicaMemory) -> PendingBound:
        """Return the bound on what one gateway has not read yet.

        The stream of a gateway that is further behind ends. It gets a snapshot on its next one.
        """
        return PendingBound(
            size_of=update_bytes, max_bytes=lambda: memory.bytes_a_gateway(len(self))
        )

    async def serve(self, link: GatewayLink) -> None:
        """Serve one gateway's stream until it ends."""
        batch = await link.receive()
        if not batch or not isinstance(batch[0], Subscribe):
            return
        gateway, session = batch[0].gateway, batch[0].session
        try:
            while batch and not link.closed:
                for message in batch:
                    self._handle(link, gateway, session, message)
                batch = await link.receive()
        finally:
            self._followers.discard(link)
            if self._links.get(session) is link:
                del self._links[session]
            logger.bind(event="gateway_gone", gateway=gateway).info("a gateway's stream ended")

    def post(self, session: SessionId, reply: LeaderReply) -> None:
        """Send a message to one gateway; it is lost if the gateway is not attached."""
        link = self._links.get(session)
        if link is not None:
            link.post(reply)

    def post_all(self, news: LeaderNews) -> None:
        """Send the leader's news to all gateways that follow this replica."""
        for link in self._followers:
            link.post(news)

    def _handle(
        self, link: GatewayLink, gateway: GatewayId, session: SessionId, message: FromGateway
    ) -> None:
        match message:
            case Subscribe(sent_at=sent_at) | Probe(sent_at=sent_at):
                link.post(self._pulse(sent_at))
            case Follow(have=have, sent_at=sent_at):
                # A gateway may try a second stream while it follows the first.
                self._links[session] = link
                self._add_follower(link, gateway, have)
                link.post(self._pulse(sent_at))
            case (
                LoadReport()
                | LimitReport()
                | PermitRequest()
                | CrashReport()
                | GatewayReport()
                | ColdReport()
            ):
                self._on_note(session, message)

    def broadcast(self, delta: RoutedDelta) -> None:
        """Send an applied command to all gateways, batched by event loop iteration."""
        if not self._followers:
            return
        if not self._batch:
            asyncio.get_running_loop().call_soon(self._flush)
        self._batch.append(delta)

    def resend_all(self) -> None:
        """Send the whole state to all gateways, because a snapshot replaced it."""
        self._batch.clear()
        for link in self._followers:
            self._post_updates(link, LogIndex(0))

    def _add_follower(self, link: GatewayLink, gateway: GatewayId, have: LogIndex) -> None:
        self._flush()
        self._followers.add(link)
        logger.bind(event="gateway_attached", gateway=gateway, have=have).info(
            "a gateway follows this replica"
        )
        self._post_updates(link, have)
        for news in self._news():
            link.post(news)

    def _post_updates(self, link: GatewayLink, have: LogIndex) -> None:
        for update in self._machine.updates_since(have):
            link.post(update)

    def _flush(self) -> None:
        if not self._batch:
            return
        deltas = RoutedDeltas.of(tuple(self._batch))
        self._batch.clear()
        for link in self._followers:
            link.post(deltas)


def update_bytes(message: ToSubscriber) -> int:
    """Return the size of a message's part of the state, in bytes."""
    match message:
        case RoutedSnapshot(packed=packed) | RoutedDeltas(packed=packed):
            return len(packed)
        case _:
            return 0
