"""Commands that the leader has proposed but that have not been applied yet."""

from dataclasses import dataclass

from lychee_types.commands import (
    BeginTransition,
    Command,
    FinishTransition,
    ForgetServer,
    JoinGateway,
    JoinServer,
    LoseGateway,
    LoseServer,
    SetSpeed,
)

RETRY_INTERVAL_S = 1.0
"""Time in seconds after which a command that has not been applied is proposed again."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Subject:
    """The record that a command changes; at most one command per record is outstanding.

    :param kind: kind of the record.
    :param name: id of the record.
    """

    kind: str
    name: str


class Outbox:
    """Limits the outstanding commands to one per subject."""

    def __init__(self) -> None:
        self._retry_at: dict[Subject, float] = {}

    def try_propose(self, *, now: float, command: Command) -> bool:
        """Return whether a command should be proposed now, and if so count it as outstanding.

        :param now: the leader's monotonic time in seconds.
        :param command: the command.
        """
        subject = subject_of(command)
        if subject is None or now < self._retry_at.get(subject, now):
            return False
        self._retry_at[subject] = now + RETRY_INTERVAL_S
        return True

    def on_applied(self, command: Command) -> None:
        """Allow the next command for the subject of an applied command."""
        subject = subject_of(command)
        if subject is not None:
            self._retry_at.pop(subject, None)


def subject_of(command: Command) -> Subject | None:
    """Return the subject of a command, or None if the coordinator never proposes its kind."""
    match command:
        case JoinServer():
            return Subject(kind="server", name=command.server.id)
        case LoseServer() | ForgetServer() | SetSpeed():
            return Subject(kind="server", name=command.server)
        case JoinGateway():
            return Subject(kind="gateway", name=command.gateway.session)
        case LoseGateway():
            return Subject(kind="gateway", name=command.session)
        case BeginTransition() | FinishTransition():
            return Subject(kind="service", name=command.service)
        case _:
            return None
