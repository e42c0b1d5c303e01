"""Hands the leadership of a replica that stops to another one."""

import asyncio
from collections.abc import Callable

from lychee_log.core import Core
from lychee_types.clock import Clock

CHECK_INTERVAL_S = 0.01
"""Interval at which the progress of a hand-over is checked, in seconds."""


async def hand_over_leadership(
    core: Core, *, clock: Clock, wake_loop: Callable[[], None], timeout_s: float
) -> None:
    """Give up the leadership as soon as all entries are committed, and wait for the next leader.

    Does nothing if the replica does not lead, or is the only voter.

    :param core: the replica's core.
    :param clock: source of time.
    :param wake_loop: wakes the replica's loop, which performs the core's effects.
    :param timeout_s: maximum time in seconds.
    """
    until = clock.monotonic() + timeout_s
    has_given_up = False
    while clock.monotonic() < until and len(core.state.members.voters) > 1:
        if core.leader is not None:
            has_given_up = core.hand_over(clock.monotonic()) is not None
            wake_loop()
        elif not has_given_up or core.state.leader is not None:
            return
        await asyncio.sleep(CHECK_INTERVAL_S)
