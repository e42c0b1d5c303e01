"""Metrics of a control replica, sent to a fake collector."""

import asyncio
import socket
from pathlib import Path

import pytest

from lychee_control.core import ControlDaemon
from lychee_control.metrics import StateMetric
from lychee_gateway.metrics import RequestMetric, TimeMetric
from lychee_gateway.metrics import StateMetric as GatewayStateMetric
from lychee_types.records import Endpoint
from lychee_types.settings import ControlSettings, PeerSettings, StatsdSettings

PAGE = Path(__file__).parents[3] / "docs" / "operators" / "metrics.md"


@pytest.mark.parametrize("kind", [StateMetric, GatewayStateMetric, RequestMetric, TimeMetric])
def test_every_metric_is_on_the_operators_page(kind) -> None:
    page = PAGE.read_text(encoding="utf-8")
    for metric in kind:
        assert f"`{metric.value}" in page


def test_a_replica_sends_its_gauges(tmp_path: Path, make_endpoint) -> None:
    async def scenario(collector: socket.socket) -> set[str]:
        host, port = collector.getsockname()
        listen = make_endpoint()
        cfg = ControlSettings(
            id="c1",
            listen=listen,
            domain="nord",
            data=str(tmp_path),
            replicas=(PeerSettings(id="c1", endpoint=listen),),
            statsd=StatsdSettings(endpoint=Endpoint(host=host, port=port)),
        )
        daemon = ControlDaemon(cfg=cfg)
        serving = asyncio.create_task(daemon.serve())
        wanted = {f"lychee.{metric.value}" for metric in StateMetric}
        got: set[str] = set()
        while not wanted <= got:
            data = await asyncio.get_running_loop().sock_recv(collector, 4_096)
            got.add(data.decode().split(":")[0])
        daemon.request_stop()
        await serving
        return got

    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as collector:
        collector.bind(("127.0.0.1", 0))
        collector.setblocking(False)
        assert asyncio.run(asyncio.wait_for(scenario(collector), 20))
