"""What a request on a caller's connection waits for, as shown where it ends without an answer."""

from dataclasses import dataclass
from enum import Enum


class Stage(Enum):
    """What a request waits for."""

    HANDLING = "handling"
    """Its head was read and nothing was decided yet."""

    EARLIER = "earlier"
    """Answers to earlier requests on its connection."""

    BODY = "body"
    """The part of its body that is read before a server is selected."""

    SELECTION = "selection"
    """A server: its key's owner, a permit or a decision that there is none."""

    CONNECTION = "connection"
    """A connection to the selected server."""

    RESPONSE = "response"
    """The server's response, or the rest of it."""

    DELIVERY = "delivery"
    """Its turn to be answered, or its caller to read the answer."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Sending:
    """One sending of a request to a server.

    :param server: the server's id.
    :param is_carried: whether another gateway carried it there.
    """

    server: str
    is_carried: bool
