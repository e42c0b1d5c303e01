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
    """Encodes typed messages as MessagePack; grpclib passes the message type of each method.

    Counts the bytes of the messages that it encodes.
    """

    __content_subtype__ = "msgpack"

    def __init__(self) -> None:
        self.sent_bytes = 0

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode a message."""
        data = _ENCODER.encode(message)
        self.sent_bytes += len(data)
        return data

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode a message of the method's message type.

        :raises msgspec.ValidationError: if the bytes are a value of another type.
        :raises msgspec.DecodeError: if the bytes aren't MessagePack.
        """
        return _decoder(message_type).decode(data)
