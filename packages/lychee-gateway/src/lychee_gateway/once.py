"""Running a request with an Idempotency-Key at most once, by means of the ledger."""

from collections.abc import Awaitable, Callable
from time import monotonic

from loguru import logger
from xxhash import xxh3_64_intdigest

from lychee_gateway.calls import Answer, Call, NotRun, Outcome, StreamSent, Unknown
from lychee_gateway.ledger import LedgerCalls
from lychee_gateway.problems import body_not_kept
from lychee_http import Headers, ResponseHead, header_value
from lychee_types.commands import LedgerFound, LedgerOpened
from lychee_types.records import LedgerEntry, LedgerStatus, StoredAnswer

STORED_BODY_BYTES = 65_536
"""Largest body that is kept for a caller that resends its request."""

CLOSING_WAIT_S = 0.3
"""Longest wait for an answer to be in the ledger before the caller gets it, in seconds."""

NOT_RUN_WAIT_S = 0.1
"""Longest wait for the ledger to drop an entry before the caller is told to come back."""

Run = Callable[[Call], Awaitable[Outcome]]
"""Takes a request to its outcome, without a ledger."""


class OnceRunner:
    """Opens an entry before the first byte of a request and closes it with the outcome.

    :param ledger: the ledger.
    """

    def __init__(self, *, ledger: LedgerCalls) -> None:
        self._ledger = ledger

    async def run(self, call: Call, run: Run) -> Outcome:
        """Return the one outcome of a request with an Idempotency-Key.

        :param call: the request.
        :param run: takes it to its outcome.
        """
        digest = call_digest(call)
        left_s = call.deadline - monotonic()
        found = await self._ledger.open(key=entry_key(call), digest=digest, timeout_s=left_s)
        match found:
            case LedgerOpened():
                return await self._run_opened(call, run)
            case LedgerFound(entry=entry):
                logger.bind(request=call.request_id).info(
                    "the Idempotency-Key is in the ledger: {}", entry.status.value
                )
                return _outcome_of(entry, digest)
            case _:
                return NotRun(
                    status=503,
                    detail="the ledger of requests cannot be written now",
                    remedy="come back after Retry-After with the same Idempotency-Key",
                    retry_after_s=1,
                )

    async def _run_opened(self, call: Call, run: Run) -> Outcome:
        outcome: Outcome = Unknown(status=500, detail="the gateway failed on this request")
        try:
            outcome = await run(call)
        finally:
            await self._close(call, outcome)
        return outcome

    async def _close(self, call: Call, outcome: Outcome) -> None:
        answer, not_run, wait_s = None, False, 0.0
        match outcome:
            case Answer() | StreamSent(whole=True):
                answer, wait_s = stored_answer(outcome), CLOSING_WAIT_S
            case NotRun():
                not_run, wait_s = True, NOT_RUN_WAIT_S
        await self._ledger.close(
            key=entry_key(call), answer=answer, not_run=not_run, timeout_s=wait_s
        )


def entry_key(call: Call) -> str:
    """Return the key of a request's ledger entry."""
    return f"{call.service.name}/{call.idempotency_key}"


def call_digest(call: Call) -> int:
    """Return the hash by which a reused Idempotency-Key is told from a resent request."""
    return xxh3_64_intdigest(b"\0".join((call.head.method, call.head.target, call.body)))


def stored_answer(outcome: Answer | StreamSent) -> StoredAnswer:
    """Return what is kept of an answer; a large or streamed body is left out."""
    if isinstance(outcome, StreamSent):
        return StoredAnswer(status=outcome.status, content_type="", body=b"", body_kept=False)
    status = outcome.head.status
    if len(outcome.body) > STORED_BODY_BYTES:
        return StoredAnswer(status=status, content_type="", body=b"", body_kept=False)
    content_type = header_value(outcome.head.headers, b"content-type") or b""
    return StoredAnswer(
        status=status, content_type=content_type.decode("latin-1"), body=outcome.body
    )


def _outcome_of(entry: LedgerEntry, digest: int) -> Outcome:
    if entry.digest != digest:
        return NotRun(
            status=422,
            detail="the Idempotency-Key was used for another request",
            remedy="send another key with another request",
        )
    if entry.status is LedgerStatus.ANSWERED and entry.answer is not None:
        return _replayed(entry.answer)
    return Unknown(status=502, detail="a request with this Idempotency-Key may have been run")


def _replayed(stored: StoredAnswer) -> Answer:
    if not stored.body_kept:
        return body_not_kept(stored.status)
    headers: Headers = ()
    if stored.content_type:
        headers = ((b"content-type", stored.content_type.encode("latin-1")),)
    length = None if stored.status in (204, 304) else len(stored.body)
    head = ResponseHead(status=stored.status, headers=headers, length=length)
    return Answer(head=head, body=stored.body)
