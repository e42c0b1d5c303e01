"""Decisions on routes, registered servers and granted key ranges. No I/O."""

from lychee_ranges.exposure import Exposures, hold_limit_s
from lychee_ranges.loads import BUCKET_KEYS, BucketRates, LoadBook, bucket_of
from lychee_ranges.matching import RouteMatcher
from lychee_ranges.moves import NO_OWNER, Candidate, Move, first_split, mergeable
from lychee_ranges.planner import Plan
from lychee_ranges.state import RoutedState
from lychee_ranges.table import KeyTable

__all__ = [
    "BUCKET_KEYS",
    "BucketRates",
    "Candidate",
    "Exposures",
    "KeyTable",
    "NO_OWNER",
    "LoadBook",
    "Move",
    "Plan",
    "RouteMatcher",
    "RoutedState",
    "bucket_of",
    "first_split",
    "hold_limit_s",
    "mergeable",
]
