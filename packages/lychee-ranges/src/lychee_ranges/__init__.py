"""Replicated state of routes, servers and key ranges, and planning of key moves. No I/O."""

from lychee_ranges.answered_grants import AnsweredGrants
from lychee_ranges.load_merging import LoadMerger
from lychee_ranges.loads import (
    BUCKET_KEYS,
    DEFAULT_SERVICE_TIME_S,
    LATEST_DECAY_S,
    BucketRates,
    LoadTracker,
    bucket_of,
)
from lychee_ranges.matching import RouteMatcher
from lychee_ranges.moves import NO_OWNER, Candidate, Move, first_split, mergeable_ranges
from lychee_ranges.outstanding_grants import OutstandingGrants, SentGrant, hold_limit_s
from lychee_ranges.planner import MovePlanner
from lychee_ranges.state import RoutedState
from lychee_ranges.table import KeyTable

__all__ = [
    "AnsweredGrants",
    "BUCKET_KEYS",
    "BucketRates",
    "Candidate",
    "OutstandingGrants",
    "KeyTable",
    "DEFAULT_SERVICE_TIME_S",
    "LATEST_DECAY_S",
    "NO_OWNER",
    "LoadMerger",
    "LoadTracker",
    "Move",
    "MovePlanner",
    "RouteMatcher",
    "RoutedState",
    "SentGrant",
    "bucket_of",
    "first_split",
    "hold_limit_s",
    "mergeable_ranges",
]
