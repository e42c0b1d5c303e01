"""When the leader computes shares of overloaded owners, and what it tells gateways."""

import pytest
from msgspec import Struct
from msgspec.msgpack import decode, encode

from lychee_control.peers import NewsDown, PeerFrame
from lychee_control.registry.overloads import SHARE_INTERVAL_S, OverloadBoard
from lychee_policy import EVIDENCE_S
from lychee_ranges import LoadMerger, LoadTracker, RoutedState
from lychee_types.ids import DomainName, Incarnation, ServerId, ServiceName, SessionId, Token
from lychee_types.overload_messages import KnownOverloads, OwnerShare
from lychee_types.records import Endpoint
from lychee_types.registry import (
    LAST_KEY,
    GrantPhase,
    KeyRange,
    RangeTable,
    RegisteredServer,
    RoutedImage,
    ServerIncarnation,
)
from lychee_types.registry_messages import (
    BucketLoad,
    LoadReport,
    ServerStats,
    ServiceLoad,
    ToSubscriber,
)
from lychee_types.testing import ManualClock

SERVICE = ServiceName("s")
RUNS = [ServerIncarnation(server=ServerId(name), incarnation=Incarnation(1)) for name in "ab"]
HOT_KEY = 7


class FormerServerStats(Struct, frozen=True, kw_only=True, array_like=True):
    server: ServerId
    busy_s: float
    answers: int
    occupied: int


def stats(name="a", *, answers=2, unanswered=0, occupied=2):
    return ServerStats(
        server=ServerId(name),
        busy_s=0.2 * answers,
        answers=answers,
        occupied=occupied,
        unanswered=unanswered,
        work_s=0.2 * answers,
    )


class Setup:
    """The leader's board; the first server owns the lower half of the keys, with the hot one."""

    def __init__(self, *, phase=GrantPhase.ACTIVE):
        middle = LAST_KEY // 2
        bounds = ((0, middle), (middle + 1, LAST_KEY))
        ranges = tuple(
            KeyRange(low=low, high=high, owner=run, token=Token(1), phase=phase)
            for (low, high), run in zip(bounds, RUNS, strict=True)
        )
        servers = tuple(
            RegisteredServer(
                run=run,
                endpoint=Endpoint(host="10.0.0.1", port=1),
                domain=DomainName("d"),
                service=SERVICE,
                release="v1",
                slots=2,
                cold_s=0.0,
                is_leaving=False,
            )
            for run in RUNS
        )
        tables = (RangeTable(service=SERVICE, ranges=ranges),)
        self.clock = ManualClock()
        self.loads = LoadTracker(now=self.clock.monotonic())
        self.sent = []
        self.started = 0
        self.board = OverloadBoard(
            state=RoutedState(image=RoutedImage(servers=servers, tables=tables)),
            loads=self.loads,
            spread=self.sent.append,
            spawn=self.spawn,
            clock=self.clock,
        )

    def spawn(self, work, name):
        self.started += 1
        work.close()

    def run(self, seconds, *, per_s, unanswered=0, occupied=2, answers=2):
        """Let callers want the hot key for some seconds; a server refuses some at each step."""
        for step in range(round(seconds / SHARE_INTERVAL_S)):
            self.clock.advance(SHARE_INTERVAL_S)
            buckets = (BucketLoad(bucket=HOT_KEY, requests=round(per_s * SHARE_INTERVAL_S)),)
            report = LoadReport(
                session=SessionId("g"),
                span_s=SHARE_INTERVAL_S,
                services=(ServiceLoad(service=SERVICE, keys=buckets),) if per_s else (),
                servers=(
                    stats(
                        answers=answers,
                        unanswered=0 if step else unanswered,
                        occupied=occupied if step == 0 else 2,
                    ),
                ),
            )
            self.loads.add_report(report, self.clock.monotonic())
            self.board.record(report)
            self.board.update()


def test_servers_that_answer_every_request_get_no_share():
    setup = Setup()
    setup.run(5.0, per_s=100)
    assert not setup.sent and not setup.started


def test_an_overloaded_owner_is_told_once_requests_were_left_unanswered():
    setup = Setup()
    setup.run(5.0, per_s=100, unanswered=10, occupied=10)
    assert {owner.run for owner in setup.sent[-1].owners} == {RUNS[0]}
    assert 0.05 < setup.sent[-1].owners[0].share < 0.12


@pytest.mark.parametrize(("unanswered", "occupied"), [(4, 10), (20, 2), (20, -1)])
def test_timeouts_that_are_few_or_at_servers_without_a_queue_cause_no_shares(unanswered, occupied):
    # Long work, paused servers and lost responses cause timeouts on every deployment.
    setup = Setup()
    setup.run(5.0, per_s=100, unanswered=unanswered, occupied=occupied)
    assert not setup.sent and not setup.started


def test_timeouts_among_many_answers_of_servers_with_a_queue_cause_no_shares():
    # Servers that refuse at once when full got shares, which refused what they could have served.
    setup = Setup()
    for _ in range(20):
        setup.run(SHARE_INTERVAL_S, per_s=100, occupied=10, answers=40)
        setup.run(SHARE_INTERVAL_S, per_s=100, occupied=10, answers=40, unanswered=2)
    assert not setup.sent and not setup.started


def test_a_share_does_not_end_while_its_refusals_keep_requests_from_being_left_unanswered():
    """Each end would let the owner's queue overflow until the next requests are given up."""
    setup = Setup()
    setup.run(1.0, per_s=100, unanswered=10, occupied=10)
    setup.run(3 * EVIDENCE_S, per_s=100)
    assert setup.sent[-1].owners


def test_unanswered_requests_are_forgotten_some_time_after_the_overload():
    setup = Setup()
    setup.run(2.0, per_s=100, unanswered=10, occupied=10)
    setup.run(EVIDENCE_S + 6.0, per_s=0)
    told = len(setup.sent)
    setup.run(2.0, per_s=100)
    assert len(setup.sent) == told


def test_nothing_is_told_of_owners_that_can_serve_their_demand():
    setup = Setup()
    setup.run(5.0, per_s=5, unanswered=3)
    assert not setup.sent and not len(setup.board)


def test_keys_that_are_being_moved_are_no_demand_on_their_former_owner():
    setup = Setup(phase=GrantPhase.RELEASING)
    setup.run(5.0, per_s=100, unanswered=3)
    assert not setup.sent


def test_the_end_of_an_overload_is_told_at_once():
    setup = Setup()
    setup.run(3.0, per_s=100, unanswered=10, occupied=10)
    setup.run(5.0, per_s=0)
    assert setup.sent[-1] == KnownOverloads(owners=())
    assert len(setup.sent) < 8.0 / SHARE_INTERVAL_S


def test_the_version_before_reads_reports_of_this_one_and_this_one_reads_its():
    report = stats(unanswered=3)
    assert decode(encode(report), type=FormerServerStats).answers == report.answers
    former = FormerServerStats(server=ServerId("a"), busy_s=1.0, answers=2, occupied=-1)
    read = decode(encode(former), type=ServerStats)
    assert (read.unanswered, read.work_s) == (0, 0.0)


def test_news_reach_gateways_through_other_replicas_unchanged():
    news = KnownOverloads(owners=(OwnerShare(run=RUNS[0], share=0.25, retry_s=3.0),))
    assert decode(encode(news), type=ToSubscriber) == news
    assert decode(encode(NewsDown(news=news)), type=PeerFrame).news == news


def test_unanswered_requests_and_work_are_merged():
    merger = LoadMerger()
    for number in (1, 2):
        merger.add(
            LoadReport(
                session=SessionId("g"),
                span_s=0.25,
                services=(),
                servers=(stats(unanswered=number),),
            )
        )
    (merged,) = merger.take().servers
    assert (merged.unanswered, merged.work_s) == (3, 0.8)
