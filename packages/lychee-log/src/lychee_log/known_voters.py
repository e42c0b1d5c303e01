"""The voters that a replica outside the group was last told of, kept for its next start.

The file only helps to find the group; a replica without it starts as well.
"""

from pathlib import Path

from loguru import logger
from msgspec import DecodeError, Struct
from msgspec.msgpack import Decoder, Encoder

from lychee_log.exceptions import StorageError
from lychee_log.files import SystemDisk, read_file, replace_file
from lychee_log.records import ReplicaAddress
from lychee_log.recovery import KNOWN_VOTERS_NAME


class KnownVoters(Struct, frozen=True, kw_only=True):
    """Contents of the file.

    :param voters: the voters.
    """

    voters: tuple[ReplicaAddress, ...] = ()


_ENCODER = Encoder()
_DECODER = Decoder(KnownVoters)


def load_known_voters(folder: Path) -> tuple[ReplicaAddress, ...]:
    """Return the stored voters, none if there is no file or it cannot be read.

    :param folder: the replica's data folder.
    """
    path = folder / KNOWN_VOTERS_NAME
    if not path.exists():
        return ()
    try:
        return _DECODER.decode(read_file(path)).voters
    except (StorageError, DecodeError) as exc:
        logger.bind(event="known_voters_unreadable").warning("{}", exc)
        return ()


def store_known_voters(folder: Path, voters: tuple[ReplicaAddress, ...]) -> None:
    """Store the voters, synced, in place of those stored before.

    :param folder: the data folder, which already has the replica's identity.
    :param voters: the voters.
    :raises StorageError: if the disk is full or broken.
    """
    payload = _ENCODER.encode(KnownVoters(voters=voters))
    replace_file(folder / KNOWN_VOTERS_NAME, payload, disk=SystemDisk())
