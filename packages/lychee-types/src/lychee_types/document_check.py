"""Validate the operators' document beyond its schema.

A document is accepted or rejected as a whole; a rejection lists every fault.
"""

import re
from collections.abc import Iterator
from pathlib import Path

from expression import Error, Ok, Result

from lychee_types.document import (
    BodyMode,
    Document,
    KeyPin,
    PlacementPolicy,
    RequestKind,
    Service,
)
from lychee_types.exceptions import Fault
from lychee_types.findings import (
    Finding,
    check_count,
    check_name,
    check_range,
    check_unique,
    merge_faults,
)
from lychee_types.schema import nearest_name
from lychee_types.timing import MAX_UNAVAILABLE_S, Timing
from lychee_types.yamlfile import parse_yaml_with_lines, read_text

COMMIT_MS = 300
"""Time to commit a change of owners and to replicate it to every gateway, in milliseconds."""

RESERVED_PATH = "/_lychee/"
"""URL prefix reserved for the gateways' own endpoints."""

DEFAULT_TIMING = Timing()
"""Timing parameters of a deployment whose settings don't set any."""

MAX_SHARDS = 65_536
MAX_DEADLINE_MS = 600_000
MAX_REQUEST_BYTES = 67_108_864
MAX_RESPONSE_BYTES = 268_435_456
MAX_QUEUE = 65_536
MAX_WAIT_MS = 3_600_000
MAX_HOT_KEYS = 1_024
MAX_DOMAINS = 64
MAX_SERVICES = 256
MAX_SERVERS = 10_000
MAX_PINS = 1_024
MAX_TEXT = 256
"""Maximum length of an organisation name or a pinned key, in characters."""

_PATH = re.compile(r"/([A-Za-z0-9._~-]+/)+")


def check_document(document: Document, timing: Timing) -> tuple[Fault, ...]:
    """Validate a document and return all its faults.

    :param document: the document.
    :param timing: the timing parameters of the deployment.
    """
    return tuple(finding.to_fault() for finding in _check(document, timing))


def parse_document(
    text: str, timing: Timing = DEFAULT_TIMING
) -> Result[Document, tuple[Fault, ...]]:
    """Parse and validate a document from YAML text; return it, or every fault with its line.

    :param text: the YAML text.
    :param timing: the timing parameters of the deployment.
    """
    match parse_yaml_with_lines(text, Document):
        case Result(tag="ok", ok=located):
            faults = merge_faults(_check(located.value, timing), located)
            return Error(faults) if faults else Ok(located.value)
        case Result(error=faults):
            return Error(faults)


def read_document(
    path: Path, timing: Timing = DEFAULT_TIMING
) -> Result[Document, tuple[Fault, ...]]:
    """Read and validate a document from a YAML file; return it, or every fault with its line.

    :param path: the file.
    :param timing: the timing parameters of the deployment.
    """
    return read_text(path).bind(lambda text: parse_document(text, timing))


def largest_keyed_deadline_ms(timing: Timing) -> int:
    """Return the longest deadline of a keyed service that keeps within :data:`MAX_UNAVAILABLE_S`.

    A gateway, an owner and the leader may fail at the same time. The key is then unavailable for
    the sum of the gateway's lease, the deadline of its last request, a drift margin for each of
    the two, an election and a commit.

    :param timing: the timing parameters of the deployment.
    """
    return _remaining_budget_ms(timing) - timing.lease_ms - 2 * timing.drift_ms


def largest_lost_after_ms(service: Service, timing: Timing) -> int:
    """Return the highest ``lost_after_ms`` that keeps within :data:`MAX_UNAVAILABLE_S`.

    ``lost_after_ms`` is the time without an announcement after which a server counts as lost.

    :param service: a keyed service.
    :param timing: the timing parameters of the deployment.
    """
    return _remaining_budget_ms(timing) - service.deadline_ms - timing.drift_ms


def _remaining_budget_ms(timing: Timing) -> int:
    return int(MAX_UNAVAILABLE_S * 1_000) - COMMIT_MS - timing.longest_election_ms


def _check(document: Document, timing: Timing) -> Iterator[Finding]:
    yield from _check_text(document.organisation, "organisation")
    yield from _check_domains(document)
    yield from check_count(len(document.services), "services", most=MAX_SERVICES)
    for index, service in enumerate(document.services):
        yield from _check_service(service, f"services[{index}]", timing)
    yield from check_unique(
        (service.name for service in document.services),
        lambda index: f"services[{index}].name",
        what="the service",
    )
    yield from _check_paths(document)
    yield from _check_servers(document)
    yield from _check_pins(document)


def _check_text(text: str, place: str) -> Iterator[Finding]:
    if not 1 <= len(text) <= MAX_TEXT or not text.isprintable():
        remedy = f"write 1 to {MAX_TEXT} printable characters"
        yield Finding(place=place, message="the text cannot be used", remedy=remedy)


def _check_domains(document: Document) -> Iterator[Finding]:
    if not document.domains:
        remedy = "name at least one failure domain"
        yield Finding(place="domains", message="the list is empty", remedy=remedy)
    yield from check_count(len(document.domains), "domains", most=MAX_DOMAINS)
    for index, name in enumerate(document.domains):
        yield from check_name(name, f"domains[{index}]")
    yield from check_unique(
        document.domains, lambda index: f"domains[{index}]", what="the failure domain"
    )


def _check_service(service: Service, place: str, timing: Timing) -> Iterator[Finding]:
    yield from check_name(service.name, f"{place}.name")
    yield from _check_path(service.path, f"{place}.path")
    limits = (
        ("deadline_ms", service.deadline_ms, 1, MAX_DEADLINE_MS),
        ("max_request_bytes", service.max_request_bytes, 1, MAX_REQUEST_BYTES),
        ("max_response_bytes", service.max_response_bytes, 1, MAX_RESPONSE_BYTES),
        ("queue", service.queue, 0, MAX_QUEUE),
        ("retry_share", service.retry_share, 0.0, 1.0),
    )
    for name, value, least, most in limits:
        yield from check_range(value, f"{place}.{name}", least=least, most=most)
    yield from _check_shards(service.shards, f"{place}.shards")
    if service.kind is RequestKind.KEYED:
        yield from _check_keyed(service, place, timing)
    yield from _check_placement(service.placement, f"{place}.placement")


def _check_path(path: str, place: str) -> Iterator[Finding]:
    if not _PATH.fullmatch(path) or {".", ".."} & set(path.split("/")):
        yield Finding(
            place=place,
            message=f"{path[:MAX_TEXT]!r} is not a URL prefix",
            remedy="write a slash at both ends, and letters, digits, '.', '_', '~' or '-' "
            "between slashes, for example /repair-status/",
        )
    elif path.startswith(RESERVED_PATH):
        yield Finding(
            place=place,
            message=f"{RESERVED_PATH} belongs to the gateways",
            remedy="write another URL prefix",
        )


def _check_shards(shards: int, place: str) -> Iterator[Finding]:
    if not 1 <= shards <= MAX_SHARDS or shards & (shards - 1):
        yield Finding(
            place=place,
            message=f"{shards} is not a power of two from 1 to {MAX_SHARDS}",
            remedy=f"write {nearest_power_of_two(shards)}",
        )


def _check_keyed(service: Service, place: str, timing: Timing) -> Iterator[Finding]:
    kind = f"{place}.kind"
    if service.body is BodyMode.STREAMED:
        yield Finding(
            place=f"{place}.body",
            message="a keyed service cannot stream: a stream has no end by which its key can move",
            remedy="write body: whole, or kind: free",
            needs=(kind,),
        )
    yield from _check_deadline(service, place, timing)


def _check_deadline(service: Service, place: str, timing: Timing) -> Iterator[Finding]:
    largest = largest_keyed_deadline_ms(timing)
    lost_after = largest_lost_after_ms(service, timing)
    if service.deadline_ms > largest:
        total = int(MAX_UNAVAILABLE_S * 1_000) - largest + service.deadline_ms
        yield Finding(
            place=f"{place}.deadline_ms",
            message=f"the deadline does not fit: lease {timing.lease_ms} + drift "
            f"{timing.drift_ms} + deadline {service.deadline_ms} + drift {timing.drift_ms} + "
            f"election {timing.longest_election_ms} + commit {COMMIT_MS} = {total} ms, "
            f"and a key must be served again within {MAX_UNAVAILABLE_S * 1_000:.0f} ms",
            remedy=f"write at most {largest}, or kind: free",
            needs=(f"{place}.kind",),
        )
    elif service.placement.lost_after_ms > lost_after:
        yield Finding(
            place=f"{place}.placement.lost_after_ms",
            message=f"the wait does not fit: it, deadline {service.deadline_ms}, drift "
            f"{timing.drift_ms}, election {timing.longest_election_ms} and commit {COMMIT_MS} "
            f"exceed the {MAX_UNAVAILABLE_S * 1_000:.0f} ms "
            "within which a key must be served again",
            remedy=f"write at most {lost_after}, or a shorter deadline_ms",
            needs=(f"{place}.kind", f"{place}.deadline_ms"),
        )
    if service.placement.lost_after_ms < 2 * timing.renew_ms:
        yield Finding(
            place=f"{place}.placement.lost_after_ms",
            message=f"one late announcement would lose a server: they come every "
            f"{timing.renew_ms} ms",
            remedy=f"write at least {2 * timing.renew_ms}",
            needs=(f"{place}.kind",),
        )


def _check_placement(policy: PlacementPolicy, place: str) -> Iterator[Finding]:
    limits = (
        ("lost_after_ms", policy.lost_after_ms, 1, MAX_WAIT_MS),
        ("settle_ms", policy.settle_ms, 0, MAX_WAIT_MS),
        ("rejoin_ms", policy.rejoin_ms, 0, MAX_WAIT_MS),
        ("speed_change", policy.speed_change, 0.01, 100.0),
        ("bounded_load", policy.bounded_load, 1.01, 100.0),
        ("hot_keys", policy.hot_keys, 0, MAX_HOT_KEYS),
    )
    for name, value, least, most in limits:
        yield from check_range(value, f"{place}.{name}", least=least, most=most)


def _check_paths(document: Document) -> Iterator[Finding]:
    paths = [(service.path, index) for index, service in enumerate(document.services)]
    for path, index in paths:
        for other, first in paths[:index]:
            if not _PATH.fullmatch(path) or not _PATH.fullmatch(other):
                continue
            if path.startswith(other) or other.startswith(path):
                yield Finding(
                    place=f"services[{index}].path",
                    message=f"{path} overlaps {other} of services[{first}]",
                    remedy="give each service a URL prefix that is no part of another's",
                    needs=(f"services[{first}].path",),
                )


def _check_servers(document: Document) -> Iterator[Finding]:
    yield from check_count(len(document.servers), "servers", most=MAX_SERVERS)
    for index, rule in enumerate(document.servers):
        yield from check_name(rule.id, f"servers[{index}].id")
    yield from check_unique(
        (rule.id for rule in document.servers),
        lambda index: f"servers[{index}].id",
        what="the server",
    )


def _check_pins(document: Document) -> Iterator[Finding]:
    yield from check_count(len(document.pins), "pins", most=MAX_PINS)
    for index, pin in enumerate(document.pins):
        place = f"pins[{index}]"
        yield from _check_text(pin.key, f"{place}.key")
        yield from check_name(pin.server, f"{place}.server")
        yield from _check_pinned_service(document, pin, f"{place}.service")
    yield from check_unique(
        ((pin.service, pin.key) for pin in document.pins),
        lambda index: f"pins[{index}].key",
        what="the pinned key",
    )


def _check_pinned_service(document: Document, pin: KeyPin, place: str) -> Iterator[Finding]:
    names = [str(service.name) for service in document.services]
    name_places = tuple(f"services[{index}].name" for index in range(len(names)))
    if pin.service not in names:
        nearest = nearest_name(pin.service, names)
        yield Finding(
            place=place,
            message=f"there is no service {pin.service!r}",
            remedy=f"write {nearest}" if nearest else "write the name of a keyed service",
            needs=("services", *name_places),
        )
        return
    service = document.services[names.index(pin.service)]
    if service.kind is not RequestKind.KEYED:
        yield Finding(
            place=place,
            message=f"the service {pin.service} is free: its requests have no owner",
            remedy="write the name of a keyed service, or remove the pin",
            needs=(f"services[{names.index(pin.service)}].kind",),
        )


def nearest_power_of_two(number: int) -> int:
    """Return the power of two from 1 to :data:`MAX_SHARDS` that is nearest to a number."""
    clamped = min(max(number, 1), MAX_SHARDS)
    lower = 1 << (clamped.bit_length() - 1)
    return lower if clamped - lower <= 2 * lower - clamped else min(2 * lower, MAX_SHARDS)
