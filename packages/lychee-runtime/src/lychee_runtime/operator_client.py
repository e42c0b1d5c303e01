"""Client of the control replicas for operators' programs."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field
from ssl import SSLContext
from typing import TypeVar

from lychee_runtime.link import open_link
from lychee_types.document import Document
from lychee_types.exceptions import LycheeError, UnavailableError
from lychee_types.ids import ReplicaId
from lychee_types.operator_messages import (
    OPERATE,
    DumpReply,
    DumpRequest,
    HistoryReply,
    HistoryRequest,
    OperatorReply,
    OperatorRequest,
    Refused,
    ReplaceReply,
    ReplaceRequest,
    ShowReply,
    ShowRequest,
    StatusReply,
    StatusRequest,
    SubmitReply,
    SubmitRequest,
)
from lychee_types.records import Endpoint
from lychee_types.state import SubmissionRecord

R = TypeVar("R", bound=OperatorReply)

REPLY_TIMEOUT_S = 5.0
"""Maximum time for one replica to reply, in seconds."""

REPLACE_TIMEOUT_S = 120.0
"""Maximum time to replace a replica, in seconds; the new one receives the whole state first."""

REDIRECT_LIMIT = 4
"""Maximum number of replicas that a request tries in turn when each redirects it to a leader."""


class RefusedError(LycheeError):
    """A control replica refused a request."""


@dataclass(slots=True)
class _Attempt:
    """Progress of a request over several replicas.

    :param sent: whether a replica may have acted on it.
    :param failures: error messages, one for each replica that failed.
    """

    sent: bool = False
    failures: list[str] = field(default_factory=list)


class OperatorClient:
    """Sends requests to the control replicas and follows their redirects to the leader.

    :param control: addresses of control replicas, tried in order.
    :param ssl: TLS context, None for plain TCP.
    """

    def __init__(self, *, control: Sequence[Endpoint], ssl: SSLContext | None = None) -> None:
        self._control = tuple(control)
        self._ssl = ssl

    async def submit(
        self, *, submission: str, based_on: int, author: str, document: Document
    ) -> SubmissionRecord:
        """Submit a document; resending the same submission gives the same outcome.

        :param submission: id that the operator chose for this submission.
        :param based_on: the version that the document is based on, 0 for the first.
        :param author: who submits.
        :param document: the document.
        :raises RefusedError: if the document is refused.
        :raises UnavailableError: if no replica replies; resend the same submission then.
        """
        request = SubmitRequest(
            submission=submission, based_on=based_on, author=author, document=document
        )
        return (await self._ask(request, SubmitReply)).record

    async def show(self, *, version: int = 0) -> ShowReply:
        """Return a version of the document.

        :param version: the version, 0 for the one in force.
        :raises RefusedError: if there is no such version.
        """
        reply = await self._ask(ShowRequest(version=version), ShowReply)
        if version and reply.document is None:
            raise RefusedError(
                message=f"there is no version {version}",
                remedy="ask for an accepted version that is still kept",
            )
        return reply

    async def history(self) -> tuple[SubmissionRecord, ...]:
        """Return the outcomes of past submissions, oldest first."""
        return (await self._ask(HistoryRequest(), HistoryReply)).submissions

    async def status(self) -> StatusReply:
        """Return the state of the deployment."""
        return await self._ask(StatusRequest(), StatusReply)

    async def dump(self) -> str:
        """Return the first reachable replica's state as YAML."""
        return (await self._ask(DumpRequest(), DumpReply)).text

    async def replace(
        self, *, old: ReplicaId, new: ReplicaId, endpoint: Endpoint
    ) -> tuple[ReplicaId, ...]:
        """Replace a control replica and return the voters.

        :param old: the replica that leaves, empty to add one.
        :param new: the replica that joins, empty to remove one.
        :param endpoint: the new replica's address.
        :raises UnavailableError: if no replica replies; the replacement may be in progress then.
        """
        request = ReplaceRequest(old=old, new=new, endpoint=endpoint)
        return (await self._ask(request, ReplaceReply, timeout_s=REPLACE_TIMEOUT_S)).voters

    async def _ask(
        self, request: OperatorRequest, kind: type[R], *, timeout_s: float = REPLY_TIMEOUT_S
    ) -> R:
        attempt = _Attempt()
        for endpoint in self._control:
            try:
                reply = await self._follow_redirects(endpoint, request, attempt, timeout_s)
            except UnavailableError as exc:
                attempt.failures.append(exc.message)
                if attempt.sent and isinstance(request, ReplaceRequest):
                    break
                continue
            return _check_reply_type(reply, kind)
        raise UnavailableError(
            message="no control replica answered: " + "; ".join(attempt.failures),
            remedy="check the addresses, the key files and that a majority of replicas runs",
        )

    async def _follow_redirects(
        self, endpoint: Endpoint, request: OperatorRequest, attempt: _Attempt, timeout_s: float
    ) -> OperatorReply:
        for _ in range(REDIRECT_LIMIT):
            reply = await self._ask_one(endpoint, request, attempt, timeout_s)
            if isinstance(reply, Refused) and reply.unavailable:
                raise UnavailableError(
                    message=f"{endpoint} answered: {reply.message}", remedy=reply.remedy
                )
            if not isinstance(reply, Refused) or reply.leader in (None, endpoint):
                return reply
            endpoint = reply.leader
        raise UnavailableError(
            message=f"the leader changed {REDIRECT_LIMIT} times",
            remedy="wait for the election and ask again",
        )

    async def _ask_one(
        self, endpoint: Endpoint, request: OperatorRequest, attempt: _Attempt, timeout_s: float
    ) -> OperatorReply:
        link_to = open_link(
            endpoint=endpoint,
            method=OPERATE,
            send=OperatorRequest,
            receive=OperatorReply,
            ssl=self._ssl,
        )
        try:
            async with asyncio.timeout(timeout_s), link_to as link:
                attempt.sent = True
                link.post(request)
                replies: tuple[OperatorReply, ...] = await link.receive()
        except TimeoutError as exc:
            raise UnavailableError(
                message=f"{endpoint} did not answer within {timeout_s:g} s",
                remedy="check that a majority of replicas runs",
            ) from exc
        if not replies:
            raise UnavailableError(
                message=f"{endpoint} closed the stream without an answer",
                remedy="ask again, or read that replica's log",
            )
        return replies[0]


def _check_reply_type(reply: OperatorReply, kind: type[R]) -> R:
    if isinstance(reply, kind):
        return reply
    if isinstance(reply, Refused):
        raise RefusedError(message=reply.message, remedy=reply.remedy)
    raise UnavailableError(
        message=f"a control replica answered {type(reply).__name__} instead of {kind.__name__}",
        remedy="run the same version of lycheescale everywhere",
    )
