"""Fields of forms: their labels, and the conversion between values and texts."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any

from lychee_console.html import Attribute, Html, element, join
from lychee_types.document import BodyMode, RequestKind
from lychee_types.exceptions import Fault

TEXT_LIMIT = 256
"""Maximum length of a field's text, in characters."""


class FieldKind(Enum):
    """The type of a field's value."""

    TEXT = "text"
    WHOLE = "whole number"
    DECIMAL = "number"
    CHECK = "yes or no"
    CHOICE = "one of several"


_INPUT_MODES = {FieldKind.WHOLE: "numeric", FieldKind.DECIMAL: "decimal"}
"""Values of the inputmode attribute, which selects a phone's keyboard."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Field:
    """One field of a form.

    :param name: name of the Struct field that it edits.
    :param label: its label.
    :param kind: the type of its value.
    :param hint: a short explanation, empty for none.
    :param choices: enumeration of the allowed values, for a choice.
    """

    name: str
    label: str
    kind: FieldKind = FieldKind.WHOLE
    hint: str = ""
    choices: type[Enum] | None = None


IDENTITY_FIELDS = (
    Field(name="name", label="Name", kind=FieldKind.TEXT, hint="as backend servers announce it"),
    Field(name="path", label="URL prefix", kind=FieldKind.TEXT, hint="with a slash at both ends"),
    Field(name="kind", label="Kind", kind=FieldKind.CHOICE, choices=RequestKind),
    Field(name="idempotent", label="May be run more than once", kind=FieldKind.CHECK),
    Field(name="body", label="Answers", kind=FieldKind.CHOICE, choices=BodyMode),
    Field(name="checks_tokens", label="Servers check tokens", kind=FieldKind.CHECK),
    Field(name="shards", label="Shards", hint="a power of two; keyed services only"),
)
LIMIT_FIELDS = (
    Field(name="deadline_ms", label="Deadline (ms)"),
    Field(name="max_request_bytes", label="Largest request (bytes)"),
    Field(name="max_response_bytes", label="Largest whole answer (bytes)"),
    Field(name="queue", label="Queue at one gateway (requests)"),
    Field(name="retry_share", label="Retries per request", kind=FieldKind.DECIMAL),
)
PLACEMENT_FIELDS = (
    Field(name="lost_after_ms", label="Server lost after (ms)"),
    Field(name="settle_ms", label="Wait after a join (ms)"),
    Field(name="rejoin_ms", label="Wait after a return (ms)"),
    Field(name="speed_change", label="Least change of speed", kind=FieldKind.DECIMAL),
    Field(name="bounded_load", label="Highest share of keys", kind=FieldKind.DECIMAL),
    Field(name="hot_keys", label="Hot keys placed one by one"),
)


@dataclass(frozen=True, kw_only=True, slots=True)
class ParsedFields:
    """Values of a form's fields.

    :param values: the valid values, by field name.
    :param faults: one for each text that is not a value of its field's type.
    """

    values: dict[str, Any]
    faults: tuple[Fault, ...]


def parse_fields(fields: Sequence[Field], form: Mapping[str, str], place: str) -> ParsedFields:
    """Parse the values of a form's fields.

    :param fields: the fields.
    :param form: the submitted texts, by place.
    :param place: path of the Struct in the document, the prefix of each input's name.
    """
    values: dict[str, Any] = {}
    faults: list[Fault] = []
    for field in fields:
        field_place = f"{place}.{field.name}"
        text = form.get(field_place, "").strip()
        try:
            values[field.name] = _parse_value(field, text)
        except ValueError:
            article = "a " if field.kind in (FieldKind.WHOLE, FieldKind.DECIMAL) else ""
            message = f"{text[:TEXT_LIMIT]!r} cannot be used for {field.label}"
            remedy = f"write {article}{field.kind.value}"
            faults.append(Fault(place=field_place, message=message, remedy=remedy))
    return ParsedFields(values=values, faults=tuple(faults))


def _parse_value(field: Field, text: str) -> Any:
    match field.kind:
        case FieldKind.CHECK:
            return text == "yes"
        case FieldKind.WHOLE:
            return int(text) if len(text) <= TEXT_LIMIT else int("")
        case FieldKind.DECIMAL:
            return float(text)
        case FieldKind.CHOICE:
            assert field.choices is not None
            return field.choices(text)
        case FieldKind.TEXT:
            return text


def form_texts(fields: Sequence[Field], value: object, place: str) -> dict[str, str]:
    """Return the initial texts of a Struct's fields, by place."""
    return {f"{place}.{field.name}": _format_value(getattr(value, field.name)) for field in fields}


def _format_value(value: object) -> str:
    match value:
        case bool():
            return "yes" if value else ""
        case Enum():
            return str(value.value)
        case _:
            return str(value)


def render_fields(
    fields: Sequence[Field], texts: Mapping[str, str], place: str, faults: Sequence[Fault]
) -> Html:
    """Return the input elements of fields, each with its label, hint and faults."""
    return join(*(_render_field(field, texts, f"{place}.{field.name}", faults) for field in fields))


def _render_field(
    field: Field, texts: Mapping[str, str], place: str, faults: Sequence[Fault]
) -> Html:
    field_faults = [fault for fault in faults if fault.place == place]
    notes = [(f"{place}-hint", field.hint)] if field.hint else []
    notes += [
        (f"{place}-fault-{n}", f"{f.message}: {f.remedy}") for n, f in enumerate(field_faults)
    ]
    description_ids = " ".join(note_id for note_id, _ in notes) or None
    input_element = _input_element(
        field, texts.get(place, ""), place, description_ids, bool(field_faults)
    )
    label = element("label", field.label, for_=place)
    texts_below = [
        element("p", text, id=note_id, class_="fault" if "-fault-" in note_id else "hint")
        for note_id, text in notes
    ]
    parts = [input_element, label] if field.kind is FieldKind.CHECK else [label, input_element]
    css_class = "field check" if field.kind is FieldKind.CHECK else "field"
    return element("div", *parts, *texts_below, class_=css_class)


def _input_element(
    field: Field, text: str, place: str, description_ids: str | None, faulty: bool
) -> Html:
    common: dict[str, Attribute] = {
        "id": place,
        "name": place,
        "aria_describedby": description_ids,
        "aria_invalid": "true" if faulty else None,
    }
    match field.kind:
        case FieldKind.CHOICE:
            assert field.choices is not None
            choice_values = [str(member.value) for member in field.choices]
            options = [
                element("option", value, value=value, selected=value == text)
                for value in choice_values
            ]
            return element("select", *options, **common)
        case FieldKind.CHECK:
            checked = text == "yes"
            return element("input", type="checkbox", value="yes", checked=checked, **common)
        case _:
            return element(
                "input",
                type="text",
                value=text,
                maxlength=TEXT_LIMIT,
                inputmode=_INPUT_MODES.get(field.kind),
                autocomplete="off",
                **common,
            )
