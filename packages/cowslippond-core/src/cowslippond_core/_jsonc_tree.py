"""The tree of a JSON text, with or without places."""

from typing import NamedTuple, TypeAlias

Scalar: TypeAlias = str | int | float | bool | None

# Levels of nested objects and lists.
MAX_DEPTH = 16
# Characters of the longest number.
MAX_NUMBER_CHARS = 32


class JsonNode(NamedTuple):
    """A value with the line and column where it starts, from 1.

    Both are 0 if the text was read without places.
    """

    body: 'JsonContent'
    line: int
    column: int


class JsonMember(NamedTuple):
    """A member of an object, with the place of its name."""

    name: str
    line: int
    column: int
    node: JsonNode


class JsonObject(NamedTuple):
    """An object; its members in the order of the text."""

    members: tuple[JsonMember, ...]


class JsonArray(NamedTuple):
    """A list of values."""

    nodes: tuple[JsonNode, ...]


JsonContent: TypeAlias = Scalar | JsonObject | JsonArray
