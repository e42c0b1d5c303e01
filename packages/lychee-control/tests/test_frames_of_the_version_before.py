"""Frames between replicas: each of this version and the one before reads what the other sends."""

from msgspec import Struct
from msgspec.msgpack import decode, encode

from lychee_control.peers import JoinRequest, LeaderHint
from lychee_log import ReplicaAddress
from lychee_types.records import Endpoint

ADDRESS = ReplicaAddress(id="r1", endpoint=Endpoint(host="10.0.0.1", port=7540), storage=5)


class FormerJoinRequest(Struct, frozen=True, kw_only=True, tag="JoinRequest"):
    newcomer: ReplicaAddress


class FormerLeaderHint(Struct, frozen=True, kw_only=True, tag="LeaderHint"):
    leader: ReplicaAddress


def test_frames_of_the_version_before_are_read():
    request = decode(encode(FormerJoinRequest(newcomer=ADDRESS)), type=JoinRequest)
    assert request == JoinRequest(newcomer=ADDRESS)
    hint = decode(encode(FormerLeaderHint(leader=ADDRESS)), type=LeaderHint)
    assert hint == LeaderHint(leader=ADDRESS) and hint.voters == ()


def test_the_version_before_reads_frames_of_this_one():
    request = JoinRequest(newcomer=ADDRESS, to_pass_on=False, is_leaving=True)
    assert decode(encode(request), type=FormerJoinRequest).newcomer == ADDRESS
    hint = LeaderHint(leader=ADDRESS, voters=(ADDRESS,))
    assert decode(encode(hint), type=FormerLeaderHint).leader == ADDRESS
