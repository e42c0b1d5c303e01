"""Reading of the service, key and ids from the head of a caller's request."""

import re
from dataclasses import replace
from urllib.parse import unquote_to_bytes
from uuid import uuid4

from lychee_http import RequestHead, header_value
from lychee_http.exceptions import BadRequestError
from lychee_owner import hash_key
from lychee_types.document import Document, RequestKind, Service
from lychee_types.ids import KeyHash

_REQUEST_ID = re.compile(rb"[A-Za-z0-9._-]{1,64}\Z")
_IDEMPOTENCY_KEY = re.compile(rb"[\x21-\x7e]{1,128}\Z")
_BAD_ESCAPE = re.compile(rb"%(?![0-9A-Fa-f]{2})")
_ABSOLUTE = re.compile(rb"https?://[^/?#]*", re.IGNORECASE)


def origin_form(head: RequestHead) -> RequestHead:
    """Return the head with its target in origin form; path and query stay byte for byte."""
    if head.target.startswith(b"/"):
        return head
    target = _ABSOLUTE.sub(b"", head.target, count=1)
    return replace(head, target=target if target.startswith(b"/") else b"/" + target)


def request_path(target: bytes) -> bytes:
    """Return the path of a request target in origin form, without query, byte for byte.

    :raises BadRequestError: if it has an incomplete percent escape.
    """
    path = target.split(b"?", 1)[0].split(b"#", 1)[0]
    if b"%" in path and _BAD_ESCAPE.search(path):
        raise BadRequestError(
            status=400,
            message="the path has an incomplete percent escape",
            remedy="write % itself as %25",
        )
    return path


def find_service(document: Document, path: bytes) -> Service | None:
    """Return the service whose path is the longest prefix of the request's path, or None."""
    found: Service | None = None
    for service in document.services:
        if path.startswith(service.path.encode()) and (
            found is None or len(service.path) > len(found.path)
        ):
            found = service
    return found


def request_key(service: Service, path: bytes) -> KeyHash | None:
    """Return the hash of the key in a path, None for a free service.

    :raises BadRequestError: if the path has no key.
    """
    if service.kind is RequestKind.FREE:
        return None
    segment = path[len(service.path.encode()) :].split(b"/", 1)[0]
    key = unquote_to_bytes(segment)
    if key in (b"", b".", b".."):
        raise BadRequestError(
            status=400,
            message="the path has no key",
            remedy=f"ask for {service.path}KEY",
        )
    return hash_key(key)


def request_id(head: RequestHead) -> str:
    """Return the caller's id of a request, or a new one.

    :raises BadRequestError: if the caller's id is malformed.
    """
    value = header_value(head.headers, b"lychee-request-id")
    if value is None:
        return uuid4().hex
    if not _REQUEST_ID.match(value):
        raise BadRequestError(
            status=400,
            message="Lychee-Request-Id is malformed",
            remedy="send 1 to 64 letters, digits, '-', '_' or '.', or leave it out",
        )
    return value.decode()


def idempotency_key(service: Service, head: RequestHead) -> str | None:
    """Return the Idempotency-Key of a non-idempotent request, or None if it has none.

    :raises BadRequestError: if it is malformed.
    """
    if service.idempotent:
        return None
    values = [value for name, value in head.headers if name == b"idempotency-key"]
    if not values:
        return None
    if len(values) > 1 or not _IDEMPOTENCY_KEY.match(values[0]):
        raise BadRequestError(
            status=400,
            message="Idempotency-Key is malformed",
            remedy="send one key of 1 to 128 visible ASCII characters",
        )
    return values[0].decode()
