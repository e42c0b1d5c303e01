"""What one gateway measures of one backend server from real answers."""

WARM_UP_S = 5.0
"""Time over which a server that has just joined is given more and more work, in seconds."""

WARM_UP_LEAST = 0.1
"""Share of its usual work that a server gets right after it joined."""

SMOOTHING = 0.1
"""Weight of the newest answer in the mean time to an answer."""

INITIAL_RESPONSES = 10
"""Number of first answers that are averaged evenly."""


class ResponseTime:
    """Mean time to an answer, the newest weighing most."""

    def __init__(self) -> None:
        self.mean_s = 0.0
        self.response_count = 0

    def add(self, seconds: float) -> None:
        """Count an answer.

        :param seconds: time from sending to the whole answer.
        """
        self.response_count += 1
        weight = max(SMOOTHING, 1 / min(self.response_count, INITIAL_RESPONSES))
        self.mean_s += weight * (seconds - self.mean_s)

    def reset(self) -> None:
        """Forget what was measured."""
        self.mean_s = 0.0
        self.response_count = 0


def warm_up_share(age_s: float) -> float:
    """Return the share of its usual work that a server is given.

    :param age_s: time since it joined, in seconds.
    """
    if age_s >= WARM_UP_S:
        return 1.0
    return WARM_UP_LEAST + (1 - WARM_UP_LEAST) * max(0.0, age_s) / WARM_UP_S


def expected_response_s(
    *, measured: ResponseTime, announced_speed: float, typical_s: float
) -> float:
    """Return the expected time to an answer of a server.

    :param measured: what was measured of it.
    :param announced_speed: its speed by its own word, used until it has answered.
    :param typical_s: time to an answer of a server of speed 1, 0 if unknown.
    """
    if measured.response_count:
        return max(measured.mean_s, 1e-6)
    return (typical_s or 1.0) / announced_speed


def typical_response_s(measured: list[tuple[ResponseTime, float]]) -> float:
    """Return the time to an answer of a server of speed 1, 0 if nothing was measured.

    :param measured: measured times with announced speeds.
    """
    known = sorted(time.mean_s * speed for time, speed in measured if time.response_count)
    return known[len(known) // 2] if known else 0.0
