"""Commands that show or change the processes of a deployment."""

import http.client

import click

from lychee_cli.output import Format, fail_with_error, print_json, print_table
from lychee_cli.session import ENDPOINT, Session, session_options
from lychee_types.exceptions import UnavailableError
from lychee_types.ids import ReplicaId
from lychee_types.operator_messages import (
    GatewayState,
    StatusReply,
)
from lychee_types.records import Endpoint

DUMP_PATH = "/_lychee/dump"
"""Path on a gateway's announce address that returns its state."""

DUMP_LIMIT_BYTES = 2_097_152
"""Maximum number of bytes read from a gateway's dump; the rest is dropped."""

DUMP_TIMEOUT_S = 5.0
"""Timeout of each socket operation while reading a gateway's dump, in seconds."""


@click.command()
@session_options
def status(session: Session) -> None:
    """Show VMs, leader, versions in force, owners, leaving servers and hot keys.

    \b
    Example:
      lychee status --control 10.0.0.1:7100
    """
    reply = session.run(lambda client: client.status())
    if session.format is Format.JSON:
        print_json(reply)
    else:
        _print_status(reply)


def _print_status(reply: StatusReply) -> None:
    click.echo(
        f"leader {reply.leader}, term {reply.term}, commit index {reply.commit}, "
        f"document version {reply.document_version}"
    )
    click.echo("control replicas")
    print_table(
        ("id", "address", "role", "on disk", "silent ms"),
        [(r.id, r.endpoint, r.role, r.match, r.silent_ms) for r in reply.replicas],
    )
    click.echo("gateways")
    print_table(
        ("id", "failure domain", "version", "applied", "lease left ms"),
        [
            (g.id, g.domain, _version_text(g, reply), g.applied, g.lease_left_ms)
            for g in reply.gateways
        ],
    )
    click.echo("backend servers")
    print_table(
        ("id", "service", "failure domain", "address", "state", "share", "speed", "lease left ms"),
        [
            (
                s.record.id,
                s.record.service,
                s.record.domain,
                s.record.endpoint,
                "leaving" if s.leaving else s.record.status.value,
                f"{s.share:.1%}",
                f"{s.record.speed:.2f}",
                s.lease_left_ms,
            )
            for s in reply.servers
        ],
    )
    click.echo("keyed services")
    print_table(
        ("name", "token", "shards moving", "hot keys placed"),
        [(s.name, s.token, s.moving, s.hot_keys) for s in reply.services],
    )


def _version_text(gateway: GatewayState, reply: StatusReply) -> str:
    if not gateway.has_reported:
        return "not heard yet"
    version = gateway.document_version
    lag = reply.document_version - version
    return f"{version} (lags by {lag})" if lag > 0 else str(version)


@click.command("replace-control")
@click.argument("old")
@click.argument("new")
@click.argument("endpoint", type=ENDPOINT, metavar="HOST:PORT")
@session_options
def replace_control(session: Session, *, old: str, new: str, endpoint: Endpoint) -> None:
    """Replace control replica OLD by NEW, which already runs at HOST:PORT.

    Write - for OLD in order to add a replica, and - for NEW in order to remove one. When it
    ends, NEW holds everything that has been acknowledged.

    \b
    Example:
      lychee replace-control control-2 control-4 10.0.0.4:7100
    """
    if old == new:
        raise click.UsageError("OLD and NEW are the same; give the new replica its own id")
    voters = session.run(
        lambda client: client.replace(
            old=ReplicaId("" if old == "-" else old),
            new=ReplicaId("" if new == "-" else new),
            endpoint=endpoint,
        )
    )
    if session.format is Format.JSON:
        print_json({"voters": voters})
    else:
        click.echo(f"voters: {', '.join(voters)}")


@click.command()
@click.option("--gateway", type=ENDPOINT, metavar="HOST:PORT", help="Announce address.")
@session_options
def dump(session: Session, *, gateway: Endpoint | None) -> None:
    """Print the state of a control replica, or of a gateway, as YAML.

    \b
    Examples:
      lychee dump --control 10.0.0.2:7100
      lychee dump --gateway 10.0.0.7:8081
    """
    if gateway is None:
        text = session.run(lambda client: client.dump())
    else:
        try:
            text = _fetch_gateway_dump(gateway)
        except UnavailableError as exc:
            fail_with_error(exc, session.format)
    if session.format is Format.JSON:
        print_json({"text": text})
    else:
        click.echo(text, nl=not text.endswith("\n"))


def _fetch_gateway_dump(gateway: Endpoint) -> str:
    conn = http.client.HTTPConnection(gateway.host, gateway.port, timeout=DUMP_TIMEOUT_S)
    remedy = "name a gateway's announce address, and check that the gateway runs"
    try:
        conn.request("GET", DUMP_PATH)
        res = conn.getresponse()
        text = res.read(DUMP_LIMIT_BYTES).decode("utf-8", errors="replace")
    except (OSError, http.client.HTTPException) as exc:
        message = f"the gateway at {gateway} did not answer: {exc}"
        raise UnavailableError(message=message, remedy=remedy) from exc
    finally:
        conn.close()
    if res.status != http.client.OK:
        message = f"the gateway at {gateway} answered {res.status}"
        raise UnavailableError(message=message, remedy=remedy)
    return text
