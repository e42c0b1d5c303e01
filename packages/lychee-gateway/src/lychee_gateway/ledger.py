"""Calls to the replicated ledger of non-idempotent requests."""

import asyncio
from collections.abc import Callable

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

CLOSING_LIMIT = 10_000
"""Number of outcomes kept until the ledger has taken them."""

Post = Callable[[ToControl], None]
"""Queues a message to the control replica."""


class LedgerCalls:
    """Opens and closes ledger entries over whichever link there is.

    An outcome that could not be written is sent again over the next link.
    """

    def __init__(self) -> None:
        self._post: Post | None = None
        self._session = SessionId("")
        self._number = 0
        self._calls: dict[int, asyncio.Future[LedgerOutcome | None]] = {}
        self._closings: dict[int, LedgerClosing] = {}

    def connected(self, post: Post, session: SessionId) -> None:
        """Use a new link, and send again what the last one may have lost."""
        self._post = post
        self._session = session
        self.resend()

    def resend(self) -> None:
        """Send outcomes again that the ledger has not taken yet; that is harmless."""
        if self._post is not None:
            for closing in self._closings.values():
                self._post(closing)

    def disconnected(self) -> None:
        """Fail the calls that wait for an answer."""
        self._post = None
        for call in self._calls.values():
            if not call.done():
                call.set_result(None)

    def answer(self, message: LedgerReply | LedgerFailed) -> None:
        """Take the answer to a call."""
        call = self._calls.get(message.number)
        outcome = message.outcome if isinstance(message, LedgerReply) else None
        if outcome is not None:
            self._closings.pop(message.number, None)
        if call is not None and not call.done():
            call.set_result(outcome)

    async def open(self, *, key: str, digest: int, timeout_s: float) -> LedgerOutcome | None:
        """Open an entry and return LedgerOpened or LedgerFound, None if it cannot be written.

        Without an answer the entry may have been written all the same; it is then closed as
        not run.

        :param key: the entry's key.
        :param digest: hash of method, path and body.
        :param timeout_s: longest wait in seconds.
        """
        if self._post is None:
            return None
        entry = LedgerEntry(
            key=key,
            digest=digest,
            session=self._session,
            status=LedgerStatus.OPEN,
            opened_at=0.0,
        )
        number = self._next_number()
        request = LedgerRequest(session=self._session, number=number, entry=entry)
        outcome: LedgerOutcome | None = None
        try:
            outcome = await self._call(number, request, timeout_s)
        finally:
            if outcome is None:
                self._close(key=key, session=entry.session, answer=None, not_run=True)
        return outcome

    async def close(
        self, *, key: str, answer: StoredAnswer | None, not_run: bool, timeout_s: float
    ) -> None:
        """Write the outcome of a request, waiting at most for a time.

        :param key: the entry's key.
        :param answer: the answer, None if the outcome is unknown or the request was not run.
        :param not_run: whether it was not run.
        :param timeout_s: longest wait in seconds.
        """
        closing = self._close(key=key, session=self._session, answer=answer, not_run=not_run)
        await self._wait(closing.number, timeout_s)

    def _close(
        self, *, key: str, session: SessionId, answer: StoredAnswer | None, not_run: bool
    ) -> LedgerClosing:
        closing = LedgerClosing(
            session=session,
            number=self._next_number(),
            key=key,
            answer=answer,
            not_run=not_run,
        )
        if len(self._closings) < CLOSING_LIMIT:
            self._closings[closing.number] = closing
        if self._post is not None:
            self._post(closing)
        return closing

    async def _call(
        self, number: int, message: ToControl, timeout_s: float
    ) -> LedgerOutcome | None:
        assert self._post is not None
        self._post(message)
        return await self._wait(number, timeout_s)

    async def _wait(self, number: int, timeout_s: float) -> LedgerOutcome | None:
        if self._post is None:
            return None
        reply: asyncio.Future[LedgerOutcome | None] = asyncio.get_running_loop().create_future()
        self._calls[number] = reply
        try:
            async with asyncio.timeout(timeout_s):
                return await reply
        except TimeoutError:
            return None
        finally:
            del self._calls[number]

    def _next_number(self) -> int:
        self._number += 1
        return self._number
