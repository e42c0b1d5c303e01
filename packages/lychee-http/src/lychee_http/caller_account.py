"""The account of a process's callers on its event loop, which logs and counts what it ends."""

import asyncio
from collections import Counter
from collections.abc import Callable
from time import monotonic

from loguru import logger

from lychee_http.caller_memory import CallerMemory, ShedReason, megabytes, memory_bounds
from lychee_http.turns import LoopTurns

LOG_INTERVAL_S = 1.0
"""Shortest time between two log lines on connections that were refused or ended, in seconds."""


def make_caller_memory(
    *, memory_mb: float | None, max_fds: int | None, on_shed: Callable[[ShedReason], None]
) -> CallerMemory:
    """Return an account for callers on the event loop that runs when one connects.

    :param memory_mb: the VM's memory in MB, None if it is not known.
    :param max_fds: maximum number of descriptors of the process, None if it is not known.
    :param on_shed: is told why a connection was refused or ended.
    """
    log = _ShedLog()

    def note(reason: ShedReason) -> None:
        on_shed(reason)
        log.note(reason, held=memory.held, connections=len(memory))

    memory = CallerMemory(
        bounds=memory_bounds(memory_mb=memory_mb, max_fds=max_fds),
        turns=LoopTurns(),
        defer=lambda work: asyncio.get_running_loop().call_soon(work),
        on_shed=note,
    )
    return memory


class _ShedLog:
    """Logs refused and ended connections, in one line a second at most."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._logged_at = float("-inf")

    def note(self, reason: ShedReason, *, held: float, connections: int) -> None:
        """Count a connection, and log the counts if it is time."""
        self._counts[reason.value] += 1
        now = monotonic()
        if now < self._logged_at + LOG_INTERVAL_S:
            return
        self._logged_at = now
        logger.bind(
            event="callers_shed",
            reasons=dict(self._counts),
            held_mb=megabytes(held),
            connections=connections,
        ).warning("connections of callers were refused or ended to stay within the limits")
        self._counts.clear()
