"""Gateways that only attach to a control replica and renew their lease, many in one process."""

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
"""Wait before a broken stream is opened again, in seconds."""


class LightGateway:
    """A gateway without callers and servers.

    :param name: its id.
    :param domain: its failure domain.
    :param control: the control replica that it attaches to.
    """

    def __init__(self, *, name: str, domain: str, control: Endpoint) -> None:
        self.version = 0
        self.version_at = 0.0
        self._control = control
        self._session = SessionId(f"{name}-{time.time_ns()}")
        self._record = GatewayRecord(
            id=GatewayId(name), session=self._session, domain=DomainName(domain)
        )
        self._applied = LogIndex(0)
        self._number = 0
        self._link: Link[ToControl, ToGateway] | None = None
        self._calls: dict[int, asyncio.Future[Outcome | None]] = {}

    async def run(self) -> None:
        """Stay attached until cancelled."""
        while True:
            try:
                async with open_link(
                    endpoint=self._control, method=ATTACH, send=ToControl, receive=ToGateway
                ) as link:
                    await self._use(link)
            except UnavailableError:
                self._link = None
            await asyncio.sleep(RETRY_S)

    async def open_ledger(self, key: str) -> Outcome | None:
        """Open a ledger entry and return its outcome, None if the ledger failed."""
        assert self._link is not None
        self._number += 1
        entry = LedgerEntry(
            key=key, digest=0, session=self._session, status=LedgerStatus.OPEN, opened_at=0.0
        )
        fut: asyncio.Future[Outcome | None] = asyncio.get_running_loop().create_future()
        self._calls[self._number] = fut
        self._link.post(LedgerRequest(session=self._session, number=self._number, entry=entry))
        return await fut

    async def _use(self, link: Link[ToControl, ToGateway]) -> None:
        self._link = link
        link.post(Attach(gateway=self._record, have=self._applied))
        renewing = asyncio.create_task(self._renew(link))
        try:
            while batch := await link.receive():
                for message in batch:
                    self._handle(message)
        finally:
            renewing.cancel()

    async def _renew(self, link: Link[ToControl, ToGateway]) -> None:
        number = 0
        while True:
            number += 1
            link.post(
                RenewLease(
                    session=self._session,
                    number=number,
                    applied=self._applied,
                    document_version=self.version,
                )
            )
            await asyncio.sleep(Timing().renew_ms / 1_000)

    def _handle(self, message: ToGateway) -> None:
        match message:
            case Snapshot(image=image):
                self._applied = image.index
                self._set_version(image.history[-1].version if image.history else 0)
            case Deltas(entries=entries, upto=upto):
                changes = [entry for entry in entries if isinstance(entry.command, SubmitDocument)]
                self._set_version(self.version + len(changes))
                self._applied = upto
            case LedgerReply(number=number, outcome=outcome):
                self._calls.pop(number).set_result(outcome)
            case LedgerFailed(number=number):
                self._calls.pop(number).set_result(None)
            case _:
                pass

    def _set_version(self, version: int) -> None:
        if version > self.version:
            self.version = version
            self.version_at = time.monotonic()


@asynccontextmanager
async def run_light_gateways(
    *, number: int, controls: tuple[Endpoint, ...], domains: tuple[str, ...]
) -> AsyncIterator[tuple[LightGateway, ...]]:
    """Run light gateways until the block ends, spread over the control replicas."""
    gateways = tuple(
        LightGateway(
            name=f"light-{place}",
            domain=domains[place % len(domains)],
            control=controls[place % len(controls)],
        )
        for place in range(number)
    )
    tasks = [asyncio.create_task(gateway.run()) for gateway in gateways]
    try:
        yield gateways
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
