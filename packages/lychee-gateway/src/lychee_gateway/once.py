"""At-most-once execution of requests with an Idempotency-Key, by means of the ledger."""

from collections.abc import Awaitable, Callable
from time import monotonic

from loguru import logger
from xxhash import xxh3_64_intdigest

from lychee_gateway.calls import Call, NotRun, Outcome, Response, StreamedResponse, UnknownOutcome
from lychee_gateway.ledger import LedgerClient
from lychee_gateway.problems import body_not_kept_response
from lychee_http import Headers, ResponseHead, header_value
from lychee_types.commands import LedgerFound, LedgerOpened
from lychee_types.records import LedgerEntry, LedgerStatus, StoredAnswer

MAX_STORED_BODY_BYTES = 65_536
"""Largest response body that is stored for resent requests, in bytes."""

CLOSE_TIMEOUT_S = 0.3
"""Longest wait for a response to be stored before the caller gets it, in seconds."""

NOT_RUN_CLOSE_TIMEOUT_S = 0.1
"""Longest wait for an entry to be removed before the caller is told to retry, in seconds."""

RunRequest = Callable[[Call], Awaitable[Outcome]]
"""Runs a request without the ledger and returns its outcome."""


class AtMostOnceRunner:
    """Opens a ledger entry before a request is sent, and closes it with the outcome.

    :param ledger: client of the ledger.
    """

    def __init__(self, *, ledger: LedgerClient) -> None:
        self._ledger = ledger

    async def run(self, call: Call, run: RunRequest) -> Outcome:
        """Run a request unless the ledger has its Idempotency-Key, and return the outcome.

        :param call: the request.
        :param run: runs the request.
        """
        digest = call_digest(call)
        remaining_s = call.deadline - monotonic()
        opening = await self._ledger.open(key=entry_key(call), digest=digest, timeout_s=remaining_s)
        match opening:
            case LedgerOpened():
                return await self._run_and_close(call, run)
            case LedgerFound(entry=entry):
                logger.bind(request=call.request_id).info(
                    "the ledger already has the Idempotency-Key, with status {}", entry.status.value
                )
                return _outcome_from_entry(entry, digest)
            case _:
                return NotRun(
                    status=503,
                    detail="the ledger of requests cannot be written now",
                    remedy="come back after Retry-After with the same Idempotency-Key",
                    retry_after_s=1,
                )

    async def _run_and_close(self, call: Call, run: RunRequest) -> Outcome:
        outcome: Outcome = UnknownOutcome(status=500, detail="the gateway failed on this request")
        try:
            outcome = await run(call)
        finally:
            await self._close(call, outcome)
        return outcome

    async def _close(self, call: Call, outcome: Outcome) -> None:
        answer, not_run, timeout_s = None, False, 0.0
        match outcome:
            case Response() | StreamedResponse(complete=True):
                answer, timeout_s = stored_answer(outcome), CLOSE_TIMEOUT_S
            case NotRun():
                not_run, timeout_s = True, NOT_RUN_CLOSE_TIMEOUT_S
        await self._ledger.close(
            key=entry_key(call), answer=answer, not_run=not_run, timeout_s=timeout_s
        )


def entry_key(call: Call) -> str:
    """Return the key of a request's ledger entry."""
    return f"{call.service.name}/{call.idempotency_key}"


def call_digest(call: Call) -> int:
    """Return a hash that differs if an Idempotency-Key is reused for another request."""
    return xxh3_64_intdigest(b"\0".join((call.head.method, call.head.target, call.body)))


def stored_answer(outcome: Response | StreamedResponse) -> StoredAnswer:
    """Return the response in its stored form, without a large or streamed body."""
    if isinstance(outcome, StreamedResponse):
        return StoredAnswer(status=outcome.status, content_type="", body=b"", body_kept=False)
    status = outcome.head.status
    if len(outcome.body) > MAX_STORED_BODY_BYTES:
        return StoredAnswer(status=status, content_type="", body=b"", body_kept=False)
    content_type = header_value(outcome.head.headers, b"content-type") or b""
    return StoredAnswer(
        status=status, content_type=content_type.decode("latin-1"), body=outcome.body
    )


def _outcome_from_entry(entry: LedgerEntry, digest: int) -> Outcome:
    if entry.digest != digest:
        return NotRun(
            status=422,
            detail="the Idempotency-Key was used for another request",
            remedy="send another key with another request",
        )
    if entry.status is LedgerStatus.ANSWERED and entry.answer is not None:
        return _replay(entry.answer)
    return UnknownOutcome(
        status=502, detail="a request with this Idempotency-Key may have been run"
    )


def _replay(stored: StoredAnswer) -> Response:
    if not stored.body_kept:
        return body_not_kept_response(stored.status)
    headers: Headers = ()
    if stored.content_type:
        headers = ((b"content-type", stored.content_type.encode("latin-1")),)
    length = None if stored.status in (204, 304) else len(stored.body)
    head = ResponseHead(status=stored.status, headers=headers, length=length)
    return Response(head=head, body=stored.body)
