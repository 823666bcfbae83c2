"""Malformed entries of upstreams and malformed peer messages.

Other writers share the store, and daemons of another release send messages. One
of them must not end a daemon, or hold up the calls to other upstreams.
"""

from types import MappingProxyType
from typing import Any

import orjson
import pytest
from cowslippond_core import (
    GossipTable,
    StoreRow,
    StoreRows,
    UpstreamRegistry,
    Vm,
)
from cowslippond_core._codec import WireError
from cowslippond_core._fleet_contact import FleetContact
from cowslippond_core._fleet_size import FleetSize
from cowslippond_core._gossip import Gossip
from cowslippond_core._json_codec import JsonCodec
from cowslippond_core._membership import Daemon, Membership
from cowslippond_daemon.platform import decode_entry
from fakes import FakeClock
from hypothesis import given
from hypothesis import strategies as st
from spread_fakes import make_accepted, make_catalogue

MAX_PORT = 65_535
LONG_PORT = '10.0.0.1:1'.ljust(5000, '1')
LONG_NAME = 'x' * 300
ENTRY = MappingProxyType(
    {
        'service': 'shop',
        'address': '10.0.0.1:80',
        'zone': 'north',
        'version': 'v1',
        'slots': 2,
        'state': 'ready',
        'warmup_left_ms': 0,
        'sequence': 1,
        'born': 1,
    }
)

scalars = (
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=20)
)
json_like = st.recursive(
    scalars,
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=5), inner, max_size=4)
    ),
    max_leaves=8,
)


def assert_usable(vm: Vm) -> None:
    host, _, port = vm.address.rpartition(':')
    assert host
    assert port.isascii()
    assert 0 < int(port) <= MAX_PORT
    assert 0 <= vm.slots < 2**53
    assert 0 <= vm.warm_up < 2**53


def entry_text(field: str, wrong: str) -> str:
    """Return the text of an entry with other JSON in one of its fields."""
    text = orjson.dumps({**ENTRY, field: '@'}).decode()
    return text.replace('"@"', wrong)


class TestEntries:
    @pytest.mark.parametrize(
        'address',
        [
            '10.0.0.1:99999',
            '10.0.0.1:0',
            '10.0.0.1:\u00b2',
            '10.0.0.1:\u0663',
            '10.0.0.1:-1',
            ':80',
            '10.0.0.1',
            LONG_PORT,
            '10.0.0.1:000000080',
            'shop..example:80',
            '10.0.0.1\x00:80',
            f'{LONG_NAME}:80',
        ],
    )
    def test_address_that_cannot_be_connected_to_is_ignored(
        self, address: str
    ) -> None:
        """A port out of range raised an error that no code expected."""
        entry = {**ENTRY, 'address': address}
        assert decode_entry('i-1', orjson.dumps(entry).decode()) is None

    @pytest.mark.parametrize('slots', [-3, True, 2.5, '2', None])
    def test_entry_without_a_number_of_slots_is_ignored(
        self, slots: Any
    ) -> None:
        entry = {**ENTRY, 'slots': slots}
        assert decode_entry('i-1', orjson.dumps(entry).decode()) is None

    @pytest.mark.parametrize('field', sorted(ENTRY))
    @pytest.mark.parametrize('depth', [500, 900, 1000, 1020, 100_000])
    def test_deeply_nested_field(self, field: str, depth: int) -> None:
        """An error that no code expected held up all rows behind the entry."""
        text = entry_text(field, '[' * depth + ']' * depth)
        vm = decode_entry('i-1', text)
        if vm is not None:
            assert_usable(vm)

    @pytest.mark.parametrize('field', ['slots', 'warmup_left_ms', 'born'])
    @pytest.mark.parametrize(
        'number', ['1e400', '1e308', '-1e308', '9' * 30, '9' * 5000, str(2**64)]
    )
    def test_number_out_of_range(self, field: str, number: str) -> None:
        """Sums of such numbers could not be sent to peers."""
        vm = decode_entry('i-1', entry_text(field, number))
        if vm is not None:
            assert_usable(vm)

    @pytest.mark.parametrize(
        'key', ['i-1\r\nx-deadline-ms: 1', 'i-\x00', 'i-\xe9']
    )
    def test_name_that_no_header_can_hold_is_ignored(self, key: str) -> None:
        """The name is sent to the upstream in a header of each request."""
        assert decode_entry(key, orjson.dumps(dict(ENTRY)).decode()) is None

    def test_sound_upstream_behind_malformed_entries_is_used(self) -> None:
        """A daemon read the list again and again without applying it."""
        clock = FakeClock(10_000)
        registry = UpstreamRegistry(clock, decode_entry)
        rows = (
            StoreRow('i-1', 1, entry_text('born', '[' * 1000 + ']' * 1000)),
            StoreRow('i-2', 2, entry_text('address', f'"{LONG_PORT}"')),
            StoreRow('i-3', 3, orjson.dumps(dict(ENTRY)).decode()),
        )
        registry.apply_rows(StoreRows(rows, 3), True, None, 0)
        assert [vm.name for vm in registry.vms()] == ['i-3']

    @given(field=st.sampled_from(sorted(ENTRY)), wrong=json_like)
    def test_entry_with_one_wrong_field(self, field: str, wrong: Any) -> None:
        text = orjson.dumps({**ENTRY, field: wrong}).decode()
        vm = decode_entry('i-1', text)
        if vm is not None:
            assert_usable(vm)

    @given(text=st.text(max_size=200))
    def test_text_that_is_no_entry(self, text: str) -> None:
        assert decode_entry('i-1', text) is None


def make_gossip(clock: FakeClock) -> tuple[Gossip, Membership]:
    own = Daemon('10.0.0.1:1', 'own', 'north', '', is_leaving=False)
    table = GossipTable('daemons', clock)
    membership = Membership(clock, table, own)
    gossip = Gossip(
        'f',
        own.address,
        make_catalogue(clock),
        FleetContact('north', FleetSize(clock, membership.count)),
        [table],
        clock,
        JsonCodec(),
    )
    return gossip, membership


def valid_message(clock: FakeClock) -> list[Any]:
    """Return the exchange of a sound peer as its JSON."""
    gossip, membership = make_gossip(clock)
    gossip.catalogue.offer_all([make_accepted('s', 1, 1)])
    membership.send_heartbeat()
    return orjson.loads(JsonCodec().pack(gossip.build_exchange(16, 16)))


def replace_at(node: Any, path: list[int], wrong: Any) -> Any:
    """Replace the part of a message that a path of indexes leads to."""
    if not path or not isinstance(node, list) or not node:
        return wrong
    index = path[0] % len(node)
    return [
        replace_at(part, path[1:], wrong) if number == index else part
        for number, part in enumerate(node)
    ]


class TestPeerMessages:
    @given(
        path=st.lists(st.integers(0, 7), min_size=1, max_size=5),
        wrong=json_like,
    )
    def test_message_with_one_wrong_field(
        self, path: list[int], wrong: Any
    ) -> None:
        """It ends the session at most; the daemon goes on with its list."""
        clock = FakeClock(10_000)
        gossip, membership = make_gossip(clock)
        packed = orjson.dumps(replace_at(valid_message(clock), path, wrong))
        try:
            JsonCodec().pack(gossip.answer(JsonCodec().unpack(packed)))
        except WireError:
            return
        membership.known_daemons()
        membership.send_heartbeat()
        JsonCodec().pack(gossip.build_exchange(16, 16))

    @given(packed=st.binary(max_size=200))
    def test_bytes_that_are_no_message(self, packed: bytes) -> None:
        with pytest.raises(WireError):
            JsonCodec().unpack(packed)
