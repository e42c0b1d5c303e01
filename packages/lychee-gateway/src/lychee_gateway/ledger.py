"""Calls to the replicated ledger of non-idempotent requests."""

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

ASK_AGAIN_S = 0.2
"""Time without an answer after which an opening is asked for again, in seconds."""

UNACKNOWLEDGED_LIMIT = 10_000
"""Number of outcomes kept until the ledger has taken them."""

Post = Callable[[ToControl], None]
"""Queues a message to the control replica."""


class LedgerCalls:
    """Opens and closes ledger entries over whichever link there is.

    An opening is asked for again until it is answered, since an election or a broken link may
    have lost it; the entry carries the number of the attempt, so that this is harmless.
    A closing with an answer or with an unknown outcome is sent again until the ledger has taken
    it. A closing as not run is sent once only, and only for an entry that is known to be open:
    a second copy could remove the entry of a later request with the same key.
    """

    def __init__(self) -> None:
        self._post: Post | None = None
        self._session = SessionId("")
        self._sessions: dict[str, SessionId] = {}
        self._number = 0
        self._calls: dict[int, asyncio.Future[LedgerOutcome | None]] = {}
        self._unacknowledged: dict[int, LedgerClosing] = {}

    def connected(self, post: Post, session: SessionId) -> None:
        """Use a new link, and send again what the last one may have lost."""
        self._post = post
        self._session = session
        self.resend()

    def disconnected(self) -> None:
        """Keep messages back until there is a link again."""
        self._post = None

    def resend(self) -> None:
        """Send outcomes again that the ledger has not taken yet; that is harmless."""
        if self._post is not None:
            for closing in self._unacknowledged.values():
                self._post(closing)

    def answer(self, message: LedgerReply | LedgerFailed) -> None:
        """Take the answer to a call."""
        if isinstance(message, LedgerFailed):
            logger.debug("ledger call {} failed: {}", message.number, message.reason)
            return
        self._unacknowledged.pop(message.number, None)
        call = self._calls.get(message.number)
        if call is not None and not call.done():
            call.set_result(message.outcome)

    async def open(self, *, key: str, digest: int, timeout_s: float) -> LedgerOutcome | None:
        """Open an entry and return LedgerOpened or LedgerFound.

        None means that nobody can tell whether the entry was written; the request must not be
        sent, and the entry stays if there is one.

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
            outcome = await self._call(number, request, min(ASK_AGAIN_S, until - monotonic()))
        if isinstance(outcome, LedgerOpened):
            self._sessions[key] = entry.session
        return outcome

    async def close(
        self, *, key: str, answer: StoredAnswer | None, not_run: bool, timeout_s: float
    ) -> None:
        """Write the outcome of a request whose entry is open, waiting at most for a time.

        :param key: the entry's key.
        :param answer: the answer, None if the outcome is unknown or the request was not run.
        :param not_run: whether it was not run.
        :param timeout_s: longest wait in seconds.
        """
        closing = LedgerClosing(
            session=self._sessions.pop(key, self._session),
            number=self._next_number(),
            key=key,
            answer=answer,
            not_run=not_run,
        )
        if not not_run and len(self._unacknowledged) < UNACKNOWLEDGED_LIMIT:
            self._unacknowledged[closing.number] = closing
        await self._call(closing.number, closing, timeout_s)

    async def _call(
        self, number: int, message: ToControl, timeout_s: float
    ) -> LedgerOutcome | None:
        if self._post is not None:
            self._post(message)
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
