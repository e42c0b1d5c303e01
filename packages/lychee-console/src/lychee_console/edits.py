"""Changes that forms make to a document. Each function takes the document the form is based on."""

from collections.abc import Mapping
from dataclasses import dataclass

from msgspec.structs import replace

from lychee_console.fields import (
    IDENTITY_FIELDS,
    LIMIT_FIELDS,
    PLACEMENT_FIELDS,
    ParsedFields,
    form_texts,
    parse_fields,
)
from lychee_types.document import Document, RequestKind, ServerRule, Service
from lychee_types.document_check import DEFAULT_TIMING, check_document
from lychee_types.exceptions import Fault
from lychee_types.ids import ServerId, ServiceName

NEW_SERVICE = Service(
    name=ServiceName(""),
    path="/",
    kind=RequestKind.KEYED,
    idempotent=False,
    deadline_ms=1_000,
)
"""Initial values of the form for a new service."""

TOKEN_CHOICES = {"service": None, "yes": True, "no": False}
"""Whether a server checks tokens, by the form's value; None stands for the service's setting."""


@dataclass(frozen=True, kw_only=True, slots=True)
class EditResult:
    """The document that a form produced, and its faults.

    :param document: the document; a field with an invalid text keeps its previous value.
    :param faults: all faults of the form's texts and of the document.
    """

    document: Document
    faults: tuple[Fault, ...]


def edit_service(document: Document, index: int, form: Mapping[str, str]) -> EditResult:
    """Return the document with one service changed, or added at the end.

    :param document: the document.
    :param index: the service's index; an index equal to the number of services adds one.
    :param form: the submitted form.
    """
    place = f"services[{index}]"
    services = list(document.services)
    before = services[index] if index < len(services) else NEW_SERVICE
    parts = [
        parse_fields(IDENTITY_FIELDS, form, place),
        parse_fields(LIMIT_FIELDS, form, place),
    ]
    placement = parse_fields(PLACEMENT_FIELDS, form, f"{place}.placement")
    changed = replace(
        before,
        **parts[0].values,
        **parts[1].values,
        placement=replace(before.placement, **placement.values),
    )
    services[index : index + 1] = [changed]
    return _check_edit(replace(document, services=tuple(services)), *parts, placement)


def remove_service(document: Document, index: int) -> EditResult:
    """Return the document without one service."""
    services = document.services[:index] + document.services[index + 1 :]
    return _check_edit(replace(document, services=services))


def service_texts(service: Service, index: int) -> dict[str, str]:
    """Return the initial texts of the form of a service, by field place."""
    place = f"services[{index}]"
    return {
        **form_texts(IDENTITY_FIELDS, service, place),
        **form_texts(LIMIT_FIELDS, service, place),
        **form_texts(PLACEMENT_FIELDS, service.placement, f"{place}.placement"),
    }


def edit_limits(document: Document, form: Mapping[str, str]) -> EditResult:
    """Return the document with the limits of all services set from the form."""
    parts = [
        parse_fields(LIMIT_FIELDS, form, f"services[{index}]")
        for index in range(len(document.services))
    ]
    services = tuple(
        replace(service, **part.values)
        for service, part in zip(document.services, parts, strict=True)
    )
    return _check_edit(replace(document, services=services), *parts)


def edit_server(document: Document, server: ServerId, form: Mapping[str, str]) -> EditResult:
    """Return the document with the rule of one server set from the form.

    A rule with only default values is removed.

    :param document: the document.
    :param server: the server's id.
    :param form: ``checks_tokens`` is service, yes or no, ``leaving`` is yes or empty.
    """
    rule = ServerRule(
        id=server,
        checks_tokens=TOKEN_CHOICES.get(form.get("checks_tokens", "service")),
        leaving=form.get("leaving") == "yes",
    )
    rules = [rule if known.id == server else known for known in document.servers]
    if rule not in rules:
        rules.append(rule)
    rules = [known for known in rules if known != ServerRule(id=server)]
    return _check_edit(replace(document, servers=tuple(rules)))


def _check_edit(document: Document, *parts: ParsedFields) -> EditResult:
    parse_faults = [fault for part in parts for fault in part.faults]
    places = {fault.place for fault in parse_faults}
    check_faults = [f for f in check_document(document, DEFAULT_TIMING) if f.place not in places]
    return EditResult(document=document, faults=tuple([*parse_faults, *check_faults]))
