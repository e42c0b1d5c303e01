"""Which one of several attempts at a request passes its answer on to the caller."""


class AnswerClaim:
    """An attempt's right to pass its answer on; always granted to a request's only attempt.

    :ivar has_begun: whether the answer to the attempt has begun to arrive.
    :ivar is_over: whether the attempt has a result.
    :ivar is_lost: whether another attempt has passed on its answer.
    """

    def __init__(self) -> None:
        self.has_begun = False
        self.is_over = False
        self.is_lost = False

    def take(self) -> None:
        """Take the right to pass the answer on, before any of it is sent.

        :raises asyncio.CancelledError: in subclasses, if another attempt has it.
        """
