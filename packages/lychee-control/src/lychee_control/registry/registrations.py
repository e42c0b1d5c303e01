"""Registrations and departures of backend servers, as their calls report them."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from loguru import logger
from msgspec.structs import replace

from lychee_control.registry.heartbeats import HeartbeatTracker
from lychee_control.registry.orders import ApiReply, Heard, Heartbeat, Leave, Refused, Unavailable
from lychee_control.registry.proposals import Propose
from lychee_ranges import RoutedState
from lychee_types.clock import Clock
from lychee_types.ids import Incarnation
from lychee_types.records import Endpoint
from lychee_types.registry import UNKNOWN_INCARNATION, RegisteredServer, ServerIncarnation
from lychee_types.registry_commands import (
    Applied,
    Obsolete,
    RegisterServer,
    RemoveServer,
    RoutedOutcome,
)


class AnswerWithKeys(Protocol):
    """Returns the reply to a server's newest heartbeat, with its keys where it needs them."""

    def __call__(
        self, heartbeat: Heartbeat, received_at: float, *, may_wait: bool
    ) -> Awaitable[ApiReply]:
        """Return the reply.

        :param heartbeat: the heartbeat.
        :param received_at: when it was received, as monotonic time in seconds.
        :param may_wait: whether the reply may wait for a change of the server's keys.
        """
        ...


class RegistrationDesk:
    """Answers servers' heartbeats and deregistrations, while this replica leads.

    :param state: the replicated state.
    :param propose: commits a command.
    :param heartbeats: the servers' last heartbeats.
    :param record_cold: notes what a heartbeat says of a server that is cold.
    :param answer_with_keys: makes the reply to a heartbeat of a registered server.
    :param clock: source of time.
    :param endpoint: address of this replica for servers' next heartbeats.
    :param max_silence_s: time without a heartbeat after which a record is removed, in seconds.
    :param drain_s: time for which a departed server's record is kept, in seconds.
    """

    def __init__(
        self,
        *,
        state: RoutedState,
        propose: Propose,
        heartbeats: HeartbeatTracker,
        record_cold: Callable[[RegisteredServer], None],
        answer_with_keys: AnswerWithKeys,
        clock: Clock,
        endpoint: Endpoint,
        max_silence_s: float,
        drain_s: float,
    ) -> None:
        self._state = state
        self._propose = propose
        self._heartbeats = heartbeats
        self._record_cold = record_cold
        self._answer_with_keys = answer_with_keys
        self._clock = clock
        self._endpoint = endpoint
        self._max_silence_s = max_silence_s
        self._drain_s = drain_s
        self._left_at: dict[ServerIncarnation, float] = {}
        self._outdated_at: dict[ServerIncarnation, float] = {}
        self._departing: set[ServerIncarnation] = set()
        """Incarnations whose departures were proposed; the state may not hold them yet."""

    async def answer_heartbeat(self, heartbeat: Heartbeat) -> ApiReply:
        """Register a server or note that it is alive, and return the reply."""
        server = heartbeat.server
        now = self._clock.monotonic()
        if not self._heartbeats.record(heartbeat, now):
            return self._answer_old_heartbeat(heartbeat)
        self._record_cold(server)
        known = self._state.servers.get(server.run.server)
        if known is not None and known.run == server.run:
            is_leaving = known.is_leaving or server.is_leaving or server.run in self._departing
            server = replace(server, cold_s=known.cold_s, is_leaving=is_leaving)
            if known == server:
                return await self._answer_with_keys(heartbeat, now, may_wait=True)
        elif self._is_late(server.run, now):
            return _refuse(heartbeat, "a later run was registered")
        elif not await self._record_displaced(server):
            return Unavailable(reason="the end of a former run is not committed yet")
        outcome = await self._propose_server(server)
        match outcome:
            case Applied():
                _log_registered(server)
                return await self._answer_with_keys(heartbeat, now, may_wait=False)
            case Obsolete(reason=reason):
                return _refuse(heartbeat, reason)
            case _:
                return Unavailable(reason="the heartbeat is not committed yet")

    async def answer_leave(self, leave: Leave) -> ApiReply:
        """Record that a server leaves, and return the reply.

        The reply promises that the incarnation gets no requests any more, so it is given only once
        that is committed. What this replica knows may be old: it may have been suspended since.
        """
        known = self._state.servers.get(leave.server)
        if known is not None and leave.incarnation in (None, known.run.incarnation):
            is_recorded = await self._record_departure(known)
        else:
            incarnation = Incarnation(leave.incarnation or UNKNOWN_INCARNATION)
            is_recorded = await self._record_end(
                ServerIncarnation(server=leave.server, incarnation=incarnation)
            )
        if not is_recorded:
            return Unavailable(reason="the departure is not committed yet")
        return self._heard()

    def departed(self) -> tuple[ServerIncarnation, ...]:
        """Return the registered servers that have left or have sent no heartbeat for too long."""
        now = self._clock.monotonic()
        self._departing &= {server.run for server in self._state.servers.values()}
        return tuple(
            server.run for server in self._state.servers.values() if self._is_gone(server.run, now)
        )

    async def remove(self, incarnation: ServerIncarnation) -> None:
        """Remove the record of a server that has departed."""
        if await self._propose(RemoveServer(run=incarnation)) is not None:
            self._left_at.pop(incarnation, None)
            self._heartbeats.forget(incarnation)
            logger.bind(event="server_removed", server=incarnation.server).info("server removed")

    def _answer_old_heartbeat(self, heartbeat: Heartbeat) -> ApiReply:
        """Return the reply to a heartbeat that is not newer than its incarnation's last one.

        It acknowledges no registration and no departure that is not committed. Keys that it names
        as released stand in the newer one as well, whose own reply acknowledges them.
        """
        server = heartbeat.server
        logger.bind(event="old_heartbeat", server=server.run.server).info(
            "heartbeat {} is older than the last one", heartbeat.sequence
        )
        known = self._state.servers.get(server.run.server)
        is_registered = known is not None and known.run == server.run
        is_departure_open = server.is_leaving and not (known and known.is_leaving)
        if not is_registered or is_departure_open:
            return Unavailable(reason="a newer heartbeat is not committed yet")
        return self._heard()

    async def _propose_server(self, server: RegisteredServer) -> RoutedOutcome | None:
        if server.is_leaving:
            self._departing.add(server.run)
        return await self._propose(RegisterServer(server=server))

    async def _record_departure(self, known: RegisteredServer) -> bool:
        """Return whether it is committed that a registered server leaves."""
        if not known.is_leaving:
            server = replace(known, is_leaving=True)
            match await self._propose_server(server):
                case Applied():
                    _log_registered(server)
                case Obsolete():
                    return await self._record_end(known.run)
                case _:
                    return False
        self._left_at.setdefault(known.run, self._clock.monotonic())
        return True

    async def _record_end(self, incarnation: ServerIncarnation) -> bool:
        """Return whether it is committed that an incarnation has ended, registered or not.

        A heartbeat of it that arrives later does not register it.
        """
        if self._state.has_ended(incarnation):
            return True
        if await self._propose(RemoveServer(run=incarnation)) is None:
            return False
        logger.bind(
            event="server_ended", server=incarnation.server, incarnation=incarnation.incarnation
        ).info("end of a server's incarnation committed")
        return True

    async def _record_displaced(self, server: RegisteredServer) -> bool:
        """Record the departures of the servers whose records a new one is about to replace.

        Returns whether they are committed.
        """
        leaving = [other for other in self._state.displaced_by(server) if other.is_leaving]
        for other in leaving:
            if other.run.incarnation > server.run.incarnation:
                continue
            if not await self._record_end(other.run):
                return False
        return True

    def _is_gone(self, incarnation: ServerIncarnation, now: float) -> bool:
        left_at = self._left_at.get(incarnation)
        has_left = left_at is not None and now - left_at > self._drain_s
        silent_s = now - self._heartbeats.last_heartbeat_at(incarnation)
        return has_left or silent_s > self._max_silence_s

    def _is_late(self, incarnation: ServerIncarnation, now: float) -> bool:
        """Return whether a heartbeat may be of a process that has ended, and its successor as well.

        A server whose clock was set back goes on sending heartbeats.
        """
        if not self._state.is_outdated(incarnation):
            return False
        first_at = self._outdated_at.setdefault(incarnation, now)
        return now - first_at < self._max_silence_s

    def _heard(self) -> Heard:
        return Heard(next_at=self._endpoint)


def _refuse(heartbeat: Heartbeat, reason: str) -> Refused:
    logger.bind(event="heartbeat_refused", server=heartbeat.server.run.server).warning(
        "heartbeat refused: {}", reason
    )
    return Refused(reason=reason)


def _log_registered(server: RegisteredServer) -> None:
    logger.bind(
        event="server_leaving" if server.is_leaving else "server_registered",
        server=server.run.server,
        incarnation=server.run.incarnation,
        service=server.service,
        address=str(server.endpoint),
    ).info("server record committed")
