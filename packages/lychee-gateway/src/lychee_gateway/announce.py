"""HTTP handler of the announce listener: server announcements, readiness and dumps."""

from collections.abc import Callable

from loguru import logger
from msgspec import DecodeError, Struct
from msgspec.json import Decoder, Encoder

from lychee_gateway.calls import NotRun, Response
from lychee_gateway.clocks import ServerClocks
from lychee_gateway.problems import problem_response
from lychee_gateway.reports import AnnouncementRelay
from lychee_http import CallerConnection, RequestHead, ResponseHead
from lychee_http.exceptions import BadRequestError
from lychee_types.messages import (
    Announcement,
)

ANNOUNCE_PATH = b"/_lychee/announce"
READY_PATH = b"/_lychee/ready"
DUMP_PATH = b"/_lychee/dump"

GRANT_TIMEOUT_S = 0.7
"""Longest wait for the leader's reply to an announcement, in seconds."""

MAX_BODY_BYTES = 65_536
"""Largest body of an announcement, in bytes."""

BODY_TIMEOUT_S = 2.0
"""Longest wait for the body of an announcement, in seconds."""

_ENCODER = Encoder()
_ANNOUNCEMENT = Decoder(Announcement)


class Readiness(Struct, frozen=True, kw_only=True):
    """Whether the gateway may be sent requests.

    :param ready: whether it may.
    :param state: whether it has the configuration.
    :param lease: whether it holds its session lease.
    :param clock: whether the clock of its VM agrees with those of backend servers.
    :param stopping: whether it is stopping.
    """

    ready: bool
    state: bool
    lease: bool
    clock: bool
    stopping: bool


class AnnounceServer:
    """Handles the requests of the announce listener.

    :param announcements: relays announcements to the leader.
    :param clocks: checks the clocks of servers that do not check tokens.
    :param readiness: returns the readiness.
    :param dump: returns the dump of the process's state.
    """

    def __init__(
        self,
        *,
        announcements: AnnouncementRelay,
        clocks: ServerClocks,
        readiness: Callable[[], Readiness],
        dump: Callable[[], str],
    ) -> None:
        self._announcements = announcements
        self._clocks = clocks
        self._readiness = readiness
        self._dump = dump

    async def handle(self, head: RequestHead, conn: CallerConnection) -> None:
        """Handle a request."""
        response = await self._respond(head, conn)
        await conn.send(response.head, response.body)

    async def refuse(self, exc: BadRequestError, conn: CallerConnection) -> None:
        """Respond to a malformed request."""
        response = problem_response(
            NotRun(status=exc.status, detail=exc.message, remedy=exc.remedy)
        )
        await conn.send(response.head, response.body)

    async def _respond(self, head: RequestHead, conn: CallerConnection) -> Response:
        path = head.target.split(b"?", 1)[0]
        match head.method, path:
            case b"POST", path if path == ANNOUNCE_PATH:
                return await self._announce(conn)
            case b"GET" | b"HEAD", path if path == READY_PATH:
                readiness = self._readiness()
                return _json_response(readiness, status=200 if readiness.ready else 503)
            case b"GET" | b"HEAD", path if path == DUMP_PATH:
                return _response(200, b"application/yaml", self._dump().encode())
            case _, path if path in (ANNOUNCE_PATH, READY_PATH, DUMP_PATH):
                return _problem_response(
                    405, "the method is not allowed here", "POST announcements, else GET"
                )
            case _:
                return _problem_response(
                    404, "no such path", "use /_lychee/announce, ready or dump"
                )

    async def _announce(self, conn: CallerConnection) -> Response:
        body = await conn.read_body(limit=MAX_BODY_BYTES, timeout_s=BODY_TIMEOUT_S)
        try:
            announcement = _ANNOUNCEMENT.decode(body)
        except (DecodeError, UnicodeDecodeError) as exc:
            return _problem_response(
                400, f"the announcement cannot be read: {exc}", "correct this value"
            )
        fault = self._clocks.find_fault(announcement)
        if fault:
            logger.warning(
                "refused the announcement of server {}: {}", announcement.server.id, fault
            )
            remedy = "set the clocks of the server and of the VM, and announce again"
            return _problem_response(503, fault, remedy, retry_after_s=1)
        grant = await self._announcements.announce(announcement, timeout_s=GRANT_TIMEOUT_S)
        if grant is None:
            return _problem_response(
                503,
                "the control replicas have not answered in time",
                "announce to another VM",
                retry_after_s=1,
            )
        return _json_response(grant)


def _problem_response(
    status: int, detail: str, remedy: str, *, retry_after_s: int | None = None
) -> Response:
    return problem_response(
        NotRun(status=status, detail=detail, remedy=remedy, retry_after_s=retry_after_s)
    )


def _json_response(value: Struct, *, status: int = 200) -> Response:
    return _response(status, b"application/json", _ENCODER.encode(value))


def _response(status: int, content_type: bytes, body: bytes) -> Response:
    head = ResponseHead(status=status, headers=((b"content-type", content_type),), length=len(body))
    return Response(head=head, body=body)
