"""A whole deployment on loopback: control replicas, gateways and stand-in servers."""

import asyncio
import io
import shutil
import tempfile
import time
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct
from ruamel.yaml import YAML

from lychee_bench.balancer import Balancer, Entry
from lychee_bench.http_client import (
    ConnectionBrokenError,
    ConnectionRefusedByPeerError,
    connect,
)
from lychee_bench.load import Traffic
from lychee_bench.operator import Operator
from lychee_bench.ports import free_endpoints
from lychee_bench.processes import Processes, executable, processes
from lychee_bench.sizes import SPEEDS, ServerGroup, Sizes
from lychee_types.document import BodyMode, Document, RequestKind, Service
from lychee_types.exceptions import SettingsError, UnavailableError
from lychee_types.ids import DomainName, GatewayId, ReplicaId
from lychee_types.messages import StatusReply
from lychee_types.records import Endpoint, ServerStatus
from lychee_types.settings import ControlSettings, GatewaySettings, PeerSettings
from lychee_types.timing import Timing
from lychee_types.yamlfile import read_yaml

START_TIMEOUT_S = 40.0
"""Time until a deployment serves every service, in seconds."""

POLL_S = 0.1
"""Time between two questions whether the deployment serves, in seconds."""


class Server(Struct, frozen=True, kw_only=True):
    """One stand-in server.

    :param name: its id.
    :param service: its service.
    :param domain: its failure domain.
    :param listen: where it takes requests.
    :param runs: file with the records of its runs.
    """

    name: str
    service: str
    domain: str
    listen: Endpoint
    runs: Path


class Deployment:
    """The running processes of one deployment.

    :param folder: the run's folder.
    :param sizes: how many processes of each kind.
    :param document: the operators' document.
    :param group: starts and ends the processes.
    """

    def __init__(self, *, folder: Path, sizes: Sizes, document: Document, group: Processes) -> None:
        self.document = document
        self.processes = group
        self.sizes = sizes
        self.timing = Timing()
        self._folder = folder
        ports = iter(free_endpoints(sizes.controls + 2 * sizes.gateways + _server_count(sizes)))
        self.controls = {f"c{n}": next(ports) for n in range(1, sizes.controls + 1)}
        self.entries = tuple(
            Entry(name=f"g{n}", listen=next(ports), announce=next(ports))
            for n in range(1, sizes.gateways + 1)
        )
        self.servers = {server.name: server for server in self._plan_servers(ports)}
        self.operator = Operator(controls=tuple(self.controls.values()))

    def _plan_servers(self, ports: Iterator[Endpoint]) -> Iterator[Server]:
        for group in self.sizes.groups:
            for number in range(group.count):
                name = f"{group.service}-{number + 1}"
                domain = self.document.domains[number % len(self.document.domains)]
                yield Server(
                    name=name,
                    service=group.service,
                    domain=domain,
                    listen=next(ports),
                    runs=self._folder / f"{name}.jsonl",
                )

    def service(self, name: str) -> Service:
        """Return a service of the document."""
        found = next((item for item in self.document.services if item.name == name), None)
        if found is None:
            raise SettingsError(
                message=f"the document has no service {name}", remedy="name one that it has"
            )
        return found

    def start_controls(self) -> None:
        """Start the control replicas."""
        for name in self.controls:
            settings = ControlSettings(
                id=ReplicaId(name),
                listen=self.controls[name],
                domain=self._domain(int(name[1:])),
                data=str(self._folder / name),
                replicas=self.peers(name),
                timing=self.timing,
            )
            self._start_daemon("lychee-control", name, settings)

    def peers(self, name: str) -> tuple[PeerSettings, ...]:
        """Return the first voters as one replica reaches them."""
        return tuple(
            PeerSettings(id=ReplicaId(peer), endpoint=endpoint)
            for peer, endpoint in self.controls.items()
        )

    def start_gateways(self) -> None:
        """Start the gateways."""
        for number, entry in enumerate(self.entries, 1):
            settings = GatewaySettings(
                id=GatewayId(entry.name),
                listen=entry.listen,
                announce=entry.announce,
                domain=self._domain(number),
                control=tuple(self.controls.values()),
                timing=self.timing,
            )
            self._start_daemon("lychee-gateway", entry.name, settings)

    def start_servers(self) -> None:
        """Start the stand-in servers."""
        for group in self.sizes.groups:
            for number, server in enumerate(self.group_servers(group)):
                argv = self._server_argv(group, server, SPEEDS[number % len(SPEEDS)])
                self.processes.start(server.name, argv)

    def group_servers(self, group: ServerGroup) -> tuple[Server, ...]:
        """Return the servers of a group."""
        return tuple(item for item in self.servers.values() if item.service == group.service)

    def _server_argv(self, group: ServerGroup, server: Server, speed: float) -> tuple[str, ...]:
        service = self.service(group.service)
        options = {
            "--id": server.name,
            "--service": group.service,
            "--domain": server.domain,
            "--listen": server.listen,
            "--runs": server.runs,
            "--slots": group.slots,
            "--connections": group.connections,
            "--speed": speed,
            "--service-ms": group.service_ms,
            "--answer-bytes": group.answer_bytes,
        }
        flags = ["--checks-tokens" if service.checks_tokens else "--no-checks-tokens"]
        flags.append("--streamed" if service.body is BodyMode.STREAMED else "--whole")
        for entry in self.entries:
            flags += ["--entry", str(entry.announce)]
        words = [str(word) for option in options.items() for word in option]
        return (executable("lychee-bench"), "server", *words, *flags)

    def _domain(self, number: int) -> DomainName:
        return self.document.domains[(number - 1) % len(self.document.domains)]

    def _start_daemon(self, program: str, name: str, settings: Any) -> None:
        path = self._folder / f"{name}.yaml"
        path.write_text(to_yaml(settings), encoding="utf-8")
        self.processes.start(name, (executable(program), "--settings", str(path)))

    async def submit_first(self) -> None:
        """Submit the document to the empty deployment.

        :raises UnavailableError: if it is not accepted in time.
        """
        record = await self.operator.submit(
            self.document,
            submission="bench-first",
            based_on=0,
            author="bench",
            timeout_s=START_TIMEOUT_S,
        )
        if not record.accepted:
            raise UnavailableError(message=f"the document lost: {record}", remedy="read the logs")

    async def wait_until_served(self) -> None:
        """Wait until every server has joined and each gateway answers for each service.

        :raises UnavailableError: if that does not come about in time.
        """
        until = time.monotonic() + START_TIMEOUT_S
        missing = "nothing was seen"
        while time.monotonic() < until:
            self.processes.check()
            if self.processes.unexpected:
                raise UnavailableError(
                    message=f"a process died: {self.processes.unexpected}", remedy="read its log"
                )
            missing = await self._missing()
            if not missing:
                return
            await asyncio.sleep(POLL_S)
        raise UnavailableError(message=f"not served: {missing}", remedy="read the logs")

    async def _missing(self) -> str:
        try:
            status = await self.operator.status(timeout_s=5.0)
        except UnavailableError as exc:
            return exc.message
        return self._missing_in(status) or await self._missing_at_gateways()

    def _missing_in(self, status: StatusReply) -> str:
        joined = {
            state.record.id
            for state in status.servers
            if state.record.status is ServerStatus.JOINED
        }
        absent = sorted(set(self.servers) - joined)
        if absent:
            return f"servers that have not joined: {', '.join(absent)}"
        moving = [state.name for state in status.services if state.moving]
        return f"keys that move: {', '.join(moving)}" if moving else ""

    async def _missing_at_gateways(self) -> str:
        for entry in self.entries:
            for item in self.document.services:
                try:
                    async with asyncio.timeout(item.deadline_ms / 1_000 + 1):
                        conn = await connect(entry.listen)
                        answer = await conn.request(
                            method="GET", target=f"{item.path}first", headers={}
                        )
                        conn.close()
                except (TimeoutError, ConnectionBrokenError, ConnectionRefusedByPeerError) as exc:
                    return f"{item.name} at {entry.name}: {type(exc).__name__} {exc}"
                if answer.status != 200:
                    return f"{item.name} at {entry.name}: {answer.status} {answer.body[:200]!r}"
        return ""

    def traffic(self, *, factor: float = 1.0) -> tuple[Traffic, ...]:
        """Return the callers' requests for every service.

        :param factor: factor on the rates.
        """
        items = []
        for group in self.sizes.groups:
            service = self.service(group.service)
            items.append(
                Traffic(
                    service=service.name,
                    path=service.path,
                    rate=group.rate * factor,
                    deadline_s=service.deadline_ms / 1_000,
                    keyed=service.kind is RequestKind.KEYED,
                    booking=not service.idempotent,
                )
            )
        return tuple(items)

    def balancer(self) -> Balancer:
        """Return a balancer over the gateways."""
        return Balancer(entries=self.entries)

    def run_files(self) -> tuple[Path, ...]:
        """Return the servers' files of runs."""
        return tuple(item.runs for item in self.servers.values() if item.runs.exists())


def _server_count(sizes: Sizes) -> int:
    return sum(group.count for group in sizes.groups)


def to_yaml(value: Any) -> str:
    """Return a typed value as YAML text."""
    text = io.StringIO()
    YAML(typ="safe", pure=True).dump(msgspec.to_builtins(value), text)
    return text.getvalue()


def load_document(path: Path) -> Document:
    """Return the document in a file.

    :raises SettingsError: if the file holds none.
    """
    result = read_yaml(path, Document)
    if result.is_error():
        faults = "; ".join(fault.show() for fault in result.error)
        raise SettingsError(message=f"{path} cannot be used: {faults}", remedy="correct the file")
    return result.ok


class RunFolder:
    """The folder of one run.

    :param path: the folder.
    """

    def __init__(self, *, path: Path) -> None:
        self.path = path
        self.passed = False


@contextmanager
def run_folder() -> Iterator[RunFolder]:
    """Create a folder for one run; it is removed at the end if the run has passed."""
    folder = RunFolder(path=Path(tempfile.mkdtemp(prefix="lychee-bench-")))
    try:
        yield folder
    finally:
        if folder.passed:
            shutil.rmtree(folder.path, ignore_errors=True)


@asynccontextmanager
async def deployed(*, folder: Path, sizes: Sizes, document: Document) -> AsyncIterator[Deployment]:
    """Run a deployment until the block ends; it serves when the block begins.

    :raises UnavailableError: if it does not serve in time.
    """
    with processes(folder) as group:
        deployment = Deployment(folder=folder, sizes=sizes, document=document, group=group)
        deployment.start_controls()
        deployment.start_gateways()
        deployment.start_servers()
        await deployment.submit_first()
        await deployment.wait_until_served()
        yield deployment
