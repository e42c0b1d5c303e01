"""The console's pages by method and path, behind the login."""

from collections.abc import Awaitable, Callable, Mapping
from functools import partial
from http import HTTPStatus

from loguru import logger

from lychee_console.access import Access, Session
from lychee_console.document_pages import DocumentPages
from lychee_console.html import Html, element
from lychee_console.layout import STYLE, button, form, note, page
from lychee_console.status_pages import StatusPages
from lychee_console.submitting import submit
from lychee_console.visit import Answer, Visit, read_pairs, redirect
from lychee_runtime import OperatorClient, RefusedError
from lychee_types.exceptions import LycheeError, UnavailableError

Page = Callable[[Visit], Awaitable[Answer]]
"""Answers one kind of request."""


class Site:
    """Answers requests.

    :param client: asks the control replicas.
    :param access: operators and sessions.
    """

    def __init__(self, *, client: OperatorClient, access: Access) -> None:
        self._access = access
        documents = DocumentPages(client=client)
        statuses = StatusPages(client=client)
        self._pages: Mapping[tuple[str, str], Page] = {
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

    async def answer(
        self, *, method: str, path: str, query: str, body: str, cookie: str | None
    ) -> Answer:
        """Return the answer to a request.

        :param method: GET or POST.
        :param path: the path.
        :param query: what follows the question mark.
        :param body: the form's body.
        :param cookie: value of the session cookie, None if there is none.
        """
        if path == "/style.css":
            return Answer(body=Html(STYLE), kind="text/css; charset=utf-8")
        session = self._access.session(cookie)
        try:
            visit = Visit(
                path=path,
                session=session or self._access.open(),
                query=read_pairs(query),
                form=read_pairs(body),
            )
        except ValueError:
            return _plain("Too many fields", HTTPStatus.BAD_REQUEST)
        if method == "POST" and (session is None or not session.allows(visit.form.get("csrf", ""))):
            return _forged()
        if path == "/login":
            return self._log_in(visit) if method == "POST" else _login_page(visit.session)
        if visit.session.operator is None:
            return redirect("/login", session=visit.session)
        return await self._logged_in(method, visit)

    async def _logged_in(self, method: str, visit: Visit) -> Answer:
        found = self._pages.get((method, visit.path))
        if found is None:
            return visit.page(
                "No such page",
                element("p", "Remedy: choose a page above."),
                status=HTTPStatus.NOT_FOUND,
            )
        try:
            return await found(visit)
        except LycheeError as exc:
            logger.warning("{} {}: {}", method, visit.path, exc)
            text = note(element("p", exc.message), element("p", f"Remedy: {exc.remedy}"), bad=True)
            return visit.page("Not done", text, status=_error_status(exc))

    def _log_in(self, visit: Visit) -> Answer:
        session = self._access.log_in(visit.session, visit.form.get("token", "").strip())
        if session is None:
            logger.warning("a login was refused")
            return _login_page(visit.session, refused=True)
        logger.info("operator {} logged in", session.operator)
        return redirect("/", session=session)

    async def _log_out(self, visit: Visit) -> Answer:
        self._access.close(visit.session)
        return redirect("/login", session=self._access.open())


def _error_status(exc: LycheeError) -> HTTPStatus:
    match exc:
        case UnavailableError():
            return HTTPStatus.SERVICE_UNAVAILABLE
        case RefusedError():
            return HTTPStatus.CONFLICT
        case _:
            return HTTPStatus.BAD_REQUEST


def _login_page(session: Session, *, refused: bool = False) -> Answer:
    wrong = note("This is nobody's token. Remedy: use the one in the operators' file.", bad=True)
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
    body = page("Log in", wrong if refused else None, content)
    return Answer(body=body, status=status, session=session)


def _forged() -> Answer:
    text = (
        "The form is not from your session, or the session has ended. Nothing was sent. "
        "Remedy: log in, open the form again and repeat your change."
    )
    link = element("p", element("a", "Log in", href="/login"))
    return Answer(body=page("Not sent", note(text, bad=True), link), status=HTTPStatus.FORBIDDEN)


def _plain(text: str, status: HTTPStatus) -> Answer:
    return Answer(body=page(text, element("p", "Remedy: send less.")), status=status)
