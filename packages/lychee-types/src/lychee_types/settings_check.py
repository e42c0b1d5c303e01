"""Read settings files, and validate settings beyond their schema."""

from collections.abc import Iterator
from ipaddress import ip_address
from pathlib import Path
from typing import TypeVar

from expression import Error, Ok, Result

from lychee_types.document_check import largest_keyed_deadline_ms
from lychee_types.exceptions import Fault, SettingsError
from lychee_types.findings import Finding, check_name, check_range, check_unique, merge_faults
from lychee_types.records import Endpoint
from lychee_types.routed_settings import ProxySettings, RegistrySettings, check_routed_settings
from lychee_types.schema import nearest_name
from lychee_types.settings import (
    ConsoleSettings,
    ControlSettings,
    GatewaySettings,
    LogSettings,
    StatsdSettings,
)
from lychee_types.timing import Timing
from lychee_types.yamlfile import parse_yaml_with_lines, read_text

Settings = ControlSettings | GatewaySettings | ConsoleSettings | RegistrySettings | ProxySettings
"""The settings of any daemon."""

S = TypeVar("S", ControlSettings, GatewaySettings, ConsoleSettings, RegistrySettings, ProxySettings)

LOG_LEVELS = ("TRACE", "DEBUG", "INFO", "SUCCESS", "WARNING", "ERROR", "CRITICAL")
MAX_TIME_MS = 60_000
"""Maximum value of a timeout or interval in the settings, in milliseconds."""


def check_settings(settings: Settings) -> tuple[Fault, ...]:
    """Validate a daemon's settings and return all their faults.

    :param settings: the settings.
    """
    return tuple(finding.to_fault() for finding in _check(settings))


def parse_settings(text: str, kind: type[S]) -> Result[S, tuple[Fault, ...]]:
    """Parse and validate settings from YAML text; return them, or every fault with its line.

    :param text: the YAML text.
    :param kind: the settings class of the daemon.
    """
    match parse_yaml_with_lines(text, kind):
        case Result(tag="ok", ok=located):
            faults = merge_faults(_check(located.value), located)
            return Error(faults) if faults else Ok(located.value)
        case Result(error=faults):
            return Error(faults)


def read_settings(path: Path, kind: type[S]) -> Result[S, tuple[Fault, ...]]:
    """Read and validate settings from a YAML file; return them, or every fault with its line.

    :param path: the file.
    :param kind: the settings class of the daemon.
    """
    return read_text(path).bind(lambda text: parse_settings(text, kind))


def load_settings(path: Path, kind: type[S]) -> S:
    """Read and validate settings from a YAML file.

    :param path: the file.
    :param kind: the settings class of the daemon.
    :raises SettingsError: if the file has faults; the message has one line for each.
    """
    match read_settings(path, kind):
        case Result(tag="ok", ok=settings):
            return settings
        case Result(error=faults):
            lines = "".join(f"\n  {fault.format_message()}" for fault in faults)
            raise SettingsError(
                message=f"{path} has {len(faults)} fault(s):{lines}",
                remedy="correct the file and start the program again",
            )


def hints(settings: Settings) -> tuple[Fault, ...]:
    """Return warnings about settings that are valid but not recommended.

    :param settings: the settings.
    """
    if not isinstance(settings, ControlSettings):
        return ()
    count = len(settings.replicas)
    if count == 0 or count % 2 == 1:
        return ()
    return (
        Fault(
            place="replicas",
            message=f"{count} voters survive no more losses than {count - 1}",
            remedy=f"use {count - 1} or {count + 1} voters",
        ),
    )


def _check(settings: Settings) -> Iterator[Finding]:
    match settings:
        case ControlSettings():
            yield from _check_control(settings)
        case GatewaySettings():
            yield from _check_gateway(settings)
        case ConsoleSettings():
            yield from _check_console(settings)
        case RegistrySettings() | ProxySettings():
            yield from check_routed_settings(settings)
    yield from _check_log(settings.log)


def _check_control(settings: ControlSettings) -> Iterator[Finding]:
    yield from check_name(settings.id, "id")
    yield from check_name(settings.domain, "domain")
    if settings.advertise is None:
        yield from _check_reachable(settings.listen, "listen")
    else:
        yield from _check_endpoint(settings.listen, "listen")
        yield from _check_reachable(settings.advertise, "advertise")
    if not settings.data:
        yield Finding(place="data", message="the folder is empty", remedy="name a folder")
    yield from _check_replicas(settings)
    yield from _check_timing(settings.timing)
    yield from _check_statsd(settings.statsd)


def _check_replicas(settings: ControlSettings) -> Iterator[Finding]:
    for index, peer in enumerate(settings.replicas):
        yield from check_name(peer.id, f"replicas[{index}].id")
        yield from _check_reachable(peer.endpoint, f"replicas[{index}].endpoint")
    yield from check_unique(
        (peer.id for peer in settings.replicas),
        lambda index: f"replicas[{index}].id",
        what="the replica",
    )
    yield from check_unique(
        (str(peer.endpoint) for peer in settings.replicas),
        lambda index: f"replicas[{index}].endpoint",
        what="the address",
    )
    ids = [str(peer.id) for peer in settings.replicas]
    if ids and settings.id not in ids:
        nearest = nearest_name(settings.id, ids)
        yield Finding(
            place="replicas",
            message=f"this replica's id {settings.id} is not in the list",
            remedy=(
                f"write id: {nearest}"
                if nearest
                else "add it, or write replicas: [] for a replica that joins a running deployment"
            ),
            needs=("id", *(f"replicas[{index}].id" for index in range(len(ids)))),
        )
    field = "listen" if settings.advertise is None else "advertise"
    advertised = settings.advertise or settings.listen
    for index, peer in enumerate(settings.replicas):
        if peer.id == settings.id and peer.endpoint != advertised:
            yield Finding(
                place=f"replicas[{index}].endpoint",
                message=f"{peer.endpoint} is not this replica's {field} address {advertised}",
                remedy="write the same address in both places",
                needs=("id", field, f"replicas[{index}].id"),
            )


def _check_gateway(settings: GatewaySettings) -> Iterator[Finding]:
    yield from check_name(settings.id, "id")
    yield from check_name(settings.domain, "domain")
    yield from _check_endpoint(settings.listen, "listen")
    yield from _check_endpoint(settings.announce, "announce")
    if settings.listen == settings.announce:
        yield Finding(
            place="announce",
            message=f"{settings.announce} is the listen address for callers too",
            remedy="write another port",
            needs=("listen",),
        )
    yield from _check_control_addresses(settings.control)
    yield from check_range(settings.stop_notice_ms, "stop_notice_ms", least=0, most=MAX_TIME_MS)
    yield from _check_timing(settings.timing)
    yield from _check_statsd(settings.statsd)


def _check_console(settings: ConsoleSettings) -> Iterator[Finding]:
    yield from _check_endpoint(settings.listen, "listen")
    yield from _check_control_addresses(settings.control)
    if not settings.operators:
        yield Finding(place="operators", message="the name is empty", remedy="name a YAML file")


def _check_control_addresses(control: tuple[Endpoint, ...]) -> Iterator[Finding]:
    if not control:
        remedy = "write the addresses of the control replicas"
        yield Finding(place="control", message="the list is empty", remedy=remedy)
    for index, endpoint in enumerate(control):
        yield from _check_reachable(endpoint, f"control[{index}]")
    yield from check_unique(
        (str(endpoint) for endpoint in control),
        lambda index: f"control[{index}]",
        what="the address",
    )


def _check_endpoint(endpoint: Endpoint, place: str) -> Iterator[Finding]:
    yield from check_range(endpoint.port, f"{place}.port", least=1, most=65_535)
    try:
        ip_address(endpoint.host)
    except ValueError:
        yield Finding(
            place=f"{place}.host",
            message=f"{endpoint.host[:64]!r} is not an IP number",
            remedy="write the VM's IP number, for example 10.0.0.5",
        )


def _check_reachable(endpoint: Endpoint, place: str) -> Iterator[Finding]:
    yield from _check_endpoint(endpoint, place)
    if endpoint.host in ("0.0.0.0", "::"):
        yield Finding(
            place=f"{place}.host",
            message=f"no other VM can connect to {endpoint.host}",
            remedy="write the VM's own IP number",
        )


def _check_log(log: LogSettings) -> Iterator[Finding]:
    if log.level not in LOG_LEVELS:
        nearest = nearest_name(log.level.upper(), list(LOG_LEVELS))
        yield Finding(
            place="log.level",
            message=f"{log.level[:64]!r} is not a level",
            remedy=f"write {nearest}" if nearest else f"write one of {', '.join(LOG_LEVELS)}",
        )


def _check_statsd(statsd: StatsdSettings | None) -> Iterator[Finding]:
    if statsd is not None:
        yield from _check_reachable(statsd.endpoint, "statsd.endpoint")
        yield from check_name(statsd.prefix, "statsd.prefix")


def _check_timing(timing: Timing) -> Iterator[Finding]:
    for name in type(timing).__struct_fields__:
        value = getattr(timing, name)
        yield from check_range(value, f"timing.{name}", least=1, most=MAX_TIME_MS)
    relations = (
        ("renew_ms", "lease_ms", timing.renew_ms * 2 < timing.lease_ms, "less than half of"),
        ("drift_ms", "lease_ms", timing.drift_ms < timing.lease_ms, "less than"),
        ("suspect_ms", "renew_ms", timing.suspect_ms >= 2 * timing.renew_ms, "at least twice"),
        ("election_ms", "heartbeat_ms", timing.election_ms > 2 * timing.heartbeat_ms, "over twice"),
        ("tick_ms", "renew_ms", timing.tick_ms < timing.renew_ms, "less than"),
    )
    for name, other, holds, words in relations:
        if not holds:
            yield Finding(
                place=f"timing.{name}",
                message=f"{name} {getattr(timing, name)} does not go with "
                f"{other} {getattr(timing, other)}",
                remedy=f"write {words} {other}",
                needs=(f"timing.{other}",),
            )
    largest = largest_keyed_deadline_ms(timing)
    if largest < 1:
        yield Finding(
            place="timing.lease_ms",
            message=f"lease, drift and election leave {largest} ms for a keyed request",
            remedy="write a shorter lease_ms or election_ms",
            needs=("timing.election_ms", "timing.drift_ms"),
        )
