"""Commands that the leader has proposed and that have not been applied yet."""

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
    """What a command is about; one command a subject is outstanding at a time.

    :param kind: kind of the record that it changes.
    :param name: the record's name.
    """

    kind: str
    name: str


class Outbox:
    """Keeps one command a subject outstanding."""

    def __init__(self) -> None:
        self._retry_at: dict[Subject, float] = {}

    def try_propose(self, *, now: float, command: Command) -> bool:
        """Return whether a command should be proposed now, and count it as outstanding if so.

        :param now: the leader's time in seconds.
        :param command: the command.
        """
        subject = subject_of(command)
        if subject is None or now < self._retry_at.get(subject, now):
            return False
        self._retry_at[subject] = now + RETRY_INTERVAL_S
        return True

    def on_applied(self, command: Command) -> None:
        """Take in that a command has been applied."""
        subject = subject_of(command)
        if subject is not None:
            self._retry_at.pop(subject, None)


def subject_of(command: Command) -> Subject | None:
    """Return what a command is about, None for commands that the coordinator does not propose."""
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
