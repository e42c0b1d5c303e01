"""Routing of the console's requests to pages; all but the login page and the style need a login."""

from collections.abc import Awaitable, Callable, Mapping
from functools import partial
from http import HTTPStatus

from loguru import logger

from lychee_console.access import Session, SessionStore
from lychee_console.document_pages import DocumentPages
from lychee_console.html import Html, element
from lychee_console.layout import STYLE, button, form, note, page
from lychee_console.messages import PageRequest, PageResponse, parse_pairs, redirect
from lychee_console.status_pages import StatusPages
from lychee_console.submitting import submit
from lychee_runtime import OperatorClient, RefusedError
from lychee_types.exceptions import LycheeError, UnavailableError

PageHandler = Callable[[PageRequest], Awaitable[PageResponse]]
"""Handles requests of one method and path."""


class Site:
    """Handles the console's requests.

    :param client: sends requests to the control replicas.
    :param sessions: operators and their sessions.
    """

    def __init__(self, *, client: OperatorClient, sessions: SessionStore) -> None:
        self._sessions = sessions
        documents = DocumentPages(client=client)
        statuses = StatusPages(client=client)
        self._pages: Mapping[tuple[str, str], PageHandler] = {
            ("GET", "/"): statuses.status,
            ("GET", "/history"): statuses.history,
            ("GET", "/services"): documents.services,
            ("GET", "/service"): documents.service,
            ("POST", "/service"): documents.edit_service,
            ("GET", "/limits"): documents.limits,
            ("POST", "/limits"): documents.edit_limits,
            ("GET", "/servers"): documents.servers,
            ("POST", "/server"): documents.edit_server,
            ("GET", "/drains"): documents.drains,
            ("GET", "/document"): documents.document,
            ("POST", "/document"): documents.edit_document,
            ("POST", "/submit"): partial(submit, client),
            ("POST", "/logout"): self._log_out,
        }

    async def respond(
        self, *, method: str, path: str, query: str, body: str, cookie: str | None
    ) -> PageResponse:
        """Return the response to a request.

        A POST must carry the session's CSRF token.

        :param method: GET or POST.
        :param path: the path.
        :param query: the query string.
        :param body: the URL-encoded form.
        :param cookie: value of the session cookie, None if there is none.
        """
        if path == "/style.css":
            return PageResponse(body=Html(STYLE), content_type="text/css; charset=utf-8")
        session = self._sessions.find_session(cookie)
        try:
            request = PageRequest(
                path=path,
                session=session or self._sessions.open_session(),
                query=parse_pairs(query),
                form=parse_pairs(body),
            )
        except ValueError:
            return _too_large_page("Too many fields", HTTPStatus.BAD_REQUEST)
        if method == "POST" and (
            session is None or not session.accepts_csrf(request.form.get("csrf", ""))
        ):
            return _invalid_csrf_page()
        if path == "/login":
            return self._log_in(request) if method == "POST" else _login_page(request.session)
        if request.session.operator is None:
            return redirect("/login", session=request.session)
        return await self._respond_to_operator(method, request)

    async def _respond_to_operator(self, method: str, request: PageRequest) -> PageResponse:
        page_handler = self._pages.get((method, request.path))
        if page_handler is None:
            return request.page(
                "No such page",
                element("p", "Remedy: choose a page above."),
                status=HTTPStatus.NOT_FOUND,
            )
        try:
            return await page_handler(request)
        except LycheeError as exc:
            logger.warning("{} {}: {}", method, request.path, exc)
            error_note = note(
                element("p", exc.message), element("p", f"Remedy: {exc.remedy}"), bad=True
            )
            return request.page("Not done", error_note, status=_error_status(exc))

    def _log_in(self, request: PageRequest) -> PageResponse:
        session = self._sessions.log_in(request.session, request.form.get("token", "").strip())
        if session is None:
            logger.warning("login rejected: unknown access token")
            return _login_page(request.session, refused=True)
        logger.info("operator {} logged in", session.operator)
        return redirect("/", session=session)

    async def _log_out(self, request: PageRequest) -> PageResponse:
        self._sessions.close_session(request.session)
        return redirect("/login", session=self._sessions.open_session())


def _error_status(exc: LycheeError) -> HTTPStatus:
    match exc:
        case UnavailableError():
            return HTTPStatus.SERVICE_UNAVAILABLE
        case RefusedError():
            return HTTPStatus.CONFLICT
        case _:
            return HTTPStatus.BAD_REQUEST


def _login_page(session: Session, *, refused: bool = False) -> PageResponse:
    refusal = note("This is nobody's token. Remedy: use the one in the operators' file.", bad=True)
    content = form(
        "/login",
        element("label", "Access token", for_="token"),
        element(
            "input",
            type="password",
            id="token",
            name="token",
            autocomplete="current-password",
            required=True,
        ),
        element("p", button("Log in")),
        csrf=session.csrf,
    )
    status = HTTPStatus.FORBIDDEN if refused else HTTPStatus.OK
    body = page("Log in", refusal if refused else None, content)
    return PageResponse(body=body, status=status, session=session)


def _invalid_csrf_page() -> PageResponse:
    text = (
        "The form is not from your session, or the session has ended. Nothing was sent. "
        "Remedy: log in, open the form again and repeat your change."
    )
    link = element("p", element("a", "Log in", href="/login"))
    return PageResponse(
        body=page("Not sent", note(text, bad=True), link), status=HTTPStatus.FORBIDDEN
    )


def _too_large_page(text: str, status: HTTPStatus) -> PageResponse:
    return PageResponse(body=page(text, element("p", "Remedy: send less.")), status=status)
