"""Fixtures that the tests of several packages share, and the handling of KNOWN-RED.txt."""

import asyncio
import gc
import platform as standard_platform
import socket
import sys
import threading
import time
from collections.abc import Generator, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from ipaddress import ip_address
from pathlib import Path
from ssl import SSLContext

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

from lychee_owner import ClusterState
from lychee_runtime import LinkService, serve_links
from lychee_runtime.ports import free_endpoint
from lychee_types.commands import SubmitDocument
from lychee_types.document_check import check_document
from lychee_types.operator_messages import (
    OPERATE,
    DumpReply,
    DumpRequest,
    GatewayState,
    HistoryReply,
    HistoryRequest,
    OperatorReply,
    OperatorRequest,
    Refused,
    ReplaceReply,
    ReplaceRequest,
    ReplicaState,
    ServerState,
    ServiceState,
    ShowReply,
    ShowRequest,
    StatusReply,
    StatusRequest,
    SubmitReply,
    SubmitRequest,
)
from lychee_types.records import Endpoint, ServerRecord
from lychee_types.settings import TlsSettings
from lychee_types.timing import Timing

DAY = timedelta(days=1)

KNOWN_RED = Path(__file__).parent / "KNOWN-RED.txt"
"""Tests that fail for a known fault, one on each line that begins with ``test: ``."""


def known_red() -> list[str]:
    """Return the ids of the tests that KNOWN-RED.txt lists."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    return [line.removeprefix("test: ").strip() for line in lines if line.startswith("test: ")]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Run the tests of KNOWN-RED.txt without letting their failures fail the whole run."""
    listed = known_red()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt"))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the results of the tests that KNOWN-RED.txt lists."""
    listed = known_red()
    if not listed:
        return
    terminalreporter.section("KNOWN-RED.txt")
    for outcome, text in (("xfailed", "failed"), ("xpassed", "passed")):
        for report in terminalreporter.getreports(outcome):
            if report.nodeid in listed:
                terminalreporter.line(f"{text}: {report.nodeid}")


@contextmanager
def garbage_kept() -> Iterator[None]:
    """Collect no garbage until the block ends.

    An object whose end fails makes Python format a traceback, which parses source. Within another
    parse, that breaks the outer one (SystemError, Python 3.11).
    """
    collected = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if collected:
            gc.enable()


@pytest.hookimpl(wrapper=True, tryfirst=True)
def pytest_runtest_makereport() -> Generator[None, pytest.TestReport, pytest.TestReport]:
    """Report each test, also one that fails beside objects whose end fails."""
    with garbage_kept():
        return (yield)


def _restore_platform() -> None:
    """Restore the standard module platform, which collecting the tests in platform/ replaces."""
    sys.modules["platform"] = standard_platform


def pytest_pycollect_makemodule() -> None:
    """Restore the standard module before each test module is imported."""
    _restore_platform()


def pytest_collection_finish() -> None:
    """Restore the standard module before tests run, and let collections skip what is there."""
    _restore_platform()
    gc.freeze()


@pytest.hookimpl(trylast=True)
def pytest_runtest_teardown() -> None:
    """Collect the garbage of a test, so that none is collected within a parse of a later one.

    See `garbage_kept`: in Python 3.11.6 the end of a stream's writer fails on a closed event loop.
    """
    gc.collect()


class FakeControl:
    """A fake control replica that answers operators' requests.

    It applies submitted documents to a real :class:`ClusterState`. Tests inject faults through its
    attributes: it drops the next ``lost_answers`` replies or ``lost_submissions`` replies to
    submissions, refuses all requests while ``electing``, redirects them to ``leader``, and applies
    the commands of ``before_submit`` before the next submission.

    :param ssl: TLS context of its listener.
    """

    def __init__(self, *, ssl: SSLContext | None = None) -> None:
        self.endpoint = free_endpoint()
        self.state = ClusterState()
        self.lost_answers = 0
        self.lost_submissions = 0
        self.leader: Endpoint | None = None
        self.electing = False
        self.requests: list[OperatorRequest] = []
        self.before_submit: list[SubmitDocument] = []
        self._ssl = ssl

    @contextmanager
    def running(self) -> Iterator["FakeControl"]:
        """Serve in a thread until the block ends."""
        loop = asyncio.new_event_loop()
        stop, ready = asyncio.Event(), threading.Event()
        thread = threading.Thread(target=loop.run_until_complete, args=(self._serve(stop, ready),))
        thread.start()
        try:
            assert ready.wait(10)
            yield self
        finally:
            loop.call_soon_threadsafe(stop.set)
            thread.join(10)
            loop.close()

    async def _serve(self, stop: asyncio.Event, ready: threading.Event) -> None:
        service = LinkService(name="operator")
        service.add(
            method=OPERATE, send=OperatorReply, receive=OperatorRequest, handler=self._handle
        )
        async with serve_links(service=service, endpoint=self.endpoint, ssl=self._ssl):
            ready.set()
            await stop.wait()

    async def _handle(self, link) -> None:
        for request in await link.receive():
            reply = self.reply(request)
            if self.lost_answers:
                self.lost_answers -= 1
                return
            if self.lost_submissions and isinstance(request, SubmitRequest):
                self.lost_submissions -= 1
                return
            link.post(reply)
            await link.receive()

    def reply(self, request: OperatorRequest) -> OperatorReply:
        """Record a request and return its reply."""
        self.requests.append(request)
        if self.electing:
            return Refused(message="no leader", remedy="wait", unavailable=True)
        if self.leader is not None:
            return Refused(message="not the leader", remedy="ask the leader", leader=self.leader)
        match request:
            case SubmitRequest():
                return self._submit(request)
            case ShowRequest():
                return self._show(request.version)
            case HistoryRequest():
                return HistoryReply(submissions=tuple(self.state.submissions.values()))
            case StatusRequest():
                return self._status()
            case DumpRequest():
                return DumpReply(text="term: 7\n")
            case ReplaceRequest():
                return ReplaceReply(voters=("c2", "c3", request.new))

    def _submit(self, request: SubmitRequest) -> OperatorReply:
        faults = check_document(request.document, Timing())
        if faults:
            return Refused(message=faults[0].format_message(), remedy="correct the document")
        for competing in self.before_submit:
            self.state.apply(self.state.index + 1, competing)
        self.before_submit.clear()
        command = SubmitDocument(
            submission=request.submission,
            based_on=request.based_on,
            author=request.author,
            document=request.document,
        )
        self.state.apply(self.state.index + 1, command)
        return SubmitReply(record=self.state.submissions[request.submission])

    def _show(self, version: int) -> OperatorReply:
        for known in self.state.history:
            if known.version == (version or self.state.document_version):
                return ShowReply(
                    version=known.version, author=known.author, document=known.document
                )
        if version == 0:
            return ShowReply(version=0, author="", document=None)
        return Refused(message=f"version {version} is not kept", remedy="ask for a later one")

    def _status(self) -> StatusReply:
        version = self.state.document_version
        document = self.state.document
        servers = [
            ServerRecord(
                id=name,
                incarnation=1,
                endpoint=Endpoint(host="127.0.0.1", port=9),
                domain="nord",
                service="repair-status",
                slots=3,
                connections=120,
            )
            for name in ("repair-1", "repair-2")
        ]
        return StatusReply(
            leader="c1",
            term=7,
            commit=self.state.index,
            document_version=version,
            replicas=tuple(
                ReplicaState(id=i, endpoint=self.endpoint, role=r, match=4, silent_ms=12)
                for i, r in (("c1", "leader"), ("c2", "follower"), ("c3", "follower"))
            ),
            gateways=tuple(
                GatewayState(
                    id=f"g{n}",
                    session="s",
                    domain="nord",
                    document_version=max(version - n, 0),
                    applied=3,
                    lease_left_ms=900,
                )
                for n in range(2)
            ),
            servers=tuple(
                ServerState(
                    record=record,
                    leaving=document is not None and document.is_leaving(record.id),
                    share=0.5,
                    lease_left_ms=800,
                )
                for record in servers
            ),
            services=(ServiceState(name="repair-status", token=9, moving=0, hot_keys=2),),
        )


@dataclass(frozen=True, kw_only=True)
class Authority:
    """A certificate authority that writes key files for processes."""

    folder: Path
    key: ec.EllipticCurvePrivateKey
    certificate: x509.Certificate

    def issue(self, name: str, *, host: str = "127.0.0.1", ends: timedelta = DAY) -> TlsSettings:
        """Write a key and its certificate, and return settings that name them."""
        key = ec.generate_private_key(ec.SECP256R1())
        alternative = x509.SubjectAlternativeName([x509.IPAddress(ip_address(host))])
        builder = _certificate_builder(name, self.certificate.subject, key, ends=ends)
        certificate = builder.add_extension(alternative, False).sign(self.key, hashes.SHA256())
        paths = {part: self.folder / f"{name}.{part}.pem" for part in ("certificate", "key")}
        paths["certificate"].write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
        paths["key"].write_bytes(_key_bytes(key))
        return TlsSettings(
            certificate=str(paths["certificate"]),
            key=str(paths["key"]),
            authorities=str(self.folder / "authority.pem"),
        )


def _certificate_builder(name, issuer, key, *, ends: timedelta):
    now = datetime.now(UTC)
    return (
        x509.CertificateBuilder()
        .subject_name(_name(name))
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - 10 * DAY)
        .not_valid_after(now + ends)
    )


def _name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, text)])


def _key_bytes(key: ec.EllipticCurvePrivateKey) -> bytes:
    return key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )


def create_authority(folder: Path) -> Authority:
    """Create an authority that keeps its files in a new folder."""
    folder.mkdir()
    key = ec.generate_private_key(ec.SECP256R1())
    builder = _certificate_builder("authority", _name("authority"), key, ends=DAY)
    basic = x509.BasicConstraints(ca=True, path_length=0)
    certificate = builder.add_extension(basic, True).sign(key, hashes.SHA256())
    pem = certificate.public_bytes(serialization.Encoding.PEM)
    (folder / "authority.pem").write_bytes(pem)
    return Authority(folder=folder, key=key, certificate=certificate)


@pytest.fixture
def make_authority(tmp_path: Path):
    """Return a function that creates a certificate authority in a folder of the given name."""
    return lambda name: create_authority(tmp_path / name)


@pytest.fixture
def authority(make_authority) -> Authority:
    """A certificate authority."""
    return make_authority("ours")


@pytest.fixture
def fake_control() -> Iterator[FakeControl]:
    """A running fake control replica."""
    with FakeControl().running() as control:
        yield control


@pytest.fixture
def make_control():
    """Return the class of the fake control replica, for tests that need several or TLS."""
    return FakeControl


@asynccontextmanager
async def serve_silently():
    """Serve an address that accepts connections and never answers, and return it."""
    server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
    try:
        host, port = server.sockets[0].getsockname()
        yield Endpoint(host=host, port=port)
    finally:
        server.close()


@pytest.fixture
def silent_address():
    """Return the context manager of an address that never answers."""
    return serve_silently


@pytest.fixture
def make_endpoint():
    """Return a function that returns an address on which nobody listens."""
    return free_endpoint


ACT_TURNS = 4
"""Turns of the event loop after which bytes have come through a link to the function they are for.
"""


def block_until_late(act, seconds: float) -> None:
    """Block the running event loop, while bytes arrive that make a task call a function.

    :param act: the function.
    :param seconds: for how long the loop is blocked.
    """
    loop = asyncio.get_running_loop()
    near, far = socket.socketpair()
    near.setblocking(False)

    async def act_in_task() -> None:
        for _ in range(ACT_TURNS):
            await asyncio.sleep(0)
        act()

    def receive() -> None:
        loop.remove_reader(near)
        near.close()
        tasks.append(loop.create_task(act_in_task()))

    def block() -> None:
        far.sendall(b"x")
        far.close()
        time.sleep(seconds)

    tasks: list[asyncio.Task[None]] = []
    loop.add_reader(near, receive)
    loop.call_soon(block)


@pytest.fixture
def busy_loop():
    """Return a function that blocks the event loop while bytes arrive."""
    return block_until_late
