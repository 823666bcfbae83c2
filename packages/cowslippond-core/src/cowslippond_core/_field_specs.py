"""Descriptions of the fields that documents and settings may hold.

One table of these drives the reader, its findings and the pages for operators.
"""

import re
from typing import NamedTuple, TypeAlias

PlainValue: TypeAlias = str | int | float | None

FRACTION_UNIT = 'share, 1 is all'
MILLIS_UNIT = 'milliseconds'


class NumberSpec(NamedTuple):
    """A number within bounds, both included."""

    unit: str
    minimum: float
    maximum: float
    is_whole: bool = False


class TextSpec(NamedTuple):
    """A text that matches a pattern as a whole.

    ``form`` describes the pattern in words.
    """

    pattern: re.Pattern[str]
    description: str


class ChoiceSpec(NamedTuple):
    """One of a few words."""

    choices: tuple[str, ...]


class AddressSpec(NamedTuple):
    """An IP number and a port, ``host:port``."""


class ListSpec(NamedTuple):
    """A list; every member has the same form."""

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

    ``default`` holds if the field is left out; an object that is left out
    takes the defaults of its fields, and a list is empty.
    """

    name: str
    kind: FieldKind
    summary: str
    default: PlainValue = None
    is_required: bool = False


def number(
    unit: str, minimum: float, maximum: float, *, is_whole: bool = False
) -> NumberSpec:
    """Describe a number.

    :param least: the smallest number allowed, in the unit.
    :param most: the largest number allowed, in the unit.
    """
    return NumberSpec(unit, minimum, maximum, is_whole)


def text(pattern: str, description: str) -> TextSpec:
    """Describe a text.

    :param pattern: a regular expression for the whole text.
    :param form: the pattern in words.
    """
    return TextSpec(re.compile(pattern, re.ASCII), description)
