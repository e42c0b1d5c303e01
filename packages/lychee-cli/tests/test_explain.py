"""``lychee explain``: what it prints, and what it says of wrong input."""

import json
from http.server import BaseHTTPRequestHandler, HTTPServer
from threading import Thread
from urllib.parse import parse_qs, urlsplit

import msgspec
import pytest
from click.testing import CliRunner

from lychee_cli.cli import main
from lychee_types.explanation import (
    Decision,
    ExplainedRoute,
    ExplainedServer,
    ExplainedService,
    ExplainFault,
    Explanation,
    KeyOwner,
)

FOUND = Explanation(
    gateway="g1",
    domain="nord",
    version=7,
    state_age_ms=40,
    evacuated=("syd",),
    route=ExplainedRoute(
        name="orders",
        kind="unsafe",
        priority=1,
        timeout_ms=1_000,
        target_ms=250,
        max_attempts=2,
        copies="none: the requests may run only once",
    ),
    services=(
        ExplainedService(
            service="desk",
            share=0.9,
            is_probed=False,
            retries_left=2,
            key=KeyOwner(low=0, high=9, phase="active", token=3, owner="s1", admitted_share=0.4),
            servers=(
                ExplainedServer(
                    server="s1",
                    domain="nord",
                    occupied=1.0,
                    slots=3,
                    load_age_ms=20,
                    wait_ms=0,
                    work_ms=60,
                    cost_ms=66,
                    note="owns the key",
                ),
            ),
            decision=Decision(action="send", reason="owns the key", server="s1"),
        ),
    ),
    refusal=None,
)


@pytest.fixture
def gateway():
    """A gateway's metrics address; it answers every question alike and keeps the questions."""

    class Handler(BaseHTTPRequestHandler):
        def do_GET(self):
            server.asked.append(parse_qs(urlsplit(self.path).query))
            self.send_response(server.status)
            self.end_headers()
            self.wfile.write(server.text)

        def log_message(self, *args):
            pass

    server = HTTPServer(("127.0.0.1", 0), Handler)
    server.status, server.text, server.asked = 200, msgspec.json.encode(FOUND), []
    thread = Thread(target=server.serve_forever)
    thread.start()
    yield server
    server.shutdown()
    server.server_close()
    thread.join()


def run(gateway, *args):
    address = f"127.0.0.1:{gateway.server_port}"
    return CliRunner().invoke(main, ["explain", "--gateway", address, *args])


def test_the_decision_and_its_reasons_are_printed(gateway):
    result = run(gateway, "--host", "a.example", "--path", "/x/", "--key", "5")
    assert result.exit_code == 0
    for text in (
        "route orders: unsafe, priority 1",
        "evacuated: syd",
        "keys 0 to 9: active, owner s1, token 3, 40% of the requests admitted",
        "decision: send to s1, owns the key",
    ):
        assert text in result.output
    assert gateway.asked == [{"host": ["a.example"], "path": ["/x/"], "key": ["5"]}]


def test_the_whole_answer_is_printed_as_json(gateway):
    result = run(gateway, "--route", "orders", "--format", "json")
    assert msgspec.json.decode(result.output, type=Explanation) == FOUND


def test_a_request_is_found_by_its_id_in_a_log(gateway, tmp_path):
    log = tmp_path / "log"
    lines = [
        "not json",
        json.dumps(["request"]),
        json.dumps({"request": "r1", "event": "no_route"}),
        json.dumps({"request": "r1", "event": "answered", "route": "orders", "key": 7}),
    ]
    log.write_text("\n".join(lines))
    assert run(gateway, "--request", "r1", "--log", str(log)).exit_code == 0
    assert gateway.asked == [{"route": ["orders"], "key": ["7"]}]
    result = run(gateway, "--request", "r2", "--log", str(log))
    assert result.exit_code == 2
    assert "no answered request has the id r2" in result.output


def test_wrong_input_names_the_remedy(gateway):
    gateway.status = 400
    gateway.text = msgspec.json.encode(ExplainFault(error="70000 is no key", remedy="write less"))
    result = run(gateway, "--host", "a.example", "--path", "/x/", "--key", "70000")
    assert result.exit_code == 2
    assert "70000 is no key" in result.output
    assert "remedy: write less" in result.output
    assert run(gateway, "--request", "r1").exit_code == 2


@pytest.mark.parametrize(("status", "text"), [(404, b""), (200, b"{}"), (200, b"x")])
def test_an_address_of_something_else_is_said_to_be_one(gateway, status, text):
    gateway.status, gateway.text = status, text
    result = run(gateway, "--route", "orders")
    assert result.exit_code == 75
    assert "check that it is a gateway's metrics address" in result.output


def test_a_gateway_that_is_not_there_is_named():
    result = CliRunner().invoke(main, ["explain", "--gateway", "127.0.0.1:1", "--route", "r"])
    assert result.exit_code == 75
    assert "127.0.0.1:1 did not answer" in result.output
