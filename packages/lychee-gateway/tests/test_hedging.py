"""Two copies of a request: which one answers, what becomes of the other, and what is counted."""

import asyncio
from contextlib import nullcontext, suppress
from types import SimpleNamespace

import pytest

from lychee_gateway.proxy.attempts import (
    NoAnswer,
    NotRun,
    PassedOn,
    TooLate,
    WholeAnswer,
)
from lychee_gateway.proxy.calls import Call
from lychee_gateway.proxy.hedging import Hedger
from lychee_gateway.proxy.held import HeldAnswers
from lychee_gateway.proxy.metrics import ProxyMetrics
from lychee_gateway.proxy.placing import RoutedRequest
from lychee_gateway.proxy.races import CopyRace, Racer
from lychee_gateway.proxy.request_bodies import Body
from lychee_gateway.proxy.servers import ProxyServer
from lychee_gateway.proxy.stopping import StopSchedule
from lychee_gateway.proxy.tracked_sender import TrackedSender
from lychee_http import ResponseHead
from lychee_types.clock import SystemClock
from lychee_types.ids import DomainName, Incarnation, ServerId, ServiceName
from lychee_types.records import Endpoint
from lychee_types.registry import RegisteredServer, ServerIncarnation
from lychee_types.routed_settings import HedgingSettings
from lychee_types.routing import Route, RouteKind, ServiceShare

SERVICE = ServiceName("s")
DELAY_S = 0.02
WHOLE = Body(buffered=b"", is_whole=True, rest=lambda: None)


def answer(status=200, body=b"a"):
    return WholeAnswer(head=ResponseHead(status=status, headers=()), body=body)


FAILED = answer(500, b"failed")
REFUSED = NotRun(reason="it answered 503", was_sent=True)
LOST = NoAnswer(reason="cut")


def after(seconds, result):
    """Return what an attempt does that has a result after a time."""

    async def attempt(claim):
        await asyncio.sleep(seconds)
        return result

    return attempt


def stream(seconds, sent, name, *, parts=3):
    """Return an attempt that streams its answer from a time on, one part each 10 ms."""

    async def attempt(claim):
        await asyncio.sleep(seconds)
        claim.has_begun = True
        claim.take()
        for _ in range(parts):
            sent.append(name)
            await asyncio.sleep(0.01)
        return PassedOn(status=200, is_whole=True)

    return attempt


class FakeSender:
    """Does what the script says for each server, and notes which attempts were cancelled."""

    def __init__(self, script):
        self.script = script
        self.sent = []
        self.selected_at = []
        self.cancelled = []

    async def send(self, *, server, claim, selected_at, **rest):
        name = server.run.server
        self.sent.append(name)
        self.selected_at.append(selected_at)
        try:
            return await self.script[name](claim)
        except asyncio.CancelledError:
            self.cancelled.append(name)
            raise


class FakeSuspects:
    """Knows of no ended servers, unless told so."""

    is_suspected = False

    def track(self, call):
        return nullcontext()

    def is_free(self, call, body):
        return not self.is_suspected

    async def record(self, call, body, server, attempt, *, sent_at):
        pass


def make_server(name):
    record = RegisteredServer(
        run=ServerIncarnation(server=ServerId(name), incarnation=Incarnation(1)),
        endpoint=Endpoint(host="127.0.0.1", port=1),
        domain=DomainName("d"),
        service=SERVICE,
        release="1",
        slots=1,
    )
    return ProxyServer(record=record, now=0.0)


def make_metrics():
    names = "under_way index version evacuated cold owner_share limits age_s silence_s"
    return ProxyMetrics(
        **{name: lambda: 0.0 for name in (*names.split(), "follows_near", "unreached", "carried")}
    )


class Setup:
    """A hedger that knows the delay of its route and has copies saved up; servers a and b."""

    def __init__(self, first, copy=None, *, kind=RouteKind.SAFE, max_share=0.5, **changes):
        self.clock = SystemClock()
        self.metrics = make_metrics()
        self.suspects = FakeSuspects()
        self.stop = StopSchedule(grace_s=6.0, clock=self.clock)
        self.spent = 0
        self.has_budget = self.has_room = True
        self.asking_s = 0.0
        self.a, self.b = make_server("a"), make_server("b")
        self.fake = FakeSender({"a": first, "b": copy})
        self.held = HeldAnswers()
        self.hedger = Hedger(
            sender=TrackedSender(
                sender=self.fake, suspects=self.suspects, metrics=self.metrics, clock=self.clock
            ),
            selector=SimpleNamespace(select_for_copy=self._select),
            suspects=self.suspects,
            retries=SimpleNamespace(try_spend=self._try_spend),
            metrics=self.metrics,
            stop=self.stop,
            settings=HedgingSettings(max_share=max_share, percentile=50),
            clock=self.clock,
        )
        self.call = self._make_call(kind, **changes)
        if max_share:
            self.copies = self._learn()

    def _make_call(self, kind, *, key=None, max_attempts=2, left_s=1.0):
        now = self.clock.monotonic()
        route = Route(
            name="r",
            prefix="/",
            kind=kind,
            timeout_s=1.0,
            target_latency_s=0.3,
            priority=1,
            max_attempts=max_attempts,
            shares=(ServiceShare(service=SERVICE, weight=1.0),),
        )
        routed = RoutedRequest(
            route=route, service=SERVICE, key=key, arrived_at=now, deadline=now + left_s
        )
        request = SimpleNamespace(request_id="q1")
        return Call(exchange=None, request=request, route=route, routed=routed)

    def _learn(self):
        now = self.clock.monotonic()
        copies = self.hedger._find("r", now)
        for _ in range(20):
            copies.count_request(now)
            copies.times.record(DELAY_S, now)
        return copies

    async def _select(self, routed):
        assert self.a.run in routed.tried
        await asyncio.sleep(self.asking_s)
        return self.b if self.has_room else None

    def _try_spend(self, service, *, now):
        self.spent += self.has_budget
        return self.has_budget

    async def send(self, body=WHOLE):
        with self.held.track(conn=self, route="r") as held:
            return await self.hedger.send(self.call, body, self.a, held)

    def run(self, body=WHOLE):
        async def bounded():
            async with asyncio.timeout(5):
                result = await self.send(body)
            assert len(asyncio.all_tasks()) == 1
            return result

        return asyncio.run(bounded())

    def counted(self, name):
        lines = self.metrics.render().decode().splitlines()
        found = [
            line.rsplit(" ", 1) for line in lines if line.startswith(f"lychee_gateway_{name}{{")
        ]
        return {line.split('"')[1]: float(value) for line, value in found}

    def outcomes(self):
        return [(step.server, step.outcome) for step in self.call.trail]


def test_a_fast_first_answer_needs_no_copy():
    setup = Setup(after(0.0, answer()))
    assert setup.run() == answer()
    assert setup.fake.sent == ["a"]
    assert setup.call.copy is None
    assert setup.spent == 0


def test_an_answer_that_comes_while_servers_are_asked_for_their_load_needs_no_copy():
    # A copy would be extra work at a server, and spend the retry budget.
    setup = Setup(after(0.05, answer(body=b"a")), after(0.0, answer(body=b"b")))
    setup.asking_s = 0.1
    assert setup.run() == answer(body=b"a")
    assert (setup.fake.sent, setup.spent) == (["a"], 0)
    assert setup.call.copy == "answer_begun"


def test_the_copys_answer_is_delivered_and_the_first_attempt_cancelled():
    setup = Setup(after(3.0, answer(body=b"a")), after(0.01, answer(body=b"b")))
    assert setup.run() == answer(body=b"b")
    assert setup.fake.cancelled == ["a"]
    assert setup.outcomes() == [("b", "answered 200"), ("a", "cancelled")]
    assert (setup.call.copy, setup.call.attempts, setup.spent) == ("won", 1, 1)
    assert setup.counted("copies_total") == {"sent": 1, "won": 1}
    assert setup.counted("attempts_total") == {"Cancelled": 1, "WholeAnswer": 1}
    assert "copies_cancelled_seconds_total" in setup.metrics.render().decode()
    assert setup.a.in_flight == setup.held.held_bytes == 0


def test_the_first_attempts_answer_is_delivered_and_its_copy_cancelled():
    setup = Setup(after(0.1, answer(body=b"a")), after(3.0, answer(body=b"b")))
    assert setup.run() == answer(body=b"a")
    assert setup.fake.cancelled == ["b"]
    assert setup.outcomes() == [("a", "answered 200"), ("b", "cancelled")]
    assert setup.counted("copies_total") == {"sent": 1, "lost": 1}


@pytest.mark.parametrize("failure", [FAILED, REFUSED, LOST])
def test_a_failure_of_one_of_them_waits_for_the_answer_of_the_other(failure):
    first_fails = Setup(after(0.05, failure), after(0.2, answer(body=b"b")))
    assert first_fails.run() == answer(body=b"b")
    assert first_fails.call.attempts == 1
    copy_fails = Setup(after(0.2, answer(body=b"a")), after(0.0, failure))
    assert copy_fails.run() == answer(body=b"a")
    assert copy_fails.call.attempts == 1
    assert first_fails.fake.cancelled == copy_fails.fake.cancelled == []


@pytest.mark.parametrize(
    ("first", "copy", "result", "attempts", "may_have_run", "kept"),
    [
        (FAILED, REFUSED, REFUSED, 1, False, FAILED),
        (REFUSED, FAILED, FAILED, 1, False, None),
        (LOST, REFUSED, REFUSED, 1, True, None),
        (REFUSED, LOST, LOST, 1, False, None),
        (REFUSED, TooLate(), TooLate(), 1, False, None),
        (NotRun(reason="no connection", was_sent=False), FAILED, FAILED, 0, False, None),
    ],
)
def test_if_both_fail_the_first_to_fail_is_counted_and_the_other_decides(
    first, copy, result, attempts, may_have_run, kept
):
    setup = Setup(after(0.1, first), after(0.15, copy))
    assert setup.run() == result
    call = setup.call
    assert (call.attempts, call.may_have_run, call.failed_answer) == (attempts, may_have_run, kept)
    assert call.copy == "failed"
    assert {step.server for step in call.trail} == {"a", "b"}
    assert call.routed.tried == [setup.a.run, setup.b.run]


def test_a_first_answer_that_is_streamed_while_the_copy_starts_is_the_only_one():
    sent = []
    setup = Setup(stream(0.03, sent, "a"), stream(0.01, sent, "b"))
    assert setup.run() == PassedOn(status=200, is_whole=True)
    assert len(set(sent)) == 1
    assert len(sent) == 3
    assert len(setup.fake.cancelled) == 1


def test_a_copys_streamed_answer_ends_the_first_attempt_at_its_first_part():
    sent = []

    async def slow(claim):
        try:
            await asyncio.sleep(3.0)
        finally:
            sent.append("a ended")

    setup = Setup(slow, stream(0.0, sent, "b", parts=30))
    assert setup.run() == PassedOn(status=200, is_whole=True)
    assert sent == ["b", "a ended", *["b"] * 29]


def test_an_answer_that_comes_in_the_same_moment_as_the_winners_is_not_delivered():
    ready = asyncio.Event()

    def at_once(body):
        async def attempt(claim):
            await ready.wait()
            return answer(body=body)

        return attempt

    setup = Setup(at_once(b"a"), at_once(b"b"))

    async def scenario():
        task = asyncio.create_task(setup.send())
        while len(setup.fake.sent) < 2:  # noqa: ASYNC110
            await asyncio.sleep(0.005)
        ready.set()
        return await task

    assert asyncio.run(scenario()) == answer(body=b"a")
    assert setup.fake.cancelled == ["b"]


def test_an_attempt_that_ignores_its_cancellation_still_cannot_pass_anything_on():
    sent = []

    async def stubborn(claim):
        with suppress(asyncio.CancelledError):
            await asyncio.sleep(3.0)
        claim.take()
        sent.append("a")

    setup = Setup(stubborn, after(0.0, answer(body=b"b")))
    assert setup.run() == answer(body=b"b")
    assert sent == []


def test_a_claim_that_every_attempt_gets_would_be_found(monkeypatch):
    take = CopyRace.take
    monkeypatch.setattr(CopyRace, "take", lambda race, racer: take(race, racer) or True)
    with pytest.raises(AssertionError):
        test_an_attempt_that_ignores_its_cancellation_still_cannot_pass_anything_on()


def test_a_loser_that_goes_on_would_be_found(monkeypatch):
    monkeypatch.setattr(Racer, "lose", lambda racer: None)
    with pytest.raises(AssertionError):
        test_a_copys_streamed_answer_ends_the_first_attempt_at_its_first_part()


def test_both_attempts_are_cancelled_when_the_caller_leaves():
    setup = Setup(after(3.0, answer()), after(3.0, answer()))

    async def scenario():
        task = asyncio.create_task(setup.send())
        while len(setup.fake.sent) < 2:  # noqa: ASYNC110
            await asyncio.sleep(0.005)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        assert len(asyncio.all_tasks()) == 1

    asyncio.run(scenario())
    assert sorted(setup.fake.cancelled) == ["a", "b"]
    assert setup.counted("copies_total") == {"sent": 1, "left": 1}
    assert setup.a.in_flight == setup.b.in_flight == 0


def begun(claim):
    claim.has_begun = True
    return after(0.1, answer())(claim)


@pytest.mark.parametrize(
    ("reason", "changes", "prepare"),
    [
        ("answer_begun", {"first": begun}, None),
        ("no_attempt_left", {"max_attempts": 1}, None),
        ("no_time", {"left_s": 0.03}, None),
        ("suspected", {}, lambda s: setattr(s.suspects, "is_suspected", True)),
        ("stopping", {}, lambda s: s.stop.begin()),
        ("no_room", {}, lambda s: setattr(s, "has_room", False)),
        ("retry_budget", {}, lambda s: setattr(s, "has_budget", False)),
        ("share_spent", {}, lambda s: setattr(s.copies, "_saved", 0.0)),
    ],
)
def test_no_copy_is_sent_and_the_reason_is_counted(reason, changes, prepare):
    changes = {"first": after(0.1, answer()), **changes}
    setup = Setup(changes.pop("first"), **changes)
    if prepare:
        prepare(setup)
    assert setup.run() == answer()
    assert setup.fake.sent == ["a"]
    assert setup.call.copy == reason
    assert setup.counted("copies_suppressed_total") == {reason: 1}
    assert setup.spent == 0


def test_no_copy_is_sent_of_a_body_that_is_not_whole():
    setup = Setup(after(0.1, answer()))
    setup.run(Body(buffered=b"x", is_whole=False, rest=lambda: None))
    assert setup.call.copy == "body_incomplete"
    assert setup.fake.sent == ["a"]


@pytest.mark.parametrize("changes", [{"kind": RouteKind.UNSAFE}, {"key": 7}, {"max_share": 0.0}])
def test_no_copy_is_due_of_a_request_that_never_gets_one(changes):
    setup = Setup(after(0.1, answer()), **changes)
    setup.run()
    assert setup.fake.sent == ["a"]
    assert setup.call.copy is None


def test_a_repeat_after_a_failed_attempt_gets_no_copy():
    setup = Setup(after(0.0, REFUSED))
    assert setup.run() == REFUSED
    setup.fake.script["a"] = after(0.1, answer())
    assert setup.run() == answer()
    assert setup.fake.sent == ["a", "a"]


def test_the_dump_has_a_row_for_each_route_with_requests():
    setup = Setup(after(0.0, answer()))
    [row] = setup.hedger.dump()
    assert (row.route, row.saved) == ("r", 3.0)
    assert row.delay_ms == pytest.approx(1_000 * DELAY_S, abs=1)


def test_the_time_of_a_cancelled_first_attempt_counts_as_slow():
    setup = Setup(after(3.0, answer()), after(0.3, answer()))
    setup.run()
    for _ in range(21):
        setup.copies.times.record(10.0, setup.clock.monotonic())
    recorded = setup.copies.times._newer
    assert recorded.get_total_count() == 42
    assert recorded.get_value_at_percentile(49) > 2_000


def test_an_attempt_is_told_when_its_server_was_selected_not_when_its_task_runs():
    """News of a cold server that came in between did not stop the request."""
    setup = Setup(after(0.0, answer()))

    async def scenario():
        selected = asyncio.ensure_future(setup.send())
        asyncio.get_running_loop().call_soon(lambda: handled.append(setup.clock.monotonic()))
        await selected

    handled = []
    asyncio.run(scenario())
    assert setup.fake.selected_at[0] < handled[0]
