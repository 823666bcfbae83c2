"""Audit of the callers' outcomes against the runs of the upstreams."""

import collections
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from cowslippond_standins.load import _outcomes
from cowslippond_standins.load._report import CallRecord


class Audit(NamedTuple):
    """Result of an audit.

    All fields except ``orders_sent`` and ``orders_run`` must be empty or
    zero. ``duplicated`` contains the keys of orders that ran more than once,
    ``lost`` the nonces of calls that were answered but not run, and
    ``ran_after_not_run`` the nonces of calls that ran although their caller
    received the outcome ``not-run``. ``cut`` counts the calls that could not
    connect, whose connection broke or that timed out, ``wrong`` those with a
    body other than the expected one.
    """

    orders_sent: int
    orders_run: int
    duplicated: list[str]
    lost: list[str]
    ran_after_not_run: list[str]
    cut: int
    wrong: int

    def is_clean(self) -> bool:
        """Return whether the audit found no violation."""
        violations = (self.duplicated, self.lost, self.ran_after_not_run)
        return not any(violations) and self.cut == 0 and self.wrong == 0


def audit(
    records: Sequence[CallRecord], runs: Iterable[Mapping[str, Any]]
) -> Audit:
    """Check the calls of a run against the ledgers of all upstreams.

    :param runs: entries of all ledgers, as the control port returns them.
    """
    run_keys: collections.Counter[str] = collections.Counter()
    run_ids = set()
    run_nonces = set()
    for run in runs:
        run_ids.add(run['request_id'])
        run_nonces.add(run['nonce'])
        if run['order_key']:
            run_keys[run['order_key']] += 1
    orders = [record for record in records if record.call.key]
    outcomes = collections.Counter(record.outcome for record in records)
    broken_outcomes = (
        _outcomes.CUT,
        _outcomes.NOT_CONNECTED,
        _outcomes.TIMED_OUT,
    )
    return Audit(
        orders_sent=len({record.call.key for record in orders}),
        orders_run=len(run_keys),
        duplicated=[key for key, count in run_keys.items() if count > 1],
        lost=_lost(records, run_nonces),
        ran_after_not_run=_ran_after_not_run(records, run_ids, run_nonces),
        cut=sum(outcomes[outcome] for outcome in broken_outcomes),
        wrong=outcomes[_outcomes.WRONG_ANSWER],
    )


def _lost(records: Sequence[CallRecord], run_nonces: set[str]) -> list[str]:
    return [
        record.call.nonce
        for record in records
        if record.outcome == _outcomes.ANSWERED
        and record.call.nonce not in run_nonces
    ]


def _ran_after_not_run(
    records: Sequence[CallRecord], run_ids: set[str], run_nonces: set[str]
) -> list[str]:
    send_counts = collections.Counter(record.call.nonce for record in records)
    violations = []
    for record in records:
        if record.outcome != _outcomes.NOT_RUN:
            continue
        is_sent_once = send_counts[record.call.nonce] == 1
        if is_sent_once and record.call.nonce in run_nonces:
            violations.append(record.call.nonce)
        elif record.request_id and record.request_id in run_ids:
            violations.append(record.call.nonce)
    return violations
