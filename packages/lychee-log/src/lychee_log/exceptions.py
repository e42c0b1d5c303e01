"""Errors of the replicated log."""

from lychee_types.exceptions import LycheeError

NEW_REPLICA_REMEDY = (
    "empty the data folder, start the replica under a new id without first voters, "
    "and have it take this replica's place"
)


class StorageError(LycheeError):
    """The data folder cannot be used, or its contents are damaged."""

    exit_code = 74


class DiskFullError(StorageError):
    """The disk is full; no part of the write counts as stored."""


class LostStorageError(StorageError):
    """The membership lists this replica id with another storage number: its disk was lost."""
