"""Findings of checks that go beyond the schema, and their lines in a file."""

import re
from collections.abc import Callable, Hashable, Iterable, Iterator
from dataclasses import dataclass

from lychee_types.exceptions import Fault
from lychee_types.schema import Located, parent_place

NAME_LIMIT = 64
"""Longest name of a service, failure domain, server or process, in characters."""

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")


@dataclass(frozen=True, kw_only=True, slots=True)
class Finding:
    """A fault of a value that has the right type.

    :param place: where it is.
    :param message: what is wrong.
    :param remedy: what to write instead.
    :param needs: other places whose values the finding depends on.
    """

    place: str
    message: str
    remedy: str
    needs: tuple[str, ...] = ()

    def fault(self, *, line: int = 0) -> Fault:
        """Return the finding as a fault."""
        return Fault(place=self.place, line=line, message=self.message, remedy=self.remedy)


def merge_faults(findings: Iterable[Finding], located: Located[object]) -> tuple[Fault, ...]:
    """Return the schema's faults and the findings, in order of line.

    A finding that depends on a value that the schema has refused is left out.

    :param findings: what the checks found.
    :param located: the value that was checked.
    """
    faults = list(located.faults)
    for finding in findings:
        if not any(_is_unusable(p, located) for p in (finding.place, *finding.needs)):
            faults.append(finding.fault(line=located.line(finding.place)))
    return tuple(sorted(faults, key=lambda fault: fault.line))


def _is_unusable(place: str, located: Located[object]) -> bool:
    while place not in located.unusable and place:
        place = parent_place(place)
    return place in located.unusable


def check_name(name: str, place: str) -> Iterator[Finding]:
    """Check a name's characters and length."""
    if len(name) > NAME_LIMIT or not _NAME.fullmatch(name):
        yield Finding(
            place=place,
            message=f"{name[:NAME_LIMIT]!r} is not a name",
            remedy=f"write 1 to {NAME_LIMIT} letters, digits, '.', '_' or '-', "
            "beginning with a letter or digit",
        )


def check_range(value: float, place: str, *, least: float, most: float) -> Iterator[Finding]:
    """Check that a number is within bounds, both allowed."""
    if not least <= value <= most:
        yield Finding(
            place=place,
            message=f"{value} is out of range",
            remedy=f"write a number from {least} to {most}",
        )


def check_count(count: int, place: str, *, most: int) -> Iterator[Finding]:
    """Check how many entries a list has."""
    if count > most:
        yield Finding(
            place=place,
            message=f"the list has {count} entries",
            remedy=f"write at most {most} entries",
        )


def check_unique(
    values: Iterable[Hashable], place: Callable[[int], str], *, what: str
) -> Iterator[Finding]:
    """Check that no value stands twice.

    :param values: the values in order.
    :param place: place of the value at an index.
    :param what: what the values are, for the message.
    """
    seen: dict[Hashable, int] = {}
    for index, value in enumerate(values):
        first = seen.setdefault(value, index)
        if first != index:
            yield Finding(
                place=place(index),
                message=f"{what} {value} stands twice, first at {place(first)}",
                remedy="change or remove one of the two",
                needs=(place(first),),
            )
