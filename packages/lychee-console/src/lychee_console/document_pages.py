"""Pages with forms for services, limits, servers, drains and the whole document."""

from collections.abc import Mapping, Sequence
from http import HTTPStatus

from expression import Result
from msgspec.structs import replace

from lychee_console.edits import (
    NEW_SERVICE,
    TOKEN_CHOICES,
    EditResult,
    edit_limits,
    edit_server,
    edit_service,
    remove_service,
    service_texts,
)
from lychee_console.fields import (
    IDENTITY_FIELDS,
    LIMIT_FIELDS,
    PLACEMENT_FIELDS,
    form_texts,
    render_fields,
)
from lychee_console.html import Html, element, join
from lychee_console.layout import button, fault_list, form, table
from lychee_console.messages import PageRequest, PageResponse
from lychee_console.submitting import EMPTY_DOCUMENT, preview
from lychee_runtime import OperatorClient
from lychee_types.document import Document
from lychee_types.document_check import parse_document
from lychee_types.exceptions import Fault
from lychee_types.ids import ServerId
from lychee_types.operator_messages import (
    ShowReply,
)
from lychee_types.yamlfile import format_yaml


class DocumentPages:
    """Pages with forms; each form produces a document, which is checked before its preview.

    :param client: sends requests to the control replicas.
    """

    def __init__(self, *, client: OperatorClient) -> None:
        self._client = client

    async def services(self, request: PageRequest) -> PageResponse:
        """List the services."""
        base = await self._client.show()
        document = base.document or EMPTY_DOCUMENT
        rows = [
            (
                element("a", service.name, href=f"/service?index={index}"),
                service.path,
                service.kind.value,
                f"{service.deadline_ms} ms",
                "yes" if service.idempotent else "no",
            )
            for index, service in enumerate(document.services)
        ]
        headings = ("Name", "URL prefix", "Kind", "Deadline", "May run more than once")
        add_link = element("a", "Add a service", href=f"/service?index={len(document.services)}")
        return request.page("Services", table("Services", headings, rows), element("p", add_link))

    async def service(self, request: PageRequest) -> PageResponse:
        """Show the form of one service."""
        base = await self._client.show()
        services = (base.document or EMPTY_DOCUMENT).services
        index = _parse_index(request.query.get("index", ""), len(services))
        shown = services[index] if index < len(services) else NEW_SERVICE
        return self._service_form(request, base, index, service_texts(shown, index), ())

    async def edit_service(self, request: PageRequest) -> PageResponse:
        """Preview a changed, added or removed service, or show its faults."""
        base = await self._base_version(request)
        document = base.document or EMPTY_DOCUMENT
        index = _parse_index(request.form.get("index", ""), len(document.services))
        if request.form.get("action") == "remove":
            edited = remove_service(document, index)
        else:
            edited = edit_service(document, index, request.form)
        if edited.faults:
            return self._service_form(request, base, index, request.form, edited.faults)
        return await preview(self._client, request, base, edited)

    def _service_form(
        self,
        request: PageRequest,
        base: ShowReply,
        index: int,
        texts: Mapping[str, str],
        faults: Sequence[Fault],
    ) -> PageResponse:
        place = f"services[{index}]"
        exists = index < len((base.document or EMPTY_DOCUMENT).services)
        parts = [
            _fieldset("Service", render_fields(IDENTITY_FIELDS, texts, place, faults)),
            _fieldset("Limits", render_fields(LIMIT_FIELDS, texts, place, faults)),
            _fieldset(
                "Placement of keys",
                render_fields(PLACEMENT_FIELDS, texts, f"{place}.placement", faults),
            ),
        ]
        hidden: dict[str, str | int] = {"based_on": base.version, "index": index}
        csrf = request.session.csrf
        remove_button = button("Remove this service", plain=True)
        return request.page(
            "Service" if exists else "New service",
            fault_list(faults),
            form("/service", *parts, button("Show the difference"), csrf=csrf, **hidden),
            (
                form("/service", remove_button, csrf=csrf, action="remove", **hidden)
                if exists
                else None
            ),
            status=_http_status(faults),
        )

    async def limits(self, request: PageRequest) -> PageResponse:
        """Show the limits of all services."""
        base = await self._client.show()
        texts: dict[str, str] = {}
        for index, service in enumerate((base.document or EMPTY_DOCUMENT).services):
            texts |= form_texts(LIMIT_FIELDS, service, f"services[{index}]")
        return self._limits_form(request, base, texts, ())

    async def edit_limits(self, request: PageRequest) -> PageResponse:
        """Preview changed limits, or show their faults."""
        base = await self._base_version(request)
        edited = edit_limits(base.document or EMPTY_DOCUMENT, request.form)
        if edited.faults:
            return self._limits_form(request, base, request.form, edited.faults)
        return await preview(self._client, request, base, edited)

    def _limits_form(
        self,
        request: PageRequest,
        base: ShowReply,
        texts: Mapping[str, str],
        faults: Sequence[Fault],
    ) -> PageResponse:
        parts = [
            _fieldset(
                service.name, render_fields(LIMIT_FIELDS, texts, f"services[{index}]", faults)
            )
            for index, service in enumerate((base.document or EMPTY_DOCUMENT).services)
        ]
        content = form(
            "/limits",
            *parts,
            button("Show the difference"),
            csrf=request.session.csrf,
            based_on=base.version,
        )
        empty = element("p", "There are no services yet.")
        return request.page(
            "Limits", fault_list(faults), content if parts else empty, status=_http_status(faults)
        )

    async def servers(self, request: PageRequest) -> PageResponse:
        """Show the rules of backend servers, each with its own form."""
        base, names = await self._current_and_server_names()
        document = base.document or EMPTY_DOCUMENT
        forms = [self._server_form(request, base, document, name) for name in names]
        other = form(
            "/server",
            element("label", "Another server's id", for_="other"),
            element("input", type="text", id="other", name="server", autocomplete="off"),
            _token_select("other-tokens", "service"),
            _leaving_checkbox("other-leaving", checked=False),
            button("Show the difference"),
            csrf=request.session.csrf,
            based_on=base.version,
        )
        return request.page("Servers", *forms, _fieldset("Another server", other))

    def _server_form(
        self, request: PageRequest, base: ShowReply, document: Document, name: str
    ) -> Html:
        rule = document.rule(ServerId(name))
        tokens = rule.checks_tokens if rule is not None else None
        selected = next(choice for choice, value in TOKEN_CHOICES.items() if value is tokens)
        content = form(
            "/server",
            _token_select(f"{name}-tokens", selected),
            _leaving_checkbox(f"{name}-leaving", checked=document.is_leaving(ServerId(name))),
            button("Show the difference"),
            csrf=request.session.csrf,
            based_on=base.version,
            server=name,
        )
        return _fieldset(name, content)

    async def drains(self, request: PageRequest) -> PageResponse:
        """Show which backend servers are leaving, with a button for each to drain or undrain it."""
        base, names = await self._current_and_server_names()
        document = base.document or EMPTY_DOCUMENT
        rows = [
            (
                name,
                "leaving" if document.is_leaving(ServerId(name)) else "in service",
                self._drain_form(request, base, document, name),
            )
            for name in names
        ]
        return request.page("Drains", table("Servers", ("Server", "State", "Change"), rows))

    def _drain_form(
        self, request: PageRequest, base: ShowReply, document: Document, name: str
    ) -> Html:
        rule = document.rule(ServerId(name))
        leaving = rule is not None and rule.leaving
        tokens = rule.checks_tokens if rule is not None else None
        selected = next(choice for choice, value in TOKEN_CHOICES.items() if value is tokens)
        return form(
            "/server",
            button(f"Take {name} back" if leaving else f"Drain {name}", plain=True),
            csrf=request.session.csrf,
            based_on=base.version,
            server=name,
            checks_tokens=selected,
            leaving="" if leaving else "yes",
        )

    async def edit_server(self, request: PageRequest) -> PageResponse:
        """Preview the changed rule of one server."""
        base = await self._base_version(request)
        server = ServerId(request.form.get("server", ""))
        edited = edit_server(base.document or EMPTY_DOCUMENT, server, request.form)
        return await self._preview_or_show_faults(request, base, edited, "Server")

    async def document(self, request: PageRequest) -> PageResponse:
        """Show the whole document as editable YAML."""
        base = await self._client.show()
        text = format_yaml(base.document) if base.document is not None else ""
        return self._document_form(request, base, text, ())

    async def edit_document(self, request: PageRequest) -> PageResponse:
        """Preview the edited YAML, or show its faults."""
        base = await self._base_version(request)
        text = request.form.get("text", "")
        match parse_document(text):
            case Result(tag="ok", ok=document):
                edited = EditResult(document=document, faults=())
                return await preview(self._client, request, base, edited)
            case Result(error=faults):
                return self._document_form(request, base, text, faults)

    def _document_form(
        self, request: PageRequest, base: ShowReply, text: str, faults: Sequence[Fault]
    ) -> PageResponse:
        located_faults = tuple(
            replace(fault, place=f"line {fault.line}", message=f"{fault.place}: {fault.message}")
            for fault in faults
        )
        return request.page(
            "Document",
            fault_list(located_faults),
            form(
                "/document",
                element("label", f"Document, based on version {base.version}", for_="text"),
                # HTML parsers drop a line break at the start of a textarea, so one is added.
                element("textarea", f"\n{text}", id="text", name="text", spellcheck="false"),
                element("p", button("Show the difference")),
                csrf=request.session.csrf,
                based_on=base.version,
            ),
            status=_http_status(faults),
        )

    async def _preview_or_show_faults(
        self, request: PageRequest, base: ShowReply, edited: EditResult, title: str
    ) -> PageResponse:
        if edited.faults:
            return request.page(title, fault_list(edited.faults), status=HTTPStatus.BAD_REQUEST)
        return await preview(self._client, request, base, edited)

    async def _base_version(self, request: PageRequest) -> ShowReply:
        """Return the version that the form is based on."""
        version = request.form_number("based_on")
        if version == 0:
            return ShowReply(version=0, author="", document=None)
        return await self._client.show(version=version)

    async def _current_and_server_names(self) -> tuple[ShowReply, list[str]]:
        """Return the current document, and the servers that announced themselves or have rules."""
        base = await self._client.show()
        status = await self._client.status()
        names = {str(state.record.id) for state in status.servers}
        names |= {str(rule.id) for rule in (base.document or EMPTY_DOCUMENT).servers}
        return base, sorted(names)


def _parse_index(text: str, count: int) -> int:
    return min(int(text), count) if text.isascii() and text.isdigit() and len(text) < 9 else count


def _http_status(faults: Sequence[Fault]) -> HTTPStatus:
    return HTTPStatus.BAD_REQUEST if faults else HTTPStatus.OK


def _fieldset(legend: str, content: Html) -> Html:
    columns = element("div", content, class_="columns")
    return element("fieldset", element("legend", legend), columns)


def _token_select(name: str, selected: str) -> Html:
    labels = {"service": "as the service says", "yes": "yes", "no": "no"}
    options = [
        element("option", labels[choice], value=choice, selected=choice == selected)
        for choice in TOKEN_CHOICES
    ]
    return element(
        "div",
        element("label", "Checks tokens", for_=name),
        element("select", *options, id=name, name="checks_tokens"),
        class_="field",
    )


def _leaving_checkbox(name: str, *, checked: bool) -> Html:
    box = element("input", type="checkbox", id=name, name="leaving", value="yes", checked=checked)
    return element("div", join(box, element("label", "Leaving", for_=name)), class_="field check")
