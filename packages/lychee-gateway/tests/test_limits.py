"""Permits of one gateway for servers with a rate limit."""

import asyncio

import pytest
import uvloop

from lychee_gateway.proxy.limits import (
    ANSWER_WAIT_S,
    PROMPT_WAIT_S,
    REFRESH_S,
    PermitRefused,
    PermitTaken,
    ServerLimits,
)
from lychee_policy import PERMIT_HOLD_S
from lychee_types.clock import SystemClock
from lychee_types.ids import Incarnation, ServerId
from lychee_types.limit_messages import KnownLimits, ObservedLimit, PermitReply
from lychee_types.registry import ServerIncarnation
from lychee_types.testing import ManualClock

RUN = ServerIncarnation(server=ServerId("a"), incarnation=Incarnation(1))


class Setup:
    """A gateway's limits, and the questions that it has asked."""

    def __init__(self, *, limit_per_s=10.0, clock=None):
        self.clock = clock or ManualClock()
        self.questions = []
        self.permits = []
        self.limits = ServerLimits(
            on_attempt=lambda server: None,
            on_permits=lambda outcome, count: self.permits.extend([outcome] * count),
            clock=self.clock,
        )
        self.limits.set_post(self.questions.append)
        if limit_per_s is not None:
            self.hear(limit_per_s)

    def hear(self, limit_per_s, *, sent_s_ago=0.0):
        sent_at = self.clock.monotonic() - sent_s_ago
        self.limits.record(RUN, limit_per_s, sent_at=sent_at)

    def reply(self, count, *, retry_after_ms=100, number=None):
        number = self.questions[-1].number if number is None else number
        self.limits.receive_reply(
            PermitReply(run=RUN, number=number, count=count, retry_after_ms=retry_after_ms)
        )

    def take(self, *, replies=()):
        """Take a permit while the leader answers each question, and return the outcome."""

        async def scenario():
            taking = asyncio.ensure_future(
                self.limits.take(RUN, deadline=self.clock.monotonic() + 1.0)
            )
            for count in replies:
                await asyncio.sleep(0)
                await asyncio.sleep(0)
                self.reply(count)
            await asyncio.sleep(0.01)
            if not taking.done():
                self.clock.advance(ANSWER_WAIT_S)
            return await taking

        return asyncio.run(scenario())


def test_a_server_without_a_limit_needs_no_permit():
    setup = Setup(limit_per_s=None)
    assert setup.limits.try_take(RUN)
    assert setup.take() == PermitTaken()
    assert not setup.questions


def test_a_permit_is_asked_for_and_used_by_the_request_that_waits():
    setup = Setup()
    assert setup.take(replies=[1]) == PermitTaken()
    assert [question.wanted for question in setup.questions] == [1]
    assert setup.questions[0].limit.per_s == 10.0


def test_a_request_without_a_permit_is_refused_until_the_leaders_time():
    setup = Setup()
    assert setup.take(replies=[0]) == PermitRefused(retry_after_s=pytest.approx(0.1))
    setup.clock.advance(0.04)
    assert setup.take() == PermitRefused(retry_after_s=pytest.approx(0.06))
    assert len(setup.questions) == 1
    setup.clock.advance(0.07)
    assert setup.take(replies=[1]) == PermitTaken()


def test_only_one_question_is_open_at_a_time():
    setup = Setup()
    assert not any(setup.limits.try_take(RUN) for _ in range(5))
    assert len(setup.questions) == 1
    setup.reply(1)
    assert setup.limits.try_take(RUN)
    assert not setup.limits.try_take(RUN)
    assert setup.questions[-1].wanted == 5


def test_a_permit_expires():
    setup = Setup()
    setup.limits.try_take(RUN)
    setup.reply(1)
    setup.clock.advance(PERMIT_HOLD_S + 0.01)
    assert not setup.limits.try_take(RUN)
    assert setup.permits == ["issued", "expired"]


def test_the_reserve_is_used_while_the_leader_is_silent():
    setup = Setup(limit_per_s=1_000.0)
    assert not setup.limits.try_take(RUN)
    setup.clock.advance(ANSWER_WAIT_S + 0.01)
    assert setup.limits.try_take(RUN)
    assert setup.permits == ["reserve"]


def test_an_answer_that_comes_late_to_a_silent_gateway_ends_the_use_of_the_reserve():
    setup = Setup(limit_per_s=1_000.0)
    assert not setup.limits.try_take(RUN)
    setup.clock.advance(ANSWER_WAIT_S + 0.01)
    setup.reply(0, retry_after_ms=500)
    setup.clock.advance(0.1)
    assert not setup.limits.try_take(RUN)


def test_a_limit_ends_with_a_later_answer_that_names_none():
    setup = Setup()
    setup.clock.advance(1.0)
    setup.hear(None, sent_s_ago=2.0)
    assert setup.limits.limit_per_s(RUN) == 10.0
    setup.hear(None, sent_s_ago=0.5)
    assert setup.limits.limit_per_s(RUN) is None
    assert setup.limits.try_take(RUN)


def test_a_gateway_learns_limits_from_the_leader():
    setup = Setup(limit_per_s=None)
    known = ObservedLimit(run=RUN, per_s=7.0, sent_ms_ago=300, heard_ms_ago=200)
    setup.limits.receive_news(KnownLimits(limits=(known,)))
    assert setup.limits.limit_per_s(RUN) == 7.0
    ended = ObservedLimit(run=RUN, per_s=None, sent_ms_ago=100, heard_ms_ago=50)
    setup.limits.receive_news(KnownLimits(limits=(ended,)))
    assert setup.limits.limit_per_s(RUN) is None


def test_changes_are_reported_at_once_and_limits_again_after_a_while():
    setup = Setup()
    assert [limit.per_s for limit in setup.limits.take_report().limits] == [10.0]
    assert setup.limits.take_report() is None
    setup.clock.advance(REFRESH_S)
    assert setup.limits.take_report() is not None
    setup.hear(None)
    assert [limit.per_s for limit in setup.limits.take_report().limits] == [None]


def test_a_new_incarnation_has_no_limit():
    setup = Setup()
    later = ServerIncarnation(server=RUN.server, incarnation=Incarnation(2))
    setup.limits.keep_only({later})
    assert setup.limits.limit_per_s(RUN) is None
    assert setup.limits.limit_per_s(later) is None


async def promptly(setup, *, answers_after_s=None, count=1):
    """Take a permit while the leader answers after a time, or doesn't answer."""
    deadline = setup.clock.monotonic() + 1.0
    taking = asyncio.ensure_future(setup.limits.take_promptly(RUN, deadline=deadline))
    await asyncio.sleep(0)
    if answers_after_s is not None and not taking.done():
        setup.clock.advance(answers_after_s)
        setup.reply(count)
    return await taking


def test_the_permit_of_a_request_that_asks_does_not_expire_where_requests_are_few():
    setup = Setup()
    for _ in range(3):
        assert asyncio.run(promptly(setup, answers_after_s=0.01))
        setup.clock.advance(2.0)
    assert setup.permits == ["issued"] * 3


def test_requests_do_not_wait_for_a_leader_that_is_silent_or_slow():
    setup = Setup()
    assert not asyncio.run(promptly(setup))
    setup.clock.advance(0.05)
    assert not asyncio.run(promptly(setup, answers_after_s=0.0, count=0))
    assert len(setup.questions) == 1
    setup.reply(1)
    assert asyncio.run(promptly(setup))
    setup.clock.advance(PERMIT_HOLD_S)
    assert not asyncio.run(promptly(setup, answers_after_s=0.0))
    assert len(setup.questions) == 2


def test_a_request_whose_server_has_no_limit_any_more_when_the_leader_answers_is_sent():
    setup = Setup()

    async def scenario():
        taking = asyncio.ensure_future(setup.limits.take_promptly(RUN, deadline=2_000.0))
        await asyncio.sleep(0)
        setup.hear(None)
        setup.reply(0)
        return await taking

    assert asyncio.run(scenario())


def test_no_permits_are_asked_for_requests_of_long_ago():
    setup = Setup()
    for _ in range(5):
        setup.limits.try_take(RUN)
    setup.reply(0, retry_after_ms=2_000)
    setup.clock.advance(2.0)
    setup.limits.try_take(RUN)
    assert [question.wanted for question in setup.questions] == [1, 1]


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
def test_a_permit_that_arrives_while_the_loop_is_busy_is_used_when_the_wait_ends(run, busy_loop):
    async def scenario():
        setup = Setup(clock=SystemClock())
        busy_loop(lambda: setup.reply(1), ANSWER_WAIT_S + 0.1)
        deadline = setup.clock.monotonic() + 1.0
        assert await setup.limits.take(RUN, deadline=deadline) == PermitTaken()
        assert setup.permits == ["issued"]

    run(scenario())


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
def test_a_prompt_permit_that_arrives_while_the_loop_is_busy_is_used(run, busy_loop):
    async def scenario():
        setup = Setup()
        busy_loop(lambda: setup.reply(1), PROMPT_WAIT_S + 0.1)
        deadline = setup.clock.monotonic() + 1.0
        assert await setup.limits.take_promptly(RUN, deadline=deadline)

    run(scenario())
