"""What replicas know of cold servers, and the permits that the leader issues for them."""

from lychee_control.registry.cold import REPEAT_S, ColdBoard, ColdDesk
from lychee_control.registry.limits import LimitBoard, PermitDesk
from lychee_ranges import RoutedState
from lychee_types.ids import DomainName, Incarnation, LogIndex, ServerId, ServiceName
from lychee_types.limit_messages import ObservedLimit, PermitRequest
from lychee_types.records import Endpoint
from lychee_types.registry import RegisteredServer, RoutedImage, ServerIncarnation
from lychee_types.routing import RoutedService, Routing, RoutingVersion
from lychee_types.testing import ManualClock

RATED, PLAIN = ServiceName("rated"), ServiceName("plain")


def record(service, *, cold_s=0.0):
    return RegisteredServer(
        run=ServerIncarnation(server=ServerId(f"{service}-1"), incarnation=Incarnation(1)),
        endpoint=Endpoint(host="10.0.0.1", port=1),
        domain=DomainName("d"),
        service=service,
        release="v1",
        slots=3,
        cold_s=cold_s,
    )


def rated_service(name, **rule):
    return RoutedService(
        name=name, health_path="/", connections=9, protocol="h1", tls=False, **rule
    )


class Setup:
    def __init__(self):
        self.clock = ManualClock()
        services = (rated_service(RATED, warmup_s=20.0, warmup_per_s=2.8), rated_service(PLAIN))
        state = RoutedState(
            image=RoutedImage(
                index=LogIndex(1),
                version=RoutingVersion(number=1, routing=Routing(services=services)),
                servers=(record(RATED), record(PLAIN)),
            )
        )
        self.told = []
        self.limits = LimitBoard(clock=self.clock)
        self.board = ColdBoard(state=lambda: state, clock=self.clock)
        self.desk = ColdDesk(board=self.board, spread=self.told.append, clock=self.clock)
        self.permits = PermitDesk(board=self.limits, cold=self.board, clock=self.clock)

    def ask(self, service, *, is_cold, wanted=8):
        limit = ObservedLimit(run=record(service).run, per_s=None, sent_ms_ago=0, heard_ms_ago=0)
        request = PermitRequest(limit=limit, number=1, wanted=wanted, is_cold=is_cold)
        return self.permits.answer(request, holds_lease=True).count


def test_a_known_server_that_is_cold_again_is_told_to_all_gateways_and_again_later():
    # The leader dropped the cold time of servers that it knew.
    setup = Setup()
    setup.desk.record_heartbeat(record(RATED))
    setup.clock.advance(10.0)
    setup.desk.record_heartbeat(record(RATED, cold_s=8.0))
    assert setup.told[-1].servers[0].remaining_ms == 8_000
    count = len(setup.told)
    setup.desk.spread_again({record(RATED).run})
    setup.clock.advance(0.5)
    setup.desk.spread_again({record(RATED).run})
    assert len(setup.told) == count + 2
    assert setup.told[-1].servers[0].heard_ms_ago == 500


def test_a_server_that_is_new_and_warm_is_told_soon():
    setup = Setup()
    setup.desk.spread_again(set())
    setup.desk.record_heartbeat(record(RATED))
    setup.clock.advance(0.5)
    setup.desk.spread_again({record(RATED).run})
    assert setup.told[-1].servers[0].remaining_ms == 0
    assert REPEAT_S > 0.5


def test_nothing_is_told_of_services_without_a_rate():
    # Earlier versions do not understand the news.
    setup = Setup()
    setup.desk.record_heartbeat(record(PLAIN, cold_s=8.0))
    setup.desk.spread_again({record(PLAIN).run})
    assert setup.told == []
    assert setup.ask(PLAIN, is_cold=True) == 0


def test_permits_are_issued_at_the_lower_rate_to_gateways_that_count_a_server_as_cold():
    setup = Setup()
    assert setup.ask(RATED, is_cold=True) == 0
    setup.clock.advance(1.0)
    assert setup.ask(RATED, is_cold=True) == 2
    run = record(RATED).run
    setup.limits.record((ObservedLimit(run=run, per_s=60.0, sent_ms_ago=0, heard_ms_ago=0),))
    assert setup.permits.limit_per_s(run) == 60.0
    setup.board.record_heartbeat(record(RATED, cold_s=8.0))
    assert setup.permits.limit_per_s(run) == 2.8


def test_servers_of_a_domain_whose_evacuation_is_taken_back_are_cold_until_a_later_heartbeat():
    setup = Setup()
    setup.board.record_heartbeat(record(RATED))
    setup.board.assume(DomainName("d"))
    assert len(setup.board) == 1
    assert setup.board.news() is None
    setup.clock.advance(0.9)
    setup.board.record_heartbeat(record(RATED))
    assert len(setup.board) == 0
