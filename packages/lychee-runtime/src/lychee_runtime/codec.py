"""The MessagePack codec that grpclib uses between lycheescale's processes."""

from functools import lru_cache
from typing import Any

from grpclib.encoding.base import CodecBase
from msgspec.msgpack import Decoder, Encoder

_ENCODER = Encoder()


@lru_cache(maxsize=64)
def _decoder(kind: Any) -> Decoder[Any]:
    return Decoder(kind)


class MsgpackCodec(CodecBase):
    """Encodes typed messages as MessagePack; grpclib passes the type of each method."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the message as bytes."""
        return _ENCODER.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the message of the method's type.

        :raises msgspec.ValidationError: if the bytes hold another type.
        """
        return _decoder(message_type).decode(data)
