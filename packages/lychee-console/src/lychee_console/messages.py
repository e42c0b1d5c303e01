"""Requests and answers of the console, apart from HTTP's details."""

from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import parse_qsl

from lychee_console.access import Session
from lychee_console.html import Child, Html
from lychee_console.layout import page

FIELD_LIMIT = 4_096
"""Most fields of one form; the limits of many services make a large one."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PageResponse:
    """An answer to a browser.

    :param body: the page.
    :param status: HTTP status.
    :param content_type: value of Content-Type.
    :param location: where to go instead, empty for nowhere.
    :param session: session that the browser is to keep, None to leave its cookie alone.
    """

    body: Html
    status: HTTPStatus = HTTPStatus.OK
    content_type: str = "text/html; charset=utf-8"
    location: str = ""
    session: Session | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class PageRequest:
    """A request of a browser with a session.

    :param path: the page's path.
    :param session: the browser's session.
    :param query: names and values after the question mark.
    :param form: names and values of the form.
    """

    path: str
    session: Session
    query: Mapping[str, str]
    form: Mapping[str, str]

    @property
    def operator(self) -> str:
        """Name of the operator who has logged in."""
        return self.session.operator or ""

    def form_number(self, name: str) -> int:
        """Return a number that a form carries, 0 if it carries none."""
        text = self.form.get(name, "")
        return int(text) if text.isascii() and text.isdigit() and len(text) < 16 else 0

    def page(self, title: str, *content: Child, status: HTTPStatus = HTTPStatus.OK) -> PageResponse:
        """Return a page for this operator."""
        body = page(
            title,
            *content,
            path=self.path,
            operator=self.session.operator,
            csrf=self.session.csrf,
        )
        return PageResponse(body=body, status=status)


def parse_pairs(text: str) -> dict[str, str]:
    """Return the names and values of a form or a query; the first of equal names counts.

    :raises ValueError: if there are too many.
    """
    pairs = parse_qsl(text, keep_blank_values=True, max_num_fields=FIELD_LIMIT)
    return dict(reversed(pairs))


def redirect(path: str, *, session: Session | None = None) -> PageResponse:
    """Return an answer that sends the browser to another page."""
    return PageResponse(body=Html(""), status=HTTPStatus.SEE_OTHER, location=path, session=session)
