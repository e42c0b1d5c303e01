"""The pages that a gateway serves for operators, beside its metrics."""

from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qsl

from msgspec import ValidationError, convert
from msgspec.json import Encoder

from lychee_gateway.proxy.explaining import Explainer
from lychee_http.textpage import JSON_TYPE, PageText, RenderPage
from lychee_types.exceptions import SettingsError
from lychee_types.explanation import EXPLAIN_PATH, ExplainFault, ExplainQuery
from lychee_types.routed_settings import METRICS_PATH

BAD_QUERY_STATUS = 400
"""HTTP status of the answer to a query that cannot be explained."""

_ENCODER = Encoder()


def make_pages(
    *, render_metrics: Callable[[], bytes], explainer: Explainer
) -> dict[str, RenderPage]:
    """Return a gateway's pages by path."""

    def render_explanation(query: str) -> PageText:
        try:
            found: Any = explainer.explain(read_query(query))
        except SettingsError as exc:
            fault = ExplainFault(error=exc.message, remedy=exc.remedy)
            text = _ENCODER.encode(fault)
            return PageText(text=text, content_type=JSON_TYPE, status=BAD_QUERY_STATUS)
        return PageText(text=_ENCODER.encode(found), content_type=JSON_TYPE)

    return {
        METRICS_PATH: lambda query: PageText(text=render_metrics()),
        EXPLAIN_PATH: render_explanation,
    }


def read_query(query: str) -> ExplainQuery:
    """Decode the query string of a question.

    :raises SettingsError: if a value has the wrong type, or a parameter is unknown.
    """
    values = dict(parse_qsl(query, keep_blank_values=True))
    unknown = values.keys() - set(ExplainQuery.__struct_fields__)
    if unknown:
        raise SettingsError(
            message=f"unknown parameter {sorted(unknown)[0][:64]}",
            remedy="use " + ", ".join(ExplainQuery.__struct_fields__),
        )
    try:
        return convert(values, ExplainQuery, strict=False)
    except ValidationError as exc:
        raise SettingsError(message=str(exc), remedy="write key and timeout_ms as numbers") from exc
