"""What a process holds in memory for its callers, and whose connections end when that is too much.

All callers may connect through one load balancer, so that connections are told apart only by what
they hold and for how long they have made no progress. The module is free of I/O.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from math import ceil
from time import monotonic
from typing import Protocol

from lychee_http.messages import RequestHead

CONNECTION_BYTES = 20_480
"""Memory of an open connection without requests, in bytes: its objects, task and transport."""

EXCHANGE_BYTES = 24_576
"""Memory of a request under way beside its head and body, in bytes, with a server's connection."""

HEADER_BYTES = 200
"""Memory of a header beside its name and value, in bytes: objects of the interpreter."""

MIN_SHED_BYTES = CONNECTION_BYTES + EXCHANGE_BYTES + 24_576
"""What a connection may hold at any time, in bytes: a request with a head of usual size."""

CONNECTION_SHARE = 1 / 8
"""Share of the bound that one connection may hold."""

ROOM_SHARE = 1 / 4
"""Share of what a connection may hold above which it reads no further request beside others."""

NEARLY_FULL_SHARE = 1 / 2
"""Share of the bound above which connections read little at once."""

SHED_TARGET_SHARE = 7 / 8
"""Share of the bound to which what is held is brought down when it was reached."""

OVERSHOOT_SHARE = 1 / 8
"""Connections beyond the limit that are accepted while idle ones end, as a share of the limit."""

BASE_WAIT_S = 0.05
"""Added to the time waited for a caller when connections are ranked for shedding, in seconds."""

PROGRESS_BYTES = 16_384
"""Content of bodies that counts as progress, in bytes."""

PROCESS_MB = 64
"""Memory that a process needs beside its callers, in MB: the program and its state."""

CALLERS_SHARE = 0.5
"""Share of the rest of a VM's memory that callers may take up; allocators return little of it."""

LEAST_BOUND_BYTES = 8_388_608
"""Least bound, in bytes."""

DEFAULT_BOUND_BYTES = 134_217_728
"""Bound where the VM's memory is not known, in bytes."""

CALLERS_FDS_SHARE = 0.5
"""Share of a process's descriptors that callers' connections may take up; a request that is under
way takes another one for its server.
"""

BYTES_PER_MB = 1_000_000


@dataclass(frozen=True, kw_only=True, slots=True)
class MemoryBounds:
    """Bounds on what a process holds for its callers.

    :param held_bytes: maximum memory in bytes.
    :param connections: maximum number of connections, None for no limit.
    """

    held_bytes: float = DEFAULT_BOUND_BYTES
    connections: int | None = None


def memory_bounds(*, memory_mb: float | None, max_fds: int | None) -> MemoryBounds:
    """Derive the bounds from a VM's limits.

    :param memory_mb: the VM's memory in MB, None if it is not known.
    :param max_fds: maximum number of descriptors of the process, None if it is not known.
    """
    held_bytes = float(DEFAULT_BOUND_BYTES)
    if memory_mb is not None:
        rest = max(0.0, memory_mb - PROCESS_MB) * BYTES_PER_MB
        held_bytes = max(LEAST_BOUND_BYTES, rest * CALLERS_SHARE)
    connections = None if max_fds is None else max(1, int(max_fds * CALLERS_FDS_SHARE))
    return MemoryBounds(held_bytes=held_bytes, connections=connections)


def megabytes(size: float) -> float:
    """Return a size in MB with one decimal, for logs and dumps.

    :param size: the size in bytes.
    """
    return round(size / BYTES_PER_MB, 1)


def head_bytes(head: RequestHead) -> int:
    """Return the memory that a head takes up, in bytes."""
    size = len(head.target) + HEADER_BYTES * len(head.headers)
    return size + sum(len(name) + len(value) for name, value in head.headers)


class ShedReason(Enum):
    """Why a connection of a caller was refused or ended."""

    MEMORY = "memory"
    """All connections held too much, and this one much for long."""

    SHARE = "share"
    """It held more than the share of one connection."""

    IDLE = "idle"
    """It was idle, and there were too many connections."""

    CONNECTIONS = "connections"
    """Its caller had not gone on for long, and there were too many connections."""

    REFUSED = "refused"
    """It was new, and there were too many connections."""


class Turns(Protocol):
    """Lets connections do expensive work in turns."""

    async def take(self) -> None:
        """Wait for a turn."""


def _do_nothing() -> None:
    """Do nothing."""


def _is_not_idle() -> bool:
    """Return that a connection is in use."""
    return False


def _ignore(reason: ShedReason) -> None:
    """Record nothing."""


class Holding:
    """What one connection holds. This class counts nothing, as for connections of no caller."""

    def watch(self, *, shed: Callable[[], None], end_if_idle: Callable[[], bool]) -> None:
        """Let the connection be ended when too much is held.

        :param shed: ends it at once.
        :param end_if_idle: ends it if it is idle, and returns whether it was.
        """

    @property
    def has_room(self) -> bool:
        """Whether the connection may read a further request beside those under way."""
        return True

    @property
    def is_nearly_full(self) -> bool:
        """Whether the connection is to read little at once."""
        return False

    @property
    def is_full(self) -> bool:
        """Whether the connection is to wait for a turn before it takes up more."""
        return False

    def add(self, size: int) -> None:
        """Count memory that is taken up or, if negative, given back, in bytes."""

    def add_input(self, size: int) -> None:
        """The same for what was received, which is given back when the connection ends."""

    def start_wait(self) -> None:
        """Record that the caller has to send, or read, for its request to go on."""

    def note_content(self, size: int) -> None:
        """Record that content was received, in bytes; framing does not count."""

    def end_wait(self) -> None:
        """Record that the caller has done what was waited for."""

    async def take_turn(self) -> None:
        """Wait while other connections parse much framing."""

    def end(self) -> None:
        """Record that the connection has ended; its requests give back later what they hold."""


UNCOUNTED = Holding()
"""Of connections that are not callers'."""


class CountedHolding(Holding):
    """What one caller's connection holds.

    :param memory: the account of all connections.
    """

    def __init__(self, memory: "CallerMemory") -> None:
        self.shed = _do_nothing
        self.end_if_idle = _is_not_idle
        self.held = 0
        self.waiting_since: float | None = None
        self.is_ending = False
        self.is_closing_idle = False
        self._memory = memory
        self._content = 0
        self._input = 0
        self._has_ended = False

    def watch(self, *, shed: Callable[[], None], end_if_idle: Callable[[], bool]) -> None:
        """Let the connection be ended when too much is held.

        :param shed: ends it at once.
        :param end_if_idle: ends it if it is idle, and returns whether it was.
        """
        self.shed = shed
        self.end_if_idle = end_if_idle

    @property
    def has_room(self) -> bool:
        """Whether the connection may read a further request beside those under way."""
        return self.held < self._memory.connection_bytes * ROOM_SHARE

    @property
    def is_nearly_full(self) -> bool:
        """Whether the connection is to read little at once."""
        return self._memory.is_nearly_full

    @property
    def is_full(self) -> bool:
        """Whether the connection is to wait for a turn before it takes up more."""
        return self._memory.is_full

    def add(self, size: int) -> None:
        """Count memory that is taken up or, if negative, given back, in bytes."""
        self.held += size
        self._memory.add(self, size)

    def add_input(self, size: int) -> None:
        """The same for what was received, which is given back when the connection ends."""
        if not self._has_ended:
            self._input += size
            self.held += size
            self._memory.add(self, size)

    def start_wait(self) -> None:
        """Record that the caller has to send, or read, for its request to go on."""
        if self.waiting_since is None:
            self._content = 0
            self.waiting_since = self._memory.now()

    def note_content(self, size: int) -> None:
        """Record that content was received, in bytes; framing does not count."""
        if self.waiting_since is None:
            return
        self._content += size
        if self._content >= PROGRESS_BYTES:
            self._content = 0
            self.waiting_since = self._memory.now()

    def end_wait(self) -> None:
        """Record that the caller has done what was waited for."""
        self.waiting_since = None

    async def take_turn(self) -> None:
        """Wait while other connections parse much framing."""
        await self._memory.turns.take()

    def end(self) -> None:
        """Record that the connection has ended; its requests give back later what they hold."""
        if not self._has_ended:
            self.add_input(-self._input)
            self._has_ended = True
            self.watch(shed=_do_nothing, end_if_idle=_is_not_idle)
            self._memory.forget(self)

    def shed_priority(self, now: float) -> float:
        """Return how much the connection holds, weighted by the time that its caller owes."""
        waiting_s = 0.0 if self.waiting_since is None else now - self.waiting_since
        return self.held * (BASE_WAIT_S + waiting_s)


class CallerMemory:
    """The account of what all connections of callers hold.

    :param bounds: its bounds.
    :param turns: lets connections parse much framing in turns.
    :param defer: calls a function soon, outside of the work in progress.
    :param on_shed: is told why a connection was refused or ended.
    :param now: monotonic time in seconds.
    """

    def __init__(
        self,
        *,
        bounds: MemoryBounds,
        turns: Turns,
        defer: Callable[[Callable[[], None]], object],
        on_shed: Callable[[ShedReason], None] = _ignore,
        now: Callable[[], float] = monotonic,
    ) -> None:
        self.held = 0
        self.peak = 0
        self.bounds = bounds
        self.turns = turns
        self.connection_bytes = bounds.held_bytes * CONNECTION_SHARE
        self.now = now
        self._defer = defer
        self._on_shed = on_shed
        self._is_deferred = False
        self._open: dict[CountedHolding, None] = {}
        self._tight_bytes = bounds.held_bytes * NEARLY_FULL_SHARE

    def __len__(self) -> int:
        """Return how many connections are open."""
        return len(self._open)

    @property
    def is_nearly_full(self) -> bool:
        """Whether connections are to read little at once."""
        return self.held > self._tight_bytes

    @property
    def is_full(self) -> bool:
        """Whether the bound is reached, and connections are ended soon."""
        return self.held > self.bounds.held_bytes

    def open(self) -> CountedHolding | None:
        """Count a new connection; return None if it is to be refused, as there are too many."""
        limit = self.bounds.connections
        if limit is not None and len(self._open) >= limit:
            if len(self._open) >= limit + ceil(limit * OVERSHOOT_SHARE):
                self._on_shed(ShedReason.REFUSED)
                return None
            self._make_room()
        holding = CountedHolding(self)
        self._open[holding] = None
        holding.add(CONNECTION_BYTES)
        return holding

    def forget(self, holding: CountedHolding) -> None:
        """Forget a connection that has ended."""
        if holding in self._open:
            del self._open[holding]
            holding.add(-CONNECTION_BYTES)

    def add(self, holding: CountedHolding, size: int) -> None:
        """Count memory of a connection, and have connections ended if it is too much."""
        self.held += size
        if size <= 0:
            return
        if self.held > self.peak:
            self.peak = self.held
        if self._is_deferred:
            return
        if self.held > self.bounds.held_bytes or holding.held > self.connection_bytes:
            self._is_deferred = True
            self._defer(self._relieve)

    def _relieve(self) -> None:
        """End connections that hold more than their share, and others until there is room."""
        self._is_deferred = False
        for holding in [h for h in self._open if h.held > self.connection_bytes]:
            if not holding.is_ending:
                self._shed(holding, ShedReason.SHARE)
        if self._staying_bytes() <= self.bounds.held_bytes:
            return
        excess = self._staying_bytes() - self.bounds.held_bytes * SHED_TARGET_SHARE
        for holding in self._by_shed_priority():
            excess -= holding.held
            self._shed(holding, ShedReason.MEMORY)
            if excess <= 0:
                return

    def _staying_bytes(self) -> int:
        """Return what is held, without that of connections that are ending, in bytes."""
        return self.held - sum(h.held for h in self._open if h.is_ending)

    def _by_shed_priority(self) -> list[CountedHolding]:
        """Return the connections that may be shed, those to be shed first at the beginning."""
        now = self.now()
        found = [h for h in self._open if h.held > MIN_SHED_BYTES and not h.is_ending]
        return sorted(found, key=lambda h: h.shed_priority(now), reverse=True)

    def _make_room(self) -> None:
        """End the connection that has been idle for longest, or whose caller owes for longest."""
        for holding in self._open:
            if not holding.is_closing_idle and holding.end_if_idle():
                holding.is_closing_idle = True
                self._on_shed(ShedReason.IDLE)
                return
        owing = [h for h in self._open if h.waiting_since is not None and not h.is_ending]
        if owing:
            longest = min(owing, key=lambda h: h.waiting_since or 0.0)
            self._shed(longest, ShedReason.CONNECTIONS)

    def _shed(self, holding: CountedHolding, reason: ShedReason) -> None:
        """End a connection at once; it counts until its descriptor is closed a turn later."""
        holding.is_ending = True
        self._on_shed(reason)
        holding.shed()
