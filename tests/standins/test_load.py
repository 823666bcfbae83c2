"""Tests of the load generator: schedule, outcomes and audit."""

import pytest
from cowslippond_standins._address import Address
from cowslippond_standins.harness._deployment import Deployment
from cowslippond_standins.harness._handles import UpstreamPlan
from cowslippond_standins.load import _outcomes
from cowslippond_standins.load._audit import audit
from cowslippond_standins.load._connection import ReceivedAnswer
from cowslippond_standins.load._generator import LoadGenerator
from cowslippond_standins.load._plan import (
    Mix,
    Phase,
    PlannedCall,
    plan_calls,
)
from cowslippond_standins.load._report import CallRecord, classify_answer

pytestmark = pytest.mark.anyio

MIX = Mix('h', '/items', '/orders', order_share=0.5, repeat_share=0.5)
PHASES = (Phase(300, 200), Phase(300, 400))


def record_of(
    call: PlannedCall, outcome: str, request_id: str = ''
) -> CallRecord:
    return CallRecord(call, outcome, '', request_id, elapsed=1, ended=1)


def run_of(call: PlannedCall, request_id: str = 'id') -> dict[str, str]:
    return {
        'request_id': request_id,
        'nonce': call.nonce,
        'order_key': call.key,
    }


class TestPlan:
    def test_same_seed_gives_the_same_plan(self) -> None:
        plan = plan_calls(PHASES, [MIX], 7)
        assert plan == plan_calls(PHASES, [MIX], 7)
        assert plan != plan_calls(PHASES, [MIX], 8)

    def test_repeat_has_the_same_key_and_request(self) -> None:
        plan = plan_calls(PHASES, [MIX], 7)
        firsts = {call.key: call for call in plan if not call.is_repeat}
        repeats = [call for call in plan if call.is_repeat]
        assert repeats
        for repeat in repeats:
            first = firsts[repeat.key]
            assert repeat == first._replace(at=repeat.at, is_repeat=True)


class TestJudge:
    def test_answer_of_another_call_is_detected(self) -> None:
        first, second = plan_calls(PHASES, [MIX], 7)[:2]
        body = (first.nonce * 100).encode()[: first.size]
        answer = ReceivedAnswer(200, {}, body, is_complete=True)
        assert classify_answer(first, answer) == _outcomes.ANSWERED
        assert classify_answer(second, answer) == _outcomes.WRONG_ANSWER

    def test_short_answer_is_detected(self) -> None:
        call = plan_calls(PHASES, [MIX], 7)[0]
        body = (call.nonce * 100).encode()[: call.size - 1]
        answer = ReceivedAnswer(200, {}, body, is_complete=True)
        assert classify_answer(call, answer) == _outcomes.WRONG_ANSWER


class TestAudit:
    @pytest.fixture
    def call(self) -> PlannedCall:
        plan = plan_calls(PHASES, [MIX], 7)
        return next(call for call in plan if call.key)

    def test_order_that_ran_twice_is_reported(self, call: PlannedCall) -> None:
        audit_report = audit(
            [record_of(call, 'answered')], [run_of(call), run_of(call)]
        )
        assert audit_report.duplicated == [call.key]
        assert not audit_report.is_clean()

    def test_answered_call_without_a_run_is_reported(
        self, call: PlannedCall
    ) -> None:
        assert audit([record_of(call, 'answered')], []).lost == [call.nonce]

    def test_run_after_not_run_is_reported(self, call: PlannedCall) -> None:
        audit_report = audit([record_of(call, 'not-run')], [run_of(call)])
        assert audit_report.ran_after_not_run == [call.nonce]

    def test_run_of_the_refused_attempt_is_reported(
        self, call: PlannedCall
    ) -> None:
        sent = [
            record_of(call, 'not-run', 'one'),
            record_of(call, 'answered', 'two'),
        ]
        assert audit(sent, [run_of(call, 'two')]).is_clean()
        audit_report = audit(sent, [run_of(call, 'one')])
        assert audit_report.ran_after_not_run == [call.nonce]


class TestGenerator:
    async def test_calls_are_answered_and_connections_reused(
        self, deployment: Deployment
    ) -> None:
        plan = UpstreamPlan('s', slots=64)
        upstream = (await deployment.add_upstreams(plan, ['d']))[0]
        mix = MIX._replace(repeat_share=0, mean_work_ms=1, sizes=(0, 70_000))
        calls = plan_calls(PHASES, [mix], 7)
        generator = LoadGenerator([upstream.address], 7)
        report = await generator.run(calls)
        assert report.outcomes == {_outcomes.ANSWERED: len(calls)}
        assert report.connections < len(calls) / 2
        assert {one.via for one in report.records} == {str(upstream.address)}
        assert audit(report.records, await deployment.runs()).is_clean()

    async def test_cut_answers_are_counted(
        self, deployment: Deployment
    ) -> None:
        plan = UpstreamPlan('s', slots=64)
        upstream = (await deployment.add_upstreams(plan, ['d'], truncate=3))[0]
        calls = plan_calls(PHASES, [MIX._replace(repeat_share=0)], 7)
        report = await LoadGenerator([upstream.address], 7).run(calls)
        assert report.outcomes[_outcomes.CUT] == 3

    async def test_refused_connection_is_counted(self) -> None:
        calls = plan_calls([Phase(50, 100)], [MIX], 7)
        report = await LoadGenerator([Address('127.0.0.1', 9)], 7).run(calls)
        assert report.outcomes == {_outcomes.NOT_CONNECTED: len(calls)}

    async def test_calls_to_silent_upstream_time_out(
        self, deployment: Deployment
    ) -> None:
        plan = UpstreamPlan('s')
        upstream = (await deployment.add_upstreams(plan, ['d'], hang=True))[0]
        calls = plan_calls([Phase(50, 100)], [MIX], 7)
        generator = LoadGenerator([upstream.address], 7, timeout=200)
        report = await generator.run(calls)
        assert report.outcomes == {_outcomes.TIMED_OUT: len(calls)}
