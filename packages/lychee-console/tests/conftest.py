"""Fixtures for a running console and a simple browser."""

import asyncio
import http.client
import re
import ssl
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from html import unescape
from pathlib import Path
from urllib.parse import urlencode

import pytest

from lychee_console.access import OperatorCredentials, SessionStore
from lychee_console.daemon import ConsoleDaemon
from lychee_console.site import Site
from lychee_runtime import OperatorClient
from lychee_runtime.ports import free_endpoint
from lychee_types.clock import SystemClock
from lychee_types.commands import SubmitDocument
from lychee_types.document_check import read_document
from lychee_types.records import Endpoint
from lychee_types.settings import ConsoleSettings, TlsSettings

OPERATORS = (
    OperatorCredentials(name="anna", token="anna-token-0123456789"),
    OperatorCredentials(name="bo", token="bo-token-0123456789"),
)
SKAFT = Path(__file__).parents[3] / "examples" / "skaft.yaml"


@dataclass
class Page:
    """A response as a browser sees it."""

    status: int
    headers: http.client.HTTPMessage
    text: str

    def inputs(self, action: str, form_index: int = 0) -> dict[str, str]:
        """Return the names and values of a form's inputs, as a browser would send them.

        :param action: the form's action.
        :param form_index: index among the page's forms with this action.
        """
        forms = re.findall(rf'<form method="post" action="{action}">(.*?)</form>', self.text, re.S)
        found: dict[str, str] = {}
        for tag in re.findall(r"<(?:input|select|textarea)[^>]*>", forms[form_index]):
            pairs = dict(re.findall(r'([a-z-]+)="([^"]*)"', tag))
            if pairs.get("type") == "checkbox" and " checked" not in tag:
                continue
            found[unescape(pairs["name"])] = unescape(pairs.get("value", ""))
        for name, options in re.findall(
            r'<select[^>]*name="([^"]*)"[^>]*>(.*?)</select>', forms[form_index]
        ):
            found[unescape(name)] = re.findall(r'value="([^"]*)" selected', options)[0]
        for name, text in re.findall(
            r'<textarea[^>]*name="([^"]*)"[^>]*>\n?(.*?)</textarea>', forms[form_index], re.S
        ):
            found[unescape(name)] = unescape(text)
        return found


@dataclass
class Browser:
    """An HTTP client that keeps one cookie and follows no redirects."""

    endpoint: Endpoint
    context: ssl.SSLContext | None = None
    cookie: str = ""
    pages: list[Page] = field(default_factory=list)

    def get(self, path: str) -> Page:
        return self._send("GET", path, None)

    def post(self, path: str, **form: str) -> Page:
        return self._send("POST", path, urlencode(form))

    def send_form(self, page: Page, action: str, form_index: int = 0, **changes: str) -> Page:
        return self.post(action, **(page.inputs(action, form_index) | changes))

    def log_in(self, token: str) -> Page:
        return self.send_form(self.get("/login"), "/login", token=token)

    def _send(self, method: str, path: str, body: str | None) -> Page:
        host, port = self.endpoint.host, self.endpoint.port
        conn = (
            http.client.HTTPSConnection(host, port, timeout=10, context=self.context)
            if self.context
            else http.client.HTTPConnection(host, port, timeout=10)
        )
        headers = {"Cookie": f"other=1; {self.cookie}"} if self.cookie else {}
        if body is not None:
            headers["Content-Type"] = "application/x-www-form-urlencoded"
        conn.request(method, path, body, headers)
        res = conn.getresponse()
        page = Page(status=res.status, headers=res.headers, text=res.read().decode())
        conn.close()
        if "Set-Cookie" in page.headers:
            self.cookie = page.headers["Set-Cookie"].split(";")[0]
        self.pages.append(page)
        return page


@contextmanager
def running_console(control: Endpoint, https: TlsSettings | None = None) -> Iterator[ConsoleDaemon]:
    cfg = ConsoleSettings(
        listen=free_endpoint(), control=(control,), operators="unused", https=https
    )
    started, daemons = threading.Event(), []

    async def run() -> None:
        sessions = SessionStore(operators=OPERATORS, clock=SystemClock())
        site = Site(client=OperatorClient(control=cfg.control), sessions=sessions)
        daemon = ConsoleDaemon(cfg=cfg, site=site, sessions=sessions)
        daemon.loop = asyncio.get_running_loop()
        daemons.append(daemon)
        daemon.loop.call_later(0.05, started.set)
        await daemon.serve()

    thread = threading.Thread(target=asyncio.run, args=(run(),))
    thread.start()
    assert started.wait(10)
    try:
        yield daemons[0]
    finally:
        daemons[0].loop.call_soon_threadsafe(daemons[0].request_stop)
        thread.join(30)
        assert not thread.is_alive()


@pytest.fixture
def start_console():
    """Return the function that starts a console."""
    return running_console


@pytest.fixture
def console(fake_control) -> Iterator[Endpoint]:
    """The address of a running console."""
    with running_console(fake_control.endpoint) as daemon:
        yield daemon._cfg.listen


@pytest.fixture
def make_browser(console):
    """Return a function that creates a browser, logged in if an operator's name is given."""

    def make(name: str = "") -> Browser:
        browser = Browser(endpoint=console)
        for operator in OPERATORS:
            if operator.name == name:
                assert browser.log_in(operator.token).status == 303
        return browser

    return make


@pytest.fixture
def browser_class():
    """Return the browser's class."""
    return Browser


@pytest.fixture
def skaft(fake_control):
    """The document of skaft.yaml, accepted as version 1 from anna."""
    document = read_document(SKAFT).ok
    command = SubmitDocument(submission="first", based_on=0, author="anna", document=document)
    fake_control.state.apply(1, command)
    return document
