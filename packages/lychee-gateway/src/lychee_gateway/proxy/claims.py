"""Which one of several attempts at a request passes its answer on to the caller."""


class AnswerClaim:
    """The claim of a request's only attempt, which is always granted.

    :ivar has_begun: whether the answer to the attempt has begun to arrive.
    :ivar is_over: whether the attempt has a result.
    :ivar is_lost: whether another attempt has passed on its answer.
    """

    def __init__(self) -> None:
        self.has_begun = False
        self.is_over = False
        self.is_lost = False

    def take(self) -> None:
        """Take the right to send an answer; to be called before anything of it is sent.

        :raises asyncio.CancelledError: if another attempt has it.
        """
