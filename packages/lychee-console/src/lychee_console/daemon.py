"""The console's process: listener, circuits.web and the pages on one asyncio loop."""

import asyncio
import ssl
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from http import HTTPStatus
from typing import Any

from circuits import handler
from circuits.web.events import response
from circuits.web.wrappers import Request, Response
from loguru import logger
from msgspec import Struct

from lychee_console.access import SessionStore
from lychee_console.layout import page
from lychee_console.messages import PageResponse
from lychee_console.site import Site
from lychee_console.web import SESSION_COOKIE, WebBridge
from lychee_runtime import Daemon, format_dump
from lychee_types.exceptions import SettingsError
from lychee_types.settings import ConsoleSettings, TlsSettings

STOP_TIMEOUT_S = 20.0
"""Time that a graceful stop waits for responses in progress, in seconds."""

STOP_POLL_S = 0.05

SECURITY_HEADERS = (
    (
        "Content-Security-Policy",
        "default-src 'none'; style-src 'self'; form-action 'self'; frame-ancestors 'none'; "
        "base-uri 'none'",
    ),
    ("X-Content-Type-Options", "nosniff"),
    ("Referrer-Policy", "no-referrer"),
    ("Cache-Control", "no-store"),
)


class ConsoleState(Struct, frozen=True, kw_only=True):
    """The console's state for a dump.

    :param listen: address for browsers.
    :param connections: number of open connections.
    :param answers_under_way: number of responses in progress.
    :param sessions: number of sessions, with and without a logged-in operator.
    """

    listen: str
    connections: int
    answers_under_way: int
    sessions: int


class ConsoleDaemon(Daemon):
    """Serves the console until it is asked to stop.

    :param cfg: the settings.
    :param site: handles the requests.
    :param sessions: operators and their sessions.
    """

    def __init__(self, *, cfg: ConsoleSettings, site: Site, sessions: SessionStore) -> None:
        super().__init__()
        self._cfg = cfg
        self._site = site
        self._sessions = sessions
        self._bridge = WebBridge(secure=cfg.https is not None).register(self)
        self._response_tasks: set[asyncio.Task[None]] = set()

    async def serve(self) -> None:
        """Listen until a stop is requested, then finish the responses in progress."""
        async with self._listening():
            logger.info("listening on {}", self._cfg.listen)
            await self.stopping.wait()
        await self._drain_connections()

    async def _drain_connections(self) -> None:
        deadline = asyncio.get_running_loop().time() + STOP_TIMEOUT_S
        was_idle = False
        while self._bridge.connections and asyncio.get_running_loop().time() < deadline:
            # circuits dispatches a response's events up to one poll after its task has ended,
            # so connections are closed only after two polls in a row without a task.
            idle = not self._response_tasks
            if idle and was_idle:
                for conn in list(self._bridge.connections):
                    conn.close()
            was_idle = idle
            await asyncio.sleep(STOP_POLL_S)

    def dump(self) -> str:
        """Return the console's state as YAML."""
        return format_dump(
            ConsoleState(
                listen=str(self._cfg.listen),
                connections=len(self._bridge.connections),
                answers_under_way=len(self._response_tasks),
                sessions=self._sessions.session_count,
            )
        )

    @asynccontextmanager
    async def _listening(self) -> AsyncIterator[asyncio.Server]:
        endpoint = self._cfg.listen
        loop = asyncio.get_running_loop()
        try:
            server = await loop.create_server(
                self._bridge.make_connection,
                endpoint.host,
                endpoint.port,
                ssl=_https_context(self._cfg.https),
            )
        except OSError as exc:
            raise SettingsError(
                message=f"cannot listen on {endpoint}: {exc}",
                remedy="end the program that uses the address, or change listen",
            ) from exc
        try:
            yield server
        finally:
            server.close()

    @handler("request", channel="web")  # type: ignore[untyped-decorator]
    def on_request(self, req: Request, res: Response) -> bool:
        """Start a task for the request; it fires the response as a ``response`` event."""
        task = asyncio.create_task(self._respond(req, res))
        self._response_tasks.add(task)
        task.add_done_callback(self._response_tasks.discard)
        return True

    async def _respond(self, req: Request, res: Response) -> None:
        conn = req.sock
        try:
            page_response = await self._site.respond(
                method=req.method,
                path=req.path,
                query=conn.query,
                body=conn.body.decode("utf-8", "replace"),
                cookie=conn.cookie,
            )
        except Exception:
            logger.exception("request failed: {} {}", req.method, req.path)
            remedy = "Remedy: try again; if it stays, report the console's log."
            body = page("The console has a fault", remedy)
            page_response = PageResponse(body=body, status=HTTPStatus.INTERNAL_SERVER_ERROR)
        self._fill_response(res, page_response)
        self.fire(response(res), "web")

    def _fill_response(self, res: Any, page_response: PageResponse) -> None:
        res.status = page_response.status.value
        res.close = True
        res.headers["Content-Type"] = page_response.content_type
        for name, value in SECURITY_HEADERS:
            res.headers[name] = value
        if page_response.location:
            res.headers["Location"] = page_response.location
        if page_response.session is not None:
            secure = "; Secure" if self._cfg.https is not None else ""
            cookie = (
                f"{SESSION_COOKIE}={page_response.session.id}; " "Path=/; HttpOnly; SameSite=Strict"
            )
            res.headers["Set-Cookie"] = cookie + secure
        res.body = page_response.body.text.encode()


def _https_context(cfg: TlsSettings | None) -> ssl.SSLContext | None:
    """Return the server's TLS context; browsers need no client certificate."""
    if cfg is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        context.load_cert_chain(cfg.certificate, cfg.key)
    except (OSError, ssl.SSLError) as exc:
        raise SettingsError(
            message=f"the https key files cannot be used: {exc}",
            remedy="name readable PEM files of a matching certificate and key",
        ) from exc
    return context
