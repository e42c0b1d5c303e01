"""Validation of documents beyond their schema."""

from pathlib import Path

import pytest
from msgspec.structs import replace

from lychee_types.document import (
    BodyMode,
    Document,
    KeyPin,
    PlacementPolicy,
    RequestKind,
    ServerRule,
    Service,
)
from lychee_types.document_check import (
    check_document,
    largest_keyed_deadline_ms,
    nearest_power_of_two,
    parse_document,
    read_document,
)
from lychee_types.timing import Timing

EXAMPLES = Path(__file__).parents[3] / "examples"
TIMING = Timing()
KEYED = Service(
    name="repair-status",
    path="/repair-status/",
    kind=RequestKind.KEYED,
    idempotent=True,
    deadline_ms=1_000,
)
FREE = replace(KEYED, name="bench", path="/bench/", kind=RequestKind.FREE, idempotent=False)
DOCUMENT = Document(organisation="Skaft", domains=("nord", "syd"), services=(KEYED, FREE))


def with_placement(**changes: float) -> Document:
    policy = PlacementPolicy(**changes)
    return replace(DOCUMENT, services=(replace(KEYED, placement=policy), FREE))


def with_keyed(**changes: object) -> Document:
    return replace(DOCUMENT, services=(replace(KEYED, **changes), FREE))


def with_pin(**changes: str) -> Document:
    pin = replace(KeyPin(service="repair-status", key="spade-7", server="r1"), **changes)
    return replace(DOCUMENT, pins=(pin,))


@pytest.mark.parametrize("name", ["skaft.yaml", "kemer.yaml"])
def test_the_examples_are_accepted(name: str) -> None:
    assert read_document(EXAMPLES / name).is_ok()


CASES = [
    (replace(DOCUMENT, organisation=""), "organisation", "printable"),
    (replace(DOCUMENT, domains=()), "domains", "at least one failure domain"),
    (replace(DOCUMENT, domains=("nord", "nord")), "domains[1]", "change or remove"),
    (replace(DOCUMENT, domains=("nord pole",)), "domains[0]", "letters, digits"),
    (replace(DOCUMENT, services=(KEYED, KEYED)), "services[1].name", "change or remove"),
    (replace(DOCUMENT, services=(KEYED, KEYED)), "services[1].path", "no part of another's"),
    (with_keyed(path="/bench/x/"), "services[1].path", "no part of another's"),
    (with_keyed(path="/repair-status"), "services[0].path", "a slash at both ends"),
    (with_keyed(path="//"), "services[0].path", "a slash at both ends"),
    (with_keyed(path="/a/../b/"), "services[0].path", "a slash at both ends"),
    (with_keyed(path="/çatı/"), "services[0].path", "a slash at both ends"),
    (with_keyed(path="/_lychee/x/"), "services[0].path", "another URL prefix"),
    (with_keyed(name="a/b"), "services[0].name", "letters, digits"),
    (with_keyed(name="x" * 65), "services[0].name", "1 to 64"),
    (with_keyed(shards=1_000), "services[0].shards", "write 1024"),
    (with_keyed(shards=0), "services[0].shards", "write 1"),
    (with_keyed(shards=2**20), "services[0].shards", "write 65536"),
    (with_keyed(body=BodyMode.STREAMED), "services[0].body", "body: whole, or kind: free"),
    (with_keyed(deadline_ms=1_201), "services[0].deadline_ms", "write at most 1200"),
    (with_keyed(deadline_ms=0), "services[0].deadline_ms", "from 1 to"),
    (with_keyed(max_request_bytes=-1), "services[0].max_request_bytes", "from 1 to"),
    (with_keyed(max_response_bytes=0), "services[0].max_response_bytes", "from 1 to"),
    (with_keyed(queue=-1), "services[0].queue", "from 0 to"),
    (with_keyed(retry_share=1.5), "services[0].retry_share", "from 0.0 to 1.0"),
    (with_placement(lost_after_ms=1_900), "services[0].placement.lost_after_ms", "at most 1800"),
    (with_placement(lost_after_ms=500), "services[0].placement.lost_after_ms", "at least 600"),
    (with_placement(settle_ms=-1), "services[0].placement.settle_ms", "from 0 to"),
    (with_placement(bounded_load=1.0), "services[0].placement.bounded_load", "from 1.01"),
    (with_placement(speed_change=0.0), "services[0].placement.speed_change", "from 0.01"),
    (with_placement(hot_keys=-1), "services[0].placement.hot_keys", "from 0 to"),
    (replace(DOCUMENT, servers=(ServerRule(id="r1"),) * 2), "servers[1].id", "change or remove"),
    (replace(DOCUMENT, servers=(ServerRule(id=""),)), "servers[0].id", "letters, digits"),
    (with_pin(service="repair-stats"), "pins[0].service", "write repair-status"),
    (with_pin(service="bench"), "pins[0].service", "name of a keyed service"),
    (with_pin(key=""), "pins[0].key", "printable"),
    (with_pin(server="r 1"), "pins[0].server", "letters, digits"),
    (replace(DOCUMENT, pins=with_pin().pins * 2), "pins[1].key", "change or remove"),
]


@pytest.mark.parametrize(("document", "place", "remedy"), CASES)
def test_a_fault_names_its_place_and_remedy(document: Document, place: str, remedy: str) -> None:
    faults = check_document(document, TIMING)
    assert any(f.place == place and remedy in f.remedy for f in faults), faults
    assert all(f.place == place for f in faults) or len(faults) == 2


def test_a_too_long_deadline_names_the_bound_and_the_maximum() -> None:
    assert largest_keyed_deadline_ms(TIMING) == 1_200
    assert check_document(with_keyed(deadline_ms=1_200), TIMING) == ()
    fault = check_document(with_keyed(deadline_ms=2_000), TIMING)[0]
    assert "= 4800 ms" in fault.message and "within 4000 ms" in fault.message
    assert (
        check_document(replace(DOCUMENT, services=(replace(FREE, deadline_ms=30_000),)), TIMING)
        == ()
    )


def test_schema_faults_and_findings_are_reported_together_with_their_lines() -> None:
    text = (EXAMPLES / "skaft.yaml").read_text(encoding="utf-8")
    text = text.replace("shards: 1024", "shards: 1000").replace("idempotent: false", "idempotnt: 1")
    text = text.replace("path: /guides/", "path: /repair-status/x/")
    faults = parse_document(text).error
    assert [(f.line, f.place) for f in faults] == [
        (10, "services[0].shards"),
        (20, "services[1].idempotnt"),
        (23, "services[2].path"),
    ]


def test_no_finding_follows_from_a_value_that_the_schema_refused() -> None:
    text = """\
organisation: x
domains: [nord]
services:
  - {name: 7, path: 8, kind: keyd, idempotent: true, deadline_ms: x, shards: y, body: streamed}
pins:
  - {service: repair, key: a, server: r1}
"""
    places = [f.place for f in parse_document(text).error]
    wrong = ["name", "path", "kind", "deadline_ms", "shards"]
    assert places == [f"services[0].{name}" for name in wrong]


def test_the_nearest_power_of_two() -> None:
    numbers = [-1, 1, 3, 5, 6, 7, 1_000, 70_000]
    assert [nearest_power_of_two(n) for n in numbers] == [1, 1, 2, 4, 4, 8, 1_024, 65_536]


def test_a_wrong_kind_hides_no_other_fault_of_the_service() -> None:
    text = (EXAMPLES / "skaft.yaml").read_text(encoding="utf-8")
    bad = text.replace("kind: keyed", "kind: kayed").replace("shards: 1024", "shards: 1000")
    faults = parse_document(bad).error
    assert [fault.place for fault in faults] == ["services[0].kind", "services[0].shards"]
