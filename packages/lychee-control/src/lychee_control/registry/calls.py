"""Calls to backend servers that grant key ranges and take them back."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from loguru import logger

from lychee_http import RequestHead, ResponseHead, ServerConnection
from lychee_http.exceptions import ServerResponseError
from lychee_http.pool import ServerPool
from lychee_types.records import Endpoint
from lychee_types.registry import KeyRange

GRANT_TIMEOUT_S = 0.35
"""Longest wait for the answer to a grant, in seconds: a lost owner's keys wait for this as well."""

RELEASE_TIMEOUT_S = 3.0
"""Longest wait until running work on released keys has ended, in seconds."""

RELEASES_AT_ONCE = 6
"""Most releases under way at one server: it accepts few connections and each takes one."""

ANSWER_LIMIT_BYTES = 65_536
"""Largest body of an answer."""


@dataclass(frozen=True, kw_only=True, slots=True)
class EncodedCall:
    """A call as it goes over the wire.

    :param head: its head, with the body's length.
    :param body: its body.
    """

    head: RequestHead
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class GrantAccepted:
    """The server holds the keys."""


@dataclass(frozen=True, kw_only=True, slots=True)
class GrantStale:
    """The server has seen a higher token on one of the keys."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Released:
    """The server has given the keys up.

    :param handover: what it left for the next owner, empty without.
    """

    handover: str


@dataclass(frozen=True, kw_only=True, slots=True)
class WrongServer:
    """Another server answers at the address."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CallFailed:
    """No answer that says what the server did.

    :param reason: what happened.
    :param maybe_sent: whether the server may have read the call.
    """

    reason: str
    maybe_sent: bool


CallReply = GrantAccepted | GrantStale | Released | WrongServer | CallFailed
"""What became of a call."""


class GrantCodec(Protocol):
    """Translates grants and releases."""

    def grant(self, *, key_range: KeyRange, endpoint: Endpoint, hold_s: float) -> EncodedCall:
        """Return the call that grants a range to its owner."""
        ...

    def release(self, *, key_range: KeyRange, endpoint: Endpoint) -> EncodedCall:
        """Return the call that takes a range back from its owner."""
        ...

    def read_grant(self, head: ResponseHead) -> CallReply:
        """Return what the answer to a grant says."""
        ...

    def read_release(self, head: ResponseHead) -> CallReply:
        """Return what the answer to a release says."""
        ...


class ServerCalls:
    """Calls to one run of a server over connections that are kept open.

    Grants go over one connection. When it has ended, another run may have the address, under the
    same id even, so the next grant is not sent: the caller first needs word of the run itself.

    Whether a grant may be sent is asked once more when its connection is open: the VM may have been
    suspended while it opened, and another replica may lead since. A release needs no lease: its
    phase is committed before, and keys that are given up too often are granted again.

    :param endpoint: its address.
    :param codec: translates the calls.
    :param may_grant: whether no other replica can lead now.
    """

    def __init__(
        self, *, endpoint: Endpoint, codec: GrantCodec, may_grant: Callable[[], bool]
    ) -> None:
        self._endpoint = endpoint
        self._codec = codec
        self._may_grant = may_grant
        self._grants = ServerPool(endpoint=endpoint)
        self._releases = ServerPool(endpoint=endpoint)
        self._was_connected = False
        self._releasing = asyncio.Semaphore(RELEASES_AT_ONCE)

    async def grant(self, key_range: KeyRange, *, hold_s: float) -> CallReply:
        """Grant a range to its owner, or renew the grant."""
        if self._was_connected and not len(self._grants):
            self._was_connected = False
            return CallFailed(reason="the connection has ended", maybe_sent=False)
        call = self._codec.grant(key_range=key_range, endpoint=self._endpoint, hold_s=hold_s)
        answer = await self._send(self._grants, call, GRANT_TIMEOUT_S, may_send=self._may_grant)
        self._was_connected = not isinstance(answer, CallFailed)
        return answer if isinstance(answer, CallFailed) else self._codec.read_grant(answer)

    async def release(self, key_range: KeyRange) -> CallReply:
        """Take a range back; the answer comes when running work on it has ended."""
        call = self._codec.release(key_range=key_range, endpoint=self._endpoint)
        async with self._releasing:
            answer = await self._send(
                self._releases, call, RELEASE_TIMEOUT_S, may_send=lambda: True
            )
        return answer if isinstance(answer, CallFailed) else self._codec.read_release(answer)

    def close(self) -> None:
        """Close all connections."""
        self._grants.close()
        self._releases.close()

    async def _send(
        self,
        pool: ServerPool,
        call: EncodedCall,
        timeout_s: float,
        *,
        may_send: Callable[[], bool],
    ) -> ResponseHead | CallFailed:
        try:
            conn = await pool.acquire(timeout_s=timeout_s)
        except OSError as exc:
            return CallFailed(reason=f"no connection: {type(exc).__name__}", maybe_sent=False)
        with pool.release_after_use(conn):
            if not may_send():
                return CallFailed(reason="another replica may lead", maybe_sent=False)
            try:
                async with asyncio.timeout(timeout_s):
                    return await self._exchange(conn, call)
            except TimeoutError:
                # The system would go on sending to a silent server, and the grant come in later.
                conn.discard()
                return CallFailed(reason=f"no answer in {timeout_s} s", maybe_sent=True)
            except ServerResponseError as exc:
                logger.debug("an answer of {} is unusable: {}", self._endpoint, exc)
                return CallFailed(reason=exc.message, maybe_sent=True)

    async def _exchange(
        self, conn: ServerConnection, call: EncodedCall
    ) -> ResponseHead | CallFailed:
        conn.send(call.head, call.body)
        head = await conn.read_head()
        size = 0
        while chunk := await conn.read_chunk():
            size += len(chunk)
            if size > ANSWER_LIMIT_BYTES:
                return CallFailed(reason="the answer is too large", maybe_sent=True)
        return head
