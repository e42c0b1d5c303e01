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
from lychee_types.records import Endpoint
from lychee_types.registry import RegisteredServer, ServerIncarnation
from lychee_types.registry_commands import Applied, Obsolete, RegisterServer, RemoveServer


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

    async def answer_heartbeat(self, heartbeat: Heartbeat) -> ApiReply:
        """Register a server or note that it is alive, and return the reply."""
        server = heartbeat.server
        now = self._clock.monotonic()
        known = self._state.servers.get(server.run.server)
        if not self._heartbeats.record(heartbeat, now):
            logger.bind(event="old_heartbeat", server=server.run.server).info(
                "heartbeat {} is older than the last one", heartbeat.sequence
            )
            return self._heard()
        self._record_cold(server)
        if known is not None and known.run == server.run:
            server = replace(
                server, cold_s=known.cold_s, is_leaving=known.is_leaving or server.is_leaving
            )
            if known == server:
                return await self._answer_with_keys(heartbeat, now, may_wait=True)
        elif self._is_late(server.run, now):
            return _refuse(heartbeat, "a later run was registered")
        outcome = await self._propose(RegisterServer(server=server))
        match outcome:
            case Applied():
                _log_registered(server)
                return await self._answer_with_keys(heartbeat, now, may_wait=False)
            case Obsolete(reason=reason):
                return _refuse(heartbeat, reason)
            case _:
                return Unavailable(reason="the heartbeat is not committed yet")

    async def answer_leave(self, leave: Leave) -> ApiReply:
        """Record that a server leaves, and return the reply."""
        known = self._state.servers.get(leave.server)
        if known is None:
            return self._heard()
        if leave.incarnation is not None and leave.incarnation != known.run.incarnation:
            return self._heard()
        if not known.is_leaving:
            server = replace(known, is_leaving=True)
            outcome = await self._propose(RegisterServer(server=server))
            if not isinstance(outcome, Applied | Obsolete):
                return Unavailable(reason="the departure is not committed yet")
            _log_registered(server)
        self._left_at.setdefault(known.run, self._clock.monotonic())
        return self._heard()

    def departed(self) -> tuple[ServerIncarnation, ...]:
        """Return the registered servers that have left or have sent no heartbeat for too long."""
        now = self._clock.monotonic()
        return tuple(
            server.run for server in self._state.servers.values() if self._is_gone(server.run, now)
        )

    async def remove(self, incarnation: ServerIncarnation) -> None:
        """Remove the record of a server that has departed."""
        if await self._propose(RemoveServer(run=incarnation)) is not None:
            self._left_at.pop(incarnation, None)
            self._heartbeats.forget(incarnation)
            logger.bind(event="server_removed", server=incarnation.server).info("server removed")

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
