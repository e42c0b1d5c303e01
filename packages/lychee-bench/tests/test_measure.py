"""Measurements, their verdicts, comparison and charts."""

from functools import partial

import pytest
import uvloop
from click.testing import CliRunner

from lychee_bench.cli import main
from lychee_bench.closed_loop import run_closed_loop
from lychee_bench.experiments import catalog
from lychee_bench.experiments.catalog import EXPERIMENTS, run_experiment
from lychee_bench.http_server import HttpServer, Response
from lychee_bench.measure import Measurement, Results, write_results
from lychee_bench.plot import by_policy, make_panels
from lychee_runtime.ports import free_endpoints


@pytest.mark.parametrize(
    ("measure", "verdict"),
    [
        (Measurement(name="a", value=4.1, unit="s", bound=4.0), "missed"),
        (Measurement(name="a", value=4.0, unit="s", bound=4.0), "ok"),
        (Measurement(name="a", value=4.0, unit="s"), "info"),
        (Measurement(name="a", value=3.0, unit="req/s", bound=4.0, at_least=True), "missed"),
    ],
)
def test_verdict(measure, verdict) -> None:
    assert measure.verdict == verdict
    assert len(measure.format_line().split()) == 5


def test_results_are_compared_and_plotted(tmp_path) -> None:
    old, new = tmp_path / "old.json", tmp_path / "new.json"
    for path, value in ((old, 2.0), (new, 1.0)):
        measure = Measurement(name="unavailable.server", value=value, unit="s", bound=4.0)
        write_results(path, Results(at=1.0, measures=(measure,)))
    compared = CliRunner().invoke(main, ["compare", str(old), str(new)])
    assert compared.output.split() == ["unavailable.server", "2", "1", "s", "0.500"]
    picture = tmp_path / "new.png"
    drawn = CliRunner().invoke(main, ["plot", str(new), "--out", str(picture)])
    assert drawn.exit_code == 0, drawn.output
    assert picture.read_bytes().startswith(b"\x89PNG")


def test_a_placement_is_plotted_as_the_mean_of_its_events() -> None:
    measures = [
        Measurement(name=f"placement.skaft.modulo.{event}.churn", value=value, unit="moved/least")
        for event, value in (("loss", 1.0), ("join", 3.0))
    ]
    found = by_policy([*measures, Measurement(name="other.churn", value=1.0, unit="x")], "churn")
    assert [(item.name, item.value) for item in found] == [
        ("placement.skaft.modulo.churn", 2.0),
        ("other.churn", 1.0),
    ]


def test_measurements_of_different_units_get_separate_charts() -> None:
    measures = tuple(
        Measurement(name=f"{name}.churn", value=1.0, unit=unit)
        for name, unit in (("a", "moved/least"), ("b", "keys/change"), ("c", "moved/least"))
    )
    panels = make_panels(Results(at=1.0, measures=measures))
    assert [(panel.unit, len(panel.measures)) for panel in panels] == [
        ("moved/least", 2),
        ("keys/change", 1),
    ]


def test_an_unknown_experiment_is_rejected_with_a_list_of_the_known_ones() -> None:
    result = CliRunner().invoke(main, ["bench", "--only", "nothing"])
    assert result.exit_code == 2
    assert "lost-server" in result.output


def test_closed_loop_counts_responses_by_status() -> None:
    async def handle(request, conn) -> Response:
        return Response(status=503 if request.target.endswith("3") else 200)

    async def scenario():
        (endpoint,) = free_endpoints(1)
        listener = await HttpServer(handler=handle, connections=9).listen(
            "127.0.0.1", endpoint.port
        )
        found = await run_closed_loop(endpoint, target="/x/", connections=3, seconds=0.2)
        listener.close()
        return found

    found = uvloop.run(scenario())
    assert found.answered > found.failed > 0
    assert found.latency.get_total_count() == found.answered + found.failed


@pytest.mark.parametrize("name", EXPERIMENTS)
def test_every_experiment_is_run_by_a_measure_function(name, monkeypatch) -> None:
    names = [item for item in vars(catalog) if item.startswith("measure_")]
    for measure_name in names:
        monkeypatch.setattr(catalog, measure_name, partial(_called, measure_name))
    found = uvloop.run(run_experiment(EXPERIMENTS[name], None))
    assert found in [list(measure_name) for measure_name in names]


def _called(name: str, *args: object) -> object:
    """Replace a measure function: return its name, both awaitable and iterable by character."""
    return _Called(name)


class _Called(str):
    def __await__(self):
        yield from ()
        return list(self)
