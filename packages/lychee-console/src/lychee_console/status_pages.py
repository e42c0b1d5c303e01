"""Pages that show the state of the deployment and the history of submissions."""

from lychee_console.html import element
from lychee_console.layout import note, table
from lychee_console.messages import PageRequest, PageResponse
from lychee_runtime import OperatorClient


class StatusPages:
    """Read-only pages.

    :param client: sends requests to the control replicas.
    """

    def __init__(self, *, client: OperatorClient) -> None:
        self._client = client

    async def status(self, request: PageRequest) -> PageResponse:
        """Show the control replicas, gateways, backend servers and keyed services."""
        reply = await self._client.status()
        lagging = [
            g.id
            for g in reply.gateways
            if g.has_reported and g.document_version < reply.document_version
        ]
        summary = (
            f"Leader {reply.leader} in term {reply.term}; document version "
            f"{reply.document_version}; commit index {reply.commit}."
        )
        lag_note = note(f"Behind version {reply.document_version}: {', '.join(lagging)}", bad=True)
        return request.page(
            "Status",
            element("p", summary),
            lag_note if lagging else None,
            table(
                "Control replicas",
                ("Id", "Address", "Role", "On disk", "Silent"),
                [
                    (r.id, str(r.endpoint), r.role, str(r.match), f"{r.silent_ms} ms")
                    for r in reply.replicas
                ],
            ),
            table(
                "Gateways",
                ("Id", "Failure domain", "Version", "Applied", "Lease left"),
                [
                    (
                        g.id,
                        g.domain,
                        str(g.document_version) if g.has_reported else "not heard yet",
                        str(g.applied),
                        f"{g.lease_left_ms} ms",
                    )
                    for g in reply.gateways
                ],
            ),
            table(
                "Backend servers",
                ("Id", "Service", "Failure domain", "State", "Share of keys", "Speed"),
                [
                    (
                        s.record.id,
                        s.record.service,
                        s.record.domain,
                        "leaving" if s.leaving else s.record.status.value,
                        f"{s.share:.1%}",
                        f"{s.record.speed:.2f}",
                    )
                    for s in reply.servers
                ],
            ),
            table(
                "Keyed services",
                ("Name", "Token", "Shards moving", "Hot keys placed"),
                [(s.name, str(s.token), str(s.moving), str(s.hot_keys)) for s in reply.services],
            ),
        )

    async def history(self, request: PageRequest) -> PageResponse:
        """Show the submissions and their outcomes, newest first."""
        records = await self._client.history()
        rows = [
            (
                r.submission,
                r.author,
                str(r.based_on),
                (
                    f"version {r.version}"
                    if r.accepted
                    else f"lost to version {r.version} by {r.winner or 'nobody'}"
                ),
            )
            for r in reversed(records)
        ]
        headings = ("Submission", "Author", "Based on", "Outcome")
        return request.page("History", table("Submissions", headings, rows))
