"""The output, exit code and remedies of each command."""

import json
import socket
import threading
from pathlib import Path

import pytest
from click.testing import CliRunner, Result
from msgspec.structs import replace

from lychee_cli.cli import main
from lychee_types.commands import SubmitDocument
from lychee_types.document_check import read_document
from lychee_types.operator_messages import (
    ReplaceRequest,
    SubmitRequest,
)

SKAFT = Path(__file__).parents[3] / "examples" / "skaft.yaml"
KEMER = SKAFT.with_name("kemer.yaml")


def lychee(*arguments: object, control=None, **env: str) -> Result:
    options = ["--control", str(control.endpoint)] if control is not None else []
    return CliRunner().invoke(main, [*map(str, arguments), *options], env=env)


def accept_document(control, path: Path, author: str) -> None:
    index = control.state.index + 1
    command = SubmitDocument(
        submission=f"s{index}",
        based_on=control.state.document_version,
        author=author,
        document=read_document(path).ok,
    )
    control.state.apply(index, command)


def test_check_needs_no_control_and_names_all_faults(tmp_path: Path) -> None:
    assert lychee("check", SKAFT).output == f"{SKAFT}: good, 3 services\n"
    bad = tmp_path / "bad.yaml"
    text = SKAFT.read_text(encoding="utf-8").replace("shards: 1024", "shards: 1000")
    text = text.replace("kind: keyed", "kind: keyd").replace("deadline_ms: 3000", "deadlin_ms: 3")
    bad.write_text(text, encoding="utf-8")
    result = lychee("check", bad)
    assert result.exit_code == 2
    assert "line 7: services[0].kind: 'keyd'" in result.output
    assert "remedy: write deadline_ms" in result.output
    faults = json.loads(lychee("check", bad, "--format", "json").stderr)["faults"]
    assert [fault["line"] for fault in faults] == [7, 10, 21]


def test_check_takes_the_time_limits_from_control_settings(tmp_path: Path) -> None:
    settings = tmp_path / "control.yaml"
    settings.write_text(
        "id: c1\nlisten: {host: 10.0.0.1, port: 7100}\ndomain: nord\ndata: d\n"
        "timing: {lease_ms: 2000}\n",
        encoding="utf-8",
    )
    result = lychee("check", SKAFT, "--settings", settings)
    assert result.exit_code == 2 and "write at most 700" in result.output


def test_submit_sends_one_id_for_the_same_file_version_and_author(fake_control) -> None:
    arguments = ("submit", SKAFT, "--based-on", 0, "--author", "anna")
    first, second = (lychee(*arguments, control=fake_control) for _ in range(2))
    assert first.output == second.output and "accepted: version 1" in first.output
    submits = [r for r in fake_control.requests if isinstance(r, SubmitRequest)]
    ids = {request.submission for request in submits}
    assert len(submits) == 2 and len(ids) == 1
    lychee(*arguments, "--submission", "mine", control=fake_control)
    assert fake_control.requests[-1].submission == "mine"


def test_a_version_that_does_not_exist_yet_is_refused_before_it_is_sent(fake_control) -> None:
    result = lychee("submit", SKAFT, "--based-on", 3, "--author", "anna", control=fake_control)
    assert result.exit_code == 2 and "remedy: write --based-on 0" in result.output
    assert not fake_control.state.submissions


def test_show_and_diff_and_history(fake_control) -> None:
    assert "no document" in lychee("show", control=fake_control).output
    accept_document(fake_control, SKAFT, "anna")
    accept_document(fake_control, KEMER, "bo")
    shown = lychee("show", "--version", 1, control=fake_control).output
    assert shown.startswith("# version 1 by anna\norganisation: Skaft")
    compared = lychee("diff", SKAFT, control=fake_control).output
    assert "-- name: truss-drawing" in compared and "+- name: repair-status" in compared
    assert "+- name: truss" in lychee("diff", "2", "1", control=fake_control).output
    assert lychee("diff", "2", control=fake_control).output == "no difference\n"
    missing = lychee("show", "--version", 9, control=fake_control)
    assert missing.exit_code == 1 and "remedy: ask for a later one" in missing.output
    lines = lychee("history", control=fake_control).output.splitlines()
    assert "version 2" in lines[2] and "bo" in lines[2]


def test_status_shows_lagging_gateways_and_leaving_servers(fake_control) -> None:
    accept_document(fake_control, SKAFT, "anna")
    lychee("drain", "repair-1", "--author", "bo", control=fake_control)
    text = lychee("status", control=fake_control).output
    assert "leader c1, term 7" in text and "1 (lags by 1)" in text
    assert "leaving" in text and "hot keys placed" in text
    reply = json.loads(lychee("status", "--format", "json", control=fake_control).output)
    assert reply["document_version"] == 2 and len(reply["gateways"]) == 2


def test_status_distinguishes_a_gateway_without_reports_from_a_lagging_one(
    fake_control, monkeypatch
) -> None:
    accept_document(fake_control, SKAFT, "anna")
    status = fake_control._status()
    silent = replace(status.gateways[0], applied=0, document_version=0)
    monkeypatch.setattr(fake_control, "_status", lambda: replace(status, gateways=(silent,)))
    text = lychee("status", control=fake_control).output
    assert "not heard yet" in text and "lags" not in text


def test_a_follower_redirects_the_request_to_the_leader(fake_control, make_control) -> None:
    with make_control().running() as follower:
        follower.leader = fake_control.endpoint
        assert lychee("status", control=follower).exit_code == 0
    assert len(fake_control.requests) == 1


def test_a_replica_that_waits_for_an_election_is_skipped(fake_control, make_control) -> None:
    with make_control().running() as electing:
        electing.electing = True
        addresses = f"{electing.endpoint} {fake_control.endpoint}"
        assert lychee("status", LYCHEE_CONTROL=addresses).exit_code == 0
        alone = lychee("status", control=electing)
    assert alone.exit_code == 75 and "answered: no leader" in alone.output


def test_an_unreachable_replica_is_skipped(fake_control, make_endpoint) -> None:
    addresses = f"{make_endpoint()} {fake_control.endpoint}"
    assert lychee("status", LYCHEE_CONTROL=addresses).exit_code == 0


def test_unreachable_control_is_reported_with_a_remedy(make_endpoint) -> None:
    result = lychee("status", "--control", make_endpoint())
    assert result.exit_code == 75 and "remedy: check the addresses" in result.output


def test_replace_control(fake_control) -> None:
    result = lychee("replace-control", "c1", "c4", "10.0.0.4:7100", control=fake_control)
    assert result.output == "voters: c2, c3, c4\n"
    lychee("replace-control", "-", "c5", "10.0.0.5:7100", control=fake_control)
    request = fake_control.requests[-1]
    assert isinstance(request, ReplaceRequest) and (request.old, request.new) == ("", "c5")
    assert lychee("replace-control", "c1", "c1", "10.0.0.4:7100").exit_code == 2


def test_dump_of_a_replica(fake_control) -> None:
    assert lychee("dump", control=fake_control).output == "term: 7\n"


@pytest.mark.parametrize(
    ("answer", "code", "words"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nid: g1\n", 0, "id: g1"),
        (b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", 75, "answered 404"),
        (b"no http", 75, "did not answer"),
    ],
)
def test_dump_of_a_gateway(answer: bytes, code: int, words: str) -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:

        def serve() -> None:
            conn, _ = server.accept()
            with conn:
                assert conn.recv(4096).startswith(b"GET /_lychee/dump HTTP/1.1\r\n")
                conn.sendall(answer)

        thread = threading.Thread(target=serve)
        thread.start()
        result = lychee("dump", "--gateway", f"127.0.0.1:{server.getsockname()[1]}")
        thread.join(10)
    assert result.exit_code == code and words in result.output


@pytest.mark.parametrize(
    ("words", "remedy"),
    [
        (["status", "--control", "10.0.0.1"], "write HOST:PORT"),
        (["status", "--control", "10.0.0.1:99999"], "write HOST:PORT"),
        (["status", "--tls-key", "k.pem"], "together"),
        (["submit", "absent.yaml", "--based-on", "0", "--author", "a"], "name a readable file"),
        (["submit", "absent.yaml", "--based-on", "0", "--author", "a\x1b"], "printable"),
        (["stauts"], "No such command"),
    ],
)
def test_bad_input_has_a_remedy(words: list[str], remedy: str) -> None:
    result = lychee(*words)
    assert result.exit_code == 2 and remedy in result.output


def test_key_files_that_cannot_be_read_are_named(tmp_path: Path) -> None:
    pem = str(tmp_path / "absent.pem")
    result = lychee("status", "--tls-key", pem, "--tls-certificate", pem, "--tls-authorities", pem)
    assert result.exit_code == 2 and "remedy: name readable PEM files" in result.output
