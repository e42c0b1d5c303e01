"""Names and aggregation of the metrics."""

from lychee_gateway.calls import NotRun, Response, StreamedResponse, UnknownOutcome
from lychee_gateway.metrics import MAX_TIMES, GatewayMetrics, StateMetric
from lychee_http import ResponseHead


class FakeStatsd:
    """A fake statsd client that records what is sent."""

    def __init__(self):
        self.sent = []

    def incr(self, stat, count=1):
        self.sent.append((stat, count))

    def gauge(self, stat, value):
        self.sent.append((stat, value))

    def timing(self, stat, delta):
        self.sent.append((stat, delta))


def test_outcomes_are_sent_together_at_a_flush():
    client = FakeStatsd()
    metrics = GatewayMetrics(client=client)
    response = Response(head=ResponseHead(status=200, headers=()), body=b"")
    outcomes = [
        response,
        response,
        StreamedResponse(status=200, complete=True),
        StreamedResponse(status=200, complete=False),
    ]
    outcomes += [NotRun(status=503, detail="", remedy=""), UnknownOutcome(status=502, detail="")]
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
        metrics.count("booking", response, 0.1)
    metrics.flush({})
    assert len(client.sent) == 1 + MAX_TIMES
