"""Validation findings beyond the schema, and the lines of a file that they refer to."""

import re
from collections.abc import Callable, Hashable, Iterable, Iterator
from dataclasses import dataclass

from lychee_types.exceptions import Fault
from lychee_types.schema import Located, parent_place

NAME_LIMIT = 64
"""Maximum length of the name of a service, failure domain, server or process, in characters."""

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")


@dataclass(frozen=True, kw_only=True, slots=True)
class Finding:
    """A fault of a value that has the right type.

    :param place: path of the value, for example ``services[2].deadline_ms``.
    :param message: what is wrong.
    :param remedy: what to write instead.
    :param needs: paths of the other values that the finding depends on.
    """

    place: str
    message: str
    remedy: str
    needs: tuple[str, ...] = ()

    def to_fault(self, *, line: int = 0) -> Fault:
        """Convert the finding to a fault.

        :param line: line in the file, 0 if there is no file.
        """
        return Fault(place=self.place, line=line, message=self.message, remedy=self.remedy)


def merge_faults(findings: Iterable[Finding], located: Located[object]) -> tuple[Fault, ...]:
    """Return the faults found by the schema and the findings, sorted by line.

    A finding that depends on a value that the schema has rejected is dropped.

    :param findings: the findings of the checks beyond the schema.
    :param located: the value that was checked.
    """
    faults = list(located.faults)
    for finding in findings:
        if not any(_is_unusable(p, located) for p in (finding.place, *finding.needs)):
            faults.append(finding.to_fault(line=located.line(finding.place)))
    return tuple(sorted(faults, key=lambda fault: fault.line))


def _is_unusable(place: str, located: Located[object]) -> bool:
    while place not in located.unusable and place:
        place = parent_place(place)
    return place in located.unusable


def check_name(name: str, place: str) -> Iterator[Finding]:
    """Check the characters and the length of a name."""
    if len(name) > NAME_LIMIT or not _NAME.fullmatch(name):
        yield Finding(
            place=place,
            message=f"{name[:NAME_LIMIT]!r} is not a name",
            remedy=f"write 1 to {NAME_LIMIT} letters, digits, '.', '_' or '-', "
            "beginning with a letter or digit",
        )


def check_range(value: float, place: str, *, least: float, most: float) -> Iterator[Finding]:
    """Check that a number is within a range, both ends included."""
    if not least <= value <= most:
        yield Finding(
            place=place,
            message=f"{value} is out of range",
            remedy=f"write a number from {least} to {most}",
        )


def check_count(count: int, place: str, *, most: int) -> Iterator[Finding]:
    """Check that a list has at most a given number of entries."""
    if count > most:
        yield Finding(
            place=place,
            message=f"the list has {count} entries",
            remedy=f"write at most {most} entries",
        )


def check_unique(
    values: Iterable[Hashable], place: Callable[[int], str], *, what: str
) -> Iterator[Finding]:
    """Check that no value occurs twice.

    :param values: the values in order.
    :param place: returns the path of the value at an index.
    :param what: noun for the values, used in the message.
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
