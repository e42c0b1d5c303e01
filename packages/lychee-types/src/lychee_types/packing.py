"""Values as bytes for the wire: MessagePack, compressed if that pays."""

import zlib
from collections.abc import Hashable
from functools import lru_cache
from typing import Any, TypeVar, cast

from msgspec import DecodeError
from msgspec.msgpack import Decoder, Encoder

from lychee_types.exceptions import LycheeError

T = TypeVar("T")

COMPRESS_ABOVE_BYTES = 1_024
"""Size from which a value is compressed; below, compressing saves little."""

FASTEST = 1
"""Level of compression; records of one kind repeat so much that higher levels gain little."""

ZLIB_FIRST_BYTE = b"\x78"
"""First byte of compressed data.

MessagePack has it for the number 120 only, and a packed value is a record or an array.
"""

_ENCODER = Encoder()


@lru_cache(maxsize=16)
def _decoder(kind: Any) -> Decoder[Any]:
    return Decoder(kind)


class UnpackError(LycheeError):
    """Bytes that are not a packed value of the expected type."""


def pack(value: Any) -> bytes:
    """Return a record or an array of records as bytes."""
    data = _ENCODER.encode(value)
    return zlib.compress(data, FASTEST) if len(data) > COMPRESS_ABOVE_BYTES else data


def unpack(data: bytes, kind: type[T]) -> T:
    """Return the packed value.

    :param data: the result of :func:`pack`.
    :param kind: the value's type.
    :raises UnpackError: if the bytes are not a packed value of the type.
    """
    try:
        raw = zlib.decompress(data) if data[:1] == ZLIB_FIRST_BYTE else data
        return cast(T, _decoder(cast(Hashable, kind)).decode(raw))
    except (zlib.error, DecodeError) as exc:
        raise UnpackError(
            message=f"bytes from another process are no packed value: {exc}",
            remedy="run the same version of lycheescale everywhere",
        ) from exc
