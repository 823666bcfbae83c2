"""Specifications of the fields of documents and settings.

The reader, its findings and the field tables of the documentation are all
derived from them.
"""

import re
from typing import NamedTuple, TypeAlias

PlainValue: TypeAlias = str | int | float | None

FRACTION_UNIT = 'fraction'
MILLIS_UNIT = 'milliseconds'


class NumberSpec(NamedTuple):
    """A number within inclusive bounds."""

    unit: str
    minimum: float
    maximum: float
    is_whole: bool = False


class TextSpec(NamedTuple):
    """A string that matches a pattern completely.

    ``description`` describes the pattern in words.
    """

    pattern: re.Pattern[str]
    description: str


class ChoiceSpec(NamedTuple):
    """One of a fixed set of strings."""

    choices: tuple[str, ...]


class AddressSpec(NamedTuple):
    """An IP address and a port, as ``host:port``."""


class ListSpec(NamedTuple):
    """A list whose members are all of one kind."""

    member: 'FieldKind'
    min_length: int
    max_length: int


class ObjectSpec(NamedTuple):
    """An object with a fixed set of fields."""

    fields: tuple['FieldSpec', ...]


FieldKind: TypeAlias = (
    NumberSpec | TextSpec | ChoiceSpec | AddressSpec | ListSpec | ObjectSpec
)


class FieldSpec(NamedTuple):
    """A field of an object.

    ``default`` applies if the field is omitted. An omitted object takes the
    defaults of its fields, and an omitted list is empty.
    """

    name: str
    kind: FieldKind
    summary: str
    default: PlainValue = None
    is_required: bool = False


def number(
    unit: str, minimum: float, maximum: float, *, is_whole: bool = False
) -> NumberSpec:
    """Return the specification of a number.

    :param minimum: the smallest number allowed, in the unit.
    :param maximum: the largest number allowed, in the unit.
    """
    return NumberSpec(unit, minimum, maximum, is_whole)


def text(pattern: str, description: str) -> TextSpec:
    """Return the specification of a string.

    :param pattern: a regular expression for the whole string.
    :param description: the pattern in words.
    """
    return TextSpec(re.compile(pattern, re.ASCII), description)
