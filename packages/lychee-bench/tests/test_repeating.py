"""The relay that repeats responses: what it sends, and that a refused request reaches no server."""

import asyncio

from lychee_bench.repeating import RepeatingRelay
from lychee_runtime.ports import free_endpoint

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
REFUSAL = (
    b"HTTP/1.1 503 No\r\nlychee-request-id: q1\r\nLychee-Refused: shed\r\nContent-Length: 0\r\n\r\n"
)


class Draws:
    """Random numbers by which the first request is refused, and its refusal repeated at once."""

    def __init__(self):
        self._draws = iter([0.0, 0.0, 0.0, 1.0, 1.0])

    def random(self):
        return next(self._draws)

    def uniform(self, low, high):
        return low

    def randrange(self, end):
        return end // 2


def test_a_refusal_is_repeated_ahead_of_the_next_response():
    async def scenario():
        received = []

        async def serve(reader, writer):
            while request := await reader.read(1_000):
                received.append(request)
                writer.write(ANSWER)
            writer.close()

        target, front = free_endpoint(), free_endpoint()
        server = await asyncio.start_server(serve, target.host, target.port)
        listener = await RepeatingRelay(target=target, rng=Draws()).listen(front)
        reader, writer = await asyncio.open_connection(front.host, front.port)
        writer.write(b"GET /1 HTTP/1.1\r\nlychee-request-id: q1\r\n\r\n")
        assert await reader.readexactly(len(REFUSAL)) == REFUSAL
        await asyncio.sleep(0.01)
        second = b"GET /2 HTTP/1.1\r\n\r\n"
        writer.write(second)
        assert await reader.readexactly(len(REFUSAL + ANSWER)) == REFUSAL + ANSWER
        assert received == [second]
        writer.close()
        listener.close()
        server.close()

    asyncio.run(scenario())
