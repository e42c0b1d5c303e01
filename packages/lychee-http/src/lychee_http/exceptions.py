"""Errors of HTTP connections."""

from lychee_types.exceptions import LycheeError


class BadRequestError(LycheeError):
    """A caller's request is rejected; the connection closes after the response.

    :param status: HTTP status of the response.
    """

    def __init__(self, *, status: int, message: str, remedy: str) -> None:
        super().__init__(message=message, remedy=remedy)
        self.status = status


class ServerResponseError(LycheeError):
    """A backend server's response is incomplete, malformed or too large."""


class CallerGoneError(LycheeError):
    """The caller has closed its connection."""

    def __init__(self) -> None:
        super().__init__(
            message="the caller has closed the connection", remedy="nothing is left to do"
        )
