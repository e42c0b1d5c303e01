"""The life cycle of a daemon."""

import asyncio

from grpclib.exceptions import StreamTerminatedError
from grpclib.utils import Wrapper

from lychee_runtime import Daemon, as_unavailable
from lychee_types.exceptions import UnavailableError


def test_a_stop_ends_a_task_whose_stream_breaks_in_the_same_moment():
    async def scenario():
        daemon, streams = Daemon(), []

        async def reconnect():
            while True:
                streams.append(Wrapper())
                try:
                    with as_unavailable("a peer"), streams[-1]:
                        await asyncio.sleep(3_600)
                except UnavailableError:
                    continue

        task = daemon.spawn(reconnect(), name="link")
        await asyncio.sleep(0)
        streams[-1].cancel(StreamTerminatedError("the peer is gone"))
        async with asyncio.timeout(10):
            await daemon.cancel_tasks()
        assert task.cancelled()

    asyncio.run(scenario())


def test_a_stop_waits_for_a_task_that_cleans_up():
    async def scenario():
        daemon, cleaned_up = Daemon(), []

        async def work():
            try:
                await asyncio.sleep(3_600)
            finally:
                await asyncio.sleep(0.5)
                cleaned_up.append(True)

        daemon.spawn(work(), name="work")
        await asyncio.sleep(0)
        await daemon.cancel_tasks()
        assert cleaned_up == [True]

    asyncio.run(scenario())
