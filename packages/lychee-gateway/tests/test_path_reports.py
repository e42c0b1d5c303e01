"""What a gateway reports of its ways to servers."""

from random import Random

from lychee_gateway.proxy.path_reports import PathReports
from lychee_policy import PathTable
from lychee_types.clock import SystemClock
from lychee_types.records import Endpoint
from lychee_types.registry import ServerIncarnation

RUNS = [ServerIncarnation(server=f"server-{number}", incarnation=1) for number in range(5)]


def test_a_gateway_that_reaches_no_server_reports_no_list_that_changes_with_each_of_them():
    table = PathTable(rng=Random(1))
    table.keep_only(RUNS)
    reports = PathReports(
        gateway="gateway-1",
        domain="nord",
        carry=Endpoint(host="127.0.0.1", port=1),
        table=table,
        clock=SystemClock(),
    )
    for run in RUNS[:2]:
        table.record_failed(run, 0.0)
        table.record_carried(run)
    assert reports.take().unreached == tuple(RUNS[:2])
    for run in RUNS[2:]:
        table.record_failed(run, 0.0)
        table.record_carried(run)
    report = reports.take()
    assert report.reaches_none
    assert report.unreached == ()
