"""Values as bytes for the wire: MessagePack, compressed if that pays."""

import zlib
from collections.abc import Hashable
from functools import lru_cache
from typing import Any, TypeVar, cast

from msgspec.msgpack import Decoder, Encoder

T = TypeVar("T")

COMPRESS_ABOVE_BYTES = 1_024
"""Size from which a value is compressed; below, compressing saves little."""

FASTEST = 1
"""Level of compression; records of one kind repeat so much that higher levels gain little."""

ZLIB_FIRST_BYTE = 0x78
"""First byte of compressed data.

MessagePack has it for the number 120 only, and a packed value is a record or an array.
"""

_ENCODER = Encoder()


@lru_cache(maxsize=16)
def _decoder(kind: Any) -> Decoder[Any]:
    return Decoder(kind)


def pack(value: Any) -> bytes:
    """Return a record or an array of records as bytes."""
    data = _ENCODER.encode(value)
    return zlib.compress(data, FASTEST) if len(data) > COMPRESS_ABOVE_BYTES else data


def unpack(data: bytes, kind: type[T]) -> T:
    """Return the packed value.

    :param data: the result of :func:`pack`.
    :param kind: the value's type.
    :raises msgspec.ValidationError: if it is a value of another type.
    """
    raw = zlib.decompress(data) if data[0] == ZLIB_FIRST_BYTE else data
    return cast(T, _decoder(cast(Hashable, kind)).decode(raw))
