"""Typed values from YAML nodes, with every fault of the file and the line of each value.

The schema is the msgspec Struct itself. A value that is wrong is replaced by its default or by a
neutral value of its type, so that one pass finds all faults.
"""

import math
from collections.abc import Hashable, Mapping
from dataclasses import dataclass, field
from difflib import get_close_matches
from functools import lru_cache
from typing import Any, Generic, TypeVar, cast

import msgspec.inspect as inspect
from msgspec import NODEFAULT
from ruamel.yaml.nodes import MappingNode, Node, ScalarNode, SequenceNode

from lychee_types.exceptions import Fault

T = TypeVar("T")
T_co = TypeVar("T_co", covariant=True)

_TAG = "tag:yaml.org,2002:"
_TYPE_NAMES = {
    "int": "a whole number",
    "float": "a number",
    "bool": "true or false",
    "null": "nothing",
    "str": "text",
    "map": "a mapping",
    "seq": "a list",
    "timestamp": "a date",
}
_WHOLE_FLOAT_LIMIT = 2**53
"""Largest whole number that a float holds exactly."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Located(Generic[T_co]):
    """A value, its faults, and where each part of it stands in the file.

    :param value: the value; where there are faults, parts of it are neutral stand-ins.
    :param faults: all faults, in order of line.
    :param lines: line of each place, from 1.
    :param unusable: places whose values are stand-ins.
    """

    value: T_co
    faults: tuple[Fault, ...]
    lines: Mapping[str, int]
    unusable: frozenset[str]

    def line(self, place: str) -> int:
        """Return the line of a place, or of the nearest place around it."""
        while place and place not in self.lines:
            place = parent_place(place)
        return self.lines.get(place, 1)


def parent_place(place: str) -> str:
    """Return the place that holds a place: ``a[1].b`` is in ``a[1]``, that is in ``a``."""
    return place[: max(place.rfind("."), place.rfind("["), 0)]


def join_place(place: str, name: str) -> str:
    """Return the place of a name within a place."""
    return f"{place}.{name}" if place else name


def nearest_name(name: str, known: list[str]) -> str | None:
    """Return the known name that is most like a name, or None if none is."""
    found = get_close_matches(name, known, n=1, cutoff=0.6)
    return found[0] if found else None


def build(node: Node, kind: type[T]) -> Located[T]:
    """Build a typed value from a YAML node.

    :param node: the root node.
    :param kind: the type to build, a msgspec Struct or a type that its fields may have.
    """
    builder = _Builder()
    value = builder.value(node, _type_info(cast(Hashable, kind)), "")
    faults = sorted(builder.faults, key=lambda fault: fault.line)
    return Located(
        value=value,
        faults=tuple(faults),
        lines=builder.lines,
        unusable=frozenset(builder.unusable),
    )


@lru_cache(maxsize=64)
def _type_info(kind: Hashable) -> inspect.Type:
    return inspect.type_info(kind)


@dataclass(slots=True)
class _Builder:
    """Walks a type and a node together."""

    faults: list[Fault] = field(default_factory=list)
    lines: dict[str, int] = field(default_factory=dict)
    unusable: set[str] = field(default_factory=set)

    def value(self, node: Node, kind: inspect.Type, place: str) -> Any:
        """Return the value of a node, or a stand-in after noting the fault."""
        self.lines[place] = node.start_mark.line + 1
        match kind:
            case inspect.StructType():
                return self._struct(node, kind, place)
            case inspect.VarTupleType() | inspect.ListType():
                items = self._items(node, kind.item_type, place)
                return items if isinstance(kind, inspect.ListType) else tuple(items)
            case inspect.UnionType():
                return self._union(node, kind, place)
            case inspect.EnumType():
                return self._enum(node, kind, place)
            case inspect.BoolType():
                return self._bool(node, place)
            case inspect.IntType() | inspect.FloatType():
                return self._number(node, kind, place)
            case inspect.StrType():
                return self._text(node, kind, place)
            case inspect.NoneType():
                return self._nothing(node, place)
            case _:
                raise TypeError(f"the schema has no rule for {kind!r}; add one to lychee_types")

    def _refuse(self, node: Node, place: str, message: str, remedy: str) -> None:
        line = node.start_mark.line + 1
        self.unusable.add(place)
        self.faults.append(Fault(place=place or "file", line=line, message=message, remedy=remedy))

    def _wrong_type(self, node: Node, place: str, wanted: str, remedy: str) -> None:
        self._refuse(node, place, f"needs {wanted}, not {_describe(node)}", remedy)

    def _struct(self, node: Node, kind: inspect.StructType, place: str) -> Any:
        fields = {f.encode_name: f for f in kind.fields}
        if not isinstance(node, MappingNode):
            names = ", ".join(fields)
            self._wrong_type(node, place, "a mapping", f"write names with values: {names}")
            return _stand_in(kind)
        values: dict[str, Any] = {}
        misspelt: set[str] = set()
        first_lines: dict[str, int] = {}
        for name_node, value_node in node.value:
            name = self._name(name_node, place)
            inner = join_place(place, name)
            if name in first_lines:
                self._duplicate(name_node, inner, first_lines[name])
                continue
            first_lines[name] = name_node.start_mark.line + 1
            if name in fields:
                values[fields[name].name] = self.value(value_node, fields[name].type, inner)
            else:
                misspelt.add(self._unknown(name_node, place, name, list(fields)) or "")
        for name in fields:
            if fields[name].name not in values:
                values[fields[name].name] = self._absent(node, fields[name], place, misspelt)
        return kind.cls(**values)

    def _name(self, node: Node, place: str) -> str:
        if isinstance(node, ScalarNode):
            return str(node.value)
        self._refuse(node, place, "a name needs to be text", "write the name as a single word")
        return f"?{node.start_mark.line}"

    def _duplicate(self, node: Node, place: str, first: int) -> None:
        message = f"this name stands twice, first in line {first}"
        self._refuse(node, place, message, "leave one of the two out")

    def _unknown(self, node: Node, place: str, name: str, known: list[str]) -> str | None:
        nearest = nearest_name(name, known)
        remedy = f"write {nearest}" if nearest else f"use one of {', '.join(known)}"
        inner = join_place(place, name)
        if not name.startswith("?"):
            self._refuse(node, inner, f"the name {name!r} is not known", remedy)
        return nearest

    def _absent(self, node: Node, wanted: inspect.Field, place: str, misspelt: set[str]) -> Any:
        if not wanted.required:
            return _default(wanted)
        inner = join_place(place, wanted.encode_name)
        self.unusable.add(inner)
        if wanted.encode_name not in misspelt:
            remedy = f"add {wanted.encode_name}: with {_wanted(wanted.type)}"
            self._refuse(node, inner, "this value is missing", remedy)
        return _stand_in(wanted.type)

    def _items(self, node: Node, kind: inspect.Type, place: str) -> list[Any]:
        if not isinstance(node, SequenceNode):
            remedy = "put each entry on its own line after a dash, or write [] for none"
            self._wrong_type(node, place, "a list", remedy)
            return []
        return [self.value(item, kind, f"{place}[{n}]") for n, item in enumerate(node.value)]

    def _union(self, node: Node, kind: inspect.UnionType, place: str) -> Any:
        if node.tag == _TAG + "null" and any(
            isinstance(one, inspect.NoneType) for one in kind.types
        ):
            return None
        others = [one for one in kind.types if not isinstance(one, inspect.NoneType)]
        if len(others) != 1:
            raise TypeError("the schema allows one type or null; change the field's type")
        return self.value(node, others[0], place)

    def _enum(self, node: Node, kind: inspect.EnumType, place: str) -> Any:
        known = {str(member.value): member for member in kind.cls}
        text = str(node.value) if isinstance(node, ScalarNode) else None
        if text in known:
            return known[text]
        nearest = nearest_name(text or "", list(known))
        remedy = f"write {nearest}" if nearest else f"write one of {', '.join(known)}"
        what = repr(text) if text is not None else _describe(node)
        self._refuse(node, place, f"{what} is not one of {', '.join(known)}", remedy)
        return _stand_in(kind)

    def _bool(self, node: Node, place: str) -> bool:
        if node.tag == _TAG + "bool" and node.value.lower() in ("true", "false"):
            return bool(node.value.lower() == "true")
        self._wrong_type(node, place, "true or false", "write true or false without quotes")
        return False

    def _number(self, node: Node, kind: inspect.IntType | inspect.FloatType, place: str) -> Any:
        whole = isinstance(kind, inspect.IntType)
        wanted = "a whole number" if whole else "a number"
        tags = [_TAG + "int"] if whole else [_TAG + "int", _TAG + "float"]
        number = _read_number(node) if node.tag in tags else None
        if number is None:
            self._wrong_type(node, place, wanted, f"write {wanted} without quotes or a unit")
            return _stand_in(kind)
        allowed = _range_of(kind)
        if not _is_in_range(number, kind):
            self._refuse(node, place, f"{node.value} is out of range", f"write {allowed}")
            return _stand_in(kind)
        return number if whole else float(number)

    def _text(self, node: Node, kind: inspect.StrType, place: str) -> str:
        if not isinstance(node, ScalarNode) or node.tag != _TAG + "str":
            remedy = "put the value in quotes" if isinstance(node, ScalarNode) else "write one text"
            self._wrong_type(node, place, "text", remedy)
            return ""
        text = str(node.value)
        least, most = kind.min_length or 0, kind.max_length
        if len(text) < least or (most is not None and len(text) > most):
            bound = f"{least} to {most}" if most is not None else f"at least {least}"
            message = f"the text has {len(text)} characters"
            self._refuse(node, place, message, f"write {bound} characters")
        return text

    def _nothing(self, node: Node, place: str) -> None:
        if node.tag != _TAG + "null":
            self._wrong_type(node, place, "nothing", "leave the value out")


def _describe(node: Node) -> str:
    name = str(node.tag).removeprefix(_TAG)
    known = _TYPE_NAMES.get(name, f"a value with the tag {node.tag}")
    if isinstance(node, ScalarNode) and name in ("str", "int", "float", "bool", "timestamp"):
        text = node.value if len(node.value) <= 40 else node.value[:40] + "..."
        return f"{known} ({text!r})" if name == "str" else f"{known} ({text})"
    return known


def _wanted(kind: inspect.Type) -> str:
    match kind:
        case inspect.StructType():
            return "a mapping"
        case inspect.VarTupleType() | inspect.ListType():
            return "a list"
        case inspect.EnumType():
            return "one of " + ", ".join(str(member.value) for member in kind.cls)
        case inspect.BoolType():
            return "true or false"
        case inspect.IntType():
            return "a whole number"
        case inspect.FloatType():
            return "a number"
        case _:
            return "text"


def _read_number(node: Node) -> int | float | None:
    text = node.value.replace("_", "")
    try:
        if node.tag == _TAG + "float":
            number = float(text)
            return number if math.isfinite(number) else None
        digits = text.lstrip("+-")
        base = {"0x": 16, "0o": 8, "0b": 2}.get(digits[:2].lower(), 10)
        whole = int(text, base)
    except ValueError:
        return None
    return whole if abs(whole) <= _WHOLE_FLOAT_LIMIT else None


def _is_in_range(number: int | float, kind: inspect.IntType | inspect.FloatType) -> bool:
    return (
        (kind.ge is None or number >= kind.ge)
        and (kind.gt is None or number > kind.gt)
        and (kind.le is None or number <= kind.le)
        and (kind.lt is None or number < kind.lt)
    )


def _range_of(kind: inspect.IntType | inspect.FloatType) -> str:
    bounds = {"at least": kind.ge, "more than": kind.gt, "at most": kind.le, "less than": kind.lt}
    words = [f"{word} {bound}" for word, bound in bounds.items() if bound is not None]
    return "a number of " + " and ".join(words)


def _default(wanted: inspect.Field) -> Any:
    if wanted.default is not NODEFAULT:
        return wanted.default
    return wanted.default_factory()


def _stand_in(kind: inspect.Type) -> Any:
    """Return a neutral value of a type, in place of one that is missing or wrong."""
    match kind:
        case inspect.StructType():
            return kind.cls(
                **{f.name: _stand_in(f.type) if f.required else _default(f) for f in kind.fields}
            )
        case inspect.VarTupleType():
            return ()
        case inspect.ListType():
            return []
        case inspect.EnumType():
            return next(iter(kind.cls))
        case inspect.BoolType():
            return False
        case inspect.IntType():
            return 1
        case inspect.FloatType():
            return 1.0
        case inspect.StrType():
            return ""
        case _:
            return None
