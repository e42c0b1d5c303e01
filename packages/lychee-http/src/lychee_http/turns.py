"""Turns of connections in expensive work, so that the work of many leaves time for others."""

import asyncio
from collections import deque


class LoopTurns:
    """Gives one turn in each round of the event loop, in the order in which they were asked for."""

    def __init__(self) -> None:
        self._waiting: deque[asyncio.Future[None]] = deque()

    async def take(self) -> None:
        """Wait for a turn, at least until the next round of the loop."""
        loop = asyncio.get_running_loop()
        turn: asyncio.Future[None] = loop.create_future()
        self._waiting.append(turn)
        if len(self._waiting) == 1:
            loop.call_soon(self._give_one)
        await turn

    def _give_one(self) -> None:
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                break
        if self._waiting:
            asyncio.get_running_loop().call_soon(self._give_one)
