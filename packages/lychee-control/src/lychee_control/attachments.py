"""Gateways attached to this replica, and the broadcast of applied commands to them."""

import asyncio
from dataclasses import dataclass

from loguru import logger

from lychee_control.machine import ControlMachine
from lychee_runtime import Link, PendingBound
from lychee_types.commands import Command, SubmitDocument, encode_command
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

    :param machine: the state machine whose commands are broadcast.
    """

    def __init__(self, *, machine: ControlMachine) -> None:
        self._machine = machine
        self._by_session: dict[SessionId, Attachment] = {}
        self._batch: list[Delta] = []

    def __len__(self) -> int:
        return len(self._by_session)

    def add(
        self, *, gateway: GatewayRecord, link: Link[ToGateway, ToControl], applied_index: LogIndex
    ) -> Attachment:
        """Add a gateway and bring its state up to date.

        :param gateway: its record.
        :param link: its stream.
        :param applied_index: the last log index that it has applied.
        """
        self._flush()
        known = self._by_session.get(gateway.session)
        if known is not None:
            known.link.close()
        attachment = Attachment(gateway=gateway, link=link)
        self._by_session[gateway.session] = attachment
        logger.info("gateway {} attached with applied log index {}", gateway.id, applied_index)
        updates = self._machine.updates_since(applied_index)
        if updates is not None:
            link.post(updates)
        return attachment

    def remove(self, attachment: Attachment) -> None:
        """Remove a gateway whose stream has ended."""
        session = attachment.gateway.session
        if self._by_session.get(session) is attachment:
            del self._by_session[session]

    def gateway_record(self, session: SessionId) -> GatewayRecord | None:
        """Return the record of a gateway, None if it is not attached."""
        attachment = self._by_session.get(session)
        return attachment.gateway if attachment else None

    def post(self, session: SessionId, message: ToGateway) -> None:
        """Send a message to a gateway if it is attached."""
        attachment = self._by_session.get(session)
        if attachment is not None:
            attachment.link.post(message)

    def broadcast(self, index: LogIndex, command: Command) -> None:
        """Send an applied command to all gateways, batched by event loop iteration."""
        if not self._by_session:
            return
        if not self._batch:
            asyncio.get_running_loop().call_soon(self._flush)
        self._batch.append(Delta(index=index, command=command))

    def resend_all(self) -> None:
        """Send the whole state to all gateways, because a snapshot replaced it."""
        self._batch.clear()
        for attachment in self._by_session.values():
            updates = self._machine.updates_since(LogIndex(0))
            if updates is not None:
                attachment.link.post(updates)

    def _flush(self) -> None:
        if not self._batch:
            return
        deltas = Deltas(entries=tuple(self._batch), upto=self._batch[-1].index)
        self._batch.clear()
        for attachment in self._by_session.values():
            attachment.link.post(deltas)


def document_bytes(message: ToGateway) -> int:
    """Return the size of the documents in a message, in bytes."""
    match message:
        case Deltas(entries=entries):
            commands = (delta.command for delta in entries)
            return sum(
                len(encode_command(command))
                for command in commands
                if isinstance(command, SubmitDocument)
            )
        case _:
            return 0


ATTACHMENT_BOUND = PendingBound(size_of=document_bytes)
"""Bound on what one gateway has not read yet; one that is further behind attaches again."""
