"""Which gateways are asked for a way to a server."""

from collections import Counter
from random import Random

from lychee_policy import GatewayTable, choose_carriers
from lychee_types.ids import DomainName, GatewayId, Incarnation, ServerId
from lychee_types.peer_messages import GatewayReport
from lychee_types.records import Endpoint
from lychee_types.registry import ServerIncarnation

RUN = ServerIncarnation(server=ServerId("s1"), incarnation=Incarnation(1))


def report(name, *, domain="nord", carries=True, reaches_none=False, unreached=()):
    return GatewayReport(
        gateway=GatewayId(name),
        domain=DomainName(domain),
        carry=Endpoint(host="10.0.0.1", port=1) if carries else None,
        reaches_none=reaches_none,
        unreached=unreached,
    )


def choose(reports, *, count=3, seed=1):
    chosen = choose_carriers(
        reports, run=RUN, domain=DomainName("nord"), count=count, rng=Random(seed)
    )
    return [report.gateway for report in chosen]


def test_gateways_that_stop_or_do_not_reach_the_server_are_not_asked():
    reports = [
        report("stops", carries=False),
        report("cut", reaches_none=True),
        report("partly", unreached=(RUN,)),
        report("able"),
    ]
    assert choose(reports) == ["able"]


def test_no_gateway_is_asked_twice_for_one_connection():
    reports = [report(f"g{number}") for number in range(5)]
    for seed in range(20):
        chosen = choose(reports, seed=seed)
        assert len(set(chosen)) == len(chosen) == 3


def test_gateways_beside_the_server_are_asked_more_often_but_not_alone():
    reports = [report("near"), report("far", domain="syd"), report("further", domain="vest")]
    firsts = Counter(choose(reports, count=1, seed=seed)[0] for seed in range(600))
    assert firsts["near"] > 300
    assert min(firsts["far"], firsts["further"]) > 50


def test_only_a_changed_report_is_news():
    table = GatewayTable(max_age_s=10.0)
    assert table.record(report("g1"), 1.0)
    assert not table.record(report("g1"), 2.0)
    assert table.record(report("g1", reaches_none=True), 3.0)
    assert not table.record(report("g1"), 2.5)
    assert table.reports(4.0)[0].reaches_none


def test_gateways_that_report_no_more_are_forgotten():
    table = GatewayTable(max_age_s=10.0)
    table.record(report("g1"), 0.0)
    table.record(report("g2"), 5.0)
    assert [known.gateway for known in table.reports(12.0)] == ["g2"]


def test_a_report_has_the_age_that_it_had_where_it_came_from():
    table = GatewayTable(max_age_s=10.0)
    table.record(report("g1"), 1.0)
    (known,) = table.export(table.gateways, 3.5)
    assert known.ms_ago == 2_500
