"""Response times of one backend server, as measured by one gateway on real requests."""

WARM_UP_S = 5.0
"""Time in seconds over which the load of a server that has just joined is increased to normal."""

WARM_UP_MIN_SHARE = 0.1
"""Share of its normal load that a server gets right after it joined."""

SMOOTHING = 0.1
"""Weight of the newest response in the moving average of response times."""

INITIAL_RESPONSES = 10
"""Number of first responses that are averaged with equal weights."""


class ResponseTime:
    """Exponentially weighted moving average of response times."""

    def __init__(self) -> None:
        self.mean_s = 0.0
        self.response_count = 0

    def add(self, seconds: float) -> None:
        """Count a response.

        :param seconds: time from sending the request to the complete response.
        """
        self.response_count += 1
        weight = max(SMOOTHING, 1 / min(self.response_count, INITIAL_RESPONSES))
        self.mean_s += weight * (seconds - self.mean_s)

    def reset(self) -> None:
        """Discard the measurements."""
        self.mean_s = 0.0
        self.response_count = 0


def warm_up_share(age_s: float) -> float:
    """Return the share of its normal load that a server is given.

    :param age_s: time since it joined, in seconds.
    """
    if age_s >= WARM_UP_S:
        return 1.0
    return WARM_UP_MIN_SHARE + (1 - WARM_UP_MIN_SHARE) * max(0.0, age_s) / WARM_UP_S


def expected_response_s(
    *, measured: ResponseTime, announced_speed: float, typical_s: float
) -> float:
    """Return the expected response time of a server in seconds.

    :param measured: response times measured so far.
    :param announced_speed: speed announced by the server, used until it has responded.
    :param typical_s: typical response time of a server of speed 1, 0 if unknown.
    """
    if measured.response_count:
        return max(measured.mean_s, 1e-6)
    return (typical_s or 1.0) / announced_speed


def typical_response_s(measured: list[tuple[ResponseTime, float]]) -> float:
    """Return the typical response time of a server of speed 1, 0 if nothing was measured.

    :param measured: measured response times with the announced speeds.
    """
    speed_1_times = sorted(time.mean_s * speed for time, speed in measured if time.response_count)
    return speed_1_times[len(speed_1_times) // 2] if speed_1_times else 0.0
