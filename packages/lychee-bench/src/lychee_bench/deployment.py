"""A whole deployment on loopback: control replicas, gateways and stand-in servers."""

import shutil
from collections.abc import Iterator
from pathlib import Path

from msgspec import Struct

from lychee_bench.balancer import Balancer, GatewayAddresses
from lychee_bench.load import Traffic
from lychee_bench.operator import Operator
from lychee_bench.ports import free_endpoints
from lychee_bench.processes import Processes, executable
from lychee_bench.relay import Network, Relay
from lychee_bench.sizes import ServerGroup, Sizes
from lychee_types.document import BodyMode, Document, RequestKind, Service
from lychee_types.exceptions import SettingsError
from lychee_types.ids import DomainName, GatewayId, ReplicaId
from lychee_types.records import Endpoint
from lychee_types.settings import ControlSettings, GatewaySettings, PeerSettings
from lychee_types.timing import Timing
from lychee_types.yamlfile import format_yaml


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
        self.rule = ""
        self._folder = folder
        ports = iter(free_endpoints(2 * sizes.controls + 2 * sizes.gateways + _server_count(sizes)))
        self.listens = {f"c{n}": next(ports) for n in range(1, sizes.controls + 1)}
        self.controls = dict(self.listens)
        self.gateways = tuple(
            GatewayAddresses(name=f"g{n}", listen=next(ports), announce=next(ports))
            for n in range(1, sizes.gateways + 1)
        )
        self.servers = {server.name: server for server in self._plan_servers(ports)}
        self.operator = Operator(controls=tuple(self.controls.values()))
        self.relays: tuple[Relay, ...] = ()
        self._replica_of = {name: name for name in self.controls}

    def use_relays(self, network: Network) -> tuple[Relay, ...]:
        """Put a relay in front of each control replica; call it before the processes start.

        :param network: which directions are cut.
        """
        ports = free_endpoints(len(self.listens))
        self.controls = dict(zip(self.listens, ports, strict=True))
        self.operator = Operator(controls=ports)
        self.relays = tuple(
            Relay(
                name=name,
                listen=self.controls[name],
                target=self.listens[name],
                network=network,
                pids=self.pids,
            )
            for name in self.listens
        )
        return self.relays

    def pids(self) -> dict[str, int]:
        """Return the ids of the running control replicas and gateways by their place."""
        names = (*self.controls, *(entry.name for entry in self.gateways))
        places = {name: self._replica_of.get(name, name) for name in names}
        return {
            name: self.processes.pid(process)
            for name, process in places.items()
            if process in self.processes.names
        }

    def process_name(self, place: str) -> str:
        """Return the name of the process at a place; a replaced control replica has a new one."""
        return self._replica_of.get(place, place)

    def place_of(self, replica: ReplicaId) -> str:
        """Return the place of a control replica."""
        return next(place for place, name in self._replica_of.items() if name == replica)

    async def replace_control(self, place: str, *, timeout_s: float) -> None:
        """Start a new control replica at the place of a lost one, and let it take its part.

        :param place: the place; its process must have ended.
        :param timeout_s: time for the repair, in seconds.
        :raises UnavailableError: if the repair takes longer.
        """
        old = self._replica_of[place]
        shutil.rmtree(self._folder / old)
        new = f"{place}-{len(list(self._folder.glob(f'{place}*.yaml'))) + 1}"
        self._replica_of[place] = new
        self._start_control(place, replicas=())
        await self.operator.replace(
            old=ReplicaId(old),
            new=ReplicaId(new),
            endpoint=self.controls[place],
            timeout_s=timeout_s,
        )

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
        replicas = tuple(
            PeerSettings(id=ReplicaId(name), endpoint=endpoint)
            for name, endpoint in self.controls.items()
        )
        for place in self.controls:
            self._start_control(place, replicas=replicas)

    def _start_control(self, place: str, *, replicas: tuple[PeerSettings, ...]) -> None:
        name = self._replica_of[place]
        settings = ControlSettings(
            id=ReplicaId(name),
            listen=self.listens[place],
            domain=self._domain(int(place[1:])),
            data=str(self._folder / name),
            replicas=replicas,
            advertise=self.controls[place],
            timing=self.timing,
        )
        self._start_daemon("lychee-control", name, settings)

    def start_gateways(self) -> None:
        """Start the gateways."""
        for number, entry in enumerate(self.gateways, 1):
            settings = GatewaySettings(
                id=GatewayId(entry.name),
                listen=entry.listen,
                announce=entry.announce,
                domain=self._domain(number),
                control=tuple(self.controls.values()),
                timing=self.timing,
            )
            self._start_gateway(entry.name, settings)

    def _start_gateway(self, name: str, settings: GatewaySettings) -> None:
        if not self.rule:
            self._start_daemon("lychee-gateway", name, settings)
            return
        path = self._write_settings(name, settings)
        words = ("gateway", "--settings", str(path), "--rule", self.rule)
        self.processes.start(name, (executable("lychee-bench"), *words))

    def start_servers(self) -> None:
        """Start the stand-in servers."""
        for group in self.sizes.groups:
            for number, server in enumerate(self.group_servers(group)):
                argv = self._server_argv(group, server, group.speeds[number % len(group.speeds)])
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
            "--queue": group.queue,
            "--speed": speed,
            "--service-ms": group.service_ms,
            "--answer-bytes": group.answer_bytes,
        }
        flags = ["--checks-tokens" if service.checks_tokens else "--no-checks-tokens"]
        flags.append("--streamed" if service.body is BodyMode.STREAMED else "--whole")
        for entry in self.gateways:
            flags += ["--entry", str(entry.announce)]
        words = [str(word) for option in options.items() for word in option]
        return (executable("lychee-bench"), "server", *words, *flags)

    def _domain(self, number: int) -> DomainName:
        return self.document.domains[(number - 1) % len(self.document.domains)]

    def restart_cold(self, name: str, *, cold_s: float) -> None:
        """Start a server that was killed again, with a cold start of that length."""
        argv = self.processes.argv(name)
        self.processes.start(name, (*argv, "--cold-s", str(cold_s)))

    def _start_daemon(
        self, program: str, name: str, settings: ControlSettings | GatewaySettings
    ) -> None:
        path = self._write_settings(name, settings)
        self.processes.start(name, (executable(program), "--settings", str(path)))

    def _write_settings(self, name: str, settings: ControlSettings | GatewaySettings) -> Path:
        path = self._folder / f"{name}.yaml"
        path.write_text(format_yaml(settings), encoding="utf-8")
        return path

    def names_in(self, domain: DomainName) -> list[str]:
        """Return the names of the running processes of a failure domain."""
        numbered = [*self.controls, *(entry.name for entry in self.gateways)]
        daemons = [name for name in numbered if self._domain(int(name[1:])) == domain]
        servers = [item.name for item in self.servers.values() if item.domain == domain]
        return [self.process_name(name) for name in daemons] + servers

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
                    at_most_once=not service.idempotent,
                )
            )
        return tuple(items)

    def balancer(self) -> Balancer:
        """Return a balancer over the gateways."""
        return Balancer(gateways=self.gateways)

    def run_files(self) -> tuple[Path, ...]:
        """Return the servers' files of runs."""
        return tuple(item.runs for item in self.servers.values() if item.runs.exists())


def _server_count(sizes: Sizes) -> int:
    return sum(group.count for group in sizes.groups)
