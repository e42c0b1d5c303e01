"""The streams of gateways at a control replica."""

import asyncio

from lychee_control.registry.machine import RoutedMachine
from lychee_control.registry.subscribers import Subscribers
from lychee_types.ids import GatewayId, Incarnation, LogIndex, ServerId, SessionId
from lychee_types.limit_messages import PermitReply
from lychee_types.registry import ServerIncarnation
from lychee_types.registry_messages import Follow, Pulse, Subscribe

SESSION = SessionId("1")
REPLY = PermitReply(
    run=ServerIncarnation(server=ServerId("s"), incarnation=Incarnation(1)),
    number=1,
    count=1,
    retry_after_ms=0,
)


class Stream:
    """A gateway's stream, as the replica sees it."""

    def __init__(self):
        self.closed = False
        self.posted = []
        self._batches = asyncio.Queue()

    def send(self, *messages):
        self._batches.put_nowait(messages)

    def post(self, message):
        self.posted.append(message)

    async def receive(self):
        return await self._batches.get()


def test_a_second_stream_of_a_gateway_that_ends_takes_no_replies_from_the_followed_one():
    async def body():
        subscribers = Subscribers(
            machine=RoutedMachine(on_applied=None, on_restored=None),
            on_note=None,
            pulse=lambda at: Pulse(
                asked_at=at, index=LogIndex(0), age_ms=0, gateways=1, replicas=()
            ),
            news=lambda: (),
        )
        followed, attempt = Stream(), Stream()
        followed.send(Subscribe(gateway=GatewayId("g"), session=SESSION, sent_at=0.0))
        followed.send(Follow(have=LogIndex(0), sent_at=0.0))
        attempt.send(Subscribe(gateway=GatewayId("g"), session=SESSION, sent_at=0.0))
        attempt.send()
        serving = asyncio.create_task(subscribers.serve(followed))
        await asyncio.sleep(0)
        await subscribers.serve(attempt)
        subscribers.post(SESSION, REPLY)
        serving.cancel()
        assert REPLY in followed.posted

    asyncio.run(body())
