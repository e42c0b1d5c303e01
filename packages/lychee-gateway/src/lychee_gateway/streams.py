"""Passing an answer on to the caller while it comes, in bounded memory."""

import asyncio

from loguru import logger

from lychee_http import CallerConnection, ResponseHead, ServerConnection
from lychee_http.exceptions import ServerResponseError


class StreamToCaller:
    """Streams one answer.

    The next part is read from the server only once the caller has room for it.

    :param caller: the caller's connection.
    :param pause_s: longest pause of the server or of the caller, in seconds.
    """

    def __init__(self, *, caller: CallerConnection, pause_s: float) -> None:
        self._caller = caller
        self._pause_s = pause_s

    async def pass_on(self, head: ResponseHead, conn: ServerConnection) -> bool:
        """Send the head and the body; False if the server's answer was cut short.

        :raises CallerGoneError: if the caller closed the connection or stopped reading.
        """
        self._caller.send_head(head)
        try:
            while chunk := await self._next_chunk(conn):
                await self._caller.send_chunk(chunk, stall_s=self._pause_s)
        except (ServerResponseError, TimeoutError) as exc:
            logger.info("a server's answer broke off: {}", exc or "a pause was too long")
            return False
        await self._caller.finish()
        return True

    async def _next_chunk(self, conn: ServerConnection) -> bytes:
        async with asyncio.timeout(self._pause_s):
            return await conn.read_chunk()
