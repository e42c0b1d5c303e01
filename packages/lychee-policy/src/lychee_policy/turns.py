"""Whose turn it is to send a request under which servers have ended."""

from collections.abc import Iterable
from hashlib import blake2b

from lychee_types.ids import GatewayId, RequestSignature

TURN_S = 0.25
"""Time for which one gateway may send a suspected request, in seconds.

What became of it is known to the next gateway by then.
"""

MAX_TURNS = 10
"""Number of turns in a round, in which each gateway has one.

Where there are more gateways, several have the same turn, so that no caller waits for long.
"""


def wait_for_turn_s(
    signature: RequestSignature,
    own: GatewayId,
    others: Iterable[GatewayId],
    *,
    since_end_s: float,
) -> float:
    """Return after which time a gateway may send a suspected request, in seconds; 0 for now.

    Turns are counted from the last end, which all gateways know by their own clocks. Each round has
    another order, as a caller that repeats the request at an even pace could miss all turns else.

    :param signature: the request's signature.
    :param own: the gateway.
    :param others: the other gateways.
    :param since_end_s: time since the last server ended under the request, in seconds.
    """
    gateways = {own, *others}
    turns = min(len(gateways), MAX_TURNS)
    current, spent_s = divmod(since_end_s, TURN_S)
    this_round, turn_now = divmod(int(current), turns)
    turn = _turn_in_round(signature, own, gateways, this_round) % turns
    if turn < turn_now:
        turn = turns + _turn_in_round(signature, own, gateways, this_round + 1) % turns
    return (turn - turn_now) * TURN_S - spent_s if turn > turn_now else 0.0


def _turn_in_round(
    signature: RequestSignature, own: GatewayId, gateways: set[GatewayId], number: int
) -> int:
    """Return a gateway's place in the order of a round."""
    places = {gateway: _place(signature, gateway, number) for gateway in gateways}
    return sum(place < places[own] for place in places.values())


def _place(signature: RequestSignature, gateway: GatewayId, number: int) -> bytes:
    return blake2b(b"%b %d %b" % (signature, number, gateway.encode()), digest_size=8).digest()
