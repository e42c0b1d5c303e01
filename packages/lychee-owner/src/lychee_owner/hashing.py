"""Hashes of keys, and the pseudorandom draws that decide which member owns a shard.

Only additions, multiplications and divisions of IEEE 754 doubles are used, so that every VM
computes the same owners independently of its processor and math library.
"""

from functools import lru_cache

import numpy as np
import numpy.typing as npt
from xxhash import xxh3_64_intdigest

from lychee_types.ids import KeyHash, ServerId, Shard

Floats = npt.NDArray[np.float64]
Shards = npt.NDArray[np.uint64]

_STEP = np.uint64(0x9E3779B97F4A7C15)
_MIX_1 = np.uint64(0xBF58476D1CE4E5B9)
_MIX_2 = np.uint64(0x94D049BB133111EB)
_FRACTION_BITS = 52
_LN_2 = 0.6931471805599453
_SQRT_HALF = 0.7071067811865476
_SERIES = tuple(2.0 / n for n in range(21, 0, -2))
"""Coefficients of the series of log((1 + z) / (1 - z)) in z**2, highest power first."""

CACHED_SHARDS = 8_192
"""Maximum number of shards for which the draws of a server are cached."""


def hash_key(key: bytes) -> KeyHash:
    """Return the 64-bit hash of the raw bytes of a key."""
    return KeyHash(xxh3_64_intdigest(key))


def shard_of(key: KeyHash, shards: int) -> Shard:
    """Return the shard of a key.

    :param key: the key's hash.
    :param shards: the service's number of shards, a power of two.
    """
    return Shard(key & (shards - 1))


def all_shards(shards: int) -> Shards:
    """Return the indices of all shards."""
    return np.arange(shards, dtype=np.uint64)


def draws(server: ServerId, shards: Shards) -> Floats:
    """Return an exponentially distributed pseudorandom number for each shard.

    The numbers depend only on the server's id and the shard.

    :param server: the server's id.
    :param shards: indices of shards.
    """
    mixed = shards * _STEP + _seed(server)
    mixed = (mixed ^ (mixed >> np.uint64(30))) * _MIX_1
    mixed = (mixed ^ (mixed >> np.uint64(27))) * _MIX_2
    mixed ^= mixed >> np.uint64(31)
    fraction = (mixed >> np.uint64(64 - _FRACTION_BITS)).astype(np.float64)
    return negative_log((fraction + 0.5) * 2.0**-_FRACTION_BITS)


@lru_cache(maxsize=256)
def all_draws(server: ServerId, shards: int) -> Floats:
    """Return a server's cached draws for all shards of a service with few shards."""
    return draws(server, all_shards(shards))


def negative_log(values: Floats) -> Floats:
    """Return the negative natural logarithm of values between 0 and 1."""
    fraction, exponent = np.frexp(values)
    low = fraction < _SQRT_HALF
    fraction = np.where(low, fraction * 2.0, fraction)
    power = exponent.astype(np.float64) - low
    ratio = (fraction - 1.0) / (fraction + 1.0)
    square = ratio * ratio
    total = np.zeros_like(ratio)
    for coefficient in _SERIES:
        total = total * square + coefficient
    return -(power * _LN_2 + ratio * total)


def _seed(server: ServerId) -> np.uint64:
    return np.uint64(xxh3_64_intdigest(server.encode()))
