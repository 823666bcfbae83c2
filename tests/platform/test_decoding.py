"""The platform's formats, decoded into the project's types."""

from types import MappingProxyType

import orjson
import pytest
from cowslippond_core import (
    LoadReport,
    NotRunReason,
    RoutePart,
    SendFacts,
    VmState,
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
    def test_an_entry_names_a_vm(self) -> None:
        vm = decode_entry('i-1', entry())
        assert vm is not None
        assert (vm.name, vm.address, vm.failure_domain) == (
            'i-1',
            '10.0.0.9:8080',
            'north',
        )
        assert (vm.state, vm.warm_up) == (VmState.LIVE, 1500)

    def test_a_vm_that_starts_again_under_its_name_is_a_new_one(self) -> None:
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
    def test_an_entry_of_another_writer_names_none(self, text: str) -> None:
        assert decode_entry('i-1', text) is None

    def test_a_warm_up_of_another_type_is_none(self) -> None:
        vm = decode_entry('i-1', entry(warmup_left_ms='soon'))
        assert vm is not None and vm.warm_up == 0


class TestConfiguration:
    def test_routes_services_and_limits_are_read(self) -> None:
        text = orjson.dumps(dict(CONFIGURATION)).decode()
        configuration = decode_configuration(text).ok
        split, single = configuration.routes
        assert configuration.version == 12
        assert split.parts == (RoutePart('one', 90), RoutePart('two', 10))
        assert single.parts == (RoutePart('two', 1),)
        assert (split.is_idempotent, single.is_idempotent) == (True, False)
        assert (single.timeout, single.objective) == (800, 250)
        assert configuration.limits.idle_timeout == 15000

    @pytest.mark.parametrize('text', ['no json', '{}', '{"version": "x"}'])
    def test_a_text_that_is_none_is_an_error(self, text: str) -> None:
        assert decode_configuration(text).is_error()


class TestDialect:
    dialect = PlatformDialect()

    def test_a_send_names_the_vm_and_the_time_that_is_left(self) -> None:
        headers = dict(self.dialect.request_headers(SendFacts(812.7, 1, 'i-1')))
        assert headers == {
            b'x-deadline-ms': b'812',
            b'x-target-instance': b'i-1',
        }

    def test_the_load_is_read_with_the_speed_in_percent(self) -> None:
        facts = self.dialect.read_answer(
            200, ((b'x-backend-load', b'1,0,2,480'),)
        )
        assert facts.load == LoadReport(1, 0, 2, 4.8)

    def test_a_load_without_speed_is_of_usual_speed(self) -> None:
        facts = self.dialect.read_answer(200, ((b'x-backend-load', b'3,0,8'),))
        assert facts.load == LoadReport(3, 0, 8, 1)

    @pytest.mark.parametrize('text', [b'', b'1', b'a,b,c'])
    def test_a_load_that_is_none_is_left_out(self, text: bytes) -> None:
        facts = self.dialect.read_answer(200, ((b'x-backend-load', text),))
        assert facts.load is None

    def test_only_a_marked_answer_promises_that_nothing_ran(self) -> None:
        shed = self.dialect.read_answer(503, ((b'x-not-executed', b'1'),))
        moved = self.dialect.read_answer(421, ((b'x-instance-id', b'i-2'),))
        plain = self.dialect.read_answer(503, ())
        assert shed.not_run is NotRunReason.SHED
        assert moved.not_run is NotRunReason.OTHER_VM
        assert plain.not_run is None

    def test_an_answer_without_signature_is_not_genuine(self) -> None:
        signed = self.dialect.read_answer(
            200, ((b'x-response-signature', b'1'),)
        )
        assert signed.is_genuine
        assert not self.dialect.read_answer(200, ()).is_genuine

    def test_the_time_to_come_back_keeps_its_fractions(self) -> None:
        assert self.dialect.encode_retry_after(120) == b'0.120'
