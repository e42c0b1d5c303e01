"""TLS contexts for mutual TLS between lycheescale's processes."""

import ssl

from lychee_types.exceptions import SettingsError
from lychee_types.settings import TlsSettings


def _load(context: ssl.SSLContext, cfg: TlsSettings) -> ssl.SSLContext:
    try:
        context.load_cert_chain(cfg.certificate, cfg.key)
        context.load_verify_locations(cfg.authorities)
    except (OSError, ssl.SSLError) as exc:
        raise SettingsError(
            message=f"the key files cannot be used: {exc}",
            remedy="name readable PEM files of a matching certificate, key and authorities",
        ) from exc
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(["h2"])
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def server_context(cfg: TlsSettings | None) -> ssl.SSLContext | None:
    """Return the TLS context for a listener, None for plain TCP.

    :param cfg: the key files, None for plain TCP.
    :raises SettingsError: if they cannot be used.
    """
    return _load(ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER), cfg) if cfg else None


def client_context(cfg: TlsSettings | None) -> ssl.SSLContext | None:
    """Return the TLS context for outgoing connections, None for plain TCP.

    :param cfg: the key files, None for plain TCP.
    :raises SettingsError: if they cannot be used.
    """
    return _load(ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT), cfg) if cfg else None
