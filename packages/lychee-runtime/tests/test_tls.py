"""Mutual TLS between processes, with keys made here."""

import asyncio
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from ipaddress import ip_address
from pathlib import Path

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

from lychee_runtime import (
    LinkService,
    OperatorClient,
    client_context,
    open_link,
    serve_links,
    server_context,
)
from lychee_types.exceptions import SettingsError, UnavailableError
from lychee_types.messages import EndSession, ToGateway
from lychee_types.settings import TlsSettings

ECHO = "/t.T/Echo"
DAY = timedelta(days=1)


@dataclass(frozen=True, kw_only=True)
class Authority:
    """A certificate authority that writes key files for processes."""

    folder: Path
    key: ec.EllipticCurvePrivateKey
    certificate: x509.Certificate

    def issue(self, name: str, *, host: str = "127.0.0.1", ends: timedelta = DAY) -> TlsSettings:
        key = ec.generate_private_key(ec.SECP256R1())
        alternative = x509.SubjectAlternativeName([x509.IPAddress(ip_address(host))])
        builder = _builder(name, self.certificate.subject, key, ends=ends)
        certificate = builder.add_extension(alternative, False).sign(self.key, hashes.SHA256())
        paths = {part: self.folder / f"{name}.{part}.pem" for part in ("certificate", "key")}
        paths["certificate"].write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
        paths["key"].write_bytes(_key_bytes(key))
        return TlsSettings(
            certificate=str(paths["certificate"]),
            key=str(paths["key"]),
            authorities=str(self.folder / "authority.pem"),
        )


def _builder(name, issuer, key, *, ends: timedelta):
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


def make_authority(folder: Path) -> Authority:
    folder.mkdir()
    key = ec.generate_private_key(ec.SECP256R1())
    builder = _builder("authority", _name("authority"), key, ends=DAY)
    basic = x509.BasicConstraints(ca=True, path_length=0)
    certificate = builder.add_extension(basic, True).sign(key, hashes.SHA256())
    pem = certificate.public_bytes(serialization.Encoding.PEM)
    (folder / "authority.pem").write_bytes(pem)
    return Authority(folder=folder, key=key, certificate=certificate)


@pytest.fixture
def authority(tmp_path: Path) -> Authority:
    return make_authority(tmp_path / "ours")


def exchange(endpoint, *, server: TlsSettings | None, client: TlsSettings | None) -> object:
    """Send one message there and back; raises what the client's end raises."""

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


def test_processes_of_one_authority_talk(authority, make_endpoint) -> None:
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
    fault: str, authority, make_endpoint, tmp_path: Path
) -> None:
    server, client = authority.issue("server"), authority.issue("client")
    match fault:
        case "expired client":
            client = authority.issue("old", ends=-DAY)
        case "expired server":
            server = authority.issue("old", ends=-DAY)
        case "client of another authority":
            client = make_authority(tmp_path / "theirs").issue("client")
        case "server of another authority":
            server = make_authority(tmp_path / "theirs").issue("server")
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


def test_an_operator_asks_control_over_tls(authority, make_control) -> None:
    server = server_context(authority.issue("control"))
    client = client_context(authority.issue("operator"))
    with make_control(ssl=server).running() as control:
        reply = asyncio.run(OperatorClient(control=(control.endpoint,), ssl=client).status())
        assert reply.leader == "c1"
        with pytest.raises(UnavailableError):
            asyncio.run(OperatorClient(control=(control.endpoint,)).status())
