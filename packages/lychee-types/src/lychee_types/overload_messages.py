"""Message about owners of keys that get more requests than they can serve."""

from msgspec import Struct

from lychee_types.registry import ServerIncarnation


class OwnerShare(Struct, frozen=True, kw_only=True, array_like=True):
    """The share of the requests for an owner's keys that it can serve.

    :param run: the owner.
    :param share: share of the requests that gateways admit, above 0 and below 1.
    :param retry_s: time in which the owner can serve the excess of a second, in seconds.
    """

    run: ServerIncarnation
    share: float
    retry_s: float


class KnownOverloads(Struct, frozen=True, kw_only=True, tag=True):
    """All overloaded owners, for all gateways; each message replaces the one before.

    :param owners: one entry for each overloaded owner; empty once the last overload has ended.
    """

    owners: tuple[OwnerShare, ...]
