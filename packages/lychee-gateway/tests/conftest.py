"""Fakes at the gateway's interfaces, in one process on loopback."""

import asyncio
import socket
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from dataclasses import dataclass, field

import uvloop

from lychee_gateway.core import Gateway
from lychee_owner import ClusterState
from lychee_runtime import LinkService, serve_links
from lychee_types.commands import (
    BeginTransition,
    CloseLedger,
    FinishTransition,
    JoinGateway,
    JoinServer,
    OpenLedger,
    SubmitDocument,
)
from lychee_types.document import BodyMode, Document, RequestKind, Service
from lychee_types.messages import (
    ATTACH,
    Attach,
    Delta,
    Deltas,
    GrantLease,
    LedgerClosing,
    LedgerReply,
    LedgerRequest,
    RenewLease,
    ReportLoad,
    ReportServers,
    ServerGrant,
    ServerGrants,
    ToControl,
    ToGateway,
)
from lychee_types.records import Endpoint, Member, Placement, ServerRecord
from lychee_types.settings import GatewaySettings
from lychee_types.timing import Timing

LIMIT_S = 20


def free_endpoint():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return Endpoint(host="127.0.0.1", port=sock.getsockname()[1])


def services(**changes):
    """Return one service of each kind; changes apply to all of them."""
    changes.setdefault("deadline_ms", 1_000)
    kinds = [
        Service(
            name="status",
            path="/repair-status/",
            kind=RequestKind.KEYED,
            idempotent=True,
            shards=64,
            **changes,
        ),
        Service(
            name="booking",
            path="/bench-booking/",
            kind=RequestKind.FREE,
            idempotent=False,
            **changes,
        ),
        Service(
            name="guides",
            path="/guides/",
            kind=RequestKind.FREE,
            idempotent=True,
            body=BodyMode.STREAMED,
            **changes,
        ),
    ]
    return Document(organisation="Test", domains=("nord",), services=tuple(kinds))


class FakeControl:
    """A control replica that commits at once and grants everything."""

    def __init__(self, document):
        self.endpoint = None
        self.log = []
        self.links = set()
        self.granting = True
        self.lease_ms = 1_500
        self._booked = ClusterState()
        self.got = []
        self.attached = asyncio.Event()
        self.commit(SubmitDocument(submission="s", based_on=0, author="a", document=document))

    def commit(self, command):
        self.log.append(Delta(index=len(self.log) + 1, command=command))
        for link in self.links:
            link.post(Deltas(entries=(self.log[-1],), upto=len(self.log)))
        return len(self.log)

    def join(self, record):
        """Commit a server; a keyed service's placement then has it as a member."""
        self.commit(JoinServer(server=record))

    def place(self, service, *servers):
        members = tuple(Member(server=s, weight=1.0) for s in sorted(servers))
        begun = self.begin(service, *servers)
        self.commit(FinishTransition(service=service, begun=begun))
        return members

    def begin(self, service, *servers):
        members = tuple(Member(server=s, weight=1.0) for s in sorted(servers))
        return self.commit(BeginTransition(service=service, target=Placement(members=members)))

    @asynccontextmanager
    async def running(self):
        service = LinkService(name="gateway")
        service.add(method=ATTACH, send=ToGateway, receive=ToControl, handler=self._serve)
        async with AsyncExitStack() as stack:
            while self.endpoint is None:
                endpoint = free_endpoint()
                with suppress(OSError):
                    await stack.enter_async_context(serve_links(service=service, endpoint=endpoint))
                    self.endpoint = endpoint
            yield self

    async def _serve(self, link):
        self.links.add(link)
        try:
            while batch := await link.receive():
                for message in batch:
                    self.got.append(message)
                    self._take(link, message)
        finally:
            self.links.discard(link)

    def _take(self, link, message):
        match message:
            case Attach():
                entries = tuple(d for d in self.log if d.index > message.have)
                link.post(Deltas(entries=entries, upto=len(self.log)))
                self.commit(JoinGateway(gateway=message.gateway))
                self.attached.set()
            case RenewLease():
                lease_ms = self.lease_ms if self.granting else 0
                link.post(
                    GrantLease(session=message.session, number=message.number, lease_ms=lease_ms)
                )
            case ReportServers():
                grants = [self._grant(a) for a in message.announcements]
                link.post(ServerGrants(grants=tuple(grants)))
            case LedgerRequest(entry=entry):
                self._book(link, message.number, OpenLedger(entry=entry))
            case LedgerClosing():
                command = CloseLedger(
                    key=message.key,
                    session=message.session,
                    answer=message.answer,
                    not_run=message.not_run,
                )
                self._book(link, message.number, command)
            case ReportLoad():
                pass

    @property
    def ledger(self):
        """The entries by key, by the rules of the real state."""
        return {entry.key: entry for entry in self._booked.ledger.entries}

    def _book(self, link, number, command):
        outcome = self._booked.apply(self._booked.index + 1, command)
        link.post(LedgerReply(number=number, outcome=outcome))

    def _grant(self, announcement):
        return ServerGrant(
            server=announcement.server.id,
            incarnation=announcement.server.incarnation,
            number=announcement.number,
            lease_ms=1_500,
            fence=1,
        )


@dataclass
class Seen:
    """A request that a fake backend server read."""

    method: bytes
    target: bytes
    headers: dict
    body: bytes


class FakeServer:
    """A backend server that answers each request with scripted bytes.

    ``script`` maps a request to bytes, to None for silence, or to an async function of the
    request and the writer.
    """

    def __init__(self, name, service, script=None):
        self.script = script or plain(name.encode())
        self.seen = []
        self.opened = 0
        self.closed = 0
        self.endpoint = None
        self.name = name
        self.service = service
        self.slots = 3

    def record(self, **changes):
        values = dict(
            id=self.name,
            incarnation=1,
            endpoint=self.endpoint,
            domain="nord",
            service=self.service,
            slots=self.slots,
            connections=50,
        )
        return ServerRecord(**{**values, **changes})

    @asynccontextmanager
    async def running(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        self.endpoint = Endpoint(host=host, port=port)
        try:
            yield self
        finally:
            server.close()

    async def _serve(self, reader, writer):
        self.opened += 1
        try:
            while seen := await self._read(reader):
                self.seen.append(seen)
                reply = self.script(seen)
                if asyncio.iscoroutine(reply):
                    reply = await self._scripted(reply, writer)
                if reply is None:
                    await reader.read()
                    return
                writer.write(reply)
                await writer.drain()
                if reply == b"":
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.closed += 1
            writer.close()

    async def _scripted(self, script, writer):
        step = await script
        if callable(step):
            return await step(writer)
        return step

    async def _read(self, reader):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        lines = head[:-4].split(b"\r\n")
        method, target, _ = lines[0].split(b" ", 2)
        headers = {}
        for line in lines[1:]:
            name, value = line.split(b":", 1)
            headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get(b"content-length", 0)))
        return Seen(method=method, target=target, headers=headers, body=body)


def answer(body, status=b"200 OK", *extra):
    lines = [b"HTTP/1.1 " + status, b"Content-Length: %d" % len(body), *extra]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def plain(name):
    """Answer with the server's name, the target and the request's body."""

    def script(seen):
        body = name + b" " + seen.target + b" " + seen.body
        if seen.method == b"HEAD":
            return answer(body)[: -len(body)]
        return answer(body)

    return script


@dataclass
class Reply:
    """A caller's view of an answer."""

    status: int
    headers: dict
    body: bytes
    closed: bool = False


class Caller:
    """A raw HTTP/1.1 client on one connection."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    def write(self, data):
        self.writer.write(data)

    async def get(self, target, *, method=b"GET", body=b"", headers=()):
        lines = [method + b" " + target + b" HTTP/1.1", b"Host: h", *headers]
        if body:
            lines.append(b"Content-Length: %d" % len(body))
        self.write(b"\r\n".join(lines) + b"\r\n\r\n" + body)
        return await self.reply(method=method)

    async def reply(self, *, method=b"GET"):
        head = await self.reader.readuntil(b"\r\n\r\n")
        lines = head[:-4].split(b"\r\n")
        status = int(lines[0].split(b" ")[1])
        headers = {}
        for line in lines[1:]:
            name, value = line.split(b":", 1)
            headers[name.lower()] = value.strip()
        if method == b"HEAD" or status in (100, 204, 304):
            return Reply(status=status, headers=headers, body=b"")
        if headers.get(b"transfer-encoding") == b"chunked":
            return Reply(status=status, headers=headers, body=await self._chunks())
        if b"content-length" not in headers:
            return Reply(status=status, headers=headers, body=await self.reader.read())
        body = await self.reader.readexactly(int(headers[b"content-length"]))
        return Reply(status=status, headers=headers, body=body)

    async def _chunks(self):
        parts = []
        while True:
            size = int(await self.reader.readline(), 16)
            data = await self.reader.readexactly(size + 2)
            if not size:
                return b"".join(parts)
            parts.append(data[:-2])

    async def at_eof(self):
        try:
            return await self.reader.read() == b""
        except ConnectionError:
            return True

    def close(self):
        self.writer.close()


@dataclass
class World:
    """A gateway between fakes."""

    gateway: Gateway
    control: FakeControl
    servers: dict
    cfg: GatewaySettings
    task: asyncio.Task = None
    callers: list = field(default_factory=list)

    async def caller(self, *, announce=False):
        gateway = self.gateway
        address = (gateway._announce_listener if announce else gateway._listener).endpoint
        reader, writer = await asyncio.open_connection(address.host, address.port)
        caller = Caller(reader, writer)
        self.callers.append(caller)
        return caller

    async def get(self, target, **kwargs):
        caller = await self.caller()
        reply = await caller.get(target, **kwargs)
        caller.close()
        return reply

    async def until(self, check):
        async with asyncio.timeout(LIMIT_S):
            while not check():  # noqa: ASYNC110
                await asyncio.sleep(0.005)

    async def ready(self):
        await self.until(lambda: self.gateway.readiness().ready)
        await self.until(lambda: self.gateway._view.state.index == len(self.control.log))


@asynccontextmanager
async def open_world(*servers, document=None, timing=None, stop_notice_ms=20):
    """Run a gateway with fake servers, joined and placed."""
    control = FakeControl(document or services())
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(control.running())
        cfg = GatewaySettings(
            id="gateway-1",
            listen=Endpoint(host="127.0.0.1", port=0),
            announce=Endpoint(host="127.0.0.1", port=0),
            domain="nord",
            control=(control.endpoint,),
            timing=timing or Timing(),
            stop_notice_ms=stop_notice_ms,
        )
        for server in servers:
            await stack.enter_async_context(server.running())
            control.join(server.record())
        keyed = [s.name for s in servers if s.service == "status"]
        if keyed:
            control.place("status", *keyed)
        gateway = Gateway(cfg=cfg)
        world = World(
            gateway=gateway,
            control=control,
            servers={s.name: s for s in servers},
            cfg=cfg,
        )
        world.task = asyncio.create_task(gateway.serve())
        try:
            await world.ready()
            yield world
        finally:
            for caller in world.callers:
                caller.close()
            gateway.stopping.set()
            await world.task
            await gateway.cancel_tasks()
            assert gateway.exit_code == 0


def run(scenario):
    uvloop.run(asyncio.wait_for(scenario, LIMIT_S))
