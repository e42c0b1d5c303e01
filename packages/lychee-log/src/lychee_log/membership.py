"""Which changes of membership are allowed."""

from expression import Error, Ok, Result

from lychee_log.records import Membership, ReplicaAddress
from lychee_types.exceptions import LycheeError, UnavailableError
from lychee_types.ids import ReplicaId


class MembershipError(LycheeError):
    """A change of membership that is not allowed."""

    exit_code = 2


def with_learner(members: Membership, learner: ReplicaAddress) -> Membership:
    """Return the membership with one learner more."""
    return Membership(voters=members.voters, learners=(*members.learners, learner))


def with_promoted(members: Membership, replica: ReplicaId) -> Membership:
    """Return the membership with a learner as a voter."""
    promoted = tuple(learner for learner in members.learners if learner.id == replica)
    learners = tuple(learner for learner in members.learners if learner.id != replica)
    return Membership(voters=members.voters + promoted, learners=learners)


def without(members: Membership, replica: ReplicaId) -> Membership:
    """Return the membership without a replica."""
    return Membership(
        voters=tuple(voter for voter in members.voters if voter.id != replica),
        learners=tuple(learner for learner in members.learners if learner.id != replica),
    )


def check_change(*, old: Membership, new: Membership) -> Result[Membership, LycheeError]:
    """Return the new membership if it may follow the old one.

    :param old: the membership in force, which must be committed.
    :param new: the membership that is asked for.
    """
    before, after = set(old.voters), set(new.voters)
    if len(before ^ after) > 1:
        return Error(_refused("more than one voter would change", "change one voter at a time"))
    if not after:
        return Error(_refused("no voter would be left", "add the replacement first"))
    if not after - before <= set(old.learners):
        return Error(_refused("a voter was no learner", "add it as a learner first"))
    if any(member.storage == 0 for member in new.everyone):
        return Error(_refused("a member's storage is not known", "wait until it has answered"))
    if len({member.id for member in new.everyone}) < len(new.everyone):
        return Error(_refused("two members have the same id", "give the new replica its own id"))
    return Ok(new)


def pending_change() -> LycheeError:
    """Return the error for a change before the last one is committed."""
    return UnavailableError(
        message="another change of voters is not committed yet",
        remedy="wait a moment and ask again",
    )


def _refused(message: str, remedy: str) -> LycheeError:
    return MembershipError(message=message, remedy=remedy)
