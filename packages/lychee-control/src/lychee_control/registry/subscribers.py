"""Gateways attached to this replica, and the broadcast of applied commands to them."""

import asyncio
from collections.abc import Callable

from loguru import logger

from lychee_control.registry.machine import RoutedMachine
from lychee_runtime import Link
from lychee_types.ids import LogIndex
from lychee_types.registry_messages import (
    FromGateway,
    LoadReport,
    Pulse,
    RoutedDelta,
    RoutedDeltas,
    Subscribe,
    ToSubscriber,
)

GatewayLink = Link[ToSubscriber, FromGateway]
"""A gateway's stream."""


class Subscribers:
    """The gateways attached to this replica.

    :param machine: the state machine whose commands are broadcast.
    :param on_report: called with each load report of a gateway.
    :param pulse: returns the keepalive message.
    """

    def __init__(
        self,
        *,
        machine: RoutedMachine,
        on_report: Callable[[LoadReport], None],
        pulse: Callable[[], Pulse],
    ) -> None:
        self._machine = machine
        self._on_report = on_report
        self._pulse = pulse
        self._links: set[GatewayLink] = set()
        self._batch: list[RoutedDelta] = []

    def __len__(self) -> int:
        return len(self._links)

    async def serve(self, link: GatewayLink) -> None:
        """Serve one gateway's stream until it ends."""
        batch = await link.receive()
        if not batch or not isinstance(batch[0], Subscribe):
            return
        self._add(link, batch[0])
        try:
            while batch and not link.closed:
                batch = await link.receive()
                for message in batch:
                    if isinstance(message, LoadReport):
                        self._on_report(message)
        finally:
            self._links.discard(link)
            logger.bind(event="gateway_gone").info("a gateway's stream ended")

    def broadcast(self, delta: RoutedDelta) -> None:
        """Send an applied command to all gateways, batched by event loop iteration."""
        if not self._links:
            return
        if not self._batch:
            asyncio.get_running_loop().call_soon(self._flush)
        self._batch.append(delta)

    def send_pulse(self) -> None:
        """Send a keepalive message to all gateways."""
        pulse = self._pulse()
        for link in self._links:
            link.post(pulse)

    def resend_all(self) -> None:
        """Send the whole state to all gateways, because a snapshot replaced it."""
        self._batch.clear()
        for link in self._links:
            self._post_updates(link, LogIndex(0))

    def _add(self, link: GatewayLink, first: Subscribe) -> None:
        self._flush()
        self._links.add(link)
        logger.bind(event="gateway_attached", gateway=first.gateway, have=first.have).info(
            "a gateway follows this replica"
        )
        link.post(self._pulse())
        self._post_updates(link, first.have)

    def _post_updates(self, link: GatewayLink, have: LogIndex) -> None:
        updates = self._machine.updates_since(have)
        if updates is not None:
            link.post(updates)

    def _flush(self) -> None:
        if not self._batch:
            return
        deltas = RoutedDeltas(entries=tuple(self._batch))
        self._batch.clear()
        for link in self._links:
            link.post(deltas)
