"""Calls to backend servers that grant and release key ranges."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from loguru import logger

from lychee_http import RequestHead, ResponseHead, ServerConnection, open_server_connection
from lychee_http.exceptions import ServerResponseError
from lychee_http.pool import ServerPool
from lychee_types.records import Endpoint
from lychee_types.registry import KeyRange
from lychee_types.timeouts import timeout_after_input

GRANT_TIMEOUT_S = 0.35
"""Maximum wait for the answer to a grant, in seconds; it delays the move of a lost owner's keys."""

RELEASE_TIMEOUT_S = 3.0
"""Maximum wait until the running requests on released keys have ended, in seconds."""

MAX_CONCURRENT_RELEASES = 6
"""Maximum number of concurrent releases at one server; each uses one of its few connections."""

MAX_ANSWER_BYTES = 65_536
"""Maximum body size of an answer, in bytes."""


@dataclass(frozen=True, kw_only=True, slots=True)
class EncodedCall:
    """A call encoded as an HTTP request.

    :param head: the request head, with the body's length.
    :param body: the request body.
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
    """The server has released the keys.

    :param handover: data for the next owner, empty if there is none.
    """

    handover: str


@dataclass(frozen=True, kw_only=True, slots=True)
class WrongServer:
    """A server other than the addressed one answered."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CallFailed:
    """The call failed, or its answer does not show what the server did.

    :param reason: what happened.
    :param maybe_sent: whether the server may have received the call.
    """

    reason: str
    maybe_sent: bool


CallReply = GrantAccepted | GrantStale | Released | WrongServer | CallFailed
"""The outcome of a call."""


class GrantCodec(Protocol):
    """Encodes grants and releases as HTTP requests and decodes the responses."""

    def grant(self, *, key_range: KeyRange, endpoint: Endpoint, hold_s: float) -> EncodedCall:
        """Return the call that grants a range to its owner.

        :param key_range: the range, with its owner and token.
        :param endpoint: address of the owner.
        :param hold_s: how long the grant holds, in seconds.
        """
        ...

    def release(self, *, key_range: KeyRange, endpoint: Endpoint) -> EncodedCall:
        """Return the call that releases a range from its owner.

        :param key_range: the range, with its owner and token.
        :param endpoint: address of the owner.
        """
        ...

    def read_grant(self, head: ResponseHead) -> CallReply:
        """Return the outcome of a grant by its response head."""
        ...

    def read_release(self, head: ResponseHead) -> CallReply:
        """Return the outcome of a release by its response head."""
        ...


class ServerClient:
    """Sends calls to one server incarnation over persistent connections.

    Grants use one connection, whose other end is one process. Once it has closed, another
    incarnation may use the address, even under the same server id, so the next grant is not sent:
    the caller must connect again, and learns so by the connection's number and by ``on_ended``,
    which is called as soon as the end is known.

    ``may_grant`` is called when a grant's connection is open, because the VM may have been
    suspended while it opened and another replica may have been elected since. A release needs no
    lease: the releasing phase was committed before, and keys that are released needlessly are
    granted again.

    :param endpoint: its address.
    :param codec: translates the calls.
    :param may_grant: returns whether no other replica can be the leader now.
    """

    def __init__(
        self, *, endpoint: Endpoint, codec: GrantCodec, may_grant: Callable[[], bool]
    ) -> None:
        self.endpoint = endpoint
        self._codec = codec
        self._may_grant = may_grant
        self.on_ended: Callable[[], None] = _do_nothing
        self._release_connections = ServerPool(endpoint=endpoint)
        self._connections_opened = 0
        self._conn: ServerConnection | None = None
        self._release_slots = asyncio.Semaphore(MAX_CONCURRENT_RELEASES)

    async def connect(self) -> int | CallFailed:
        """Open the connection for grants if there is none, and return its number."""
        if self._conn is not None:
            return self._connections_opened
        try:
            conn = await open_server_connection(self.endpoint, timeout_s=GRANT_TIMEOUT_S)
        except OSError as exc:
            return _no_connection(exc)
        # A timer of this process would not drop a grant while the process is paused or has ended.
        conn.stream.drop_undelivered_after(GRANT_TIMEOUT_S)
        conn.stream.on_disconnect = self._end_connection
        self._connections_opened += 1
        self._conn = conn
        return self._connections_opened

    async def grant(self, key_range: KeyRange, *, hold_s: float) -> CallReply:
        """Grant a range to its owner on the open connection, or renew the grant."""
        conn = self._conn
        if conn is None or not conn.is_reusable():
            self._end_connection()
            return CallFailed(reason="the connection has ended", maybe_sent=False)
        if not self._may_grant():
            return CallFailed(reason="another replica may lead", maybe_sent=False)
        call = self._codec.grant(key_range=key_range, endpoint=self.endpoint, hold_s=hold_s)
        conn.stream.on_input = _do_nothing
        try:
            answer = await self._send(conn, call, GRANT_TIMEOUT_S)
        finally:
            if conn.end_exchange():
                # What comes now is a second copy of an answer, or the answer that a copy preceded.
                conn.stream.on_input = self._end_connection
            else:
                self._end_connection()
        return answer if isinstance(answer, CallFailed) else self._codec.read_grant(answer)

    async def release(self, key_range: KeyRange) -> CallReply:
        """Release a range from its owner, which answers once its running requests have ended."""
        call = self._codec.release(key_range=key_range, endpoint=self.endpoint)
        async with self._release_slots:
            try:
                conn = await self._release_connections.acquire(timeout_s=RELEASE_TIMEOUT_S)
            except OSError as exc:
                return _no_connection(exc)
            # Another copy of its answer could not be told from the answer to the next release.
            conn.forbid_reuse()
            with self._release_connections.release_after_use(conn):
                answer = await self._send(conn, call, RELEASE_TIMEOUT_S)
        return answer if isinstance(answer, CallFailed) else self._codec.read_release(answer)

    def close(self) -> None:
        """Close all connections."""
        self.on_ended = _do_nothing
        self._end_connection()
        self._release_connections.close()

    def _end_connection(self) -> None:
        """Close the connection for grants, if there is one, and tell that it has ended."""
        conn, self._conn = self._conn, None
        if conn is not None:
            conn.close()
            self.on_ended()

    async def _send(
        self, conn: ServerConnection, call: EncodedCall, timeout_s: float
    ) -> ResponseHead | CallFailed:
        try:
            async with timeout_after_input(timeout_s, has_input=conn.has_input):
                return await self._exchange(conn, call)
        except TimeoutError:
            # On a plain close, the kernel would keep sending to the unresponsive server, and
            # the grant could arrive later.
            conn.discard()
            return CallFailed(reason=f"no answer in {timeout_s} s", maybe_sent=True)
        except ServerResponseError as exc:
            logger.debug("invalid answer from {}: {}", self.endpoint, exc)
            return CallFailed(reason=exc.message, maybe_sent=True)

    async def _exchange(
        self, conn: ServerConnection, call: EncodedCall
    ) -> ResponseHead | CallFailed:
        conn.send(call.head, call.body)
        head = await conn.read_head()
        size = 0
        while chunk := await conn.read_chunk():
            size += len(chunk)
            if size > MAX_ANSWER_BYTES:
                return CallFailed(reason="the answer is too large", maybe_sent=True)
        return head


def _do_nothing() -> None:
    """Do nothing."""


def _no_connection(exc: OSError) -> CallFailed:
    return CallFailed(reason=f"no connection: {type(exc).__name__}", maybe_sent=False)
