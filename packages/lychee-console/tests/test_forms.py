"""The console's pages and forms, from the login to the outcome of a submission."""

import re
import ssl

import pytest
from msgspec.structs import replace

from lychee_types.commands import SubmitDocument

PATHS = [
    *("/", "/services", "/service?index=0", "/limits", "/servers", "/drains", "/document"),
    "/history",
]


def test_every_page_needs_a_login(make_browser) -> None:
    browser = make_browser()
    for path in PATHS:
        page = browser.get(path)
        assert (page.status, page.headers["Location"]) == (303, "/login")
    refused = browser.log_in("wrong")
    assert refused.status == 403 and "Remedy: use the one" in refused.text
    assert browser.log_in("anna-token-0123456789").status == 303
    assert browser.get("/").status == 200


def test_the_session_cookie_is_protected_and_new_after_login(make_browser) -> None:
    browser = make_browser()
    before = browser.get("/login").headers["Set-Cookie"]
    after = browser.log_in("anna-token-0123456789").headers["Set-Cookie"]
    assert before != after
    assert "HttpOnly" in after and "SameSite=Strict" in after
    assert browser.get("/").headers.get_all("Set-Cookie") is None


def test_log_out_ends_the_session(make_browser) -> None:
    browser = make_browser("anna")
    old = browser.cookie
    browser.send_form(browser.get("/"), "/logout")
    browser.cookie = old
    assert browser.get("/").status == 303


@pytest.mark.parametrize(
    "path", ["/service", "/limits", "/server", "/document", "/submit", "/login"]
)
def test_a_form_without_the_sessions_token_is_refused(make_browser, skaft, path: str) -> None:
    browser = make_browser("anna")
    for forged in ({}, {"csrf": "x"}, {"csrf": "å"}):
        page = browser.post(path, based_on="1", **forged)
        assert page.status == 403 and "Nothing was sent" in page.text


@pytest.mark.parametrize("path", PATHS)
def test_each_control_has_a_label_and_no_script_is_used(make_browser, skaft, path: str) -> None:
    text = make_browser("anna").get(path).text
    assert "<script" not in text and " on" + "click" not in text
    ids = re.findall(
        r'<(?:input type="(?:text|checkbox|password)"|select|textarea)[^>]* id="([^"]*)"', text
    )
    assert len(ids) == len(set(ids))
    assert set(ids) == set(re.findall(r'<label for="([^"]*)"', text))
    assert text.count("<h1>") == 1 and '<html lang="en">' in text


def test_a_changed_service_is_shown_then_sent(make_browser, skaft, fake_control) -> None:
    browser = make_browser("bo")
    form = browser.get("/service?index=0")
    shown = browser.send_form(form, "/service", **{"services[0].queue": "99"})
    assert '<span class="add">+  queue: 99' in shown.text
    assert fake_control.state.document_version == 1
    sent = browser.send_form(shown, "/submit")
    assert "Accepted: your document is version 2." in sent.text
    again = browser.send_form(shown, "/submit")
    assert "version 2." in again.text and "sending it again has changed nothing" in again.text
    assert fake_control.state.document_version == 2
    assert fake_control.state.history[-1].author == "bo"
    assert fake_control.state.document.services[0] == replace(skaft.services[0], queue=99)


def test_faults_are_shown_at_their_fields_and_the_input_is_kept(make_browser, skaft) -> None:
    browser = make_browser("bo")
    changes = {
        "services[0].shards": "1000",
        "services[0].queue": "many <b>",
        "services[0].placement.bounded_load": "0.5",
    }
    page = browser.send_form(browser.get("/service?index=0"), "/service", **changes)
    assert page.status == 400 and "3 faults; nothing was sent" in page.text
    assert "write 1024" in page.text and "write a whole number" in page.text
    assert page.text.count('aria-invalid="true"') == 3
    assert "<b>" not in page.text
    assert page.inputs("/service")["services[0].queue"] == "many <b>"


def test_a_service_is_added_and_removed(make_browser, skaft, fake_control) -> None:
    browser = make_browser("bo")
    form = browser.get("/service?index=3")
    changes = {"services[3].name": "stock", "services[3].path": "/stock/"}
    shown = browser.send_form(form, "/service", **changes)
    browser.send_form(shown, "/submit")
    assert fake_control.state.document.services[3].name == "stock"
    shown = browser.send_form(browser.get("/service?index=3"), "/service", form_index=1)
    browser.send_form(shown, "/submit")
    assert fake_control.state.document.services == skaft.services


def test_limits_of_all_services_are_changed_at_once(make_browser, skaft, fake_control) -> None:
    browser = make_browser("bo")
    changes = {"services[0].queue": "5", "services[2].retry_share": "0"}
    shown = browser.send_form(browser.get("/limits"), "/limits", **changes)
    browser.send_form(shown, "/submit")
    services = fake_control.state.document.services
    assert (services[0].queue, services[2].retry_share) == (5, 0.0)


def test_a_server_is_drained_and_taken_back(make_browser, skaft, fake_control) -> None:
    browser = make_browser("bo")
    for leaving in (True, False):
        shown = browser.send_form(browser.get("/drains"), "/server", form_index=0)
        assert browser.send_form(shown, "/submit").status == 200
        assert fake_control.state.document.is_leaving("repair-1") is leaving
    assert fake_control.state.document.servers == ()


def test_a_servers_rule_is_set(make_browser, skaft, fake_control) -> None:
    browser = make_browser("bo")
    form = browser.get("/servers")
    shown = browser.send_form(form, "/server", form_index=1, checks_tokens="no")
    browser.send_form(shown, "/submit")
    assert fake_control.state.document.servers[0].checks_tokens is False
    page = browser.send_form(form, "/server", form_index=2, server="no name", leaving="yes")
    assert page.status == 400 and "letters, digits" in page.text


def test_the_whole_document_is_checked_with_its_lines(make_browser, fake_control) -> None:
    browser = make_browser("anna")
    form = browser.get("/document")
    page = browser.send_form(form, "/document", text="organisation: x\r\ndomain: [a]\r\n")
    assert page.status == 400 and "line 2" in page.text and "write domains" in page.text
    good = "organisation: x\r\ndomains: [a]\r\nservices: []\r\n"
    shown = browser.send_form(page, "/document", text=good)
    browser.send_form(shown, "/submit")
    assert fake_control.state.document.organisation == "x"


def test_a_conflicting_submission_shows_the_winner_and_the_difference(
    make_browser, skaft, fake_control
) -> None:
    anna, bo = make_browser("anna"), make_browser("bo")
    forms = [browser.get("/service?index=0") for browser in (anna, bo)]
    shown = [
        browser.send_form(form, "/service", **{"services[0].queue": queue})
        for browser, form, queue in ((anna, forms[0], "11"), (bo, forms[1], "22"))
    ]
    assert anna.send_form(shown[0], "/submit").status == 200
    lost = bo.send_form(shown[1], "/submit")
    assert lost.status == 409
    assert "anna was first with version 2. Yours was based on version 1." in lost.text
    assert ">-  queue: 11" in lost.text and ">+  queue: 22" in lost.text
    assert "sending it again has changed nothing" in bo.send_form(shown[1], "/submit").text
    assert fake_control.state.document_version == 2
    late = bo.send_form(forms[1], "/service", **{"services[0].queue": "33"})
    assert "anna has put version 2 in force meanwhile" in late.text


def test_a_form_whose_response_was_lost_is_sent_again(make_browser, skaft, fake_control) -> None:
    browser = make_browser("bo")
    form = browser.get("/service?index=0")
    shown = browser.send_form(form, "/service", **{"services[0].queue": "7"})
    fake_control.lost_submissions = 1
    unknown = browser.send_form(shown, "/submit")
    assert unknown.status == 503 and "not known whether your document was accepted" in unknown.text
    assert fake_control.state.document_version == 2
    again = browser.send_form(unknown, "/submit")
    assert "Accepted: your document is version 2." in again.text
    assert fake_control.state.document_version == 2


def test_a_submission_id_of_another_document_is_refused(make_browser, skaft) -> None:
    browser = make_browser("bo")
    form = browser.get("/service?index=0")
    shown = browser.send_form(form, "/service", **{"services[0].queue": "7"})
    assert browser.send_form(shown, "/submit", submission="other").status == 400


def test_status_and_history_show_names_escaped(make_browser, skaft, fake_control) -> None:
    command = SubmitDocument(
        submission="<i>", based_on=1, author="<script>", document=replace(skaft, organisation="z")
    )
    fake_control.state.apply(2, command)
    browser = make_browser("anna")
    assert "Behind version 2: g1" in browser.get("/").text
    page = browser.get("/history").text
    assert "&lt;script&gt;" in page and "<script>" not in page


def test_an_unreachable_control_replica_is_reported_with_a_remedy(
    make_browser, fake_control
) -> None:
    browser = make_browser("anna")
    fake_control.lost_answers = 1
    page = browser.get("/services")
    assert page.status == 503 and "Remedy: check the addresses" in page.text


def test_https_marks_the_cookie_as_secure(
    authority, fake_control, start_console, browser_class
) -> None:
    https = authority.issue("console")
    context = ssl.create_default_context(cafile=https.authorities)
    with start_console(fake_control.endpoint, https) as daemon:
        browser = browser_class(endpoint=daemon._cfg.listen, context=context)
        page = browser.log_in("anna-token-0123456789")
        assert "; Secure" in page.headers["Set-Cookie"]
        assert browser.get("/").status == 200
        big = "#" * 300_000
        form = browser.get("/document")
        assert "the file is empty" in browser.send_form(form, "/document", text=big).text
