"""Command that asks a gateway where a request would go now, and why."""

import json
from http.client import HTTPConnection, HTTPException
from io import TextIOWrapper
from urllib.parse import urlencode

import click
import msgspec

from lychee_cli.output import Format, fail_with_error, print_json, print_table
from lychee_cli.session import ENDPOINT, format_option
from lychee_types.exceptions import LycheeError, SettingsError, UnavailableError
from lychee_types.explanation import (
    EXPLAIN_PATH,
    Decision,
    ExplainedRoute,
    ExplainedService,
    ExplainFault,
    Explanation,
)
from lychee_types.records import Endpoint

ANSWER_TIMEOUT_S = 5.0
"""Maximum wait for a gateway's answer, in seconds."""


@click.command()
@click.option(
    "--gateway",
    type=ENDPOINT,
    required=True,
    envvar="LYCHEE_GATEWAY",
    show_envvar=True,
    metavar="HOST:PORT",
    help="The metrics address of a gateway.",
)
@click.option("--host", default="", help="Host name of the request.")
@click.option("--path", default="", help="Path of the request.")
@click.option("--route", default="", help="Name of a route, in place of a host and a path.")
@click.option("--key", type=int, help="Shard key of the request.")
@click.option("--timeout-ms", type=click.IntRange(min=1), help="How long the caller waits.")
@click.option("--domain", default="", help="Failure domain to decide for, if not the gateway's.")
@click.option("--request", "request_id", default="", help="Id of a request in --log.")
@click.option("--log", type=click.File(encoding="utf-8"), help="Log of a gateway, for --request.")
@format_option
def explain(
    *,
    gateway: Endpoint,
    host: str,
    path: str,
    route: str,
    key: int | None,
    timeout_ms: int | None,
    domain: str,
    request_id: str,
    log: TextIOWrapper | None,
    form: Format,
) -> None:
    """Show where a request would go now, and why, without sending it.

    The gateway decides by what it knows at this moment; it asks no server and counts nothing.

    \b
    Examples:
      lychee explain --gateway 10.0.0.4:9464 --host shop.example --path /orders/ --key 4711
      lychee explain --gateway 10.0.0.4:9464 --request 9c41d07be2a35f68 --log gateway.log
    """
    try:
        if bool(request_id) is not (log is not None):
            raise SettingsError(
                message="--request and --log go together", remedy="give both, or neither"
            )
        if log is not None:
            logged_route, logged_key = _find_request(log, request_id)
            route = route or logged_route
            key = logged_key if key is None else key
        query = {"host": host, "path": path, "route": route, "domain": domain}
        numbers = {"key": key, "timeout_ms": timeout_ms}
        query |= {name: str(number) for name, number in numbers.items() if number is not None}
        found = _ask(gateway, {name: value for name, value in query.items() if value})
    except LycheeError as exc:
        fail_with_error(exc, form)
    if form is Format.JSON:
        print_json(found)
    else:
        _print_explanation(found)


def _find_request(log: TextIOWrapper, request_id: str) -> tuple[str, int | None]:
    """Return the route and the key of a request that a gateway has logged.

    :raises SettingsError: if there is none with this id.
    """
    for line in log:
        try:
            entry = json.loads(line)
        except ValueError:
            continue
        if not isinstance(entry, dict) or entry.get("request") != request_id:
            continue
        if isinstance(entry.get("route"), str):
            return entry["route"], entry.get("key")
    raise SettingsError(
        message=f"no answered request has the id {request_id[:64]} in this log",
        remedy="give the log of the gateway that answered it; most successes are not logged",
    )


def _ask(gateway: Endpoint, query: dict[str, str]) -> Explanation:
    conn = HTTPConnection(gateway.host, gateway.port, timeout=ANSWER_TIMEOUT_S)
    try:
        conn.request("GET", f"{EXPLAIN_PATH}?{urlencode(query)}")
        response = conn.getresponse()
        status, text = response.status, response.read()
    except (OSError, HTTPException) as exc:
        raise UnavailableError(
            message=f"{gateway} did not answer: {exc or type(exc).__name__}",
            remedy="check that it is a gateway's metrics address",
        ) from exc
    finally:
        conn.close()
    try:
        if status == 200:
            return msgspec.json.decode(text, type=Explanation)
        fault = msgspec.json.decode(text, type=ExplainFault)
    except msgspec.DecodeError as exc:
        raise UnavailableError(
            message=f"{gateway} answered {status} with something else",
            remedy="check that it is a gateway's metrics address, and that it has this version",
        ) from exc
    raise SettingsError(message=fault.error, remedy=fault.remedy)


def _print_explanation(found: Explanation) -> None:
    age = "unknown" if found.state_age_ms is None else f"{found.state_age_ms} ms"
    click.echo(
        f"gateway {found.gateway}, failure domain {found.domain}, "
        f"configuration {found.version}, state's age {age}"
    )
    if found.evacuated:
        click.echo("evacuated: " + ", ".join(found.evacuated))
    if found.route is not None:
        _print_route(found.route)
    if found.refusal is not None:
        _print_decision(found.refusal)
    for service in found.services:
        _print_service(service)


def _print_route(route: ExplainedRoute) -> None:
    click.echo(
        f"route {route.name}: {route.kind}, priority {route.priority}, "
        f"timeout {route.timeout_ms} ms, target {route.target_ms} ms, "
        f"at most {route.max_attempts} attempts"
    )
    click.echo(f"second copies: {route.copies}")


def _print_service(service: ExplainedService) -> None:
    click.echo(f"service {service.service}, {service.share:.0%} of the requests")
    click.echo(f"retries left: {service.retries_left}")
    if service.key is not None:
        key = service.key
        click.echo(
            f"keys {key.low} to {key.high}: {key.phase}, owner {key.owner or 'none'}, "
            f"token {key.token}, {key.admitted_share:.0%} of the requests admitted"
        )
    if service.is_probed:
        click.echo("some servers are asked for their load first; the best of them gets the request")
    _print_decision(service.decision)
    rows = [
        (s.server, s.domain, s.occupied, s.slots, s.load_age_ms, s.wait_ms, s.work_ms, s.cost_ms)
        + (s.note,)
        for s in service.servers
    ]
    headings = ("server", "domain", "occupied", "slots", "load age", "wait", "work", "cost", "why")
    print_table(headings, rows)


def _print_decision(decision: Decision) -> None:
    text = f"decision: {decision.action}"
    if decision.server:
        text += f" to {decision.server}"
    if decision.status:
        text += f" with {decision.status}"
    text += f", {decision.reason}"
    if decision.retry_after_ms is not None:
        text += f"; retry after {decision.retry_after_ms} ms"
    click.echo(text)
