"""Life cycle of daemons, typed streams between processes, logs, metrics and state dumps."""

from lychee_runtime.daemon import Daemon, run_daemon
from lychee_runtime.dump import format_dump
from lychee_runtime.exposition import PrometheusMetrics
from lychee_runtime.link import (
    Link,
    LinkService,
    PendingBound,
    as_unavailable,
    open_link,
    serve_links,
)
from lychee_runtime.logs import configure_logs
from lychee_runtime.metrics import Metrics, NoMetrics, open_metrics
from lychee_runtime.operator_client import OperatorClient, RefusedError
from lychee_runtime.tls import client_context, server_context

__all__ = [
    "Daemon",
    "PrometheusMetrics",
    "Link",
    "LinkService",
    "Metrics",
    "NoMetrics",
    "OperatorClient",
    "PendingBound",
    "RefusedError",
    "as_unavailable",
    "client_context",
    "configure_logs",
    "format_dump",
    "open_link",
    "open_metrics",
    "run_daemon",
    "serve_links",
    "server_context",
]
