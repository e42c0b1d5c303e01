"""Fake control replica, backend servers and callers around a gateway, in one process."""

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from dataclasses import dataclass, field

import uvloop

from lychee_gateway.core import Gateway
from lychee_owner import ClusterState
from lychee_runtime import LinkService, serve_links
from lychee_runtime.ports import free_endpoint
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

TIMEOUT_S = 20


def services(**changes):
    """Return a document with one service of each kind; changes apply to all services."""
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
    """A fake control replica that commits all commands at once and grants all requests."""

    def __init__(self, document):
        self.endpoint = None
        self.log = []
        self.links = set()
        self.grants_leases = True
        self.lease_ms = 1_500
        self._ledger_state = ClusterState()
        self.received = []
        self.attached = asyncio.Event()
        self.commit(SubmitDocument(submission="s", based_on=0, author="a", document=document))

    def commit(self, command):
        self.log.append(Delta(index=len(self.log) + 1, command=command))
        for link in self.links:
            link.post(Deltas(entries=(self.log[-1],), upto=len(self.log)))
        return len(self.log)

    def add_server(self, record):
        """Commit that a server joins; it owns keys of a keyed service after place_service()."""
        self.commit(JoinServer(server=record))

    def place_service(self, service, *servers):
        members = tuple(Member(server=s, weight=1.0) for s in sorted(servers))
        begun = self.begin_transition(service, *servers)
        self.commit(FinishTransition(service=service, begun=begun))
        return members

    def begin_transition(self, service, *servers):
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
                    self.received.append(message)
                    self._handle_message(link, message)
        finally:
            self.links.discard(link)

    def _handle_message(self, link, message):
        match message:
            case Attach():
                entries = tuple(d for d in self.log if d.index > message.have)
                link.post(Deltas(entries=entries, upto=len(self.log)))
                self.commit(JoinGateway(gateway=message.gateway))
                self.attached.set()
            case RenewLease():
                lease_ms = self.lease_ms if self.grants_leases else 0
                link.post(
                    GrantLease(session=message.session, number=message.number, lease_ms=lease_ms)
                )
            case ReportServers():
                grants = [self._grant(a) for a in message.announcements]
                link.post(ServerGrants(grants=tuple(grants)))
            case LedgerRequest(entry=entry):
                self._apply_and_reply(link, message.number, OpenLedger(entry=entry))
            case LedgerClosing():
                command = CloseLedger(
                    key=message.key,
                    session=message.session,
                    answer=message.answer,
                    not_run=message.not_run,
                )
                self._apply_and_reply(link, message.number, command)
            case ReportLoad():
                pass

    @property
    def ledger(self):
        """Ledger entries by key, as the real replicated state computes them."""
        return {entry.key: entry for entry in self._ledger_state.ledger.entries}

    def _apply_and_reply(self, link, number, command):
        outcome = self._ledger_state.apply(self._ledger_state.index + 1, command)
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
class ReceivedRequest:
    """A request that a fake backend server received."""

    method: bytes
    target: bytes
    headers: dict
    body: bytes


class FakeServer:
    """A fake backend server that sends a scripted response to each request.

    ``script`` maps a request to the bytes of the response, to None for no response, or is an async
    function that returns either of them or an async function of the writer.
    """

    def __init__(self, name, service, script=None):
        self.script = script or echo(name.encode())
        self.requests = []
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
            while request := await self._read(reader):
                self.requests.append(request)
                reply = self.script(request)
                if asyncio.iscoroutine(reply):
                    reply = await self._run_script(reply, writer)
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

    async def _run_script(self, script, writer):
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
        return ReceivedRequest(method=method, target=target, headers=headers, body=body)


def response(body, status=b"200 OK", *extra):
    lines = [b"HTTP/1.1 " + status, b"Content-Length: %d" % len(body), *extra]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def echo(name):
    """Return a script that responds with the server's name, the target and the request's body."""

    def script(request):
        body = name + b" " + request.target + b" " + request.body
        if request.method == b"HEAD":
            return response(body)[: -len(body)]
        return response(body)

    return script


@dataclass
class Reply:
    """A response as a caller receives it."""

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
class Harness:
    """A gateway with a fake control replica and fake backend servers."""

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

    async def wait_until(self, condition):
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.005)

    async def ready(self):
        await self.wait_until(lambda: self.gateway.readiness().ready)
        await self.wait_until(lambda: self.gateway._view.state.index == len(self.control.log))


@asynccontextmanager
async def open_harness(*servers, document=None, timing=None, stop_notice_ms=20):
    """Run a gateway with fake servers that have joined, the keyed ones as owners of the keys."""
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
            control.add_server(server.record())
        keyed = [s.name for s in servers if s.service == "status"]
        if keyed:
            control.place_service("status", *keyed)
        gateway = Gateway(cfg=cfg)
        harness = Harness(
            gateway=gateway,
            control=control,
            servers={s.name: s for s in servers},
            cfg=cfg,
        )
        harness.task = asyncio.create_task(gateway.serve())
        try:
            await harness.ready()
            yield harness
        finally:
            for caller in harness.callers:
                caller.close()
            gateway.stopping.set()
            await harness.task
            await gateway.cancel_tasks()
            assert gateway.exit_code == 0


def run(scenario):
    uvloop.run(asyncio.wait_for(scenario, TIMEOUT_S))
