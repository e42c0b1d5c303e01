"""Test which control replica a gateway subscribes to."""

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager
from itertools import cycle
from types import SimpleNamespace

import pytest
import uvloop

from lychee_gateway.proxy import replica_list
from lychee_gateway.proxy import subscription as module
from lychee_gateway.proxy.age import StateAge
from lychee_gateway.proxy.subscription import Subscription
from lychee_gateway.proxy.view import RoutedView
from lychee_runtime import LinkService, serve_links
from lychee_runtime.ports import free_endpoint
from lychee_types.clock import SystemClock
from lychee_types.ids import DomainName, LogIndex, SessionId
from lychee_types.registry import RoutedImage
from lychee_types.registry_messages import (
    SUBSCRIBE,
    Follow,
    FromGateway,
    Probe,
    Pulse,
    RoutedSnapshot,
    Subscribe,
    ToSubscriber,
)
from lychee_types.routed_settings import ProxySettings


class Replica:
    """A control replica with its own state; it ends its streams once `ended` is set."""

    def __init__(self, index, *, age_ms=0, domain=""):
        self.endpoint = free_endpoint()
        self.domain = DomainName(domain)
        self.index = index
        self.age_ms = age_ms
        self.subscribers = 0
        self.followers = 0
        self.is_silent = False
        self.answers_new_streams = True
        self.pulse_delay_s = 0.0
        self.is_damaged = False
        self.names = ()
        self.ended = asyncio.Event()
        self.subscribed = asyncio.Event()
        self.may_answer = asyncio.Event()
        self.may_answer.set()

    async def serve(self, link):
        self.subscribers += 1
        self.subscribed.set()
        answering = asyncio.create_task(self._answer(link))
        try:
            await self.ended.wait()
        finally:
            answering.cancel()

    async def _answer(self, link):
        is_answered = self.answers_new_streams
        while batch := await link.receive():
            if self.is_silent or not is_answered:
                continue
            await self.may_answer.wait()
            for message in batch:
                match message:
                    case Follow():
                        self.followers += 1
                        link.post(self._snapshot())
                        await asyncio.sleep(self.pulse_delay_s)
                        link.post(self._pulse(message.sent_at))
                    case Subscribe() | Probe():
                        link.post(self._pulse(message.sent_at))

    def _snapshot(self):
        if self.is_damaged:
            return RoutedSnapshot(index=LogIndex(self.index), packed=b"\x78")
        return RoutedSnapshot.of(RoutedImage(index=LogIndex(self.index)))

    def _pulse(self, asked_at):
        return Pulse(
            asked_at=asked_at,
            index=LogIndex(self.index),
            age_ms=self.age_ms,
            gateways=1,
            replicas=self.names,
            domain=self.domain,
        )

    @asynccontextmanager
    async def running(self):
        service = LinkService(name="r")
        service.add(method=SUBSCRIBE, send=ToSubscriber, receive=FromGateway, handler=self.serve)
        async with serve_links(service=service, endpoint=self.endpoint):
            yield self


class Gateway:
    """A gateway's subscription that tries replicas in the order of its seeds."""

    def __init__(self, *seeds, follow_own_domain=False):
        self.view = RoutedView()
        cfg = ProxySettings(
            id="g",
            domain=DomainName("d"),
            listen="127.0.0.1:1",
            ready="127.0.0.1:2",
            peer_port=3,
            seeds=("127.0.0.1:4",),
            follow_own_domain=follow_own_domain,
        )
        self.age = StateAge(view=self.view, clock=SystemClock(), apply_s=cfg.bounds.apply_s)
        self.subscription = Subscription(
            cfg=cfg,
            session=SessionId("1"),
            view=self.view,
            age=self.age,
            clock=SystemClock(),
            take_notes=lambda: (),
            on_gateway_count=lambda count: None,
            on_shared=lambda message: None,
            on_attempt_ended=lambda outcome, received_bytes: None,
        )
        self.subscription.set_seeds(seeds)
        self.subscription._rng.shuffle = lambda known: None

    @asynccontextmanager
    async def running(self):
        task = asyncio.create_task(self.subscription.run())
        try:
            async with asyncio.timeout(10):
                yield self
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def wait_for_index(self, index):
        changed = asyncio.Event()
        self.view.add_listener(changed.set)
        while self.view.state.index != index:
            await changed.wait()
            changed.clear()


def test_a_silent_replica_does_not_delay_the_next_attempt_for_long(monkeypatch, silent_address):
    monkeypatch.setattr(module, "SILENCE_S", 60.0)

    async def body():
        async with silent_address() as dead, Replica(7).running() as alive:
            async with Gateway(dead, alive.endpoint).running() as gateway:
                await gateway.wait_for_index(7)
                assert gateway.subscription.replica == str(alive.endpoint)

    asyncio.run(body())


def test_no_other_replica_is_tried_after_one_has_answered():
    async def body():
        async with Replica(7).running() as first, Replica(8).running() as second:
            async with Gateway(first.endpoint, second.endpoint).running() as gateway:
                await gateway.wait_for_index(7)
                await asyncio.sleep(3 * module.NEXT_ATTEMPT_DELAY_S)
                assert gateway.subscription.replica == str(first.endpoint)
                assert second.subscribers == 0

    asyncio.run(body())


@pytest.mark.parametrize("how", ["silent", "ended", "old"])
def test_another_replica_is_subscribed_to_when_one_is_lost(how, monkeypatch):
    monkeypatch.setattr(module, "SILENCE_S", 0.3 if how == "silent" else 60.0)

    async def body():
        async with Replica(7).running() as first, Replica(9).running() as second:
            async with Gateway(first.endpoint, second.endpoint).running() as gateway:
                await gateway.wait_for_index(7)
                gateway.subscription._rng.shuffle = list.reverse
                match how:
                    case "ended":
                        first.ended.set()
                    case "silent":
                        first.is_silent = True
                    case "old":
                        first.age_ms = 60_000
                await gateway.wait_for_index(9)

    asyncio.run(body())


def test_a_silent_replica_is_followed_on_until_another_one_answers(monkeypatch):
    monkeypatch.setattr(module, "SILENCE_S", 0.2)

    async def body():
        async with Replica(7).running() as only:
            async with Gateway(only.endpoint).running() as gateway:
                await gateway.wait_for_index(7)
                only.is_silent, only.answers_new_streams = True, False
                only.subscribed.clear()
                await only.subscribed.wait()
                only.is_silent = False
                await asyncio.sleep(2 * module.PROBE_S)
                assert gateway.subscription.replica == str(only.endpoint)
                assert only.followers == 1

    asyncio.run(body())


def test_a_current_replica_is_followed_though_one_without_contact_answers_first():
    async def body():
        async with Replica(7, age_ms=None).running() as old, Replica(9).running() as current:
            async with Gateway(old.endpoint, current.endpoint).running() as gateway:
                await gateway.wait_for_index(9)
                assert gateway.subscription.replica == str(current.endpoint)

    asyncio.run(body())


def test_only_the_selected_replica_is_asked_for_its_state():
    async def body():
        replicas = [Replica(7), Replica(8), Replica(9)]
        async with AsyncExitStack() as stack:
            for replica in replicas:
                await stack.enter_async_context(replica.running())
            seeds = [replica.endpoint for replica in replicas]
            async with Gateway(*seeds).running() as gateway:
                await gateway.wait_for_index(7)
                await asyncio.sleep(3 * module.NEXT_ATTEMPT_DELAY_S)
                assert [replica.followers for replica in replicas] == [1, 0, 0]

    asyncio.run(body())


def test_only_one_of_several_replicas_that_answer_at_once_is_followed():
    async def body():
        replicas = [Replica(7) for _ in range(3)]
        async with AsyncExitStack() as stack:
            for replica in replicas:
                replica.may_answer.clear()
                await stack.enter_async_context(replica.running())
            seeds = [replica.endpoint for replica in replicas]
            async with Gateway(*seeds).running() as gateway:
                for replica in replicas:
                    await replica.subscribed.wait()
                for replica in replicas:
                    replica.may_answer.set()
                await gateway.wait_for_index(7)
                await asyncio.sleep(module.PROBE_S)
                assert sum(replica.followers for replica in replicas) == 1

    asyncio.run(body())


def test_a_state_that_comes_without_a_pulse_does_not_make_its_replica_followed():
    async def body():
        async with Replica(7, age_ms=None).running() as old, Replica(9).running() as current:
            old.pulse_delay_s = 60.0
            async with Gateway(old.endpoint).running() as gateway:
                await gateway.wait_for_index(7)
                await asyncio.sleep(2 * module.PROBE_S)
                assert gateway.subscription.replica == ""
                gateway.subscription.set_seeds((old.endpoint, current.endpoint))
                await gateway.wait_for_index(9)

    asyncio.run(body())


def test_a_replica_whose_state_cannot_be_read_is_left_for_another_one():
    async def body():
        async with Replica(7).running() as damaged, Replica(9).running() as sound:
            damaged.is_damaged = True
            orders = cycle([lambda known: None, list.reverse])
            gateway = Gateway(damaged.endpoint, sound.endpoint)
            gateway.subscription._rng.shuffle = lambda known: next(orders)(known)
            async with gateway.running():
                await gateway.wait_for_index(9)
                assert damaged.followers == 1

    asyncio.run(body())


def test_a_replica_without_a_state_leads_to_those_that_it_names():
    # RECOVER: a gateway gave up where all replicas that it was told of stood by.
    async def body():
        async with Replica(0, age_ms=None).running() as outside, Replica(9).running() as voter:
            outside.names = (voter.endpoint,)
            gateway = Gateway(outside.endpoint)
            async with gateway.running():
                await gateway.wait_for_index(9)
                assert gateway.subscription.replica == str(voter.endpoint)

    asyncio.run(body())


def test_a_replica_that_names_nobody_takes_none_from_what_others_named():
    async def body():
        async with AsyncExitStack() as stack:
            first, second, outside = [
                await stack.enter_async_context(replica.running())
                for replica in (Replica(7), Replica(9), Replica(0, age_ms=None))
            ]
            first.names = (first.endpoint, second.endpoint)
            gateway = Gateway(first.endpoint)
            async with gateway.running():
                await gateway.wait_for_index(7)
                gateway.subscription.set_seeds((outside.endpoint,))
                first.is_silent = True
                await asyncio.sleep(0)
                first.ended.set()
                await gateway.wait_for_index(9)

    asyncio.run(body())


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
def test_a_replica_whose_bytes_arrive_while_the_loop_is_busy_is_not_doubted(run, busy_loop):
    async def body():
        subscription = Gateway().subscription
        link = SimpleNamespace(received_bytes=0, peer="r")
        read = asyncio.Event()

        def receive():
            link.received_bytes += 1
            read.set()

        subscription._link, subscription._contact = link, module._Contact.RECENT
        subscription._follower = asyncio.create_task(asyncio.Event().wait())
        waiting = asyncio.create_task(subscription._wait_for_doubt())
        await asyncio.sleep(0)
        busy_loop(receive, module.SILENCE_S + 0.3)
        await read.wait()
        await asyncio.sleep(0.05)
        assert not waiting.done()
        waiting.cancel()
        subscription._follower.cancel()

    run(body())


def follow_three_replicas(monkeypatch, first, near, *, follow_own_domain=True):
    """Return a gateway, as a context, that follows one of three replicas."""
    monkeypatch.setattr(replica_list, "NEARER_INTERVAL_S", (0.05, 0.1))

    @asynccontextmanager
    async def running():
        async with AsyncExitStack() as stack:
            other = Replica(5, domain="other")
            for replica in (first, other, near):
                await stack.enter_async_context(replica.running())
            seeds = (first.endpoint, other.endpoint, near.endpoint)
            gateway = Gateway(*seeds, follow_own_domain=follow_own_domain)
            yield await stack.enter_async_context(gateway.running())

    return running()


def test_a_replica_of_the_own_failure_domain_is_followed_in_place_of_another_one(monkeypatch):
    async def body():
        first, near = Replica(7, domain="other"), Replica(9, domain="d")
        async with follow_three_replicas(monkeypatch, first, near) as gateway:
            await gateway.wait_for_index(7)
            await gateway.wait_for_index(9)
            assert gateway.subscription.replica == str(near.endpoint)
            await asyncio.sleep(0.5)
            assert (first.followers, near.followers) == (1, 1)

    asyncio.run(body())


def test_an_outdated_replica_of_the_own_failure_domain_is_not_followed(monkeypatch):
    # A gateway cut off together with it would lose the leader's news and its place in the limits.
    monkeypatch.setattr(module, "CONTACT_WAIT_S", 0.2)

    async def body():
        first, near = Replica(7, domain="other"), Replica(9, domain="d", age_ms=60_000)
        async with follow_three_replicas(monkeypatch, first, near) as gateway:
            await gateway.wait_for_index(7)
            await near.subscribed.wait()
            await asyncio.sleep(0.5)
            assert gateway.subscription.replica == str(first.endpoint)
            assert near.followers == 0

    asyncio.run(body())


def test_another_replica_is_followed_when_that_of_the_own_failure_domain_is_lost(monkeypatch):
    monkeypatch.setattr(module, "SILENCE_S", 0.3)

    async def body():
        first, near = Replica(7, domain="other"), Replica(9, domain="d")
        async with follow_three_replicas(monkeypatch, first, near) as gateway:
            await gateway.wait_for_index(9)
            near.is_silent, near.answers_new_streams = True, False
            first.index = 11
            await gateway.wait_for_index(11)
            assert gateway.subscription.replica == str(first.endpoint)

    asyncio.run(body())


def test_no_replica_is_preferred_unless_the_settings_say_so(monkeypatch):
    async def body():
        first, near = Replica(7, domain="other"), Replica(9, domain="d")
        running = follow_three_replicas(monkeypatch, first, near, follow_own_domain=False)
        async with running as gateway:
            await gateway.wait_for_index(7)
            await asyncio.sleep(0.5)
            assert near.subscribers == 0

    asyncio.run(body())
