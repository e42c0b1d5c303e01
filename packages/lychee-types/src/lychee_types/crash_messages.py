"""Messages about requests under which backend servers end, between gateways and control replicas.

Times are ages at the moment of sending, as no two VMs have the same clock.
"""

from msgspec import Struct

from lychee_types.ids import RequestSignature
from lychee_types.registry import ServerIncarnation


class ServerEnd(Struct, frozen=True, kw_only=True, array_like=True):
    """The end of a server that had a request and did not answer it.

    :param run: the server and its incarnation.
    :param ms_ago: how long ago its connection ended, in milliseconds.
    :param sent_ms_ago: how long ago the request was sent to it, in milliseconds.
    """

    run: ServerIncarnation
    ms_ago: int
    sent_ms_ago: int


class KnownRequest(Struct, frozen=True, kw_only=True, array_like=True):
    """What a process knows of one request.

    :param signature: the request's signature.
    :param ends: servers that ended while they had it, since it was answered last.
    :param answered_ms_ago: how long ago a server answered it, in milliseconds; None if none has.
    """

    signature: RequestSignature
    ends: tuple[ServerEnd, ...]
    answered_ms_ago: int | None = None


class CrashReport(Struct, frozen=True, kw_only=True, tag=True):
    """What a gateway has learnt of requests under which servers end.

    :param requests: the requests.
    """

    requests: tuple[KnownRequest, ...]


class KnownCrashes(Struct, frozen=True, kw_only=True, tag=True):
    """What the leader knows of suspected and blocked requests, for all gateways.

    :param requests: the requests.
    """

    requests: tuple[KnownRequest, ...]
