"""The tree of a JSON text, with or without locations."""

from typing import NamedTuple, TypeAlias

Scalar: TypeAlias = str | int | float | bool | None

# Maximum depth of nested objects and lists.
MAX_DEPTH = 16
# Maximum length of a number, in characters.
MAX_NUMBER_CHARS = 32


class JsonNode(NamedTuple):
    """A value with the line and column of its start, counted from 1.

    Both are 0 if the text was parsed without locations.
    """

    body: 'JsonContent'
    line: int
    column: int


class JsonMember(NamedTuple):
    """A member of an object, with the location of its name."""

    name: str
    line: int
    column: int
    node: JsonNode


class JsonObject(NamedTuple):
    """An object, with its members in text order."""

    members: tuple[JsonMember, ...]


class JsonArray(NamedTuple):
    """A list of values."""

    nodes: tuple[JsonNode, ...]


JsonContent: TypeAlias = Scalar | JsonObject | JsonArray
