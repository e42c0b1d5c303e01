"""Names of a control replica's metrics."""

from enum import Enum

FLUSH_S = 1.0
"""Interval at which the gauges are sent, in seconds."""


class StateMetric(Enum):
    """Gauges of the process."""

    LEADS = "control.leads"
    """1 while this replica does the leader's work, else 0."""

    TERM = "control.term"
    """Term of the replicated log."""

    COMMIT = "control.commit"
    """Last committed log index."""

    ATTACHED = "control.attached"
    """Gateways attached to this replica."""

    LEDGER = "control.ledger"
    """Entries of the request ledger."""

    DOCUMENT_VERSION = "control.document_version"
    """Version of the document applied here."""
