"""Options that commands share, and requests to the control replicas."""

import asyncio
import functools
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, TypeVar

import click

from lychee_cli.output import Format, fail_with_error
from lychee_runtime import OperatorClient, client_context
from lychee_types.exceptions import LycheeError
from lychee_types.findings import NAME_LIMIT
from lychee_types.records import Endpoint
from lychee_types.settings import TlsSettings

T = TypeVar("T")

DEFAULT_CONTROL = "127.0.0.1:7100"
"""Default address: a control replica on the operator's own machine."""

MAX_PORT = 65_535


class EndpointType(click.ParamType[Endpoint]):
    """An address written as ``HOST:PORT``."""

    name = "host:port"

    def convert(
        self, value: Any, param: click.Parameter | None, ctx: click.Context | None
    ) -> Endpoint:
        """Parse ``HOST:PORT``; square brackets around an IPv6 address are removed."""
        if isinstance(value, Endpoint):
            return value
        host, _, port = str(value).rpartition(":")
        if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
            self.fail(f"{value!r} is no address; write HOST:PORT, for example 10.0.0.1:7100")
        return Endpoint(host=host.strip("[]"), port=int(port))


ENDPOINT = EndpointType()


class AuthorType(click.ParamType[str]):
    """The name of an operator."""

    name = "name"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> str:
        """Check the length and the characters of a name."""
        text = str(value)
        if not 1 <= len(text) <= NAME_LIMIT or not text.isprintable():
            self.fail(f"{text[:NAME_LIMIT]!r}: write 1 to {NAME_LIMIT} printable characters")
        return text


AUTHOR = AuthorType()


@dataclass(frozen=True, kw_only=True, slots=True)
class Session:
    """Connection and output options of a command.

    :param control: addresses of control replicas.
    :param tls: key files, None for plain TCP.
    :param format: how to print results and errors.
    """

    control: tuple[Endpoint, ...]
    tls: TlsSettings | None
    format: Format

    def run(self, operation: Callable[[OperatorClient], Coroutine[Any, Any, T]]) -> T:
        """Run an operation and return its result; on an error, print it and exit.

        :param operation: coroutine function that takes a client of the control replicas.
        """
        try:
            client = OperatorClient(control=self.control, ssl=client_context(self.tls))
            return asyncio.run(operation(client))
        except LycheeError as exc:
            fail_with_error(exc, self.format)


def author_option(command: Callable[..., None]) -> Callable[..., None]:
    """Add the ``--author`` option."""
    return click.option(
        "--author",
        type=AUTHOR,
        envvar="LYCHEE_AUTHOR",
        show_envvar=True,
        required=True,
        help="Who submits.",
    )(command)


def format_option(command: Callable[..., None]) -> Callable[..., None]:
    """Add the ``--format`` option."""
    return click.option(
        "--format",
        "form",
        type=click.Choice(Format, case_sensitive=False),
        default=Format.TEXT,
        show_default=True,
        help="How to print results and errors.",
    )(command)


def session_options(command: Callable[..., None]) -> Callable[..., None]:
    """Add the connection and output options; the command's first argument is a :class:`Session`."""

    @click.option(
        "--control",
        "control",
        type=ENDPOINT,
        multiple=True,
        envvar="LYCHEE_CONTROL",
        default=(DEFAULT_CONTROL,),
        show_default=True,
        show_envvar=True,
        metavar="HOST:PORT",
        help="A control replica; may be given several times.",
    )
    @click.option("--tls-certificate", envvar="LYCHEE_TLS_CERTIFICATE", help="Own PEM chain.")
    @click.option("--tls-key", envvar="LYCHEE_TLS_KEY", help="Own PEM private key.")
    @click.option("--tls-authorities", envvar="LYCHEE_TLS_AUTHORITIES", help="PEM authorities.")
    @format_option
    @functools.wraps(command)
    def wrapped(
        *,
        control: tuple[Endpoint, ...],
        tls_certificate: str | None,
        tls_key: str | None,
        tls_authorities: str | None,
        form: Format,
        **arguments: Any,
    ) -> None:
        tls = _tls_settings(tls_certificate, tls_key, tls_authorities)
        command(Session(control=control, tls=tls, format=form), **arguments)

    return wrapped


def _tls_settings(
    certificate: str | None, key: str | None, authorities: str | None
) -> TlsSettings | None:
    if not (certificate or key or authorities):
        return None
    if not (certificate and key and authorities):
        raise click.UsageError(
            "TLS needs --tls-certificate, --tls-key and --tls-authorities together"
        )
    return TlsSettings(certificate=certificate, key=key, authorities=authorities)
