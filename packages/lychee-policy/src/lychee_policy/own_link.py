"""What a gateway's own connections tell of its link while another connection opens."""

from dataclasses import dataclass


@dataclass(kw_only=True, frozen=True, slots=True)
class StreamUse:
    """What one open connection has carried.

    :param acknowledged: bytes sent that the peer has confirmed since the attempt began.
    :param waiting: bytes written that the peer has not confirmed.
    :param received: bytes received since the attempt began.
    :param is_moving: whether any have been confirmed or received since the last look.
    """

    acknowledged: int
    waiting: int
    received: int
    is_moving: bool


@dataclass(kw_only=True, frozen=True, slots=True)
class LinkUse:
    """What all open connections of a gateway have carried since an attempt to connect began.

    :param acknowledged: bytes sent that peers have confirmed meanwhile.
    :param waiting: bytes written that peers have not confirmed.
    :param received: bytes received meanwhile.
    """

    acknowledged: int = 0
    waiting: int = 0
    received: int = 0


def sum_of_uses(uses: list[StreamUse]) -> LinkUse:
    """Return what some connections have carried together."""
    return LinkUse(
        acknowledged=sum(use.acknowledged for use in uses),
        waiting=sum(use.waiting for use in uses),
        received=sum(use.received for use in uses),
    )
