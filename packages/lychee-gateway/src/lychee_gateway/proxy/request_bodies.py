"""The body of a request: what is kept of it, its framing, and the sending of its rest."""

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, replace

from lychee_http import RequestHead, ServerConnection, header_value
from lychee_http.exceptions import BadRequestError, CallerGoneError

EARLY_ANSWER_MARGIN_S = 0.05
"""Time before the deadline by which an early answer is sent even if the body goes on, in seconds.
"""


@dataclass(frozen=True, kw_only=True, slots=True)
class Body:
    """The body of a request.

    :param buffered: its first bytes, which can be sent again.
    :param is_whole: whether these are the whole body.
    :param rest: yields the rest from the caller; can be called once only.
    :param is_upload: whether a server may accept the request before it has read the rest.
    """

    buffered: bytes
    is_whole: bool
    rest: Callable[[], AsyncIterator[bytes]]
    is_upload: bool = False


def with_body_framing(head: RequestHead, body: Body, caller: RequestHead) -> RequestHead:
    """Return the head with the body's framing: its length if known, else chunked encoding."""
    declared = header_value(caller.headers, b"content-length")
    if body.is_whole and (body.buffered or declared is not None):
        framing = (b"content-length", b"%d" % len(body.buffered))
    elif body.is_whole:
        return head
    elif declared is not None:
        framing = (b"content-length", declared)
    else:
        framing = (b"transfer-encoding", b"chunked")
    return replace(head, headers=(*head.headers, framing))


def _is_chunked(head: RequestHead) -> bool:
    return header_value(head.headers, b"transfer-encoding") is not None


def encode_buffered(head: RequestHead, body: Body) -> bytes:
    """Return the buffered part of a body with the framing that the head announces."""
    if not body.buffered or not _is_chunked(head):
        return body.buffered
    return b"%x\r\n%b\r\n" % (len(body.buffered), body.buffered)


class BodySending:
    """Send the rest of a body in a task while the block reads the answer."""

    def __init__(self, conn: ServerConnection, head: RequestHead, body: Body) -> None:
        self._conn = conn
        self._head = head
        self._body = body
        self.awaits_caller = False
        self.has_stalled = False
        self._may_run = body.is_upload
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> None:
        if not self._body.is_whole:
            self._task = asyncio.create_task(self._send())

    def is_done(self) -> bool:
        """Return whether nothing of the body is left to be written to the connection."""
        return self._body.is_whole or (self._task is not None and self._task.done())

    async def finish(self, timeout_s: float) -> None:
        """Wait until the body is sent to a server that has answered early and reads on."""
        if self._task is not None:
            await asyncio.wait({self._task}, timeout=max(0.0, timeout_s - EARLY_ANSWER_MARGIN_S))

    async def __aexit__(self, *exc: object) -> None:
        if self._task is None:
            return
        self._task.cancel()
        results = await asyncio.gather(self._task, return_exceptions=True)
        for result in results:
            if self._may_run and isinstance(result, BadRequestError) and result.status == 408:
                # 408 would say that the request never runs.
                continue
            if isinstance(result, BadRequestError | CallerGoneError):
                raise result

    async def _send(self) -> None:
        try:
            await self._conn.send_body(self._rest(), chunked=_is_chunked(self._head))
        except (BadRequestError, CallerGoneError):
            self.has_stalled = self._body.is_upload
            # The server cannot get the whole request, so the block must not wait for its answer.
            self._conn.close()
            raise

    async def _rest(self) -> AsyncIterator[bytes]:
        """Yield the rest of the body, and note while an upload waits for its caller."""
        rest = self._body.rest()
        while True:
            self.awaits_caller = self._body.is_upload
            chunk = await anext(rest, None)
            self.awaits_caller = False
            if chunk is None:
                return
            yield chunk
