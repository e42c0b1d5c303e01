"""The command that runs one stand-in server."""

from pathlib import Path

import click
import uvloop

from lychee_bench.server import run_server
from lychee_bench.server_settings import Behaviour, ServerSettings
from lychee_types.records import Endpoint


class EndpointParam(click.ParamType[Endpoint]):
    """Parameter type of an address, written as ``host:port``."""

    name = "host:port"

    def convert(
        self, value: object, param: click.Parameter | None, ctx: click.Context | None
    ) -> Endpoint:
        """Parse an address, or fail with a message that shows the format."""
        host, _, port = str(value).rpartition(":")
        if not host or not port.isdigit():
            self.fail(f"{value!r} is no address; write for example 127.0.0.1:8080", param, ctx)
        return Endpoint(host=host, port=int(port))


@click.command()
@click.option("--id", "server_id", required=True, help="Id of the server.")
@click.option("--service", required=True, help="Service that it serves.")
@click.option("--domain", required=True, help="Its failure domain.")
@click.option("--listen", type=EndpointParam(), required=True, help="Where it takes requests.")
@click.option(
    "--entry", type=EndpointParam(), multiple=True, help="Announce address of an entry VM."
)
@click.option("--runs", type=click.Path(path_type=Path), required=True, help="File for its runs.")
@click.option("--slots", default=3, show_default=True, help="Requests run at once.")
@click.option("--connections", default=120, show_default=True, help="Connections served.")
@click.option("--queue", default=64, show_default=True, help="Requests that wait.")
@click.option("--speed", default=1.0, show_default=True, help="Speed of running a request.")
@click.option("--announced-speed", type=float, help="Speed that it announces.  [default: --speed]")
@click.option("--checks-tokens/--no-checks-tokens", help="Whether it refuses old tokens.")
@click.option("--streamed/--whole", help="Whether answers are sent in chunks.")
@click.option("--answer-bytes", default=512, show_default=True, help="Length of an answer.")
@click.option("--service-ms", default=5.0, show_default=True, help="Time to run a request.")
@click.option("--cold-s", default=0.0, show_default=True, help="Length of a cold start.")
@click.option("--drain-s", default=10.0, show_default=True, help="Longest drain.")
@click.option("--repeats/--answers-once", help="Whether a relay repeats its answers.")
@click.option("--health-ok/--health-failed", default=True, help="What the health page says.")
def command(
    *,
    server_id: str,
    service: str,
    domain: str,
    listen: Endpoint,
    entry: tuple[Endpoint, ...],
    runs: Path,
    slots: int,
    connections: int,
    queue: int,
    speed: float,
    announced_speed: float | None,
    checks_tokens: bool,
    streamed: bool,
    answer_bytes: int,
    service_ms: float,
    cold_s: float,
    drain_s: float,
    repeats: bool,
    health_ok: bool,
) -> None:
    """Run one stand-in backend server until SIGTERM."""
    cfg = ServerSettings(
        id=server_id,
        service=service,
        domain=domain,
        listen=listen,
        entries=entry,
        runs=str(runs),
        slots=slots,
        connections=connections,
        queue=queue,
        speed=speed,
        announced_speed=speed if announced_speed is None else announced_speed,
        checks_tokens=checks_tokens,
        streamed=streamed,
        answer_bytes=answer_bytes,
        cold_s=cold_s,
        drain_s=drain_s,
        repeats=repeats,
        behaviour=Behaviour(service_ms=service_ms, health_ok=health_ok),
    )
    uvloop.run(run_server(cfg))
