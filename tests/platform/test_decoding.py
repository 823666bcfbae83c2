"""Tests of decoding the platform's formats."""

from types import MappingProxyType

import orjson
import pytest
from cowslippond_core import (
    LoadReport,
    NotRunReason,
    SendMetadata,
    VmState,
    WeightedService,
)
from cowslippond_daemon.platform import (
    PlatformDialect,
    decode_configuration,
    decode_entry,
)

ENTRY = MappingProxyType(
    {
        'service': 'shop',
        'address': '10.0.0.9:8080',
        'zone': 'north',
        'version': 'v1',
        'slots': 2,
        'state': 'ready',
        'warmup_left_ms': 1500,
        'sequence': 4,
        'born': 1_772_000_000_000,
    }
)

CONFIGURATION = MappingProxyType(
    {
        'version': '0000000c',
        'routes': {
            'r-1': {
                'host': 'a.example',
                'path_prefix': '/x/',
                'kind': 'idempotent',
                'timeout_ms': 1200,
                'target_latency_ms': 200,
                'priority': 2,
                'traffic_split': [
                    {'service': 'one', 'weight': 90},
                    {'service': 'two', 'weight': 10},
                ],
                'max_attempts': 2,
            },
            'r-2': {
                'host': 'b.example',
                'path_prefix': '/y/',
                'kind': 'non_idempotent',
                'timeout_ms': 800,
                'target_latency_ms': 250,
                'priority': 1,
                'service': 'two',
                'max_attempts': 2,
            },
        },
        'services': {
            'one': {'health_path': '/healthz', 'max_connections': 260},
            'two': {'health_path': '/healthz', 'max_connections': 260},
        },
        'limits': {'max_header_bytes': 16384, 'idle_timeout_ms': 15000},
    }
)


def entry(**changes: object) -> str:
    return orjson.dumps({**ENTRY, **changes}).decode()


class TestEntries:
    def test_entry_describes_a_vm(self) -> None:
        vm = decode_entry('i-1', entry())
        assert vm is not None
        assert (vm.name, vm.address, vm.failure_domain) == (
            'i-1',
            '10.0.0.9:8080',
            'north',
        )
        assert (vm.state, vm.warm_up) == (VmState.LIVE, 1500)

    def test_restarted_vm_has_a_new_incarnation(self) -> None:
        before, after = (
            decode_entry('i', entry()),
            decode_entry('i', entry(born=2)),
        )
        assert before is not None and after is not None
        assert before.incarnation != after.incarnation

    @pytest.mark.parametrize(
        'text',
        [
            'no json',
            '[]',
            '{}',
            entry(state='asleep'),
            entry(state=['ready']),
            entry(service=None),
            entry(service=7),
            entry(address='nowhere'),
            entry(zone=''),
            entry(slots='two'),
        ],
    )
    def test_invalid_entry_is_ignored(self, text: str) -> None:
        assert decode_entry('i-1', text) is None

    def test_warm_up_of_another_type_counts_as_zero(self) -> None:
        vm = decode_entry('i-1', entry(warmup_left_ms='soon'))
        assert vm is not None and vm.warm_up == 0


class TestConfiguration:
    def test_routes_services_and_limits_are_decoded(self) -> None:
        text = orjson.dumps(dict(CONFIGURATION)).decode()
        configuration = decode_configuration(text).ok
        split, single = configuration.routes
        assert configuration.version == 12
        assert split.parts == (
            WeightedService('one', 90),
            WeightedService('two', 10),
        )
        assert single.parts == (WeightedService('two', 1),)
        assert (split.is_idempotent, single.is_idempotent) == (True, False)
        assert (single.timeout, single.objective) == (800, 250)
        assert configuration.limits.idle_timeout == 15000

    @pytest.mark.parametrize('text', ['no json', '{}', '{"version": "x"}'])
    def test_invalid_configuration_is_an_error(self, text: str) -> None:
        assert decode_configuration(text).is_error()

    @pytest.mark.parametrize(
        ('field', 'broken', 'finding'),
        [
            ('traffic_split', 7, 'routes.r-1.traffic_split'),
            ('traffic_split', [7], 'routes.r-1.traffic_split.0'),
            (
                'traffic_split',
                [{'service': 'one', 'weight': 0}],
                'routes.r-1.traffic_split: all weights are 0',
            ),
            (
                'traffic_split',
                [{'service': 'one', 'weight': -1}],
                'routes.r-1.traffic_split.0.weight',
            ),
            (
                'traffic_split',
                [{'service': 'one', 'weight': 'much'}],
                'routes.r-1.traffic_split.0.weight',
            ),
            (
                'traffic_split',
                [{'service': 'one'}],
                'routes.r-1.traffic_split.0.weight: missing',
            ),
            (
                'traffic_split',
                [{'service': 'three', 'weight': 1}],
                'routes.r-1.traffic_split.0.service: unknown service three',
            ),
            ('traffic_split', [], 'routes.r-1.service'),
            ('host', None, 'routes.r-1.host'),
            ('path_prefix', 3, 'routes.r-1.path_prefix'),
            ('kind', [], 'routes.r-1.kind'),
            ('timeout_ms', '1s', 'routes.r-1.timeout_ms'),
            ('max_attempts', True, 'routes.r-1.max_attempts'),
        ],
    )
    def test_finding_names_route_and_field(
        self, field: str, broken: object, finding: str
    ) -> None:
        decoded = decode_configuration(change_route(**{field: broken}))
        assert decoded.is_error()
        assert finding in decoded.error

    def test_all_findings_are_reported_together(self) -> None:
        text = change_route(host=1, timeout_ms='x', traffic_split=[{}])
        error = decode_configuration(text).error
        assert error.count('routes.r-1.') == 4

    def test_long_list_of_findings_is_truncated(self) -> None:
        routes = {f'r-{index}': {} for index in range(2000)}
        text = orjson.dumps({**CONFIGURATION, 'routes': routes}).decode()
        assert len(decode_configuration(text).error) < 2000

    def test_unknown_field_of_a_route_is_logged_once(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        decoded = decode_configuration(change_route(mirror='two', kind='new'))
        assert decoded.is_ok()
        assert not decoded.ok.routes[0].is_idempotent
        fields = [record.fields for record in caplog.records]
        assert fields == ['routes.r-1.kind new; routes.r-1.mirror']


def change_route(**changes: object) -> str:
    route = {**CONFIGURATION['routes']['r-1'], **changes}
    routes = {**CONFIGURATION['routes'], 'r-1': route}
    return orjson.dumps({**CONFIGURATION, 'routes': routes}).decode()


class TestDialect:
    dialect = PlatformDialect()

    def test_request_headers_carry_target_vm_and_remaining_time(self) -> None:
        headers = dict(
            self.dialect.request_headers(SendMetadata(812.7, 1, 'i-1'))
        )
        assert headers == {
            b'x-deadline-ms': b'812',
            b'x-target-instance': b'i-1',
        }

    def test_load_includes_slowness_in_percent(self) -> None:
        metadata = self.dialect.read_answer(
            200, ((b'x-backend-load', b'1,0,2,480'),)
        )
        assert metadata.load == LoadReport(1, 0, 2, 4.8)

    def test_load_without_slowness_counts_as_normal(self) -> None:
        metadata = self.dialect.read_answer(
            200, ((b'x-backend-load', b'3,0,8'),)
        )
        assert metadata.load == LoadReport(3, 0, 8, 1)

    @pytest.mark.parametrize(
        'text',
        [
            b'',
            b'1',
            b'a,b,c',
            b'nan,0,2',
            b'0,inf,2',
            b'0,0,1e400',
            b'0,0,2,nan',
            b'-1,0,2',
            b'0,0,1e30',
        ],
    )
    def test_invalid_load_is_ignored(self, text: bytes) -> None:
        """Callers got 500 for calls that had been answered."""
        metadata = self.dialect.read_answer(200, ((b'x-backend-load', text),))
        assert metadata.load is None

    def test_only_shed_and_misdirected_calls_count_as_not_run(self) -> None:
        shed = self.dialect.read_answer(503, ((b'x-not-executed', b'1'),))
        moved = self.dialect.read_answer(421, ((b'x-not-executed', b'1'),))
        plain = self.dialect.read_answer(503, ())
        other = self.dialect.read_answer(421, ())
        assert shed.not_run is NotRunReason.SHED
        assert moved.not_run is NotRunReason.OTHER_VM
        assert plain.not_run is None
        assert other.not_run is None

    def test_response_without_signature_is_not_genuine(self) -> None:
        signed = self.dialect.read_answer(
            200, ((b'x-response-signature', b'1'),)
        )
        assert signed.is_genuine
        assert not self.dialect.read_answer(200, ()).is_genuine

    def test_announced_rate_limit_is_in_calls_per_second(self) -> None:
        metadata = self.dialect.read_answer(200, ((b'server-limit', b'2.5'),))
        assert metadata.rate_limit == pytest.approx(2.5)
        assert self.dialect.read_answer(200, ()).rate_limit is None

    @pytest.mark.parametrize('text', [b'', b'-1', b'nan', b'inf', b'many'])
    def test_invalid_rate_limit_is_logged_and_ignored(
        self, text: bytes, caplog: pytest.LogCaptureFixture
    ) -> None:
        metadata = self.dialect.read_answer(200, ((b'server-limit', text),))
        assert metadata.rate_limit is None
        assert 'cannot parse a header' in caplog.text

    def test_refusal_may_ask_for_a_pause(self) -> None:
        headers = ((b'retry-after', b'2.5'),)
        assert self.dialect.read_answer(503, headers).pause == 2500
        assert self.dialect.read_answer(429, headers).pause is None
        assert self.dialect.read_answer(503, ()).pause is None

    @pytest.mark.parametrize(
        'text', [b'Fri, 04 Dec 2026 15:00:00 GMT', b'-1', b'soon', b'']
    )
    def test_pause_that_is_no_number_of_seconds_is_ignored(
        self, text: bytes, caplog: pytest.LogCaptureFixture
    ) -> None:
        metadata = self.dialect.read_answer(503, ((b'retry-after', text),))
        assert metadata.pause is None
        assert 'cannot parse a header' in caplog.text

    def test_upstream_may_say_that_it_leaves(self) -> None:
        leaving = self.dialect.read_answer(200, ((b'server-leaving', b'1'),))
        staying = self.dialect.read_answer(200, ((b'server-leaving', b'0'),))
        assert leaving.is_leaving
        assert not staying.is_leaving

    def test_retry_after_keeps_fractions_of_a_second(self) -> None:
        assert self.dialect.encode_retry_after(120) == b'0.120'
