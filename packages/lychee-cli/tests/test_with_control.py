"""The command line against a real control replica over mutual TLS."""

import asyncio
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from lychee_cli.cli import main
from lychee_control.core import ControlDaemon
from lychee_types.settings import ControlSettings, PeerSettings

TRY_AGAIN = 75
"""Exit code of a command that no control replica could answer."""

EXAMPLES = Path(__file__).parents[3] / "examples"


@pytest.fixture
def control(authority, make_endpoint, tmp_path: Path) -> Iterator[ControlSettings]:
    """The settings of a running control replica."""
    endpoint = make_endpoint()
    cfg = ControlSettings(
        id="control-1",
        listen=endpoint,
        domain="nord",
        data=str(tmp_path / "data"),
        replicas=(PeerSettings(id="control-1", endpoint=endpoint),),
        tls=authority.issue("control-1"),
    )
    loop, daemons = asyncio.new_event_loop(), []

    async def run() -> None:
        daemons.append(ControlDaemon(cfg=cfg))
        try:
            await daemons[0].serve()
        finally:
            await daemons[0].cancel_tasks()

    thread = threading.Thread(target=loop.run_until_complete, args=(run(),))
    thread.start()
    yield cfg
    loop.call_soon_threadsafe(lambda: daemons[0].request_stop())
    thread.join(30)
    loop.close()


@pytest.fixture
def run(control: ControlSettings, authority):
    """Wait for a leader, and return a function that runs a command with an operator's key."""
    keys = authority.issue("operator")
    options = [
        *("--control", str(control.listen)),
        *("--tls-certificate", keys.certificate, "--tls-key", keys.key),
        *("--tls-authorities", keys.authorities),
    ]

    def lychee(*arguments: object) -> Result:
        """Run a command, again while it exits with the code that asks for that."""
        for _ in range(200):
            result = CliRunner().invoke(main, [*map(str, arguments), *options])
            if result.exit_code != TRY_AGAIN:
                return result
            threading.Event().wait(0.05)
        raise AssertionError(result.output)

    assert lychee("status").exit_code == 0
    return lychee


def test_each_request_of_an_operator_is_answered(run) -> None:
    skaft, kemer = EXAMPLES / "skaft.yaml", EXAMPLES / "kemer.yaml"
    assert "no document" in run("show").output
    for _ in range(2):
        accepted = run("submit", skaft, "--based-on", 0, "--author", "anna")
        assert "accepted: version 1" in accepted.output
    lost = run("submit", kemer, "--based-on", 0, "--author", "bo")
    assert lost.exit_code == 3 and "anna has the version in force, 1" in lost.output
    assert "repair-9 is leaving" in run("drain", "repair-9", "--absent", "--author", "bo").output
    assert "+- id: repair-9" in run("diff", 2, 1).output
    assert len(run("history").output.splitlines()) == 4
    assert "leader control-1" in run("status").output
    assert "id: control-1" in run("dump").output
    missing = run("show", "--version", 9)
    assert missing.exit_code == 1 and "there is no version 9" in missing.output


def test_an_operator_without_a_key_is_not_answered(run, control: ControlSettings) -> None:
    result = CliRunner().invoke(main, ["status", "--control", str(control.listen)])
    assert result.exit_code == 75 and "key files" in result.output
