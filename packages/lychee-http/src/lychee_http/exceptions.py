"""Errors of the gateway."""

from lychee_types.exceptions import LycheeError


class BadRequestError(LycheeError):
    """A caller's request cannot be taken; the connection closes after the answer.

    :param status: the HTTP status to answer with.
    """

    def __init__(self, *, status: int, message: str, remedy: str) -> None:
        super().__init__(message=message, remedy=remedy)
        self.status = status


class ServerResponseError(LycheeError):
    """A backend server's answer is short, malformed or too large."""


class CallerGoneError(LycheeError):
    """The caller has closed its connection."""

    def __init__(self) -> None:
        super().__init__(message="the caller has gone", remedy="nothing is left to do")
