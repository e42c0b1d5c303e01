"""Requests and responses of the console's pages, without the details of HTTP."""

from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import parse_qsl

from lychee_console.access import Session
from lychee_console.html import Child, Html
from lychee_console.layout import page

FIELD_LIMIT = 4_096
"""Maximum number of fields in a form; the limits of many services are one large form."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PageResponse:
    """A response to a browser.

    :param body: the page.
    :param status: HTTP status.
    :param content_type: value of Content-Type.
    :param location: path to redirect to, empty for no redirect.
    :param session: session to set in the browser's cookie, None to leave the cookie unchanged.
    """

    body: Html
    status: HTTPStatus = HTTPStatus.OK
    content_type: str = "text/html; charset=utf-8"
    location: str = ""
    session: Session | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class PageRequest:
    """A browser's request for a page.

    :param path: the page's path.
    :param session: the browser's session.
    :param query: names and values of the query string.
    :param form: names and values of the submitted form.
    """

    path: str
    session: Session
    query: Mapping[str, str]
    form: Mapping[str, str]

    @property
    def operator(self) -> str:
        """Name of the logged-in operator, empty if nobody is logged in."""
        return self.session.operator or ""

    def form_number(self, name: str) -> int:
        """Return a form field as a non-negative integer, 0 if it is missing or no such number."""
        text = self.form.get(name, "")
        return int(text) if text.isascii() and text.isdigit() and len(text) < 16 else 0

    def page(self, title: str, *content: Child, status: HTTPStatus = HTTPStatus.OK) -> PageResponse:
        """Return a page with the navigation for this operator."""
        body = page(
            title,
            *content,
            path=self.path,
            operator=self.session.operator,
            csrf=self.session.csrf,
        )
        return PageResponse(body=body, status=status)


def parse_pairs(text: str) -> dict[str, str]:
    """Parse a URL-encoded form or query string; for a repeated name, the first value counts.

    :raises ValueError: if there are more than :data:`FIELD_LIMIT` fields.
    """
    pairs = parse_qsl(text, keep_blank_values=True, max_num_fields=FIELD_LIMIT)
    return dict(reversed(pairs))


def redirect(path: str, *, session: Session | None = None) -> PageResponse:
    """Return a response that redirects the browser to another page."""
    return PageResponse(body=Html(""), status=HTTPStatus.SEE_OTHER, location=path, session=session)
