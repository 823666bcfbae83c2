"""Decoding workspaces, and replacing keys in the text that daemons keep."""

from types import MappingProxyType
from typing import Any

import orjson
import pytest
from cowslippond_core.workspaces import KeyFault, digest_key
from cowslippond_daemon.platform import (
    PlatformCredentials,
    decode_configuration,
    replace_keys,
)

LONG_NAME = 'w' * 201
KEY = 'key-3f9d0c11'
OTHER = 'key-77aa01fe'
BASE = MappingProxyType(
    {
        'version': '0000000c',
        'routes': {
            'shop': {
                'host': 'a.example',
                'path_prefix': '/',
                'kind': 'idempotent',
                'service': 's',
                'public': True,
            }
        },
        'services': {'s': {'health_path': '/healthz', 'max_connections': 9}},
    }
)


def entry(*keys: Any, **fields: Any) -> dict[str, Any]:
    return {
        'api_keys': list(keys),
        'priority': 2,
        'rate_per_s': 1.5,
        'burst': 4,
        **fields,
    }


def text_of(workspaces: Any) -> str:
    return orjson.dumps({**BASE, 'tenants': workspaces}).decode()


class TestWorkspaces:
    def test_fields_are_decoded(self) -> None:
        configuration = decode_configuration(text_of({'w': entry(KEY)})).ok
        workspace = configuration.workspaces['w']
        assert workspace[:4] == ('w', 2, 1.5, 4)
        assert workspace.key_digests == {digest_key(KEY.encode())}
        assert configuration.routes[0].is_public

    def test_configuration_without_workspaces_has_none(self) -> None:
        text = orjson.dumps(dict(BASE)).decode()
        assert decode_configuration(text).ok.workspaces is None

    def test_empty_list_of_workspaces_still_requires_keys(self) -> None:
        assert decode_configuration(text_of({})).ok.workspaces == {}

    def test_workspace_may_have_no_key_and_no_quota(self) -> None:
        """A workspace whose keys are all revoked must not void the others."""
        for fields in ({}, {'api_keys': []}):
            configuration = decode_configuration(text_of({'w': fields})).ok
            workspace = configuration.workspaces['w']
            assert not workspace.key_digests
            assert (workspace.rate, workspace.burst) == (0, 0)

    def test_repeated_key_of_one_workspace_is_valid(self) -> None:
        assert decode_configuration(text_of({'w': entry(KEY, KEY)})).is_ok()

    @pytest.mark.parametrize(
        ('workspaces', 'finding'),
        [
            (
                {LONG_NAME: entry(KEY)},
                f'tenants.{LONG_NAME}: name is longer than 200 bytes',
            ),
            (
                {'w': entry(KEY, rate_per_s=1e308)},
                'tenants.w.rate_per_s: expected at most 1000000000',
            ),
            (
                {'w': entry(KEY, burst=1.79e308)},
                'tenants.w.burst: expected at most 1000000000',
            ),
            (
                {'v': entry(KEY), 'w': entry(OTHER, KEY)},
                'tenants.w.api_keys: contains a key of v',
            ),
            ({'w': entry(KEY, '')}, 'tenants.w.api_keys.1: expected'),
            ({'w': entry(KEY, 12345678)}, 'tenants.w.api_keys.1: expected'),
            ({'w': entry(KEY, None)}, 'tenants.w.api_keys.1: expected'),
            ({'w': entry(KEY, [KEY])}, 'tenants.w.api_keys.1: expected'),
            ({'w': entry(api_keys=KEY)}, 'tenants.w.api_keys: expected a list'),
            ({'w': entry(api_keys={KEY: 1})}, 'tenants.w.api_keys: expected'),
            ({'w': entry(api_keys=None)}, 'tenants.w.api_keys: expected'),
            ({'w': entry(KEY, priority=-1)}, 'tenants.w.priority: expected'),
            ({'w': entry(KEY, priority='1')}, 'tenants.w.priority: expected'),
            ({'w': entry(KEY, rate_per_s=-1)}, 'tenants.w.rate_per_s: '),
            ({'w': entry(KEY, burst=True)}, 'tenants.w.burst: expected'),
            ({'w': [KEY]}, 'tenants.w: expected a table'),
            ({'w': KEY}, 'tenants.w: expected a table'),
            ({'w': None}, 'tenants.w: expected a table'),
            ({'w\r\nx: 1': entry(KEY)}, 'name cannot be sent in a header'),
            ({'': entry(KEY)}, 'name cannot be sent in a header'),
            ([KEY], 'tenants: expected a table'),
            (KEY, 'tenants: expected a table'),
            (None, 'tenants: expected a table'),
        ],
    )
    def test_fault_is_one_finding_without_the_key(
        self, workspaces: Any, finding: str
    ) -> None:
        text = text_of(workspaces)
        kept = replace_keys(text).ok
        for version in (text, kept):
            error = decode_configuration(version).error
            assert finding in error
            assert ';' not in error
            assert KEY not in error
            assert '12345678' not in error
        assert KEY not in kept
        assert '12345678' not in kept

    @pytest.mark.parametrize('number', ['1e999', '-1e999', 'NaN'])
    def test_number_that_is_not_finite_is_rejected(self, number: str) -> None:
        text = text_of({'w': entry(KEY, burst=0)}).replace(
            '"burst":0', f'"burst":{number}'
        )
        error = decode_configuration(text).error
        assert KEY not in error

    def test_all_faults_are_found_in_one_pass(self) -> None:
        workspaces = {'v': entry('', burst=-1), 'w': entry(api_keys=1)}
        error = decode_configuration(text_of(workspaces)).error
        assert error.count('tenants.') == 3


class TestReplacedKeys:
    def test_text_with_digests_decodes_to_the_same_configuration(self) -> None:
        text = text_of({'v': entry(KEY), 'w': entry(OTHER)})
        kept = replace_keys(text).ok
        assert KEY not in kept
        assert OTHER not in kept
        assert decode_configuration(kept).ok == decode_configuration(text).ok

    def test_replacing_again_changes_nothing(self) -> None:
        """Daemons pass the text on many times."""
        kept = replace_keys(text_of({'v': entry(KEY)})).ok
        assert replace_keys(kept).ok is kept

    def test_text_without_workspaces_is_not_parsed(self) -> None:
        text = orjson.dumps(dict(BASE)).decode()
        assert replace_keys(text).ok is text

    def test_escaped_names_are_recognized(self) -> None:
        text = text_of({'v': entry(KEY)}).replace('tenants', r't\u0065nants')
        assert KEY not in replace_keys(text).ok

    def test_text_that_is_not_json_is_not_kept(self) -> None:
        assert replace_keys(f'{{"tenants": "{KEY}').is_error()
        assert KEY not in replace_keys(f'["tenants", "{KEY}"]').ok

    @pytest.mark.parametrize(
        'text',
        [
            '{"tenants":{"w":%s},"tenants":{}}',
            '{"tenants":{"w":%s},"tenants":null}',
            '{"tenants":{"w":%s,"w":{"priority":2}}}',
            r'{"tenants":{"w":%s,"\u0077":{}}}',
        ],
    )
    def test_repeated_name_hides_no_key(self, text: str) -> None:
        """The last value counted, and the text was kept with the keys of both."""
        kept = replace_keys(text % orjson.dumps(entry(KEY)).decode()).ok
        assert KEY not in kept
        assert replace_keys(kept).ok is kept


class TestCredentials:
    @pytest.mark.parametrize(
        ('texts', 'expected'),
        [
            ((), KeyFault.MISSING),
            ((b'Token a', b'Token a'), KeyFault.REPEATED),
            ((b'Token a', b'Bearer b'), KeyFault.REPEATED),
            ((b'Bearer a',), KeyFault.OTHER_SCHEME),
            ((b'Tokena',), KeyFault.OTHER_SCHEME),
            ((b'',), KeyFault.OTHER_SCHEME),
            ((b'Token',), KeyFault.MALFORMED),
            ((b'Token  ',), KeyFault.MALFORMED),
            ((b'Token a',), b'a'),
            # The scheme's case and the number of spaces are free in HTTP.
            ((b'token   a',), b'a'),
        ],
    )
    def test_key_is_read_from_exactly_one_header(
        self, texts: tuple[bytes, ...], expected: bytes | KeyFault
    ) -> None:
        headers = (
            (b'host', b'a'),
            *((b'authorization', text) for text in texts),
        )
        assert PlatformCredentials().read_key(headers) == expected

    def test_names_are_dropped_in_any_spelling(self) -> None:
        headers = (
            (b'X-Tenant-Id', b'1'),
            (b'x_tenant_id', b'1'),
            (b'x-tenant-ids', b'1'),
            (b'authorization', b'Token a'),
        )
        credentials = PlatformCredentials()
        assert credentials.strip_workspace(headers) == headers[2:]
        assert credentials.strip_all(headers) == headers[2:3]
