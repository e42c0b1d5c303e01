"""Client of the replicated ledger of non-idempotent requests."""

import asyncio
from collections.abc import Callable
from time import monotonic

from loguru import logger

from lychee_types.commands import LedgerOpened
from lychee_types.commands import Outcome as LedgerOutcome
from lychee_types.ids import SessionId
from lychee_types.messages import (
    LedgerClosing,
    LedgerFailed,
    LedgerReply,
    LedgerRequest,
    ToControl,
)
from lychee_types.records import LedgerEntry, LedgerStatus, StoredAnswer
from lychee_types.timeouts import timeout_after_input

RESEND_INTERVAL_S = 0.2
"""Time without a reply after which the request to open an entry is resent, in seconds."""

MAX_UNACKNOWLEDGED = 10_000
"""Maximum number of outcomes kept for resending until the ledger has acknowledged them."""

Post = Callable[[ToControl], None]
"""Queues a message for the control replica."""


class LedgerClient:
    """Opens and closes ledger entries over the current link to a control replica.

    The request to open an entry is resent until there is a reply, since an election or a broken
    link may have lost it. The entry has the number of the request, which makes this idempotent.
    A response or an unknown outcome is resent until the ledger acknowledges it. The outcome "not
    run" is sent only once, and only for an entry that is known to be open: a second copy could
    remove the entry of a later request with the same key.
    """

    def __init__(self) -> None:
        self._post: Post | None = None
        self._session = SessionId("")
        self._opening_sessions: dict[str, SessionId] = {}
        self._last_number = 0
        self._pending_replies: dict[int, asyncio.Future[LedgerOutcome | None]] = {}
        self._unacknowledged: dict[int, LedgerClosing] = {}

    def on_connected(self, post: Post, session: SessionId) -> None:
        """Use a new link, and resend the outcomes that the last one may have lost."""
        self._post = post
        self._session = session
        self.resend()

    def on_disconnected(self) -> None:
        """Send nothing until there is a link again."""
        self._post = None

    def resend(self) -> None:
        """Resend the outcomes that the ledger has not acknowledged; this is idempotent."""
        if self._post is not None:
            for closing in self._unacknowledged.values():
                self._post(closing)

    def handle_reply(self, message: LedgerReply | LedgerFailed) -> None:
        """Handle the reply to a request to the ledger."""
        if isinstance(message, LedgerFailed):
            logger.debug("ledger request {} failed: {}", message.number, message.reason)
            return
        self._unacknowledged.pop(message.number, None)
        call = self._pending_replies.get(message.number)
        if call is not None and not call.done():
            call.set_result(message.outcome)

    async def open(self, *, key: str, digest: int, timeout_s: float) -> LedgerOutcome | None:
        """Open an entry and return LedgerOpened or LedgerFound.

        None means that it is unknown whether the entry was written. The caller's request must not
        be sent then, and the entry remains if there is one.

        :param key: the entry's key.
        :param digest: hash of method, path and body.
        :param timeout_s: longest wait in seconds.
        """
        number = self._next_number()
        entry = LedgerEntry(
            key=key,
            digest=digest,
            session=self._session,
            status=LedgerStatus.OPEN,
            opened_at=0.0,
            attempt=number,
        )
        request = LedgerRequest(session=self._session, number=number, entry=entry)
        until = monotonic() + timeout_s
        outcome = None
        while outcome is None and monotonic() < until:
            outcome = await self._call(number, request, min(RESEND_INTERVAL_S, until - monotonic()))
        if isinstance(outcome, LedgerOpened):
            self._opening_sessions[key] = entry.session
        return outcome

    async def close(
        self, *, key: str, answer: StoredAnswer | None, not_run: bool, timeout_s: float
    ) -> None:
        """Write the outcome of a request whose entry is open, and wait for the acknowledgement.

        :param key: the entry's key.
        :param answer: the response, None if the outcome is unknown or the request was not run.
        :param not_run: whether it was not run.
        :param timeout_s: longest wait in seconds.
        """
        closing = LedgerClosing(
            session=self._opening_sessions.pop(key, self._session),
            number=self._next_number(),
            key=key,
            answer=answer,
            not_run=not_run,
        )
        if not not_run and len(self._unacknowledged) < MAX_UNACKNOWLEDGED:
            self._unacknowledged[closing.number] = closing
        await self._call(closing.number, closing, timeout_s)

    async def _call(
        self, number: int, message: ToControl, timeout_s: float
    ) -> LedgerOutcome | None:
        if self._post is not None:
            self._post(message)
        reply: asyncio.Future[LedgerOutcome | None] = asyncio.get_running_loop().create_future()
        self._pending_replies[number] = reply
        try:
            async with timeout_after_input(timeout_s):
                return await reply
        except TimeoutError:
            return None
        finally:
            del self._pending_replies[number]

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number
