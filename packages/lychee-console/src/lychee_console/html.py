"""Builder of HTML elements that always escapes texts and attributes."""

from dataclasses import dataclass
from html import escape

VOID_ELEMENTS = frozenset({"input", "meta", "link", "br"})


@dataclass(frozen=True, slots=True)
class Html:
    """HTML that is already escaped.

    :param text: the HTML.
    """

    text: str


Child = Html | str | None
"""Child of an element: HTML, text that is still to be escaped, or nothing."""

Attribute = str | int | bool | None
"""An attribute's value; True writes only the name, False and None omit the attribute."""


def element(name: str, /, *children: Child, **attributes: Attribute) -> Html:
    """Return an element.

    :param name: its name.
    :param children: its children.
    :param attributes: its attributes; ``for_`` is written as ``for``, and ``a_b`` as ``a-b``.
    """
    start_tag = name + "".join(_attribute(key, value) for key, value in attributes.items())
    if name in VOID_ELEMENTS:
        return Html(f"<{start_tag}>")
    return Html(f"<{start_tag}>{join(*children).text}</{name}>")


def join(*children: Child) -> Html:
    """Concatenate children."""
    return Html("".join(_render(child) for child in children))


def _render(child: Child) -> str:
    match child:
        case None:
            return ""
        case Html():
            return child.text
        case _:
            return escape(child)


def _attribute(key: str, value: Attribute) -> str:
    name = key.rstrip("_").replace("_", "-")
    if value is True:
        return f" {name}"
    if value is None or value is False:
        return ""
    return f' {name}="{escape(str(value))}"'
