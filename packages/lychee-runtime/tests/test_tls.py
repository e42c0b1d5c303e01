"""Mutual TLS between processes, with certificates issued by the tests."""

import asyncio
from datetime import timedelta
from pathlib import Path

import pytest

from lychee_runtime import (
    LinkService,
    OperatorClient,
    client_context,
    open_link,
    serve_links,
    server_context,
)
from lychee_types.exceptions import SettingsError, UnavailableError
from lychee_types.messages import (
    EndSession,
    ToGateway,
)
from lychee_types.settings import TlsSettings

ECHO = "/t.T/Echo"
LAST_WEEK = -timedelta(days=7)


def exchange(endpoint, *, server: TlsSettings | None, client: TlsSettings | None) -> object:
    """Send one message to an echo server and return the reply; raise the client's errors."""

    async def echo(link):
        while batch := await link.receive():
            for message in batch:
                link.post(message)

    async def scenario():
        service = LinkService(name="t")
        service.add(method=ECHO, send=ToGateway, receive=ToGateway, handler=echo)
        async with (
            serve_links(service=service, endpoint=endpoint, ssl=server_context(server)),
            open_link(
                endpoint=endpoint,
                method=ECHO,
                send=ToGateway,
                receive=ToGateway,
                ssl=client_context(client),
            ) as link,
        ):
            link.post(EndSession(session="s"))
            return await link.receive()

    return asyncio.run(asyncio.wait_for(scenario(), 20))


def test_processes_of_one_authority_can_communicate(authority, make_endpoint) -> None:
    server, client = authority.issue("server"), authority.issue("client")
    assert exchange(make_endpoint(), server=server, client=client) == (EndSession(session="s"),)


FAULTS = [
    "expired client",
    "expired server",
    "client of another authority",
    "server of another authority",
    "server of another address",
    "client without TLS",
    "server without TLS",
]


@pytest.mark.parametrize("fault", FAULTS)
def test_a_wrong_or_expired_key_is_refused_with_a_remedy(
    fault: str, authority, make_authority, make_endpoint
) -> None:
    server, client = authority.issue("server"), authority.issue("client")
    match fault:
        case "expired client":
            client = authority.issue("old", ends=LAST_WEEK)
        case "expired server":
            server = authority.issue("old", ends=LAST_WEEK)
        case "client of another authority":
            client = make_authority("theirs").issue("client")
        case "server of another authority":
            server = make_authority("theirs").issue("server")
        case "server of another address":
            server = authority.issue("elsewhere", host="127.0.0.9")
        case "client without TLS":
            client = None
        case "server without TLS":
            server = None
    with pytest.raises(UnavailableError) as caught:
        exchange(make_endpoint(), server=server, client=client)
    assert "key files" in caught.value.remedy


def test_key_files_that_do_not_match_are_refused(authority, tmp_path: Path) -> None:
    one, two = authority.issue("one"), authority.issue("two")
    mixed = TlsSettings(certificate=one.certificate, key=two.key, authorities=one.authorities)
    absent = TlsSettings(certificate="absent", key=one.key, authorities=one.authorities)
    empty = tmp_path / "empty.pem"
    empty.touch()
    blank = TlsSettings(certificate=one.certificate, key=one.key, authorities=str(empty))
    for cfg in (mixed, absent, blank):
        for make in (server_context, client_context):
            with pytest.raises(SettingsError) as caught:
                make(cfg)
            assert "matching certificate, key and authorities" in caught.value.remedy


def test_an_operator_connects_to_control_over_tls(authority, make_control) -> None:
    server = server_context(authority.issue("control"))
    client = client_context(authority.issue("operator"))
    with make_control(ssl=server).running() as control:
        reply = asyncio.run(OperatorClient(control=(control.endpoint,), ssl=client).status())
        assert reply.leader == "c1"
        with pytest.raises(UnavailableError):
            asyncio.run(OperatorClient(control=(control.endpoint,)).status())
