"""Gateways attached to this replica, and the spread of the applied log to them."""

import asyncio
from dataclasses import dataclass

from loguru import logger

from lychee_control.machine import ControlMachine
from lychee_runtime import Link
from lychee_types.commands import Command
from lychee_types.ids import LogIndex, SessionId
from lychee_types.messages import (
    Delta,
    Deltas,
    ToControl,
    ToGateway,
)
from lychee_types.records import GatewayRecord


@dataclass(kw_only=True, slots=True)
class Attachment:
    """One attached gateway.

    :param gateway: its record.
    :param link: its stream.
    """

    gateway: GatewayRecord
    link: Link[ToGateway, ToControl]


class Attachments:
    """The attached gateways.

    :param machine: the state machine whose commands are spread.
    """

    def __init__(self, *, machine: ControlMachine) -> None:
        self._machine = machine
        self._by_session: dict[SessionId, Attachment] = {}
        self._batch: list[Delta] = []

    def __len__(self) -> int:
        return len(self._by_session)

    def add(
        self, *, gateway: GatewayRecord, link: Link[ToGateway, ToControl], have: LogIndex
    ) -> Attachment:
        """Add a gateway and send it what it lacks.

        :param gateway: its record.
        :param link: its stream.
        :param have: the last log index that it has applied.
        """
        self._flush()
        known = self._by_session.get(gateway.session)
        if known is not None:
            known.link.close()
        attachment = Attachment(gateway=gateway, link=link)
        self._by_session[gateway.session] = attachment
        logger.info("gateway {} attached, it has index {}", gateway.id, have)
        missing = self._machine.catch_up(have)
        if missing is not None:
            link.post(missing)
        return attachment

    def remove(self, attachment: Attachment) -> None:
        """Remove a gateway whose stream has ended."""
        session = attachment.gateway.session
        if self._by_session.get(session) is attachment:
            del self._by_session[session]

    def record(self, session: SessionId) -> GatewayRecord | None:
        """Return the record of an attached gateway, or None."""
        attachment = self._by_session.get(session)
        return attachment.gateway if attachment else None

    def post(self, session: SessionId, message: ToGateway) -> None:
        """Send a message to a gateway if it is attached."""
        attachment = self._by_session.get(session)
        if attachment is not None:
            attachment.link.post(message)

    def spread(self, index: LogIndex, command: Command) -> None:
        """Send an applied command to all gateways, together with others of this loop turn."""
        if not self._by_session:
            return
        if not self._batch:
            asyncio.get_running_loop().call_soon(self._flush)
        self._batch.append(Delta(index=index, command=command))

    def resend_all(self) -> None:
        """Send the whole state to all gateways after a snapshot replaced it."""
        self._batch.clear()
        for attachment in self._by_session.values():
            missing = self._machine.catch_up(LogIndex(0))
            if missing is not None:
                attachment.link.post(missing)

    def _flush(self) -> None:
        if not self._batch:
            return
        deltas = Deltas(entries=tuple(self._batch), upto=self._batch[-1].index)
        self._batch.clear()
        for attachment in self._by_session.values():
            attachment.link.post(deltas)
