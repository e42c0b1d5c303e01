"""Comparison of methods to revoke the keys of a lost server: per key or all at once."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from time import perf_counter
from typing import TypeVar

from msgspec import Struct
from msgspec.msgpack import Encoder

from lychee_owner.experiment.placement import DeploymentSize, members_of
from lychee_owner.hashing import hash_key
from lychee_owner.placement import OwnerTable
from lychee_owner.planner import apply_change, difference
from lychee_types.commands import BeginTransition, encode_command
from lychee_types.ids import KeyHash, LogIndex, ServiceName, Token
from lychee_types.records import Placement, PlacementChange

REVOCATION_SIZE = DeploymentSize(name="kemer", servers=17, shards=4_096, bounded_load=1.05)

ENCODER = Encoder()

T = TypeVar("T")


class RevokedKeys(Struct, frozen=True, kw_only=True, tag=True):
    """Message that revokes the owners of single keys.

    :param begun: log index of the revocation.
    :param keys: hashes of the keys.
    """

    begun: LogIndex
    keys: tuple[KeyHash, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class RevocationRow:
    """Result of one method to revoke the keys of a lost server at one gateway.

    :param method: name of the revocation method.
    :param cached: number of keys whose owners the gateway has cached.
    :param revoked: number of these owners that are revoked.
    :param messages: number of messages to the gateway.
    :param sent_bytes: number of bytes sent to the gateway.
    :param leader_ms: time to create the messages, in milliseconds.
    :param gateway_ms: time to apply them, in milliseconds.
    """

    method: str
    cached: int
    revoked: int
    messages: int
    sent_bytes: int
    leader_ms: float
    gateway_ms: float


def compare_revocations(
    cached: Sequence[int] = (1_000, 10_000, 100_000), *, size: DeploymentSize = REVOCATION_SIZE
) -> tuple[RevocationRow, ...]:
    """Return a row for each method and number of cached owners.

    The methods are one message per key, one message with all keys, and one target placement for all
    keys that carries its log index. With the last one, a gateway looks up a cached owner of an
    older index again.
    """
    methods = (_one_by_one, _all_keys, _by_version)
    return tuple(measure(count, size) for count in cached for measure in methods)


def _tables(size: DeploymentSize) -> tuple[OwnerTable, OwnerTable]:
    members = members_of(size)
    placements = [
        Placement(members=chosen, shards=size.shards, bounded_load=size.bounded_load)
        for chosen in (members, members[1:])
    ]
    before = OwnerTable(placement=placements[0], shards=size.shards)
    return before, OwnerTable(placement=placements[1], shards=size.shards, base=before)


def _keys(count: int) -> list[KeyHash]:
    return [hash_key(f"key-{position}".encode()) for position in range(count)]


def _moved_keys(before: OwnerTable, after: OwnerTable, keys: Sequence[KeyHash]) -> list[KeyHash]:
    return [key for key in keys if before.owner(key) != after.owner(key)]


def _measure_ms(work: Callable[[], T]) -> tuple[T, float]:
    started = perf_counter()
    result = work()
    return result, (perf_counter() - started) * 1_000


def _one_by_one(count: int, size: DeploymentSize) -> RevocationRow:
    return _per_key("one message a key", count, size, keys_per_message=1)


def _all_keys(count: int, size: DeploymentSize) -> RevocationRow:
    return _per_key("one message with all keys", count, size, keys_per_message=count)


def _per_key(
    method: str, count: int, size: DeploymentSize, *, keys_per_message: int
) -> RevocationRow:
    before, after = _tables(size)
    keys = _keys(count)
    cache = {key: before.owner(key) for key in keys}

    def encode_messages() -> list[bytes]:
        moved = _moved_keys(before, after, keys)
        groups = range(0, len(moved), keys_per_message)
        return [
            ENCODER.encode(
                RevokedKeys(begun=LogIndex(9), keys=tuple(moved[at : at + keys_per_message]))
            )
            for at in groups
        ]

    moved = _moved_keys(before, after, keys)
    messages, leader_ms = _measure_ms(encode_messages)
    _, gateway_ms = _measure_ms(lambda: [cache.pop(key) for key in moved])
    return RevocationRow(
        method=method,
        cached=count,
        revoked=len(moved),
        messages=len(messages),
        sent_bytes=sum(map(len, messages)),
        leader_ms=leader_ms,
        gateway_ms=gateway_ms,
    )


def _by_version(count: int, size: DeploymentSize) -> RevocationRow:
    before, after = _tables(size)
    keys = _keys(count)
    cache = {key: (Token(1), before.owner(key)) for key in keys}

    def make_change() -> PlacementChange:
        return difference(current=before.placement, token=Token(1), target=after.placement)

    def apply() -> OwnerTable:
        target = apply_change(current=before.placement, change=change)
        return OwnerTable(placement=target, shards=size.shards, base=before)

    change, leader_ms = _measure_ms(make_change)
    command = BeginTransition(service=ServiceName(size.name), change=change)
    message = encode_command(command)

    table, gateway_ms = _measure_ms(apply)
    stale = sum(1 for key, (_, owner) in cache.items() if table.owner(key) != owner)
    return RevocationRow(
        method="one placement with its version",
        cached=count,
        revoked=stale,
        messages=1,
        sent_bytes=len(message),
        leader_ms=leader_ms,
        gateway_ms=gateway_ms,
    )
