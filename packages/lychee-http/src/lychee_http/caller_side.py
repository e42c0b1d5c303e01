"""What is known of a caller's side of its connection when requests end without an answer."""

from enum import Enum

from lychee_http.tcp import TcpStream


class CallerSide(Enum):
    """State of a caller's side of a connection; it tells whose close ended the connection."""

    OPEN = "open"
    """It has ended nothing."""

    HALF_CLOSED = "half_closed"
    """It has ended its sending side, and has not shown whether it still reads."""

    RESET = "reset"
    """Its system has reset the connection."""

    LOST = "lost"
    """The connection was lost on its way: its peer confirmed nothing, or could not be reached."""

    CLOSED_HERE = "closed_here"
    """This process had closed the connection, or ended its side, before."""


def caller_side(stream: TcpStream) -> CallerSide:
    """Return the state of the caller's side of a connection."""
    if stream.is_closed_here:
        return CallerSide.CLOSED_HERE
    if stream.loss is not None and not isinstance(stream.loss, ConnectionError):
        return CallerSide.LOST
    if stream.has_failed():
        return CallerSide.RESET
    return CallerSide.HALF_CLOSED if stream.eof else CallerSide.OPEN
