"""Metrics by name."""

from lychee_gateway.calls import Answer, NotRun, StreamSent, Unknown
from lychee_gateway.metrics import TIMES_LIMIT, GatewayMetrics, StateMetric
from lychee_http import ResponseHead


class Client:
    """Keeps what is sent."""

    def __init__(self):
        self.sent = []

    def incr(self, stat, count=1):
        self.sent.append((stat, count))

    def gauge(self, stat, value):
        self.sent.append((stat, value))

    def timing(self, stat, delta):
        self.sent.append((stat, delta))


def test_outcomes_are_sent_in_one_go():
    client = Client()
    metrics = GatewayMetrics(client=client)
    answer = Answer(head=ResponseHead(status=200, headers=()), body=b"")
    outcomes = [
        answer,
        answer,
        StreamSent(status=200, whole=True),
        StreamSent(status=200, whole=False),
    ]
    outcomes += [NotRun(status=503, detail="", remedy=""), Unknown(status=502, detail="")]
    for outcome in outcomes:
        metrics.count("booking", outcome, 0.25)
    assert not client.sent
    metrics.flush({StateMetric.CALLERS: 7})
    assert ("gateway.requests.answered.booking", 3) in client.sent
    for name in ("truncated", "not_run", "unknown"):
        assert (f"gateway.requests.{name}.booking", 1) in client.sent
    assert client.sent.count(("gateway.requests.time.booking", 250.0)) == 6
    assert client.sent[-1] == ("gateway.callers", 7)
    client.sent.clear()
    for _ in range(1_000):
        metrics.count("booking", answer, 0.1)
    metrics.flush({})
    assert len(client.sent) == 1 + TIMES_LIMIT
