"""Values as bytes for the wire."""

import pytest

from lychee_types.packing import COMPRESS_ABOVE_BYTES, UnpackError, pack, unpack
from lychee_types.records import Endpoint
from lychee_types.registry import RegisteredServer, RoutedImage, ServerIncarnation


def image(servers):
    return RoutedImage(
        servers=tuple(
            RegisteredServer(
                run=ServerIncarnation(server=f"s{number}", incarnation=number),
                endpoint=Endpoint(host="127.0.0.1", port=number),
                domain="nord",
                service="claim",
                release="v1",
                slots=3,
            )
            for number in range(servers)
        )
    )


@pytest.mark.parametrize("servers", [0, 1, 500])
def test_a_packed_value_is_unpacked_unchanged(servers):
    assert unpack(pack(image(servers)), RoutedImage) == image(servers)


def test_records_of_one_kind_are_packed_small():
    small, large = pack(image(1)), pack(image(500))
    assert len(small) < COMPRESS_ABOVE_BYTES
    assert len(large) < 500 * len(small) / 5


@pytest.mark.parametrize(
    "data", [pack(image(500)), pack(image(500))[:-9], b"", b"\x78", b"\xc1", pack(1)]
)
def test_bytes_that_are_no_value_of_the_type_are_an_error(data):
    with pytest.raises(UnpackError, match="no packed value"):
        unpack(data, tuple[RegisteredServer, ...])
