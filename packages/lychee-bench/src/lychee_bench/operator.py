"""An operator's program that talks to the control replicas."""

import asyncio
from typing import TypeVar

from lychee_runtime import open_link
from lychee_types.document import Document
from lychee_types.exceptions import UnavailableError
from lychee_types.messages import (
    OPERATE,
    OperatorReply,
    OperatorRequest,
    Refused,
    StatusReply,
    StatusRequest,
    SubmitReply,
    SubmitRequest,
)
from lychee_types.records import Endpoint
from lychee_types.state import SubmissionRecord

ANSWER_TIMEOUT_S = 3.0
"""Time for one control replica to answer, in seconds."""

PAUSE_S = 0.1
"""Wait after all control replicas have refused, in seconds."""

T = TypeVar("T")


class Operator:
    """Asks control replicas until the leader has answered.

    :param controls: their addresses.
    """

    def __init__(self, *, controls: tuple[Endpoint, ...]) -> None:
        self._controls = controls
        self._turn = 0

    async def submit(
        self, document: Document, *, submission: str, based_on: int, author: str, timeout_s: float
    ) -> SubmissionRecord:
        """Submit a document; the same submission id is resent until it is answered.

        :raises UnavailableError: if there is no answer in time.
        """
        request = SubmitRequest(
            submission=submission, based_on=based_on, author=author, document=document
        )
        return (await self.ask(request, SubmitReply, timeout_s=timeout_s)).record

    async def status(self, *, timeout_s: float) -> StatusReply:
        """Return how the deployment is.

        :raises UnavailableError: if there is no answer in time.
        """
        return await self.ask(StatusRequest(), StatusReply, timeout_s=timeout_s)

    async def ask(self, request: OperatorRequest, kind: type[T], *, timeout_s: float) -> T:
        """Return the reply of the leader.

        :param request: what is asked.
        :param kind: type of the reply.
        :param timeout_s: time for all attempts, in seconds.
        :raises UnavailableError: if there is no such reply in time.
        """
        last = "nobody was asked"
        try:
            async with asyncio.timeout(timeout_s):
                endpoint = self._next()
                while True:
                    reply = await self._ask_once(endpoint, request)
                    if isinstance(reply, kind):
                        return reply
                    last = f"{endpoint}: {reply}"
                    leader = reply.leader if isinstance(reply, Refused) else None
                    endpoint = leader or self._next()
                    await asyncio.sleep(PAUSE_S)
        except TimeoutError as exc:
            raise UnavailableError(
                message=f"no {kind.__name__} within {timeout_s:g} s; last: {last}",
                remedy="read the logs of the control replicas",
            ) from exc

    def _next(self) -> Endpoint:
        self._turn += 1
        return self._controls[self._turn % len(self._controls)]

    async def _ask_once(self, endpoint: Endpoint, request: OperatorRequest) -> OperatorReply | str:
        try:
            async with (
                asyncio.timeout(ANSWER_TIMEOUT_S),
                open_link(
                    endpoint=endpoint, method=OPERATE, send=OperatorRequest, receive=OperatorReply
                ) as link,
            ):
                link.post(request)
                replies: tuple[OperatorReply, ...] = await link.receive()
                return replies[0] if replies else "the stream ended"
        except (UnavailableError, TimeoutError) as exc:
            return f"{type(exc).__name__} {exc}"
