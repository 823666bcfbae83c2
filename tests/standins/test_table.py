"""Conditions, transactions, queries, stale reads and limits of the table."""

import pytest
from cowslippond_core import Clock
from cowslippond_standins.platform._faults import Faults
from cowslippond_standins.platform._table import TableStore, Write
from cowslippond_standins.platform._table_api import TableApi

ABSENT = 'attribute_not_exists(pk)'


def make_write(
    sort: str, number: int, condition: str = '', expected: int = 0
) -> Write:
    item = {'pk': {'S': 'p'}, 'sk': {'S': sort}, 'n': {'N': str(number)}}
    return Write(item, condition, {'#a0': 'n'}, {':v0': {'N': str(expected)}})


@pytest.fixture
def store() -> TableStore:
    return TableStore(Clock())


def stored_number(store: TableStore, sort: str) -> str | None:
    key = {'pk': {'S': 'p'}, 'sk': {'S': sort}}
    item = store.get(key, store.clock.now())
    return item['n']['N'] if item else None


class TestConditions:
    def test_absent_item_is_written_once(self, store: TableStore) -> None:
        assert store.put(make_write('a', 1, ABSENT)).is_ok()
        refused = store.put(make_write('a', 2, ABSENT))
        assert refused.error.kind == 'ConditionalCheckFailedException'
        assert stored_number(store, 'a') == '1'

    def test_equality_compares_the_latest_state(
        self, store: TableStore
    ) -> None:
        store.put(make_write('a', 1))
        assert store.put(make_write('a', 2, '#a0 = :v0', expected=1)).is_ok()
        assert store.put(make_write('a', 3, '#a0 = :v0', expected=1)).is_error()
        assert stored_number(store, 'a') == '2'

    def test_equality_fails_on_an_absent_item(self, store: TableStore) -> None:
        assert store.put(make_write('a', 2, '#a0 = :v0', expected=0)).is_error()

    def test_all_clauses_must_hold(self, store: TableStore) -> None:
        both = f'#a0 = :v0 AND {ABSENT}'
        store.put(make_write('a', 1))
        assert store.put(make_write('a', 2, both, expected=1)).is_error()

    def test_unknown_clause_is_refused(self, store: TableStore) -> None:
        refused = store.put(make_write('a', 1, 'size(n) > :v0'))
        assert refused.error.kind == 'ValidationException'

    def test_item_above_the_limit_is_refused(self, store: TableStore) -> None:
        large = make_write('a', 1)
        large = large._replace(item={**large.item, 'x': {'S': 'x' * 410_000}})
        assert store.put(large).error.kind == 'ValidationException'


class TestTransactions:
    def test_nothing_is_written_if_one_condition_fails(
        self, store: TableStore
    ) -> None:
        store.put(make_write('b', 1))
        refused = store.transact(
            [make_write('a', 1), make_write('b', 2, ABSENT)]
        )
        assert refused.error.kind == 'TransactionCanceledException'
        assert 'None, ConditionalCheckFailed' in refused.error.message
        assert stored_number(store, 'a') is None

    def test_repeated_item_is_refused(self, store: TableStore) -> None:
        refused = store.transact([make_write('a', 1), make_write('a', 2)])
        assert refused.error.kind == 'ValidationException'


class TestQueries:
    def test_query_returns_rows_above_a_key_in_order(
        self, store: TableStore
    ) -> None:
        for sort in ('c', 'a', 'd', 'b'):
            store.put(make_write(sort, 1))
        body = {
            'KeyConditionExpression': 'pk = :pk AND sk > :sk',
            'ExpressionAttributeValues': {
                ':pk': {'S': 'p'},
                ':sk': {'S': 'a'},
            },
            'Limit': 2,
        }
        found = store.query(body, store.clock.now()).ok
        assert [item['sk']['S'] for item in found] == ['b', 'c']


class TestStaleReads:
    def test_read_sees_the_state_of_an_earlier_time(self) -> None:
        clock = Clock()
        faults = Faults(clock)
        api = TableApi(clock, faults)
        api.store.put(make_write('a', 1))
        body = b'{"Key": {"pk": {"S": "p"}, "sk": {"S": "a"}}}'
        faults.change({'stale_ms': 60_000})
        assert api.answer('GetItem', body).body == b'{}'
        assert faults.counters['stale_reads'] == 1
        faults.clear()
        assert b'"1"' in api.answer('GetItem', body).body


class TestThrottling:
    def test_writes_above_the_limit_are_refused_and_have_no_effect(
        self,
    ) -> None:
        clock = Clock()
        faults = Faults(clock)
        api = TableApi(clock, faults)
        faults.change({'max_writes': 1})
        body = b'{"Item": {"pk": {"S": "p"}, "sk": {"S": "%d"}}}'
        statuses = [
            api.answer('PutItem', body % number).status for number in range(20)
        ]
        assert statuses.count(200) < 20
        assert len(api.store.partitions['p']) == statuses.count(200)
        assert faults.counters['throttled'] == statuses.count(400)
