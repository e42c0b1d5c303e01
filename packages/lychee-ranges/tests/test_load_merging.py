"""Merged load reports say the same as the reports themselves."""

from random import Random

import pytest

from lychee_ranges import LoadMerger, LoadTracker
from lychee_types.ids import ServerId, ServiceName, SessionId
from lychee_types.registry_messages import BucketLoad, LoadReport, ServerStats, ServiceLoad

SERVICE = ServiceName("s")

GATEWAYS = 4
"""Reports that are merged; the weights of many answers at once differ a little."""


def server_stats(number, rng):
    answers = rng.randrange(5)
    return ServerStats(
        server=ServerId(f"s{number}"),
        busy_s=answers * rng.random(),
        answers=answers,
        occupied=rng.randrange(-1, 4),
    )


def report(rng):
    buckets = rng.sample(range(30), 5)
    keys = tuple(BucketLoad(bucket=bucket, requests=rng.randrange(1, 9)) for bucket in buckets)
    stats = tuple(server_stats(number, rng) for number in rng.sample(range(6), 3))
    load = ServiceLoad(service=SERVICE, keys=keys)
    return LoadReport(session=SessionId(1), span_s=0.25, services=(load,), servers=stats)


@pytest.mark.parametrize("seed", range(5))
def test_a_merged_report_gives_the_same_rates_and_service_times(seed):
    reports = [report(Random(seed * 100 + number)) for number in range(GATEWAYS)]
    merger, single, merged = LoadMerger(), LoadTracker(now=0.0), LoadTracker(now=0.0)
    for item in reports:
        merger.add(item)
        single.add_report(item, 1.0)
    merged.add_report(merger.take(), 1.0)
    one, other = single.rates(SERVICE, 2.0), merged.rates(SERVICE, 2.0)
    assert other.steady == pytest.approx(one.steady)
    assert other.latest == pytest.approx(one.latest)
    for number in range(6):
        server = ServerId(f"s{number}")
        assert merged.service_time_s(server) == pytest.approx(
            single.service_time_s(server), rel=0.05
        )


def test_nothing_is_taken_twice():
    merger = LoadMerger()
    merger.add(report(Random(1)))
    assert merger.take() is not None and merger.take() is None
