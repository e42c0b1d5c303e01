"""A stand-in for an operator, who retries requests until the control replicas reply."""

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
"""Delay after a request that was refused or got no reply, in seconds."""

T = TypeVar("T")


class Operator:
    """Sends requests to the control replicas, and repeats each until it gets a reply.

    :param controls: addresses of the control replicas.
    """

    def __init__(self, *, controls: tuple[Endpoint, ...]) -> None:
        self._controls = controls
        self._first_replica = 0

    def _client(self) -> OperatorClient:
        """Return a client that tries the control replicas in turn, starting with the next one."""
        self._first_replica = (self._first_replica + 1) % len(self._controls)
        return OperatorClient(
            control=self._controls[self._first_replica :] + self._controls[: self._first_replica]
        )

    async def submit(
        self, document: Document, *, submission: str, based_on: int, author: str, timeout_s: float
    ) -> SubmissionRecord:
        """Submit a document; retries keep its submission id.

        :raises UnavailableError: if there is no reply in time.
        """
        return await _retry_until_answered(
            lambda: self._client().submit(
                submission=submission, based_on=based_on, author=author, document=document
            ),
            timeout_s,
        )

    async def status(self, *, timeout_s: float) -> StatusReply:
        """Return the status of the deployment.

        :raises UnavailableError: if there is no reply in time.
        """
        return await _retry_until_answered(lambda: self._client().status(), timeout_s)

    async def show(self, version: int, *, timeout_s: float) -> ShowReply:
        """Return a version of the document, 0 for the current one.

        :raises UnavailableError: if there is no reply in time.
        """
        return await _retry_until_answered(lambda: self._client().show(version=version), timeout_s)

    async def replace(
        self, *, old: ReplicaId, new: ReplicaId, endpoint: Endpoint, timeout_s: float
    ) -> tuple[ReplicaId, ...]:
        """Replace a control replica and return the ids of the voters.

        :raises UnavailableError: if there is no reply in time.
        """
        return await _retry_until_answered(
            lambda: self._client().replace(old=old, new=new, endpoint=endpoint), timeout_s
        )


async def _retry_until_answered(
    request: Callable[[], Coroutine[Any, Any, T]], timeout_s: float
) -> T:
    """Repeat a request until there is a reply."""
    error = "no attempt finished"
    try:
        async with asyncio.timeout(timeout_s):
            while True:
                try:
                    return await request()
                except LycheeError as exc:
                    error = str(exc)
                await asyncio.sleep(RETRY_DELAY_S)
    except TimeoutError as exc:
        raise UnavailableError(
            message=f"no reply from the control replicas within {timeout_s:g} s; last: {error}",
            remedy="read the logs of the control replicas",
        ) from exc
