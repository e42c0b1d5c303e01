"""An operator who asks until the control replicas have answered."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from lychee_runtime import OperatorClient
from lychee_types.document import Document
from lychee_types.exceptions import LycheeError, UnavailableError
from lychee_types.ids import ReplicaId
from lychee_types.operator_messages import (
    ShowReply,
    StatusReply,
)
from lychee_types.records import Endpoint
from lychee_types.state import SubmissionRecord

RETRY_DELAY_S = 0.1
"""Wait after a request that was refused or not answered, in seconds."""

T = TypeVar("T")


class Operator:
    """Asks the same again until it is answered.

    :param controls: addresses of the control replicas.
    """

    def __init__(self, *, controls: tuple[Endpoint, ...]) -> None:
        self._controls = controls
        self._first_replica = 0

    def _client(self) -> OperatorClient:
        """Return a client that begins with the next control replica."""
        self._first_replica = (self._first_replica + 1) % len(self._controls)
        return OperatorClient(
            control=self._controls[self._first_replica :] + self._controls[: self._first_replica]
        )

    async def submit(
        self, document: Document, *, submission: str, based_on: int, author: str, timeout_s: float
    ) -> SubmissionRecord:
        """Submit a document; the same submission id is resent until it is answered.

        :raises UnavailableError: if there is no answer in time.
        """
        return await _retry_until_answered(
            lambda: self._client().submit(
                submission=submission, based_on=based_on, author=author, document=document
            ),
            timeout_s,
        )

    async def status(self, *, timeout_s: float) -> StatusReply:
        """Return how the deployment is.

        :raises UnavailableError: if there is no answer in time.
        """
        return await _retry_until_answered(lambda: self._client().status(), timeout_s)

    async def show(self, version: int, *, timeout_s: float) -> ShowReply:
        """Return a version of the document, 0 for the one in force.

        :raises UnavailableError: if there is no answer in time.
        """
        return await _retry_until_answered(lambda: self._client().show(version=version), timeout_s)

    async def replace(
        self, *, old: ReplicaId, new: ReplicaId, endpoint: Endpoint, timeout_s: float
    ) -> tuple[ReplicaId, ...]:
        """Replace a control replica and return the voters.

        :raises UnavailableError: if there is no answer in time.
        """
        return await _retry_until_answered(
            lambda: self._client().replace(old=old, new=new, endpoint=endpoint), timeout_s
        )


async def _retry_until_answered(work: Callable[[], Coroutine[Any, Any, T]], timeout_s: float) -> T:
    """Ask until there is an answer."""
    last = "nothing was answered"
    try:
        async with asyncio.timeout(timeout_s):
            while True:
                try:
                    return await work()
                except LycheeError as exc:
                    last = str(exc)
                await asyncio.sleep(RETRY_DELAY_S)
    except TimeoutError as exc:
        raise UnavailableError(
            message=f"no answer of the control replicas within {timeout_s:g} s; last: {last}",
            remedy="read the logs of the control replicas",
        ) from exc
