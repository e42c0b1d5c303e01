"""The room for answers that are held back, and what is expected of their sizes."""

from lychee_gateway.proxy.held import MIN_EXPECTED_BYTES, HeldAnswers

KIB = 1_024


def test_all_connections_together_hold_no_more_than_the_bound():
    answers = HeldAnswers(max_bytes=100 * KIB, max_connection_bytes=80 * KIB)
    with answers.track(conn="a", route="r") as first, answers.track(conn="b", route="r") as second:
        assert first.grow(70 * KIB)
        assert not second.grow(31 * KIB)
        assert second.grow(30 * KIB)
        assert answers.held_bytes == 100 * KIB
    assert answers.held_bytes == 0


def test_one_connection_holds_no_more_than_its_bound():
    answers = HeldAnswers(max_bytes=100 * KIB, max_connection_bytes=80 * KIB)
    with answers.track(conn="a", route="r") as first, answers.track(conn="a", route="r") as second:
        assert first.grow(70 * KIB)
        assert not second.grow(11 * KIB)
        first.release()
        assert second.grow(11 * KIB)


def test_reserving_leaves_room_for_answers_that_grow():
    answers = HeldAnswers(max_bytes=100 * KIB)
    held = [answers.track(conn=number, route="r") for number in range(4)]
    rooms = [room.__enter__() for room in held]
    assert [room.reserve() for room in rooms] == [True, True, True, False]
    assert rooms[0].grow(52 * KIB) and rooms[0].reserve()


def test_a_failed_answer_that_is_kept_counts_beside_the_next_one():
    answers = HeldAnswers(max_bytes=100 * KIB)
    with answers.track(conn="a", route="r") as held:
        assert held.grow(60 * KIB)
        held.keep(60 * KIB)
        assert not held.grow(41 * KIB)
        assert held.grow(40 * KIB) and answers.held_bytes == 100 * KIB
    assert answers.held_bytes == 0


def test_no_room_is_taken_for_a_request_that_is_over():
    answers = HeldAnswers()
    with answers.track(conn="a", route="r") as held:
        assert held.reserve()
    assert not held.reserve() and not held.grow(1)
    assert answers.held_bytes == 0


def test_a_route_with_a_large_answer_is_expected_to_have_another_for_a_while():
    answers = HeldAnswers()
    answers.learn("r", 1_000_000)
    answers.learn("r", 600)
    assert 900_000 < answers.expected_bytes("r") < 1_000_000
    assert answers.expected_bytes("s") == MIN_EXPECTED_BYTES
    for _ in range(400):
        answers.learn("r", 600)
    assert answers.expected_bytes("r") == MIN_EXPECTED_BYTES
