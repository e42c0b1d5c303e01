"""Interface of the codec by which the proxy reads and writes the platform's HTTP headers."""

from dataclasses import dataclass
from typing import Protocol

from lychee_http import RequestHead, ResponseHead
from lychee_types.ids import ServerId
from lychee_types.registry import RegisteredServer


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerRequest:
    """The decoded head of a caller's request.

    :param request_id: the caller's id of this attempt, empty if there is none.
    :param host: host name in lower case, without a port.
    :param path: path without the query string.
    :param timeout_s: how long the caller waits, in seconds; None if not given.
    :param key: the shard key, None if there is none.
    :param account: credentials that tell client accounts apart, empty if there are none.
    """

    request_id: str
    host: str
    path: str
    timeout_s: float | None
    key: int | None
    account: bytes = b""


@dataclass(frozen=True, kw_only=True, slots=True)
class Occupancy:
    """The load that a server reports with a response.

    :param running: number of requests that it works on.
    :param waiting: number of requests in its queue.
    :param slots: maximum number of requests that it works on at once.
    :param speed: how fast it works at this moment, 1.0 as usual; None if it does not say.
    """

    running: int
    waiting: int
    slots: int
    speed: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class ResponseInfo:
    """Information in a response head about the server and its handling of the request.

    :param request_id: id of the answered request, empty if not given.
    :param is_not_run: whether the server states that it did not run the request.
    :param is_misdirected: whether the address or the key belongs to another server.
    :param occupancy: the server's load, None if not given.
    :param is_encoded: whether the body has a content encoding.
    :param limit_per_s: rate limit that the server names for all gateways together, in requests per
        second, None if it names none.
    :param is_limit_malformed: whether it names one that can't be read; the one before stays.
    """

    request_id: str
    is_not_run: bool
    is_misdirected: bool
    occupancy: Occupancy | None
    is_encoded: bool
    limit_per_s: float | None = None
    is_limit_malformed: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class ProbeAnswer:
    """A server's response to a health check that asks for its load.

    :param request_id: id of the health check, empty if not given.
    :param occupancy: the server's load, None if it gives none or another server has responded.
    :param cold_remaining_s: how long the server stays cold, in seconds; None if not given.
    """

    request_id: str
    occupancy: Occupancy | None
    cold_remaining_s: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Rejection:
    """An error response that the gateway itself sends.

    :param status: the HTTP status.
    :param reason: the cause, sent to the caller as text.
    :param retry_after_s: delay before a retry, in seconds; None if a retry would not help.
    """

    status: int
    reason: str
    retry_after_s: float | None = None


class ProxyCodec(Protocol):
    """Translates request and response heads between the wire and the proxy."""

    def read_request(self, head: RequestHead) -> CallerRequest | Rejection:
        """Decode the head of a caller's request."""
        ...

    def forward_request(
        self, head: RequestHead, *, server: ServerId, remaining_s: float
    ) -> RequestHead:
        """Return the request head to send to a server.

        :param head: the caller's request head.
        :param server: the only server that may run the request.
        :param remaining_s: time left until the deadline, in seconds.
        """
        ...

    def take_off(self, data: bytes, *, waited_s: float) -> bytes:
        """Return the first bytes of a request for a server, with less time and as many bytes.

        :param data: the bytes, as :meth:`forward_request` and the encoding of heads have made them;
            others are returned as they are.
        :param waited_s: the time that is no longer left, in seconds.
        """
        ...

    def read_response(self, head: ResponseHead) -> ResponseInfo:
        """Decode the head of a server's response."""
        ...

    def probe(self, path: str, *, server: RegisteredServer, request_id: str) -> RequestHead:
        """Return the head of a health check.

        :param path: the health path of the server's service.
        :param server: the server.
        :param request_id: its id, which the response may repeat.
        """
        ...

    def read_probe(self, head: ResponseHead) -> ProbeAnswer:
        """Decode the head of a server's response to a health check."""
        ...

    def forward_response(self, head: ResponseHead) -> ResponseHead:
        """Return the response head to send to the caller."""
        ...

    def reject(self, rejection: Rejection, request_id: str) -> tuple[ResponseHead, bytes]:
        """Encode an error answer of the gateway as head and body."""
        ...

    def is_readiness_probe(self, head: RequestHead) -> bool:
        """Return whether a request is a readiness probe."""
        ...
