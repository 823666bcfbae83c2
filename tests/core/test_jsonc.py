"""Tests of the fast and the locating parser of JSON with comments."""

import json

import pytest
from cowslippond_core._jsonc import parse_valid
from cowslippond_core._jsonc_comments import MAX_TEXT_CHARS
from cowslippond_core._jsonc_located import parse_with_locations
from cowslippond_core._jsonc_tree import (
    MAX_DEPTH,
    JsonArray,
    JsonNode,
    JsonObject,
)
from hypothesis import example, given
from hypothesis import strategies as st

FRAGMENTS = st.sampled_from(
    [
        *'{}[],:"/* -+.e',
        *("'", '\n', '\t', '\\'),
        *('//', '/*', '*/', '""', '"a"', '"b"', "'c'", 'true', 'null', 'NaN'),
        *(
            '0',
            '01',
            '1.',
            '.5',
            '1e5',
            '-2',
            '0x1',
            'Infinity',
            'name',
            '\u00a0',
        ),
        *(
            r'"\u12"',
            r'"\q"',
            '{"a":1}',
            '[1,]',
            '{"a":[],}',
            '9' * 40,
            '\ufeff',
        ),
    ]
)
TEXTS = st.one_of(
    st.text(max_size=40), st.lists(FRAGMENTS, max_size=14).map(''.join)
)
JSON_TREES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(10**9), 10**9)
    | st.floats(-1e9, 1e9)
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=4), inner, max_size=4)
    ),
    max_leaves=12,
)


def plain_of(node: JsonNode) -> object:
    if isinstance(node.body, JsonObject):
        return {each.name: plain_of(each.node) for each in node.body.members}
    if isinstance(node.body, JsonArray):
        return [plain_of(each) for each in node.body.nodes]
    return node.body


class TestAnyText:
    @given(text=TEXTS)
    @example(text='[,]')
    @example(text='[1,,]')
    @example(text='{,}')
    @example(text=r'"\ud800"')
    def test_both_readers_accept_the_same_texts(self, text: str) -> None:
        fast = parse_valid(text)
        located = parse_with_locations(text, 'f')
        assert (fast is None) == bool(located.findings)
        if fast is None or located.root is None:
            assert fast is None
            return
        assert plain_of(fast) == plain_of(located.root)

    @given(text=TEXTS)
    def test_every_finding_lies_inside_the_text(self, text: str) -> None:
        lines = text.split('\n')
        for finding in parse_with_locations(text, 'f').findings:
            assert 1 <= finding.location.line <= len(lines)
            line = lines[finding.location.line - 1]
            assert 1 <= finding.location.column <= len(line) + 1

    @given(tree=JSON_TREES)
    def test_plain_json_is_read_as_the_standard_module_reads_it(
        self, tree: object
    ) -> None:
        node = parse_valid(json.dumps(tree, indent=1))
        assert node is not None
        assert plain_of(node) == tree


class TestFaults:
    @pytest.mark.parametrize(
        ('text', 'line', 'column', 'words'),
        [
            ('{"a": 1,\n "a": 2}', 2, 2, 'duplicate of line 1'),
            ("{'a': 1}", 1, 2, 'double quotes'),
            ('{a: 1}', 1, 2, 'double quotes'),
            ('{"a": 0x1F}', 1, 7, 'decimal'),
            ('[\n\n01]', 3, 1, 'leading zero'),
            ('[NaN]', 1, 2, 'NaN'),
            ('[1 2]', 1, 4, 'expected "]" or ","'),
            ('{"a" 1}', 1, 6, 'expected ":"'),
            ('{"a": 1', 1, 8, 'unexpected end of text'),
            ('{}\n{}', 2, 1, 'unexpected'),
            ('{"a": "b\n"}', 1, 7, 'not closed'),
            ('{ /* a\n', 1, 3, 'not closed'),
            (r'["\q"]', 1, 2, 'not a JSON string'),
            ('{} // \x1b[2J', 1, 7, 'control character'),
            ('[$%]', 1, 3, 'unexpected character'),
            ('[' * (MAX_DEPTH + 1), 1, 1, 'nested deeper'),
            (' ' * (MAX_TEXT_CHARS + 1), 1, 1, 'longer than'),
        ],
    )
    def test_fault_is_reported_at_its_location(
        self, text: str, line: int, column: int, words: str
    ) -> None:
        findings = parse_with_locations(text, 'f').findings
        positions = [
            (each.location.line, each.location.column)
            for each in findings
            if words in each.message
        ]
        assert (line, column) in positions, findings

    def test_unclosed_comment_of_many_lines_is_found(self) -> None:
        """Guards against exponential time.

        The JSON5 tokenizer takes twice as long with each line of such a
        comment.
        """
        findings = parse_with_locations(
            '\n'.join(['/*', *('x' * 2000)]), 'f'
        ).findings
        assert [each.message for each in findings] == [
            'the comment is not closed'
        ]

    def test_comment_markers_inside_strings_are_text(self) -> None:
        node = parse_valid('{"a": "http://x/*", /* c */ "b": [1, 2,], // d\n}')
        assert node is not None
        assert plain_of(node) == {'a': 'http://x/*', 'b': [1, 2]}
