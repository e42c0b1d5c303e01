"""Simulated gateways that only attach to a control replica and renew their lease.

Many of them run in one process.
"""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from lychee_runtime import Link, open_link
from lychee_types.commands import Outcome, SubmitDocument
from lychee_types.exceptions import UnavailableError
from lychee_types.ids import DomainName, GatewayId, LogIndex, SessionId
from lychee_types.messages import (
    ATTACH,
    Attach,
    Deltas,
    LedgerFailed,
    LedgerReply,
    LedgerRequest,
    RenewLease,
    Snapshot,
    ToControl,
    ToGateway,
)
from lychee_types.records import Endpoint, GatewayRecord, LedgerEntry, LedgerStatus
from lychee_types.timing import Timing

RETRY_S = 0.2
"""Delay before a broken stream is opened again, in seconds."""


class LightGateway:
    """A gateway that serves no requests and knows no servers.

    :param name: its id.
    :param domain: its failure domain.
    :param control: address of the control replica that it attaches to.
    """

    def __init__(self, *, name: str, domain: str, control: Endpoint) -> None:
        self.document_version = 0
        self.document_version_at = 0.0
        self._control = control
        self._session = SessionId(f"{name}-{time.time_ns()}")
        self._record = GatewayRecord(
            id=GatewayId(name), session=self._session, domain=DomainName(domain)
        )
        self._applied = LogIndex(0)
        self._last_ledger_number = 0
        self._link: Link[ToControl, ToGateway] | None = None
        self._ledger_calls: dict[int, asyncio.Future[Outcome | None]] = {}

    async def run(self) -> None:
        """Stay attached, reconnecting whenever the stream breaks, until cancelled."""
        while True:
            try:
                async with open_link(
                    endpoint=self._control, method=ATTACH, send=ToControl, receive=ToGateway
                ) as link:
                    await self._run_link(link)
            except UnavailableError:
                self._link = None
            await asyncio.sleep(RETRY_S)

    async def open_ledger(self, key: str) -> Outcome | None:
        """Open a ledger entry and return its outcome, None if the control replica failed to."""
        assert self._link is not None
        self._last_ledger_number += 1
        entry = LedgerEntry(
            key=key, digest=0, session=self._session, status=LedgerStatus.OPEN, opened_at=0.0
        )
        fut: asyncio.Future[Outcome | None] = asyncio.get_running_loop().create_future()
        self._ledger_calls[self._last_ledger_number] = fut
        self._link.post(
            LedgerRequest(session=self._session, number=self._last_ledger_number, entry=entry)
        )
        return await fut

    async def _run_link(self, link: Link[ToControl, ToGateway]) -> None:
        self._link = link
        link.post(Attach(gateway=self._record, have=self._applied))
        renew_task = asyncio.create_task(self._renew(link))
        try:
            while batch := await link.receive():
                for message in batch:
                    self._handle(message)
        finally:
            renew_task.cancel()

    async def _renew(self, link: Link[ToControl, ToGateway]) -> None:
        number = 0
        while True:
            number += 1
            link.post(
                RenewLease(
                    session=self._session,
                    number=number,
                    applied=self._applied,
                    document_version=self.document_version,
                )
            )
            await asyncio.sleep(Timing().renew_ms / 1_000)

    def _handle(self, message: ToGateway) -> None:
        match message:
            case Snapshot(image=image):
                self._applied = image.index
                self._advance_version(image.history[-1].version if image.history else 0)
            case Deltas(entries=entries, upto=upto):
                changes = [entry for entry in entries if isinstance(entry.command, SubmitDocument)]
                self._advance_version(self.document_version + len(changes))
                self._applied = upto
            case LedgerReply(number=number, outcome=outcome):
                self._ledger_calls.pop(number).set_result(outcome)
            case LedgerFailed(number=number):
                self._ledger_calls.pop(number).set_result(None)
            case _:
                pass

    def _advance_version(self, version: int) -> None:
        if version > self.document_version:
            self.document_version = version
            self.document_version_at = time.monotonic()


@asynccontextmanager
async def run_light_gateways(
    *, number: int, controls: tuple[Endpoint, ...], domains: tuple[str, ...]
) -> AsyncIterator[tuple[LightGateway, ...]]:
    """Run light gateways until the block ends.

    They are spread evenly over the control replicas and the failure domains.
    """
    gateways = tuple(
        LightGateway(
            name=f"light-{index}",
            domain=domains[index % len(domains)],
            control=controls[index % len(controls)],
        )
        for index in range(number)
    )
    tasks = [asyncio.create_task(gateway.run()) for gateway in gateways]
    try:
        yield gateways
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
