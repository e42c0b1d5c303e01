"""The leader's work in a routed deployment: registrations, routing changes, key ranges."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from loguru import logger
from msgspec.msgpack import Encoder
from xxhash import xxh3_128_digest

from lychee_control.registry.call_delivery import CallDelivery
from lychee_control.registry.calls import GrantCodec
from lychee_control.registry.cold import ColdBoard, ColdDesk
from lychee_control.registry.crashes import CrashBoard
from lychee_control.registry.delivery import GrantDelivery, LeaderTerm
from lychee_control.registry.evacuations import EvacuationDesk
from lychee_control.registry.gateways import GatewayBoard
from lychee_control.registry.heartbeat_delivery import HeartbeatDelivery
from lychee_control.registry.heartbeats import HeartbeatTracker
from lychee_control.registry.limits import LimitBoard, PermitDesk
from lychee_control.registry.orders import (
    Accepted,
    ApiReply,
    ChangeOrder,
    Conflict,
    CurrentRouting,
    EvacuationOrder,
    Heard,
    Heartbeat,
    LeaderCall,
    Leave,
    ReadOrder,
    Refused,
    Unavailable,
)
from lychee_control.registry.overloads import OverloadBoard
from lychee_control.registry.proposals import RangeWriter
from lychee_control.registry.range_manager import RangeManager
from lychee_control.registry.registrations import RegistrationDesk
from lychee_log import Replica
from lychee_ranges import KeyTable, LoadTracker, RoutedState
from lychee_types.clock import Clock
from lychee_types.cold_messages import ColdReport
from lychee_types.crash_messages import CrashReport
from lychee_types.exceptions import InvariantError, LycheeError
from lychee_types.ids import ServiceName
from lychee_types.limit_messages import LimitReport, ObservedLimit, PermitRequest
from lychee_types.peer_messages import GatewayReport, KnownGateways
from lychee_types.registry import RegisteredServer, ServerIncarnation
from lychee_types.registry_commands import (
    ChangeRouting,
    RoutedCommand,
    RoutedOutcome,
    RoutingAccepted,
    RoutingConflict,
    RoutingRefused,
    SetRanges,
    encode_routed_command,
)
from lychee_types.registry_messages import (
    LeaderNews,
    LeaderNote,
    LeaderReply,
    LoadReport,
)
from lychee_types.routed_settings import RegistrySettings

COMMIT_TIMEOUT_S = 0.9
"""Maximum wait for a commit before the reply is that the outcome is unknown, in seconds."""

REMOVAL_MISSED_HEARTBEATS = 20.0
"""Missed heartbeats after which a server's record is removed."""

CLEANUP_INTERVAL_S = 0.5
"""Interval at which departed servers and idle buckets are removed, in seconds."""

SPREAD_INTERVAL_S = 2.0
"""Interval at which news for gateways are sent again, in seconds."""

BATCH_S = 0.1
"""Time for which changes of gateways are collected before they are sent, in seconds.

Many gateways are cut off at the same moment.
"""

HOLD_S = 3.0
"""Hold time of a grant, in seconds; once it has passed, an unreachable owner's keys are free."""

_ENCODER = Encoder()


class RegistryLeader:
    """The leader's work in one term.

    :param cfg: the replica's settings.
    :param replica: the replicated log.
    :param state: the replicated state, current as of the term's first entry.
    :param codec: translates calls to servers.
    :param limits: what is known of the servers' rate limits.
    :param crashes: what is known of requests under which servers end.
    :param gateways: what gateways have reported of themselves.
    :param spread: sends news to all gateways.
    :param clock: source of time.
    :param cold: what is known of cold servers, None for nothing yet.
    """

    def __init__(
        self,
        *,
        cfg: RegistrySettings,
        replica: Replica,
        state: RoutedState,
        codec: GrantCodec,
        limits: LimitBoard,
        crashes: CrashBoard,
        gateways: GatewayBoard,
        spread: Callable[[LeaderNews], None],
        clock: Clock,
        cold: ColdBoard | None = None,
    ) -> None:
        self._cfg = cfg
        self._replica = replica
        self._state = state
        self._codec = codec
        self._clock = clock
        self._limits = limits
        cold = cold or ColdBoard(state=lambda: state, clock=clock)
        self._cold = ColdDesk(board=cold, spread=spread, clock=clock)
        self._permits = PermitDesk(board=limits, cold=cold, clock=clock)
        self._crashes = crashes
        self._evacuations = EvacuationDesk(state=state, domains=cfg.domains, propose=self.propose)
        self._gateways = gateways
        self._is_batch_due = False
        self._spread = spread
        self._spread_at = 0.0
        self._heartbeats = HeartbeatTracker(now=clock.monotonic())
        self._registrations = RegistrationDesk(
            state=state,
            propose=self.propose,
            heartbeats=self._heartbeats,
            record_cold=self._cold.record_heartbeat,
            answer_with_keys=self._answer_with_keys,
            clock=clock,
            endpoint=cfg.endpoint,
            max_silence_s=REMOVAL_MISSED_HEARTBEATS * cfg.heartbeat_s,
            drain_s=cfg.bounds.drain_s,
        )
        self._loads = LoadTracker(now=clock.monotonic())
        self.overloads = OverloadBoard(
            state=state, loads=self._loads, spread=spread, spawn=self._spawn, clock=clock
        )
        self._term = LeaderTerm(
            heartbeats=self._heartbeats,
            spawn=self._spawn,
            clock=clock,
            lease_expires_at=replica.lease_expires_at,
            find_successor=self._find_successor,
            heartbeat_s=cfg.heartbeat_s,
            hold_s=min(HOLD_S, cfg.bounds.hold_max_s),
            began_at=state.index,
        )
        self._range_managers: dict[ServiceName, RangeManager] = {}
        self._tasks: dict[asyncio.Task[None], str] = {}
        self._failure: BaseException | None = None
        self._ended = asyncio.Event()

    async def run(self) -> None:
        """Do the leader's work until the term is over.

        :raises InvariantError: if an invariant is violated.
        """
        try:
            while not self._ended.is_set():
                self._start_range_managers()
                self._remove_departed_servers()
                self._loads.drop_idle_buckets(self._clock.monotonic())
                self._spread_again()
                try:
                    async with asyncio.timeout(CLEANUP_INTERVAL_S):
                        await self._ended.wait()
                except TimeoutError:
                    continue
        finally:
            tasks = list(self._tasks)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        if self._failure is not None:
            raise self._failure

    def stop(self) -> None:
        """Stop the work, because another replica may be the leader."""
        self._ended.set()

    def on_applied(self, command: RoutedCommand, outcome: RoutedOutcome) -> None:
        """Handle a command that was applied to the state."""
        if isinstance(command, ChangeRouting) and isinstance(outcome, RoutingAccepted):
            self._start_range_managers()
        if isinstance(command, SetRanges) and command.service in self._range_managers:
            self._range_managers[command.service].on_ranges_set(command.ranges)

    def handle_note(self, note: LeaderNote) -> LeaderReply | None:
        """Handle a gateway's message, and return the reply to it if there is one."""
        match note:
            case LoadReport():
                self._loads.add_report(note, self._clock.monotonic())
                self.overloads.record(note)
            case LimitReport(limits=limits):
                self._record_limits(limits)
            case CrashReport(requests=requests):
                if self._crashes.record(requests):
                    self._spread_crashes()
            case GatewayReport():
                if self._gateways.record(note):
                    self._spread_gateways_soon()
            case ColdReport(servers=servers):
                self._cold.record(servers)
            case PermitRequest(limit=limit, is_cold=is_cold):
                if limit.per_s is not None or not is_cold:
                    self._record_limits((limit,))
                return self._permits.answer(note, holds_lease=self._term.holds_lease)
        return None

    async def answer(self, call: LeaderCall) -> ApiReply:
        """Answer a call of a server or an operator."""
        match call:
            case Heartbeat():
                return await self._registrations.answer_heartbeat(call)
            case Leave():
                return await self._registrations.answer_leave(call)
            case ChangeOrder():
                return await self._change_routing(call)
            case ReadOrder():
                return self._read_routing()
            case EvacuationOrder():
                return await self._evacuations.answer(call)

    async def _answer_with_keys(
        self, heartbeat: Heartbeat, received_at: float, *, may_wait: bool
    ) -> ApiReply:
        """Return the reply to a server's newest heartbeat, with its keys where it needs them."""
        manager = self._range_managers.get(heartbeat.server.service)
        if manager is None or not isinstance(manager.delivery, HeartbeatDelivery):
            return Heard(next_at=self._cfg.endpoint)
        granted = await manager.delivery.answer(heartbeat, received_at, may_wait=may_wait)
        if granted is None and heartbeat.released:
            # Once its release is acknowledged, the server forgets its handover.
            return Unavailable(reason="the release is not committed yet")
        return Heard(next_at=self._cfg.endpoint, granted=granted)

    async def _change_routing(self, call: ChangeOrder) -> ApiReply:
        try:
            digest = xxh3_128_digest(_ENCODER.encode((call.based_on, call.number, call.change)))
        except OverflowError:
            return Refused(reason="a number has more than 64 bits")
        command = ChangeRouting(
            number=call.number, based_on=call.based_on, change=call.change, digest=digest
        )
        outcome = await self.propose(command)
        logger.bind(
            event="routing", number=call.number, based_on=call.based_on, outcome=repr(outcome)
        ).info("operator submitted a change of the routing configuration")
        match outcome:
            case RoutingAccepted(number=number):
                return Accepted(number=number)
            case RoutingConflict(number=number):
                return Conflict(number=number)
            case RoutingRefused(reason=reason):
                return Refused(reason=reason)
            case _:
                return Unavailable(reason="the change is not known to be committed")

    def _record_limits(self, limits: tuple[ObservedLimit, ...]) -> None:
        if self._limits.record(limits):
            self._spread_limits()

    def _spread_limits(self) -> None:
        """Send what is known of the limits of registered servers to all gateways."""
        runs = {server.run for server in self._state.servers.values()}
        self._limits.keep_only(runs)
        self._permits.keep_only(runs)
        news = self._limits.news()
        if news.limits:
            self._spread(news)

    def _spread_again(self) -> None:
        """Send all news again from time to time, as messages may have been lost."""
        now = self._clock.monotonic()
        self._cold.spread_again({server.run for server in self._state.servers.values()})
        if now < self._spread_at:
            return
        self._spread_at = now + SPREAD_INTERVAL_S
        self._permits.raise_unconfirmed()
        self._spread_limits()
        self._spread_crashes()
        self._spread_known(self._gateways.take_sample())

    def _spread_crashes(self) -> None:
        """Send what is known of suspected and blocked requests to all gateways."""
        news = self._crashes.news()
        if news.requests:
            self._spread(news)

    def _spread_gateways_soon(self) -> None:
        if not self._is_batch_due:
            self._is_batch_due = True
            self._spawn(self._spread_gateways(), "news of gateways")

    async def _spread_gateways(self) -> None:
        """Send the changes of gateways to all gateways."""
        await asyncio.sleep(BATCH_S)
        self._is_batch_due = False
        self._spread_known(self._gateways.take_changes())

    def _spread_known(self, news: KnownGateways) -> None:
        if news.gateways:
            self._spread(news)

    def _read_routing(self) -> ApiReply:
        if not self._term.holds_lease:
            return Unavailable(reason="another replica may know a newer version")
        if self._state.version.number == 0:
            return Unavailable(reason="no routes have been submitted yet")
        return CurrentRouting(version=self._state.version)

    async def propose(self, command: RoutedCommand) -> RoutedOutcome | None:
        """Commit a command and return its outcome; None if it is unknown whether it was committed.

        :param command: the command.
        """
        try:
            async with asyncio.timeout(COMMIT_TIMEOUT_S):
                committed = await self._replica.propose(encode_routed_command(command))
        except InvariantError:
            raise
        except (LycheeError, TimeoutError) as exc:
            logger.bind(event="not_committed").warning(
                "unknown whether {} was committed: {}", type(command).__name__, exc
            )
            return None
        outcome: RoutedOutcome = committed.result  # type: ignore[assignment]
        return outcome

    def _start_range_managers(self) -> None:
        for service in self._state.routing.services:
            if not service.is_keyed or service.name in self._range_managers:
                continue
            by_heartbeat = service.grants_by_heartbeat
            manager = RangeManager(
                service=service.name,
                state=self._state,
                heartbeats=self._heartbeats,
                loads=self._loads,
                make_delivery=(
                    self._make_heartbeat_delivery if by_heartbeat else self._make_call_delivery
                ),
                propose=self.propose,
                spawn=self._spawn,
                clock=self._clock,
                limit_per_s=self._permits.limit_per_s,
                is_cold=self._cold.is_cold,
                heartbeat_s=self._cfg.heartbeat_s,
            )
            self._range_managers[service.name] = manager
            self._spawn(manager.run(), f"keys of {service.name}")

    def _make_call_delivery(
        self, table: Callable[[], KeyTable], writer: RangeWriter
    ) -> GrantDelivery:
        return CallDelivery(codec=self._codec, table=table, writer=writer, term=self._term)

    def _make_heartbeat_delivery(
        self, table: Callable[[], KeyTable], writer: RangeWriter
    ) -> GrantDelivery:
        return HeartbeatDelivery(table=table, writer=writer, term=self._term)

    def _find_successor(self, incarnation: ServerIncarnation) -> RegisteredServer | None:
        """Return the other incarnation of the same server that is registered, if there is one."""
        registered = self._state.servers.get(incarnation.server)
        if registered is None or registered.run == incarnation:
            return None
        return registered

    def _remove_departed_servers(self) -> None:
        """Remove the records of departed servers, but for owners of keys."""
        for run in self._registrations.departed():
            if not self._owns_keys(run):
                self._spawn(self._registrations.remove(run), f"remove {run.server}")

    def _owns_keys(self, incarnation: ServerIncarnation) -> bool:
        return any(
            key_range.owner == incarnation
            for table in self._state.tables.values()
            for key_range in table.ranges
        )

    def _spawn(self, work: Coroutine[Any, Any, None], name: str) -> "asyncio.Task[None]":
        task = asyncio.create_task(work, name=name)
        self._tasks[task] = name
        task.add_done_callback(self._task_done)
        return task

    def _task_done(self, task: "asyncio.Task[None]") -> None:
        name = self._tasks.pop(task)
        if task.cancelled() or task.exception() is None:
            return
        self._failure = task.exception()
        logger.opt(exception=self._failure).error("task {} failed", name)
        self._ended.set()
