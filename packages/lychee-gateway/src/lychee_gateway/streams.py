"""Streaming of a response from a server to the caller, in bounded memory."""

from loguru import logger

from lychee_http import CallerConnection, ResponseHead, ServerConnection
from lychee_http.exceptions import ServerResponseError
from lychee_types.timeouts import timeout_after_input


class StreamToCaller:
    """Streams one response to the caller.

    The next chunk is read from the server only when the caller can receive it.

    :param caller: the caller's connection.
    :param max_pause_s: longest time without progress of the server or of the caller, in seconds.
    """

    def __init__(self, *, caller: CallerConnection, max_pause_s: float) -> None:
        self._caller = caller
        self._max_pause_s = max_pause_s

    async def forward(self, head: ResponseHead, conn: ServerConnection) -> bool:
        """Send the head and the body; return False if the server's response was truncated.

        :raises CallerGoneError: if the caller closed the connection or stopped reading.
        """
        self._caller.send_head(head)
        try:
            while chunk := await self._next_chunk(conn):
                await self._caller.send_chunk(chunk, stall_s=self._max_pause_s)
        except (ServerResponseError, TimeoutError) as exc:
            logger.info(
                "a streamed response was truncated: {}", exc or "the server paused for too long"
            )
            return False
        await self._caller.finish()
        return True

    async def _next_chunk(self, conn: ServerConnection) -> bytes:
        async with timeout_after_input(self._max_pause_s, has_input=conn.has_input):
            return await conn.read_chunk()
