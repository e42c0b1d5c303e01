"""The announce listener: backend servers' announcements, readiness and dumps."""

from collections.abc import Callable

from loguru import logger
from msgspec import DecodeError, Struct
from msgspec.json import Decoder, Encoder

from lychee_gateway.calls import Answer, NotRun
from lychee_gateway.clocks import ServerClocks
from lychee_gateway.problems import answer_for
from lychee_gateway.reports import AnnouncementDesk
from lychee_http import CallerConnection, RequestHead, ResponseHead
from lychee_http.exceptions import BadRequestError
from lychee_types.messages import (
    Announcement,
)

ANNOUNCE_PATH = b"/_lychee/announce"
READY_PATH = b"/_lychee/ready"
DUMP_PATH = b"/_lychee/dump"

GRANT_TIMEOUT_S = 0.7
"""Longest wait for the leader's answer to an announcement, in seconds."""

BODY_LIMIT_BYTES = 65_536
"""Largest announcement."""

BODY_TIMEOUT_S = 2.0
"""Longest wait for an announcement's body, in seconds."""

_ENCODER = Encoder()
_ANNOUNCEMENT = Decoder(Announcement)


class Readiness(Struct, frozen=True, kw_only=True):
    """Whether the gateway may be sent requests.

    :param ready: whether it may.
    :param state: whether it has the configuration.
    :param lease: whether it holds its session lease.
    :param clock: whether its VM's clock agrees with those of backend servers.
    :param stopping: whether it is about to stop.
    """

    ready: bool
    state: bool
    lease: bool
    clock: bool
    stopping: bool


class AnnounceServer:
    """Answers the requests of the announce listener.

    :param desk: where announcements go.
    :param clocks: checks the clocks of servers that do not check tokens.
    :param readiness: returns the readiness.
    :param dump: returns the dump of the process's state.
    """

    def __init__(
        self,
        *,
        desk: AnnouncementDesk,
        clocks: ServerClocks,
        readiness: Callable[[], Readiness],
        dump: Callable[[], str],
    ) -> None:
        self._desk = desk
        self._clocks = clocks
        self._readiness = readiness
        self._dump = dump

    async def handle(self, head: RequestHead, conn: CallerConnection) -> None:
        """Answer one request."""
        answer = await self._answer(head, conn)
        await conn.send(answer.head, answer.body)

    async def refuse(self, exc: BadRequestError, conn: CallerConnection) -> None:
        """Answer a request that cannot be taken."""
        answer = answer_for(NotRun(status=exc.status, detail=exc.message, remedy=exc.remedy))
        await conn.send(answer.head, answer.body)

    async def _answer(self, head: RequestHead, conn: CallerConnection) -> Answer:
        path = head.target.split(b"?", 1)[0]
        match head.method, path:
            case b"POST", path if path == ANNOUNCE_PATH:
                return await self._announce(conn)
            case b"GET" | b"HEAD", path if path == READY_PATH:
                readiness = self._readiness()
                return _json(readiness, status=200 if readiness.ready else 503)
            case b"GET" | b"HEAD", path if path == DUMP_PATH:
                return _answer(200, b"application/yaml", self._dump().encode())
            case _, path if path in (ANNOUNCE_PATH, READY_PATH, DUMP_PATH):
                return _problem(
                    405, "the method is not allowed here", "POST announcements, else GET"
                )
            case _:
                return _problem(404, "no such path", "use /_lychee/announce, ready or dump")

    async def _announce(self, conn: CallerConnection) -> Answer:
        body = await conn.read_body(limit=BODY_LIMIT_BYTES, timeout_s=BODY_TIMEOUT_S)
        try:
            announcement = _ANNOUNCEMENT.decode(body)
        except (DecodeError, UnicodeDecodeError) as exc:
            return _problem(400, f"the announcement cannot be read: {exc}", "correct this value")
        fault = self._clocks.fault(announcement)
        if fault:
            logger.warning("announcement of {} refused: {}", announcement.server.id, fault)
            remedy = "set the clocks of the server and of the VM, and announce again"
            return _problem(503, fault, remedy, retry_after_s=1)
        grant = await self._desk.announce(announcement, timeout_s=GRANT_TIMEOUT_S)
        if grant is None:
            return _problem(
                503,
                "the control replicas have not answered in time",
                "announce to another VM",
                retry_after_s=1,
            )
        return _json(grant)


def _problem(status: int, detail: str, remedy: str, *, retry_after_s: int | None = None) -> Answer:
    return answer_for(
        NotRun(status=status, detail=detail, remedy=remedy, retry_after_s=retry_after_s)
    )


def _json(value: Struct, *, status: int = 200) -> Answer:
    return _answer(status, b"application/json", _ENCODER.encode(value))


def _answer(status: int, content_type: bytes, body: bytes) -> Answer:
    head = ResponseHead(status=status, headers=((b"content-type", content_type),), length=len(body))
    return Answer(head=head, body=body)
