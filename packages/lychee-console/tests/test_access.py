"""Operators' access tokens and browsers' sessions."""

from pathlib import Path

import pytest
from click.testing import CliRunner

from lychee_console.access import (
    SESSION_LIMIT,
    SESSION_S,
    OperatorCredentials,
    SessionStore,
    load_operators,
)
from lychee_console.cli import main
from lychee_console.html import element
from lychee_types.exceptions import SettingsError
from lychee_types.testing import ManualClock

ANNA = OperatorCredentials(name="anna", token="anna-token-0123456789")


def session_store(clock: ManualClock | None = None) -> SessionStore:
    return SessionStore(operators=(ANNA,), clock=clock or ManualClock())


def test_a_session_ends_after_its_time() -> None:
    clock = ManualClock()
    sessions = session_store(clock)
    session = sessions.open_session()
    clock.advance(SESSION_S)
    assert sessions.find_session(session.id) is session
    clock.advance(1)
    assert sessions.find_session(session.id) is None


def test_sessions_without_an_operator_are_evicted_first() -> None:
    sessions = session_store()
    kept = sessions.log_in(sessions.open_session(), ANNA.token)
    for _ in range(2 * SESSION_LIMIT):
        sessions.open_session()
    assert sessions.session_count == SESSION_LIMIT and sessions.find_session(kept.id) is kept


@pytest.mark.parametrize("token", ["", "anna", ANNA.token + "x", "å" * 20, "\ud800"])
def test_a_wrong_token_is_rejected(token: str) -> None:
    sessions = session_store()
    assert sessions.log_in(sessions.open_session(), token) is None


@pytest.mark.parametrize(
    ("text", "remedy"),
    [
        ("operators: []", "add an operator"),
        ("operators: [{name: a, token: secret}]", "at least 16 characters"),
        ("operators: [{name: a, tokn: secret}]", "write token"),
        ("operators: [{name: a, token: 1234567890123456789}]", "in quotes"),
        (
            "operators:\n- {name: a, token: secret-secret-secret}\n"
            "- {name: b, token: secret-secret-secret}",
            "change or remove",
        ),
    ],
)
def test_a_faulty_file_is_refused_and_no_token_is_shown(
    tmp_path: Path, text: str, remedy: str
) -> None:
    path = tmp_path / "operators.yaml"
    path.write_text(text, encoding="utf-8")
    with pytest.raises(SettingsError) as caught:
        load_operators(path)
    assert remedy in caught.value.message
    assert "secret" not in str(caught.value) and "123456" not in str(caught.value)


def test_settings_are_checked_without_starting(tmp_path: Path) -> None:
    settings = tmp_path / "console.yaml"
    text = "listen: {host: 127.0.0.1, port: 8090}\ncontrol: [{host: 10.0.0.1, port: 7100}]\n"
    settings.write_text(text + "operators: operators.yaml\n", encoding="utf-8")
    arguments = ["--settings", str(settings), "--check-settings"]
    missing = CliRunner().invoke(main, arguments)
    assert missing.exit_code == 2 and "name a readable file" in missing.output
    operators = "operators: [{name: anna, token: anna-token-0123456789}]"
    (tmp_path / "operators.yaml").write_text(operators, encoding="utf-8")
    assert "good, 1 operators" in CliRunner().invoke(main, arguments).output
    settings.write_text(text + "operatrs: x\n", encoding="utf-8")
    faulty = CliRunner().invoke(main, arguments)
    assert faulty.exit_code == 2 and "write operators" in faulty.output


def test_texts_and_attributes_are_escaped() -> None:
    html = element("a", "<b>&", href='"x', hidden=True, id=None).text
    assert html == '<a href="&quot;x" hidden>&lt;b&gt;&amp;</a>'
