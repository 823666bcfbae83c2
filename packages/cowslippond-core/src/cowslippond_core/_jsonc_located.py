"""Parser for JSON with comments that keeps the location of each value.

It reports every fault of a text: constructs that only JSON5 allows, duplicate
names and the first syntax error.
"""

import json
import re
from collections.abc import Iterator
from functools import singledispatch
from types import MappingProxyType
from typing import Any, NamedTuple

from json5 import model
from json5.parser import JSONParser
from json5.tokenizer import JSONLexer
from json5.utils import JSON5DecodeError

from cowslippond_core._findings import Finding, Location
from cowslippond_core._jsonc_comments import (
    CONTROL_CHARACTER,
    LEXEME,
    MAX_TEXT_CHARS,
    blank_comments,
    is_unclosed,
)
from cowslippond_core._jsonc_tree import (
    MAX_DEPTH,
    MAX_NUMBER_CHARS,
    JsonArray,
    JsonContent,
    JsonMember,
    JsonNode,
    JsonObject,
    Scalar,
)

_JSON_NUMBER = re.compile(r'(?:0|[1-9][0-9]*)(?:\.[0-9]+)?')
_JSON_SPACE = frozenset(' \t\r\n')
_EXPECTED_TOKENS = re.compile('expecting (.+?)(?: in or near|$)')

_OPENING = frozenset(('LBRACE', 'LBRACKET'))
_CLOSING = frozenset(('RBRACE', 'RBRACKET'))
_JSON5_TOKEN_FAULTS = MappingProxyType(
    {
        'SINGLE_QUOTE_STRING': 'strings must be in double quotes',
        'NAME': 'names must be in double quotes',
        'PLUS': 'a number must not have a leading plus sign',
        'HEXADECIMAL': 'numbers must be decimal',
        'OCTAL': 'a number must not have a leading zero',
        'INFINITY': 'Infinity is not a JSON number',
        'NAN': 'NaN is not a JSON number',
    }
)
_TOKEN_NAMES = MappingProxyType(
    {
        'RBRACE': '"}"',
        'RBRACKET': '"]"',
        'COLON': '":"',
        'COMMA': '","',
        'key': 'a name in double quotes',
        'value': 'a value',
    }
)


class ParsedText(NamedTuple):
    """The result of parsing a text: its tree and its faults.

    ``root`` is ``None`` if the faults prevent building a tree.
    """

    root: JsonNode | None
    findings: tuple[Finding, ...]


def parse_with_locations(text: str, file: str) -> ParsedText:
    """Parse a text with the location of every value, and find its faults.

    :param file: the name of the file, for findings.
    """
    if len(text) > MAX_TEXT_CHARS:
        message = f'longer than {MAX_TEXT_CHARS} characters'
        return ParsedText(None, (Finding(Location(file, 1, 1, ''), message),))
    fault = _control_character_finding(text, file) or _unclosed_lexeme_finding(
        text, file
    )
    if fault is not None:
        return ParsedText(None, (fault,))
    blanked = blank_comments(text) or ''
    lexer = JSONLexer()
    try:
        tokens = list(lexer.tokenize(blanked))
    except JSON5DecodeError:
        character = text[lexer.index]
        message = f'unexpected character {character!r}'
        return ParsedText(
            None, (_finding_at(text, lexer.index, file, message),)
        )
    return _parse_tokens(text, file, tokens)


def location_at(text: str, index: int, file: str, path: str = '') -> Location:
    """Return the location of a character.

    :param index: the index of the character in the text, from 0.
    """
    line = text.count('\n', 0, index) + 1
    column = index - text.rfind('\n', 0, index)
    return Location(file, line, column, path)


def _finding_at(text: str, index: int, file: str, message: str) -> Finding:
    return Finding(location_at(text, index, file), message)


def _control_character_finding(text: str, file: str) -> Finding | None:
    match = CONTROL_CHARACTER.search(text)
    if match is None:
        return None
    message = f'control character {match.group()!r}'
    return _finding_at(text, match.start(), file, message)


def _unclosed_lexeme_finding(text: str, file: str) -> Finding | None:
    for lexeme in LEXEME.finditer(text):
        if not is_unclosed(lexeme):
            continue
        kind = 'comment' if lexeme.lastgroup == 'unclosed' else 'string'
        message = f'the {kind} is not closed'
        return _finding_at(text, lexeme.start(), file, message)
    return None


def _parse_tokens(text: str, file: str, tokens: list[Any]) -> ParsedText:
    findings = [
        _finding_at(text, token.index, file, message)
        for token, message in _lexical_faults(tokens)
    ]
    if _depth_of(tokens) > MAX_DEPTH:
        message = f'nested deeper than {MAX_DEPTH} levels'
        findings.append(_finding_at(text, 0, file, message))
        return ParsedText(None, tuple(findings))
    parser = JSONParser()
    significant = [token for token in tokens if token.type != 'WHITESPACE']
    try:
        parsed = parser.parse(iter(significant))
    except Exception:
        # After a syntax error, the parser's recovery can raise any exception.
        if parser.errors or not findings:
            findings.append(_syntax_finding(text, file, parser))
        return ParsedText(None, tuple(findings))
    builder = _LocatedTreeBuilder(file, findings)
    root = builder.build(parsed.value, '')
    return ParsedText(root, tuple(builder.findings))


def _lexical_faults(tokens: list[Any]) -> Iterator[tuple[Any, str]]:
    """Yield the tokens that JSON does not allow, each with a message."""
    for token in tokens:
        message = _JSON5_TOKEN_FAULTS.get(token.type) or _token_fault(token)
        if message:
            yield token, message


def _token_fault(token: Any) -> str:
    if token.type == 'WHITESPACE' and not _JSON_SPACE.issuperset(token.value):
        return 'whitespace character that JSON does not allow'
    if token.type == 'DOUBLE_QUOTE_STRING':
        return '' if _is_json_string(token.value) else 'not a JSON string'
    if token.type not in {'INTEGER', 'FLOAT', 'EXPONENT'}:
        return ''
    if len(token.value) > MAX_NUMBER_CHARS:
        return f'number longer than {MAX_NUMBER_CHARS} characters'
    if token.type == 'EXPONENT' or _JSON_NUMBER.fullmatch(token.value):
        return ''
    return 'not a JSON number'


def _is_json_string(raw: str) -> bool:
    try:
        json.loads(raw)
    except ValueError:
        return False
    return True


def _depth_of(tokens: list[Any]) -> int:
    depth = 0
    deepest = 0
    for token in tokens:
        if token.type in _OPENING:
            depth += 1
        if token.type in _CLOSING:
            depth -= 1
        deepest = max(depth, deepest)
    return deepest


def _syntax_finding(text: str, file: str, parser: Any) -> Finding:
    error = parser.errors[0] if parser.errors else None
    token = getattr(error, 'token', None)
    expected = _EXPECTED_TOKENS.search(getattr(error, 'msg', ''))
    names = expected.group(1).split(' or ') if expected else []
    alternatives = ' or '.join(_token_label(name) for name in names)
    hint = f', expected {alternatives}' if alternatives else ''
    if token is None or token.index is None:
        return _finding_at(
            text, len(text), file, f'unexpected end of text{hint}'
        )
    message = f'unexpected {token.value!r}{hint}'
    return _finding_at(text, token.index, file, message)


def _token_label(token_name: str) -> str:
    return _TOKEN_NAMES.get(token_name, token_name)


class _LocatedTreeBuilder:
    """Builds the tree of a parsed text and reports duplicate names.

    :param file: the name of the file, for findings.
    :param findings: the list to which findings are appended.
    """

    def __init__(self, file: str, findings: list[Finding]) -> None:
        self.file = file
        self.findings = findings

    def build(self, node: Any, path: str) -> JsonNode:
        """Return a value with its location."""
        if isinstance(node, model.JSONObject):
            return _with_location(node, self._build_object(node, path))
        if isinstance(node, model.JSONArray):
            nodes = (
                self.build(member, f'{path}[{index}]')
                for index, member in enumerate(node.values)
            )
            return _with_location(node, JsonArray(tuple(nodes)))
        return _with_location(node, _scalar_of(node))

    def _build_object(self, node: Any, path: str) -> JsonObject:
        members: dict[str, JsonMember] = {}
        for key, member in zip(node.keys, node.values, strict=True):
            name = _name_of(key)
            at_path = f'{path}.{name}' if path else name
            line, column = key.lineno, key.col_offset + 1
            earlier = members.get(name)
            if earlier is not None:
                message = f'duplicate of line {earlier.line}'
                location = Location(self.file, line, column, at_path)
                self.findings.append(Finding(location, message))
                continue
            members[name] = JsonMember(
                name, line, column, self.build(member, at_path)
            )
        return JsonObject(tuple(members.values()))


def _with_location(node: Any, body: JsonContent) -> JsonNode:
    return JsonNode(body, node.lineno, node.col_offset + 1)


def _name_of(key: Any) -> str:
    if isinstance(key, model.Identifier):
        return str(key.name)
    return _string_of(key)


def _string_of(node: Any) -> str:
    if node.raw_value.startswith('"') and _is_json_string(node.raw_value):
        return str(json.loads(node.raw_value))
    return str(node.characters)


@singledispatch
def _scalar_of(node: Any) -> Scalar:
    """Return the plain value of a literal."""
    scalar: Scalar = node.value
    return scalar


@_scalar_of.register(model.String)
def _scalar_of_string(node: Any) -> Scalar:
    return _string_of(node)


@_scalar_of.register(model.UnaryOp)
def _scalar_of_signed_number(node: Any) -> Scalar:
    magnitude: int | float = node.value.value
    return -magnitude if node.op == '-' else magnitude
