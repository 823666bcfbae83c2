"""Tests of reading service documents."""

import pathlib
import string
from types import MappingProxyType

import orjson
import pytest
from cowslippond_core import Priority, ServiceDocument, read_document
from cowslippond_core._document_fields import DOCUMENT_SPEC
from cowslippond_core._field_specs import (
    ChoiceSpec,
    FieldSpec,
    ListSpec,
    NumberSpec,
    ObjectSpec,
)
from hypothesis import example, given
from hypothesis import strategies as st

ROOT = pathlib.Path(__file__).parents[2]
EXAMPLES = sorted((ROOT / 'examples').glob('*/*.jsonc'))

MINIMAL = MappingProxyType(
    {
        'service': '"stock"',
        'match': '[{"host": "shop.example", "path_prefix": "/stock"}]',
        'upstreams': '{"slots": 2, "mean_service_ms": 8}',
    }
)


def text_of(**fields: str) -> str:
    lines = [
        f'"{name}": {body}' for name, body in {**MINIMAL, **fields}.items()
    ]
    body = ',\n'.join(lines)
    return f'{{\n{body}\n}}'


def never_repeat_rules(*entries: tuple[str, str, str]) -> str:
    return orjson.dumps(
        [
            {'methods': [method], 'path': path, 'caller_header': header}
            for method, path, header in entries
        ]
    ).decode()


def findings_of(text: str) -> list[tuple[str, str]]:
    read = read_document(text, 'f')
    if read.is_ok():
        return []
    return [(each.location.path, each.message) for each in read.error]


def number_fields(spec: ObjectSpec, prefix: str) -> list[tuple[str, FieldSpec]]:
    collected = []
    for field in spec.fields:
        path = f'{prefix}{field.name}'
        if isinstance(field.kind, ObjectSpec):
            collected.extend(number_fields(field.kind, f'{path}.'))
        elif isinstance(field.kind, NumberSpec):
            collected.append((path, field))
    return collected


class TestExamples:
    @pytest.mark.parametrize('path', EXAMPLES, ids=lambda path: path.stem)
    def test_example_is_valid(self, path: pathlib.Path) -> None:
        assert not findings_of(path.read_text())

    def test_there_are_six_services(self) -> None:
        names = {read_document(each.read_text(), '').ok for each in EXAMPLES}
        assert len({document.service for document in names}) == 6


class TestDefaults:
    def test_minimal_document_gets_every_default(self) -> None:
        document: ServiceDocument = read_document(text_of(), 'f').ok
        assert document.matches[0].path_prefix == '/stock'
        assert not document.never_repeat
        assert document.upstreams.max_connections == 250
        assert document.deadline.ceiling_ms == 10_000
        assert document.priority is Priority.INTERACTIVE

    def test_defaults_lie_within_their_bounds(self) -> None:
        for path, field in number_fields(DOCUMENT_SPEC, ''):
            kind = field.kind
            if isinstance(kind, NumberSpec) and not field.is_required:
                assert kind.minimum <= field.default <= kind.maximum, path


class TestFindings:
    @pytest.mark.parametrize(
        ('fields', 'path', 'words'),
        [
            ({'servce': '1'}, 'servce', 'did you mean "service"'),
            ({'xyzzy': '1'}, 'xyzzy', 'allowed fields are'),
            ({'service': '"Stock"'}, 'service', 'lower-case'),
            ({'priority': '"high"'}, 'priority', '"interactive" or "batch"'),
            ({'match': '[]'}, 'match', '1 to 64 members'),
            ({'match': '{}'}, 'match', 'must be a list'),
            ({'deadline': '3'}, 'deadline', 'must be an object'),
            (
                {'deadline': '{"default_s": 2}'},
                'deadline.default_s',
                'milliseconds: "default_ms"',
            ),
            (
                {'deadline': '{"default_ms": "2s"}'},
                'deadline.default_ms',
                'write 2000',
            ),
            (
                {'measuring': '{"share_of_capacity": 5}'},
                'measuring.share_of_capacity',
                'write 0.05 for 5 %',
            ),
            (
                {'limits': '{"queue": 1.5}'},
                'limits.queue',
                'whole number',
            ),
            (
                {'limits': '{"concurrency": true}'},
                'limits.concurrency',
                'not true',
            ),
            (
                {'deadline': '{"default_ms": 9, "ceiling_ms": 8}'},
                'deadline.default_ms',
                'must not exceed deadline.ceiling_ms (8)',
            ),
            (
                {'deadline': '{"ceiling_ms": 100}'},
                'deadline.ceiling_ms',
                'must be at least deadline.default_ms (2000)',
            ),
            (
                {'hedging': '{"delay_ms": 10000}'},
                'hedging.delay_ms',
                'must be below deadline.ceiling_ms',
            ),
            (
                {'hedging': '{"share_of_calls": 0, "delay_ms": 9}'},
                'hedging.delay_ms',
                'has no effect',
            ),
            (
                {'retirement': '{"drain_ms": 10}'},
                'retirement.drain_ms',
                'must be at least deadline.ceiling_ms',
            ),
            (
                {'upstreams': '{"slots": 300, "mean_service_ms": 1}'},
                'upstreams.slots',
                'must not exceed upstreams.max_connections (250)',
            ),
            (
                {'match': '[{"host": "A"}, {"host": "a"}]'},
                'match[1]',
                'same calls as match[0]',
            ),
            (
                {'never_repeat': never_repeat_rules(('POST', '/x*', 'x-till'))},
                'never_repeat[0].path',
                'outside every match',
            ),
            (
                {
                    'never_repeat': never_repeat_rules(
                        ('POST', '/stock*', 'idempotency-key')
                    )
                },
                'never_repeat[0].caller_header',
                'same header',
            ),
            (
                {
                    'never_repeat': never_repeat_rules(
                        ('PUT', '/stock*', 'x-a'), ('PUT', '/stock*', 'x-b')
                    )
                },
                'never_repeat[1]',
                'PUT of never_repeat[0]',
            ),
        ],
    )
    def test_fault_is_reported_with_its_path(
        self, fields: dict[str, str], path: str, words: str
    ) -> None:
        messages = [
            message
            for path_found, message in findings_of(text_of(**fields))
            if path_found == path
        ]
        assert words in ' '.join(messages)

    @pytest.mark.parametrize('name', list(MINIMAL))
    def test_missing_required_field_is_reported(self, name: str) -> None:
        text = text_of().replace(f'"{name}"', '"priority"')
        assert (name, 'is missing') in findings_of(text)

    def test_all_findings_are_returned_in_text_order(self) -> None:
        text = text_of(
            priority='"high"', deadline='{"default_s": 1}', service='4'
        )
        read = read_document(text, 'shop.jsonc')
        locations = [each.location for each in read.error]
        assert [location.path for location in locations] == [
            'service',
            'priority',
            'deadline.default_s',
        ]
        assert [location.line for location in locations] == [2, 5, 6]
        assert {location.file for location in locations} == {'shop.jsonc'}


class TestBounds:
    @pytest.mark.parametrize(
        ('path', 'field'), number_fields(DOCUMENT_SPEC, '')
    )
    def test_number_outside_its_bounds_is_reported(
        self, path: str, field: FieldSpec
    ) -> None:
        kind = field.kind
        assert isinstance(kind, NumberSpec)
        section, name = path.split('.')
        for wrong in (kind.minimum - 1, kind.maximum + 1):
            others = '"slots": 2,' if name == 'mean_service_ms' else ''
            text = text_of(**{section: f'{{{others} "{name}": {wrong}}}'})
            assert path in {each[0] for each in findings_of(text)}


def bodies(kind: object) -> st.SearchStrategy[str]:
    """Generate JSON for a field, valid or not."""
    invalid_bodies = st.sampled_from(
        ['null', 'true', '-1', '"2s"', '[]', '{}', '""']
    )
    if isinstance(kind, ObjectSpec):
        return st.one_of(objects(kind), objects(kind), invalid_bodies)
    if isinstance(kind, ListSpec):
        members = st.lists(bodies(kind.member), max_size=3)
        return st.one_of(
            members.map(','.join).map('[{}]'.format), invalid_bodies
        )
    if isinstance(kind, NumberSpec):
        numbers = st.floats(kind.minimum, kind.maximum).map(str)
        return st.one_of(numbers, st.integers(0, 9).map(str), invalid_bodies)
    if isinstance(kind, ChoiceSpec):
        return st.one_of(st.sampled_from(['"batch"', '"x"']), invalid_bodies)
    words = st.text([*string.ascii_letters, *'/*-'], max_size=6)
    return st.one_of(words.map('"{}"'.format), invalid_bodies)


def objects(spec: ObjectSpec) -> st.SearchStrategy[str]:
    """Generate objects with some fields missing, duplicated or misnamed."""
    members = [
        bodies(field.kind).map(f'"{field.name}": {{}}'.format)
        for field in spec.fields
    ]
    members.append(st.just('"default_s": 1'))
    drawn = st.lists(st.one_of(members), max_size=len(members))
    return drawn.map(',\n'.join).map('{{\n{}\n}}'.format)


class TestAnyDocument:
    @given(text=st.one_of(objects(DOCUMENT_SPEC), st.text(max_size=30)))
    @example(text='null')
    @example(text='[{}]')
    def test_document_is_read_or_every_finding_has_a_location(
        self, text: str
    ) -> None:
        read = read_document(text, 'f')
        if read.is_ok():
            assert isinstance(read.ok, ServiceDocument)
            return
        lines = text.split('\n')
        assert read.error
        for finding in read.error:
            assert 1 <= finding.location.line <= len(lines)
            line = lines[finding.location.line - 1]
            assert 1 <= finding.location.column <= len(line) + 1
