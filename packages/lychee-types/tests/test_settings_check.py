"""Validation of settings."""

from pathlib import Path

import pytest

from lychee_types.exceptions import SettingsError
from lychee_types.routed_settings import ProxySettings, RegistrySettings
from lychee_types.settings import ConsoleSettings, ControlSettings, GatewaySettings
from lychee_types.settings_check import hints, load_settings, parse_settings, read_settings

LOCAL_EXAMPLES = Path(__file__).parents[3] / "examples" / "local"

CONTROL = """\
id: c1
listen: {host: 10.0.0.1, port: 7100}
domain: nord
data: /var/lib/lychee
replicas:
  - {id: c1, endpoint: {host: 10.0.0.1, port: 7100}}
  - {id: c2, endpoint: {host: 10.0.0.2, port: 7100}}
  - {id: c3, endpoint: {host: 10.0.0.3, port: 7100}}
timing: {lease_ms: 1500}
"""
GATEWAY = """\
id: g1
listen: {host: 0.0.0.0, port: 8080}
announce: {host: 10.0.0.1, port: 8081}
domain: nord
control: [{host: 10.0.0.1, port: 7100}]
log: {level: INFO}
"""
REGISTRY = """\
id: core-1
listen: 10.0.0.1:7100
peer_port: 7200
domain: nord
data: /var/lib/lychee
seeds: ["10.0.0.1:7100"]
is_first_start: true
heartbeat_s: 1.0
metrics: 10.0.0.1:9464
"""
PROXY = """\
id: edge-1
listen: 10.0.0.2:8080
ready: 10.0.0.2:8081
peer_port: 7200
domain: nord
seeds: ["10.0.0.1:7100"]
carry: 10.0.0.2:7201
hedging: {max_share: 0.05, percentile: 95}
metrics: 10.0.0.2:9464
"""
CONSOLE = """\
listen: {host: 127.0.0.1, port: 8090}
control: [{host: 10.0.0.1, port: 7100}]
operators: operators.yaml
"""


ADVERTISED = CONTROL.replace(
    "listen: {host: 10.0.0.1, port: 7100}",
    "listen: {host: 0.0.0.0, port: 7200}\nadvertise: {host: 10.0.0.1, port: 7100}",
)


@pytest.mark.parametrize(
    ("text", "kind"),
    [
        (CONTROL, ControlSettings),
        (ADVERTISED, ControlSettings),
        (GATEWAY, GatewaySettings),
        (CONSOLE, ConsoleSettings),
        (REGISTRY, RegistrySettings),
        (PROXY, ProxySettings),
    ],
)
def test_good_settings_are_accepted(text: str, kind: type) -> None:
    assert parse_settings(text, kind).is_ok()


@pytest.mark.parametrize(
    "path", sorted(LOCAL_EXAMPLES.glob("*-?.yaml")) + [LOCAL_EXAMPLES / "console.yaml"]
)
def test_the_example_settings_are_accepted(path: Path) -> None:
    kinds = {"control": ControlSettings, "gateway": GatewaySettings, "console": ConsoleSettings}
    assert read_settings(path, kinds[path.stem.split("-")[0]]).is_ok()


ADDRESS, ADVERTISED_IP = "replicas[0].endpoint", "advertise.host"
CASES = [
    (CONTROL, "id: c2,", "id: c1,", "replicas[1].id", "change or remove"),
    (CONTROL, "id: c1\n", "id: c11\n", "replicas", "write id: c1"),
    (CONTROL, "id: c1\n", "id: zebra\n", "replicas", "add it"),
    (CONTROL, "0.2, port", "0.3, port", "replicas[2].endpoint", "change or remove"),
    (CONTROL, "listen: {host: 10.0.0.1", "listen: {host: 10.0.0.9", ADDRESS, "same"),
    (CONTROL, "listen: {host: 10.0.0.1", "listen: {host: 0.0.0.0", "listen.host", "own IP number"),
    (CONTROL, "domain: n", "advertise: {host: 10.0.0.9, port: 7100}\ndomain: n", ADDRESS, "same"),
    (
        CONTROL,
        "domain: n",
        "advertise: {host: 0.0.0.0, port: 7100}\ndomain: n",
        ADVERTISED_IP,
        "own IP",
    ),
    (CONTROL, "data: /var/lib/lychee", "data: ''", "data", "name a folder"),
    (CONTROL, "domain: nord", "domain: 'a b'", "domain", "letters, digits"),
    (CONTROL, "lease_ms: 1500", "renew_ms: 750", "timing.renew_ms", "less than half of lease_ms"),
    (CONTROL, "lease_ms: 1500", "heartbeat_ms: 200", "timing.election_ms", "over twice heartbeat"),
    (CONTROL, "lease_ms: 1500", "suspect_ms: 400", "timing.suspect_ms", "at least twice renew_ms"),
    (CONTROL, "lease_ms: 1500", "drift_ms: 1500", "timing.drift_ms", "less than lease_ms"),
    (CONTROL, "lease_ms: 1500", "tick_ms: 300", "timing.tick_ms", "less than renew_ms"),
    (CONTROL, "lease_ms: 1500", "lease_ms: 2800", "timing.lease_ms", "shorter lease_ms"),
    (CONTROL, "lease_ms: 1500", "lease_ms: -5", "timing.lease_ms", "from 1 to"),
    (CONTROL, "lease_ms: 1500", "leas_ms: 5", "timing.leas_ms", "write lease_ms"),
    (GATEWAY, "port: 8080", "port: 0", "listen.port", "from 1 to 65535"),
    (GATEWAY, "port: 8080", "port: 65536", "listen.port", "from 1 to 65535"),
    (GATEWAY, "host: 0.0.0.0", "host: localhost", "listen.host", "IP number"),
    (GATEWAY, "host: 0.0.0.0, port: 8080", "host: 10.0.0.1, port: 8081", "announce", "other port"),
    (GATEWAY, "[{host: 10.0.0.1, port: 7100}]", "[]", "control", "addresses of the control"),
    (GATEWAY, "level: INFO", "level: INFOS", "log.level", "write INFO"),
    (GATEWAY, "log: ", "stop_notice_ms: -1\nlog: ", "stop_notice_ms", "from 0 to"),
    (REGISTRY, "peer_port: 7200", "peer_port: 7100", "peer_port", "change or remove"),
    (REGISTRY, "0.1:9464", "0.1:7100", "metrics", "change or remove"),
    (PROXY, "0.2:8081", "0.2:8080", "ready", "change or remove"),
    (PROXY, "0.2:9464", "0.2:8081", "metrics", "change or remove"),
    (PROXY, "0.2:7201", "0.2:8081", "carry", "change or remove"),
    (PROXY, "10.0.0.2:7201", "here", "carry", "an IP number and a port"),
    (PROXY, "max_share: 0.05", "max_share: 0.6", "hedging.max_share", "from 0.0 to 0.5"),
    (PROXY, "max_share: 0.05", "max_share: -0.1", "hedging.max_share", "from 0.0 to 0.5"),
    (PROXY, "max_share: 0.05", "max_share: .nan", "hedging.max_share", "write a number"),
    (PROXY, "max_share: 0.05", "max_shar: 0.05", "hedging.max_shar", "write max_share"),
    (PROXY, "percentile: 95", "percentile: 100", "hedging.percentile", "from 50.0 to 99.9"),
    (PROXY, "percentile: 95", "percentile: 49", "hedging.percentile", "from 50.0 to 99.9"),
    (CONSOLE, "operators.yaml", "''", "operators", "name a YAML file"),
]


@pytest.mark.parametrize(("text", "old", "new", "place", "remedy"), CASES)
def test_a_fault_names_its_place_and_remedy(
    text: str, old: str, new: str, place: str, remedy: str
) -> None:
    kinds = {
        CONTROL: ControlSettings,
        GATEWAY: GatewaySettings,
        CONSOLE: ConsoleSettings,
        REGISTRY: RegistrySettings,
        PROXY: ProxySettings,
    }
    assert text.count(old) >= 1
    faults = parse_settings(text.replace(old, new, 1), kinds[text]).error
    assert any(f.place == place and remedy in f.remedy and f.line for f in faults), faults


def test_settings_without_hedging_send_no_copies() -> None:
    text = PROXY.replace("hedging: {max_share: 0.05, percentile: 95}\n", "")
    assert parse_settings(text, ProxySettings).ok.hedging.max_share == 0


def test_an_even_number_of_voters_gives_a_hint_but_no_fault() -> None:
    even = parse_settings(CONTROL.replace("  - {id: c3", "  # - {id: c3"), ControlSettings).ok
    assert "use 1 or 3 voters" in hints(even)[0].remedy
    assert hints(parse_settings(CONTROL, ControlSettings).ok) == ()


def test_loading_raises_with_every_fault(tmp_path: Path) -> None:
    path = tmp_path / "gateway.yaml"
    path.write_text(GATEWAY.replace("8080", "0").replace("INFO", "LOUD"), encoding="utf-8")
    with pytest.raises(SettingsError, match=r"2 fault\(s\)(.|\n)*listen.port(.|\n)*log.level"):
        load_settings(path, GatewaySettings)
