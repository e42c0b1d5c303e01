"""What a gateway's own connections tell of its link while another connection opens."""

from collections.abc import Iterable
from dataclasses import dataclass

from lychee_types.registry import ServerIncarnation

BULK_BYTES = 8_192
"""Bytes that one connection carries while another opens, from which on it may fill the link."""

STILL_S = 0.4
"""Time for which a connection that fills the link may carry nothing, in seconds.

Confirmations come in steps, and others have their turn.
"""

MAX_LATE_S = 1.5
"""Time for which a full link of one's own is taken for the cause of late connections, in seconds.

Uploads fill a narrow link for about as long.
"""

FORGOTTEN_AFTER_S = 5.0
"""Age from which on an earlier late connection says nothing of the next one, in seconds."""


@dataclass(kw_only=True, frozen=True, slots=True)
class StreamUse:
    """What one open connection has carried.

    :param acknowledged: bytes sent that the peer has confirmed since the attempt began.
    :param waiting: bytes written that the peer has not confirmed.
    :param received: bytes received since the attempt began.
    :param still_s: time for which none have been confirmed or received, in seconds.
    """

    acknowledged: int
    waiting: int
    received: int
    still_s: float


@dataclass(kw_only=True, frozen=True, slots=True)
class LinkUse:
    """What all open connections of a gateway have carried since an attempt to connect began.

    :param acknowledged: bytes sent that peers have confirmed meanwhile.
    :param waiting: bytes written that peers have not confirmed.
    :param received: bytes received meanwhile.
    :param is_filled: whether one of them has carried so much, and goes on, that the link may be
        full, in either direction. What opens a connection waits behind these bytes.
    """

    acknowledged: int = 0
    waiting: int = 0
    received: int = 0
    is_filled: bool = False


def sum_of_uses(uses: list[StreamUse]) -> LinkUse:
    """Return what some connections have carried together."""
    return LinkUse(
        acknowledged=sum(use.acknowledged for use in uses),
        waiting=sum(use.waiting for use in uses),
        received=sum(use.received for use in uses),
        is_filled=any(_fills_link(use) for use in uses),
    )


def _fills_link(use: StreamUse) -> bool:
    is_sent_on = use.waiting > 0 and use.acknowledged >= BULK_BYTES
    return use.still_s <= STILL_S and (is_sent_on or use.received >= BULK_BYTES)


class LateOpenings:
    """Servers whose connections did not open in time while the gateway's own link was full.

    Such a timeout says nothing of a server. Where they last for :data:`MAX_LATE_S`, they count all
    the same, as a server that is really cut off must be found beside a link that is always full.
    """

    def __init__(self) -> None:
        self._since: dict[ServerIncarnation, float] = {}

    def keep_only(self, runs: Iterable[ServerIncarnation]) -> None:
        """Forget all servers but these."""
        known = set(runs)
        self._since = {run: since for run, since in self._since.items() if run in known}

    def record_opened(self, run: ServerIncarnation) -> None:
        """Record that a connection has opened."""
        self._since.pop(run, None)

    def is_evidence(
        self, run: ServerIncarnation, use: LinkUse, *, began: float, heard_at: float, now: float
    ) -> bool:
        """Return whether a timeout says that the way to a server is cut.

        :param run: the server.
        :param use: what other connections carried meanwhile.
        :param began: monotonic time at which the attempt began, in seconds.
        :param heard_at: monotonic time at which the server answered last, in seconds.
        :param now: current monotonic time in seconds.
        """
        if not use.is_filled:
            self._since.pop(run, None)
            return True
        since = self._since.get(run, began)
        if since < heard_at or now - since > FORGOTTEN_AFTER_S:
            since = began
        self._since[run] = since
        return now - since >= MAX_LATE_S
