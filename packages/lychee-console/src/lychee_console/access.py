"""Authentication for the console: operators' access tokens from a file, and sessions."""

import hmac
import secrets
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from expression import Result
from msgspec import Struct

from lychee_types.clock import Clock
from lychee_types.exceptions import SettingsError
from lychee_types.findings import NAME_LIMIT, Finding, check_unique, merge_faults
from lychee_types.yamlfile import parse_yaml_with_lines, read_text

MIN_TOKEN_LENGTH = 16
"""Minimum length of an access token, in characters."""

SESSION_LIMIT = 1_000
"""Maximum number of sessions; the oldest one without a logged-in operator is evicted first."""

SESSION_S = 8 * 3_600.0
"""Lifetime of a session, after which an operator must log in again, in seconds."""

_SECRET_BYTES = 24


class OperatorCredentials(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """An operator who may use the console.

    :param name: the name that is recorded as the author of submissions.
    :param token: the access token.
    """

    name: str
    token: str


class OperatorsFile(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Content of the operators' file.

    :param operators: everybody who may use the console.
    """

    operators: tuple[OperatorCredentials, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Session:
    """A browser's session.

    :param id: the cookie's value.
    :param csrf: the CSRF token that each of its forms must carry.
    :param started_at: when it began, in monotonic seconds.
    :param operator: name of the logged-in operator, None if nobody has logged in.
    """

    id: str
    csrf: str
    started_at: float
    operator: str | None = None

    def accepts_csrf(self, csrf: str) -> bool:
        """Return whether a form's CSRF token is this session's; compares in constant time."""
        return hmac.compare_digest(self.csrf.encode(), csrf.encode("utf-8", "replace"))


def load_operators(path: Path) -> tuple[OperatorCredentials, ...]:
    """Read the operators' file.

    :param path: the YAML file.
    :raises SettingsError: if the file has faults; the message never contains a token.
    """
    match read_text(path).bind(lambda text: parse_yaml_with_lines(text, OperatorsFile)):
        case Result(tag="ok", ok=located):
            faults = merge_faults(_check_operators(located.value.operators), located)
            if not faults:
                return located.value.operators
        case Result(error=faults):
            pass
    descriptions = [f"line {f.line}: {f.place}: {f.remedy}" for f in faults]
    raise SettingsError(
        message=f"{path} has {len(faults)} fault(s): " + "; ".join(descriptions),
        remedy="correct the file and start the console again",
    )


def _check_operators(operators: tuple[OperatorCredentials, ...]) -> Iterator[Finding]:
    if not operators:
        remedy = "add an operator with name and token"
        yield Finding(place="operators", message="the list is empty", remedy=remedy)
    for index, operator in enumerate(operators):
        place = f"operators[{index}]"
        if not 1 <= len(operator.name) <= NAME_LIMIT or not operator.name.isprintable():
            remedy = f"write 1 to {NAME_LIMIT} printable characters"
            yield Finding(place=f"{place}.name", message="not a name", remedy=remedy)
        if len(operator.token) < MIN_TOKEN_LENGTH:
            remedy = f"write at least {MIN_TOKEN_LENGTH} characters"
            yield Finding(place=f"{place}.token", message="the token is short", remedy=remedy)
    yield from check_unique(
        (operator.name for operator in operators),
        lambda index: f"operators[{index}].name",
        what="the operator",
    )
    yield from check_unique(
        (operator.token for operator in operators),
        lambda index: f"operators[{index}].token",
        what="the token",
    )


class SessionStore:
    """Logs operators in, and keeps the sessions of browsers.

    :param operators: everybody who may log in.
    :param clock: source of time for the sessions' lifetime.
    """

    def __init__(self, *, operators: tuple[OperatorCredentials, ...], clock: Clock) -> None:
        self._operators = operators
        self._clock = clock
        self._sessions: dict[str, Session] = {}

    @property
    def session_count(self) -> int:
        """Number of sessions."""
        return len(self._sessions)

    def find_session(self, cookie: str | None) -> Session | None:
        """Return the session of a cookie, or None if there is none or it has expired."""
        found = self._sessions.get(cookie or "")
        if found is None or self._clock.monotonic() - found.started_at <= SESSION_S:
            return found
        del self._sessions[found.id]
        return None

    def open_session(self, *, operator: str | None = None) -> Session:
        """Start a session.

        :param operator: name of the logged-in operator, None if nobody has logged in.
        """
        session = Session(
            id=secrets.token_urlsafe(_SECRET_BYTES),
            csrf=secrets.token_urlsafe(_SECRET_BYTES),
            started_at=self._clock.monotonic(),
            operator=operator,
        )
        self._evict_if_full()
        self._sessions[session.id] = session
        return session

    def log_in(self, session: Session, token: str) -> Session | None:
        """Return a new session for the operator with this token, or None if nobody has it.

        The token is compared with every operator's, each in constant time.

        :param session: the session before the login; it ends when the token is valid.
        :param token: the access token from the login form.
        """
        given = token.encode("utf-8", "replace")
        matches = [hmac.compare_digest(given, op.token.encode()) for op in self._operators]
        if not any(matches):
            return None
        self.close_session(session)
        return self.open_session(operator=self._operators[matches.index(True)].name)

    def close_session(self, session: Session) -> None:
        """End a session."""
        self._sessions.pop(session.id, None)

    def _evict_if_full(self) -> None:
        if len(self._sessions) < SESSION_LIMIT:
            return
        without_operator = (known.id for known in self._sessions.values() if known.operator is None)
        del self._sessions[next(without_operator, next(iter(self._sessions)))]
