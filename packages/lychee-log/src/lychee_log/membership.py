"""Membership changes, and the checks on them."""

from expression import Error, Ok, Result

from lychee_log.records import Membership, ReplicaAddress
from lychee_types.exceptions import LycheeError, UnavailableError
from lychee_types.ids import ReplicaId


class MembershipError(LycheeError):
    """A membership change that is not allowed."""

    exit_code = 2


def with_learner(members: Membership, learner: ReplicaAddress) -> Membership:
    """Return the membership with an additional learner."""
    return Membership(voters=members.voters, learners=(*members.learners, learner))


def with_promoted_learner(members: Membership, replica: ReplicaId) -> Membership:
    """Return the membership with a learner promoted to voter."""
    promoted = tuple(learner for learner in members.learners if learner.id == replica)
    learners = tuple(learner for learner in members.learners if learner.id != replica)
    return Membership(voters=members.voters + promoted, learners=learners)


def without_member(members: Membership, replica: ReplicaId) -> Membership:
    """Return the membership without a replica, be it voter or learner."""
    return Membership(
        voters=tuple(voter for voter in members.voters if voter.id != replica),
        learners=tuple(learner for learner in members.learners if learner.id != replica),
    )


def check_change(*, old: Membership, new: Membership) -> Result[Membership, LycheeError]:
    """Return the new membership if it is a valid change of the old one, else an error.

    :param old: the current membership, which must be committed.
    :param new: the requested membership.
    """
    old_voters, new_voters = set(old.voters), set(new.voters)
    if len(old_voters ^ new_voters) > 1:
        return Error(
            _membership_error("more than one voter would change", "change one voter at a time")
        )
    if not new_voters:
        return Error(_membership_error("no voter would be left", "add the replacement first"))
    if not new_voters - old_voters <= set(old.learners):
        return Error(_membership_error("a voter was no learner", "add it as a learner first"))
    if any(member.storage == 0 for member in new.all_members):
        return Error(
            _membership_error("a member's storage is not known", "wait until it has answered")
        )
    if len({member.id for member in new.all_members}) < len(new.all_members):
        return Error(
            _membership_error("two members have the same id", "give the new replica its own id")
        )
    return Ok(new)


def pending_change_error() -> LycheeError:
    """Return the error for a change requested before the last one is committed."""
    return UnavailableError(
        message="another change of voters is not committed yet",
        remedy="wait a moment and ask again",
    )


def _membership_error(message: str, remedy: str) -> LycheeError:
    return MembershipError(message=message, remedy=remedy)
