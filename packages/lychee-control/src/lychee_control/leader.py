"""The leader's work: leases, grants, moves of keys, and the request ledger."""

import asyncio
from collections.abc import Callable, Coroutine
from contextlib import suppress
from typing import Any

from loguru import logger
from msgspec.structs import replace

from lychee_log import Replica
from lychee_owner.coordinator import Coordinator
from lychee_owner.state import ClusterState
from lychee_types.clock import Clock
from lychee_types.commands import (
    CloseLedger,
    Command,
    Done,
    ExpireLedger,
    Ignored,
    LedgerFound,
    LedgerFull,
    LedgerOpened,
    OpenLedger,
    Outcome,
    encode_command,
)
from lychee_types.exceptions import (
    InvariantError,
    LycheeError,
    NotLeaderError,
    UnavailableError,
)
from lychee_types.ids import LogIndex, SessionId
from lychee_types.messages import (
    Attach,
    LedgerClosing,
    LedgerFailed,
    LedgerReply,
    LedgerRequest,
    RenewLease,
    ReportLoad,
    ReportServers,
    ServerGrants,
    ToControl,
    ToGateway,
)
from lychee_types.timing import Timing

LEDGER_RETENTION_S = 1_800.0
"""Time for which the outcome of a non-idempotent request is kept, in seconds."""

LEDGER_EXPIRY_INTERVAL_S = 60.0
"""Interval at which expired ledger entries are removed, in seconds."""

MIN_WORK_INTERVAL_S = 0.005
"""Minimum time between two checks for due work, in seconds."""

Reply = Callable[[SessionId, ToGateway], None]
"""Sends a message to a gateway, wherever it is attached."""

Spawn = Callable[[Coroutine[Any, Any, None], str], object]
"""Starts a named task under the daemon."""


class Leader:
    """The leader's work in one term.

    :param replica: the replicated log.
    :param state: the replicated state, current as of the term's first entry.
    :param timing: timing parameters.
    :param clock: source of time.
    :param reply: sends a message to a gateway.
    :param spawn: starts a task.
    """

    def __init__(
        self,
        *,
        replica: Replica,
        state: ClusterState,
        timing: Timing,
        clock: Clock,
        reply: Reply,
        spawn: Spawn,
    ) -> None:
        self._replica = replica
        self._state = state
        self._timing = timing
        self._clock = clock
        self._reply = reply
        self._spawn = spawn
        self._ended = False
        self._work_due = asyncio.Event()
        self.coordinator = Coordinator(state=state, timing=timing, now=clock.monotonic())

    def stop(self) -> None:
        """Stop the work, because another replica may be the leader."""
        self._ended = True
        self._work_due.set()

    async def run(self) -> None:
        """Do due work until the term is over."""
        next_expiry = self._clock.monotonic() + LEDGER_EXPIRY_INTERVAL_S
        while not self._ended:
            now = self._clock.monotonic()
            self._propose_due(now)
            if now >= next_expiry:
                next_expiry = now + LEDGER_EXPIRY_INTERVAL_S
                self._start_proposal(ExpireLedger(before=self._clock.wall() - LEDGER_RETENTION_S))
            await asyncio.sleep(MIN_WORK_INTERVAL_S)
            with suppress(TimeoutError):
                async with asyncio.timeout(self._timing.tick_ms / 1_000):
                    await self._work_due.wait()
            self._work_due.clear()

    def handle(self, session: SessionId, message: ToControl) -> None:
        """Handle a gateway's message.

        :param session: the gateway's session.
        :param message: the message.
        """
        now = self._clock.monotonic()
        match message:
            case Attach(gateway=gateway):
                self.coordinator.attach_gateway(now=now, gateway=gateway)
            case RenewLease():
                answer = self.coordinator.renew_lease(now=now, renewal=message)
                if answer is not None:
                    self._send_grant(session, answer)
            case ReportServers():
                self._handle_announcements(now, session, message)
            case ReportLoad():
                self.coordinator.handle_load_report(now=now, report=message)
            case LedgerRequest():
                self._spawn(self._open_ledger(session, message), "ledger")
            case LedgerClosing():
                self._spawn(self._close_ledger(session, message), "ledger")
        if not isinstance(message, ReportLoad | LedgerRequest | LedgerClosing):
            self._work_due.set()

    def on_applied(self, index: LogIndex, command: Command, outcome: Outcome) -> None:
        """Handle a command that was applied to the state."""
        now = self._clock.monotonic()
        self.coordinator.on_applied(now=now, index=index, command=command, outcome=outcome)
        self._work_due.set()

    def _send_grant(self, session: SessionId, message: ToGateway) -> None:
        """Send a grant, unless another leader may have been elected."""
        if self._clock.monotonic() < self._replica.lease_expires_at():
            self._reply(session, message)

    def _handle_announcements(self, now: float, session: SessionId, report: ReportServers) -> None:
        grants = tuple(
            grant
            for announcement in report.announcements
            if (
                grant := self.coordinator.handle_announcement(
                    now=now, session=session, announcement=announcement
                )
            )
            is not None
        )
        if grants:
            self._send_grant(session, ServerGrants(grants=grants))

    def _propose_due(self, now: float) -> None:
        if self._ended:
            return
        for command in self.coordinator.take_commands(now=now):
            self._start_proposal(command)

    def _start_proposal(self, command: Command) -> None:
        self._spawn(self._propose_and_log(command), "propose")

    async def _propose_and_log(self, command: Command) -> None:
        try:
            committed = await self._replica.propose(encode_command(command))
        except InvariantError:
            raise
        except (NotLeaderError, UnavailableError) as exc:
            logger.debug("{} was not committed: {}", type(command).__name__, exc)
            return
        except LycheeError as exc:
            logger.warning("{} was not committed: {}", type(command).__name__, exc)
            return
        if isinstance(committed.result, Ignored):
            logger.debug("{} ignored: {}", type(command).__name__, committed.result.reason)

    async def _open_ledger(self, session: SessionId, req: LedgerRequest) -> None:
        entry = replace(req.entry, opened_at=self._clock.wall())
        await self._answer_ledger(session, req.number, OpenLedger(entry=entry))

    async def _close_ledger(self, session: SessionId, req: LedgerClosing) -> None:
        command = CloseLedger(
            key=req.key, session=req.session, answer=req.answer, not_run=req.not_run
        )
        await self._answer_ledger(session, req.number, command)

    async def _answer_ledger(self, session: SessionId, number: int, command: Command) -> None:
        try:
            committed = await self._replica.propose(encode_command(command))
        except InvariantError:
            raise
        except LycheeError as exc:
            self._reply(session, LedgerFailed(number=number, reason=str(exc)))
            return
        match committed.result:
            case (LedgerOpened() | LedgerFound() | LedgerFull() | Done() | Ignored()) as outcome:
                self._reply(session, LedgerReply(number=number, outcome=outcome))
            case other:
                raise InvariantError(
                    message=f"broken invariant: a ledger command returned {other!r}",
                    remedy="keep the dump and the log of this process and report them",
                )
