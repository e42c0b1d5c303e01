"""A stand-in for one backend server, which runs as a process of its own."""

import asyncio
import random
import signal
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote_to_bytes, urlsplit

import msgspec
import xxhash
from msgspec import Struct

from lychee_bench.announcer import INTERVAL_S, Announcer
from lychee_bench.answers import make_response_body
from lychee_bench.http_server import Connection, HttpServer, Request, Response
from lychee_bench.lease import ServerLease
from lychee_bench.repeating import RepeatingRelay
from lychee_bench.runs import RunBegan, RunEnded, RunWriter, ServerBegan, open_runs
from lychee_bench.server_settings import Behaviour, ServerSettings
from lychee_bench.slots import ShedError, Slots
from lychee_runtime.ports import free_endpoint
from lychee_types.clock import SystemClock
from lychee_types.exceptions import LycheeError
from lychee_types.ids import DomainName, Incarnation, ServerId, ServiceName, Token
from lychee_types.records import ServerRecord, ServerStatus

CHUNK_BYTES = 8_192
"""Chunk size of a streamed response, in bytes."""

SERVICE_TIME_JITTER = 0.2
"""Largest random deviation of a service time, as a fraction of it."""

DRAIN_IDLE_S = 1.0
"""Time without requests after which a drain ends, in seconds."""


class RefusedError(LycheeError):
    """The server did not run the request.

    :param reason: value of the Lychee-Refused header.
    """

    def __init__(self, *, reason: str) -> None:
        self.reason = reason
        super().__init__(message=f"refused: {reason}", remedy="try another server")


class LoadReport(Struct, frozen=True, kw_only=True):
    """Response body of the load endpoint.

    :param in_flight: number of requests that run or wait.
    :param slots: number of requests that can run at once.
    :param connections: number of open connections.
    """

    in_flight: int
    slots: int
    connections: int


class BackendServer:
    """A server that has slots and a lease, and logs every request that it runs.

    :param cfg: its settings.
    :param runs: writes the records of the requests that it runs.
    """

    def __init__(self, *, cfg: ServerSettings, runs: RunWriter) -> None:
        self.behaviour = cfg.behaviour
        self.last_run_at = 0.0
        self._cfg = cfg
        self._runs = runs
        self._clock = SystemClock()
        self._lease = ServerLease(clock=self._clock)
        self._slots = Slots(count=cfg.slots, queue=cfg.queue)
        self._rng = random.Random(cfg.id)
        self._incarnation = Incarnation(time.time_ns() // 1_000_000)
        self._started_at = self._clock.monotonic()
        self._run_count = 0
        self._status = ServerStatus.JOINED
        self._refuses_all = False
        self.http = HttpServer(handler=self.handle, connections=cfg.connections)
        self.announcer = Announcer(
            entries=cfg.entries,
            first=xxhash.xxh32_intdigest(cfg.id.encode()),
            lease=self._lease,
            record=self.record,
            in_flight=lambda: self._slots.in_flight,
            clock=self._clock,
        )
        runs.write(
            ServerBegan(
                server=cfg.id,
                incarnation=self._incarnation,
                service=cfg.service,
                checks_tokens=cfg.checks_tokens,
            )
        )

    def record(self) -> ServerRecord:
        """Return what the server announces about itself."""
        cfg = self._cfg
        return ServerRecord(
            id=ServerId(cfg.id),
            incarnation=self._incarnation,
            endpoint=cfg.listen,
            domain=DomainName(cfg.domain),
            service=ServiceName(cfg.service),
            slots=cfg.slots,
            connections=cfg.connections,
            speed=cfg.announced_speed,
            status=self._status,
        )

    async def drain(self) -> None:
        """Announce that the server leaves, and wait until it gets no more requests.

        After ``drain_s`` seconds at the latest, it refuses all further requests.
        """
        self._status = ServerStatus.LEAVING
        started_at = self._clock.monotonic()
        self.last_run_at = started_at
        while self._clock.monotonic() - started_at < self._cfg.drain_s:
            await asyncio.sleep(INTERVAL_S)
            is_idle = self._clock.monotonic() - self.last_run_at > DRAIN_IDLE_S
            if is_idle and not self._slots.in_flight:
                return
        self._refuses_all = True
        await asyncio.sleep(INTERVAL_S)

    async def handle(self, request: Request, conn: Connection) -> Response:
        """Handle one request."""
        match urlsplit(request.target).path:
            case "/_lychee/health":
                return self._health()
            case "/_lychee/load":
                return await self._report_load()
            case "/_bench/behaviour":
                self.behaviour = msgspec.json.decode(request.body, type=Behaviour)
                return Response()
        try:
            response = await self._serve(request, conn)
        except RefusedError as exc:
            response = Response(status=503, headers=(("Lychee-Refused", exc.reason),))
        request_id = ("Lychee-Request-Id", request.headers.get("lychee-request-id", ""))
        named = (request_id, *response.headers) if request_id[1] else response.headers
        return msgspec.structs.replace(response, headers=named)

    def _health(self) -> Response:
        return Response(status=200 if self.behaviour.health_ok else 503, body=b"ok")

    async def _report_load(self) -> Response:
        report = LoadReport(
            in_flight=self._slots.in_flight,
            slots=self._cfg.slots,
            connections=len(self.http.open),
        )
        await asyncio.sleep(self.behaviour.load_lag_ms / 1_000)
        return Response(body=msgspec.json.encode(report))

    async def _serve(self, request: Request, conn: Connection) -> Response:
        token = Token(int(request.headers.get("lychee-token", "0")))
        keyed = "lychee-token" in request.headers
        self._check_accepts(request, token=token, keyed=keyed)
        if conn.over_limit:
            raise RefusedError(reason="shed")
        await self._simulate_open_delay(conn)
        with self._slots.count_in_flight():
            try:
                await self._slots.acquire()
            except ShedError as exc:
                raise RefusedError(reason="shed") from exc
            try:
                self._check_accepts(request, token=token, keyed=keyed)
                return await self._run_request(request, token=token, keyed=keyed)
            finally:
                self._slots.release()

    async def _simulate_open_delay(self, conn: Connection) -> None:
        remaining_s = conn.opened_at + self._cfg.open_ms / 1_000 - asyncio.get_running_loop().time()
        if remaining_s > 0:
            await asyncio.sleep(remaining_s)

    def _check_accepts(self, request: Request, *, token: Token, keyed: bool) -> None:
        if self._refuses_all:
            raise RefusedError(reason="draining")
        deadline_ms = request.headers.get("lychee-deadline")
        if deadline_ms is not None and self._clock.wall() * 1_000 > float(deadline_ms):
            raise RefusedError(reason="deadline")
        if keyed and self._cfg.checks_tokens:
            if token < self._lease.fence:
                raise RefusedError(reason="token")
            if not self._lease.is_held:
                raise RefusedError(reason="lease")

    async def _run_request(self, request: Request, *, token: Token, keyed: bool) -> Response:
        self._run_count += 1
        run = self._run_count
        key = request_key(request.target)
        self.last_run_at = self._clock.monotonic()
        request_id = request.headers.get("lychee-request-id", "")
        self._runs.write(
            RunBegan(
                run=run,
                request=request_id,
                idempotency_key=request.headers.get("idempotency-key", ""),
                key=key,
                token=token,
                at=self._clock.wall(),
                leased=self._lease.is_held,
            )
        )
        done = False
        self._lease.start_run(token)
        try:
            await asyncio.sleep(self._service_time_s())
            done = not (keyed and self._cfg.checks_tokens) or self._lease.is_held
        finally:
            self._lease.end_run(token)
            self._runs.write(RunEnded(run=run, at=self._clock.wall(), done=done))
        if not done:
            raise RefusedError(reason="lease")
        body = make_response_body(
            request=request_id,
            key=key,
            server=self._cfg.id,
            run=run,
            size=self._response_bytes(request),
        )
        chunk_bytes = CHUNK_BYTES if self._cfg.streamed else 0
        headers = (("Content-Type", "application/octet-stream"),)
        return Response(headers=headers, body=body, chunk_bytes=chunk_bytes)

    def _service_time_s(self) -> float:
        service_time_s = (
            self.behaviour.service_ms / 1_000 * self.behaviour.slowdown / self._cfg.speed
        )
        if self._clock.monotonic() - self._started_at < self._cfg.cold_s:
            service_time_s *= self._cfg.cold_factor
        return service_time_s * self._rng.uniform(1 - SERVICE_TIME_JITTER, 1 + SERVICE_TIME_JITTER)

    def _response_bytes(self, request: Request) -> int:
        requested = parse_qs(urlsplit(request.target).query).get("size")
        return int(requested[0]) if requested else self._cfg.answer_bytes


def request_key(target: str) -> str:
    """Return the key of a request: the last path segment, its bytes decoded as Latin-1."""
    segment = urlsplit(target).path.rpartition("/")[2]
    return unquote_to_bytes(segment).decode("latin-1")


async def _listen(server: BackendServer, cfg: ServerSettings) -> asyncio.Server:
    """Start to listen, behind a relay if the server repeats responses."""
    if not cfg.repeats:
        return await server.http.listen(cfg.listen.host, cfg.listen.port)
    hidden = free_endpoint()
    await server.http.listen(hidden.host, hidden.port)
    relay = RepeatingRelay(target=hidden, rng=random.Random(cfg.id))
    return await relay.listen(cfg.listen)


async def run_server(cfg: ServerSettings) -> None:
    """Serve until SIGTERM, then drain the server and return.

    :param cfg: its settings.
    """
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    with open_runs(Path(cfg.runs)) as runs:
        server = BackendServer(cfg=cfg, runs=runs)
        listener = await _listen(server, cfg)
        announcer_task = asyncio.create_task(server.announcer.run())
        try:
            await stop.wait()
            await server.drain()
        finally:
            announcer_task.cancel()
            await asyncio.gather(announcer_task, return_exceptions=True)
            listener.close()
