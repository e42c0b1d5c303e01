"""A whole deployment on loopback: control replicas, gateways and stand-in servers.

A control replica has a place, such as ``c1``, which a replacement takes over with a new id.
"""

import shutil
from collections.abc import Iterator
from pathlib import Path

from msgspec import Struct

from lychee_bench.balancer import Balancer, GatewayAddresses
from lychee_bench.load import Traffic
from lychee_bench.operator import Operator
from lychee_bench.processes import Processes, executable
from lychee_bench.relay import Network, Relay
from lychee_bench.sizes import ServerGroup, Sizes
from lychee_runtime.ports import free_endpoints
from lychee_types.document import BodyMode, Document, RequestKind, Service
from lychee_types.exceptions import SettingsError
from lychee_types.ids import DomainName, GatewayId, ReplicaId
from lychee_types.records import Endpoint
from lychee_types.settings import ControlSettings, GatewaySettings, PeerSettings
from lychee_types.timing import Timing
from lychee_types.yamlfile import format_yaml


class Server(Struct, frozen=True, kw_only=True):
    """One stand-in server.

    :param name: its id, also the name of its process.
    :param service: its service.
    :param domain: its failure domain.
    :param listen: address on which it accepts requests.
    :param runs: path of its run log.
    """

    name: str
    service: str
    domain: str
    listen: Endpoint
    runs: Path


class Deployment:
    """The running processes of one deployment.

    :param folder: folder for the run's files.
    :param sizes: number of processes of each kind.
    :param document: the operators' document.
    :param group: starts and stops the processes.
    """

    def __init__(self, *, folder: Path, sizes: Sizes, document: Document, group: Processes) -> None:
        self.document = document
        self.processes = group
        self.sizes = sizes
        self.timing = Timing()
        self.rule = ""
        self.repeats = False
        self._folder = folder
        ports = iter(free_endpoints(2 * sizes.controls + 2 * sizes.gateways + _server_count(sizes)))
        self.control_listen_addresses = {f"c{n}": next(ports) for n in range(1, sizes.controls + 1)}
        self.controls = dict(self.control_listen_addresses)
        self.gateways = tuple(
            GatewayAddresses(name=f"g{n}", listen=next(ports), announce=next(ports))
            for n in range(1, sizes.gateways + 1)
        )
        self.servers = {server.name: server for server in self._plan_servers(ports)}
        self.operator = Operator(controls=tuple(self.controls.values()))
        self.relays: tuple[Relay, ...] = ()
        self._replica_by_place = {name: name for name in self.controls}

    def use_relays(self, network: Network) -> tuple[Relay, ...]:
        """Put a relay in front of each control replica; call it before the processes start.

        :param network: tells the relays which directions are cut.
        """
        ports = free_endpoints(len(self.control_listen_addresses))
        self.controls = dict(zip(self.control_listen_addresses, ports, strict=True))
        self.operator = Operator(controls=ports)
        self.relays = tuple(
            Relay(
                name=name,
                listen=self.controls[name],
                target=self.control_listen_addresses[name],
                network=network,
                pids=self.pids,
            )
            for name in self.control_listen_addresses
        )
        return self.relays

    def pids(self) -> dict[str, int]:
        """Return the process ids of the running control replicas and gateways.

        The keys are the places of the control replicas and the names of the gateways.
        """
        names = (*self.controls, *(gateway.name for gateway in self.gateways))
        processes = {name: self._replica_by_place.get(name, name) for name in names}
        return {
            name: self.processes.pid(process)
            for name, process in processes.items()
            if process in self.processes.names
        }

    def process_name(self, place: str) -> str:
        """Return the name of the process at a place; a replacement has a new name."""
        return self._replica_by_place.get(place, place)

    def place_of(self, replica: ReplicaId) -> str:
        """Return the place of a control replica."""
        return next(place for place, name in self._replica_by_place.items() if name == replica)

    async def replace_control(self, place: str, *, timeout_s: float) -> None:
        """Replace a lost control replica, with its disk, by a new one at the same place.

        :param place: the place; its process must have exited.
        :param timeout_s: timeout of the replacement, in seconds.
        :raises UnavailableError: if the replacement takes longer.
        """
        old = self._replica_by_place[place]
        shutil.rmtree(self._folder / old)
        new = f"{place}-{len(list(self._folder.glob(f'{place}*.yaml'))) + 1}"
        self._replica_by_place[place] = new
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
        """Return a service of the document by its name.

        :raises SettingsError: if there is none of that name.
        """
        service = next((item for item in self.document.services if item.name == name), None)
        if service is None:
            raise SettingsError(
                message=f"the document has no service {name}", remedy="name one that it has"
            )
        return service

    def start_controls(self) -> None:
        """Start the control replicas."""
        replicas = tuple(
            PeerSettings(id=ReplicaId(name), endpoint=endpoint)
            for name, endpoint in self.controls.items()
        )
        for place in self.controls:
            self._start_control(place, replicas=replicas)

    def _start_control(self, place: str, *, replicas: tuple[PeerSettings, ...]) -> None:
        name = self._replica_by_place[place]
        settings = ControlSettings(
            id=ReplicaId(name),
            listen=self.control_listen_addresses[place],
            domain=self._domain(int(place[1:])),
            data=str(self._folder / name),
            replicas=replicas,
            advertise=self.controls[place],
            timing=self.timing,
        )
        self._start_daemon("lychee-control", name, settings)

    def start_gateways(self) -> None:
        """Start the gateways."""
        for number, gateway in enumerate(self.gateways, 1):
            settings = GatewaySettings(
                id=GatewayId(gateway.name),
                listen=gateway.listen,
                announce=gateway.announce,
                domain=self._domain(number),
                control=tuple(self.controls.values()),
                timing=self.timing,
            )
            self._start_gateway(gateway.name, settings)

    def _start_gateway(self, name: str, settings: GatewaySettings) -> None:
        if not self.rule:
            self._start_daemon("lychee-gateway", name, settings)
            return
        path = self._write_settings(name, settings)
        arguments = ("gateway", "--settings", str(path), "--rule", self.rule)
        self.processes.start(name, (executable("lychee-bench"), *arguments))

    def start_servers(self) -> None:
        """Start the stand-in servers."""
        for group in self.sizes.groups:
            for number, server in enumerate(self.servers_of(group)):
                argv = self._server_argv(group, server, group.speeds[number % len(group.speeds)])
                self.processes.start(server.name, argv)

    def servers_of(self, group: ServerGroup) -> tuple[Server, ...]:
        """Return the servers of a group, in order of their numbers."""
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
        flags.append("--repeats" if self.repeats else "--answers-once")
        for gateway in self.gateways:
            flags += ["--entry", str(gateway.announce)]
        arguments = [str(part) for option in options.items() for part in option]
        return (executable("lychee-bench"), "server", *arguments, *flags)

    def _domain(self, number: int) -> DomainName:
        return self.document.domains[(number - 1) % len(self.document.domains)]

    def restart_cold(self, name: str, *, cold_s: float) -> None:
        """Restart a server that was killed, with a cold start.

        :param name: the server's id.
        :param cold_s: duration of the cold start, in seconds.
        """
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
        numbered = [*self.controls, *(gateway.name for gateway in self.gateways)]
        daemons = [name for name in numbered if self._domain(int(name[1:])) == domain]
        servers = [item.name for item in self.servers.values() if item.domain == domain]
        return [self.process_name(name) for name in daemons] + servers

    def traffic(self, *, factor: float = 1.0) -> tuple[Traffic, ...]:
        """Return the request load on every service.

        :param factor: factor on the request rates that the sizes give.
        """
        loads = []
        for group in self.sizes.groups:
            service = self.service(group.service)
            loads.append(
                Traffic(
                    service=service.name,
                    path=service.path,
                    rate=group.rate * factor,
                    deadline_s=service.deadline_ms / 1_000,
                    keyed=service.kind is RequestKind.KEYED,
                    at_most_once=not service.idempotent,
                )
            )
        return tuple(loads)

    def balancer(self) -> Balancer:
        """Return a load balancer for the gateways."""
        return Balancer(gateways=self.gateways)

    def run_files(self) -> tuple[Path, ...]:
        """Return the existing run logs of the servers."""
        return tuple(item.runs for item in self.servers.values() if item.runs.exists())


def _server_count(sizes: Sizes) -> int:
    return sum(group.count for group in sizes.groups)
