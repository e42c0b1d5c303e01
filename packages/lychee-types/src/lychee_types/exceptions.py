"""Typed errors. Each has a message, a remedy and an exit code."""

from msgspec import Struct


class LycheeError(Exception):
    """Base of all errors that lycheescale raises on purpose.

    :param message: what went wrong, in one sentence.
    :param remedy: what the user can do about it.
    """

    exit_code = 1

    def __init__(self, *, message: str, remedy: str) -> None:
        super().__init__(message)
        self.message = message
        self.remedy = remedy

    def format_message(self) -> str:
        """Return the text for an operator: the message, then the remedy."""
        return f"{self.message}\n  remedy: {self.remedy}"

    def __str__(self) -> str:
        return f"{self.message} ({self.remedy})"


class InvariantError(LycheeError):
    """An invariant is broken; the process must stop."""

    exit_code = 70


class SettingsError(LycheeError):
    """A settings file or a document is invalid or can't be read."""

    exit_code = 2


class NotLeaderError(LycheeError):
    """The replica that received the request is not the leader.

    :param leader: the leader's id, None if it isn't known.
    """

    exit_code = 75

    def __init__(self, *, leader: str | None) -> None:
        self.leader = leader
        remedy = f"ask replica {leader}" if leader else "wait for the election and ask again"
        super().__init__(message="this replica is not the leader", remedy=remedy)


class UnavailableError(LycheeError):
    """A peer or a quorum can't be reached in time."""

    exit_code = 75


class Fault(Struct, frozen=True, kw_only=True):
    """One fault of a document or a settings file.

    :param place: path of the value, for example ``services[2].deadline_ms``.
    :param line: line in the file, from 1; 0 if there is no file.
    :param message: what is wrong.
    :param remedy: what to write instead.
    """

    place: str
    message: str
    remedy: str
    line: int = 0

    def format_message(self) -> str:
        """Return the text for an operator."""
        where = f"line {self.line}: {self.place}" if self.line else self.place
        return f"{where}: {self.message}; remedy: {self.remedy}"


def require(condition: bool, message: str) -> None:
    """Raise :class:`InvariantError` unless a condition holds.

    :param condition: the condition.
    :param message: the invariant that is broken if the condition is false.
    """
    if not condition:
        raise InvariantError(
            message=f"broken invariant: {message}",
            remedy="keep the dump and the log of this process and report them",
        )
