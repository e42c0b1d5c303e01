"""What the proxy reads from heads and writes into them; the wire's names are the codec's."""

from dataclasses import dataclass
from typing import Protocol

from lychee_http import RequestHead, ResponseHead
from lychee_types.ids import ServerId


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerRequest:
    """What a caller's head asks for.

    :param request_id: the caller's own id of this attempt, empty without one.
    :param host: host name in lower case, without a port.
    :param path: path without the query.
    :param timeout_s: how long the caller waits, in seconds; None where it does not say.
    :param key: the key, None without one.
    """

    request_id: str
    host: str
    path: str
    timeout_s: float | None
    key: int | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Occupancy:
    """What a server says of its load.

    :param running: requests that it works on.
    :param waiting: requests in its queue.
    :param slots: requests that it works on at most at once.
    """

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ResponseInfo:
    """What a server's head says beside the answer itself.

    :param request_id: the request that it answers, empty where it does not say.
    :param is_not_run: whether the server says that it did not run the request.
    :param is_misdirected: whether another server has the address or the key.
    :param occupancy: its load, None where it does not say.
    :param is_encoded: whether the body is not the server's own bytes.
    """

    request_id: str
    is_not_run: bool
    is_misdirected: bool
    occupancy: Occupancy | None
    is_encoded: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class Rejection:
    """An answer of the gateway itself.

    :param status: the HTTP status.
    :param reason: what happened, for a reader.
    :param retry_after_s: when to come back, None where that does not help.
    """

    status: int
    reason: str
    retry_after_s: float | None = None


class ProxyCodec(Protocol):
    """Translates heads."""

    def read_request(self, head: RequestHead) -> CallerRequest | Rejection:
        """Return what a caller's head asks for."""
        ...

    def forward_request(self, head: RequestHead, *, server: ServerId, left_s: float) -> RequestHead:
        """Return the head for a server.

        :param head: the caller's head.
        :param server: the only server that may run the request.
        :param left_s: time after which the server should stop, in seconds.
        """
        ...

    def read_response(self, head: ResponseHead) -> ResponseInfo:
        """Return what a server's head says."""
        ...

    def forward_response(self, head: ResponseHead) -> ResponseHead:
        """Return the head that the caller gets."""
        ...

    def reject(self, rejection: Rejection, request_id: str) -> tuple[ResponseHead, bytes]:
        """Return an answer of the gateway itself."""
        ...

    def is_readiness_probe(self, head: RequestHead) -> bool:
        """Return whether a request asks for readiness."""
        ...
