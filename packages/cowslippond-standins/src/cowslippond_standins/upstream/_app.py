"""A stand-in upstream as an ASGI application."""

import asyncio
import contextlib
import os
import pathlib
import random
import sys
from collections.abc import Callable, Mapping

import anyio
from cowslippond_core import Clock, Millis, seconds_of
from cowslippond_core import _headers as headers

from cowslippond_standins import _asgi
from cowslippond_standins.upstream._behaviour import (
    Behaviour,
    CrashMode,
    FailFast,
)
from cowslippond_standins.upstream._ledger import Ledger, Run, RunOutcome
from cowslippond_standins.upstream._load import LoadMeter
from cowslippond_standins.upstream._request import (
    CallSpec,
    expected_body,
    parse_call_spec,
)
from cowslippond_standins.upstream._slots import Slots
from cowslippond_standins.upstream._speed import Speed

_PROBE_PATH = '/load'
_CALLER_HEADERS = ('authorization', 'x-caller', 'x-dealer-clerk', 'x-dealer')
_HTTP_ERROR = 500
_HTTP_EXPIRED = 504
_CRASH_STATUS = 70
_CHUNK_BYTES = 65_536
_MIN_STEP: Millis = 1
_COMPLETION_TOLERANCE: Millis = 0.5


class UpstreamApp:
    """Runs calls in a limited number of slots and injects faults.

    ``cut_all`` is a callback that aborts every connection of this upstream.

    :param seed: seed of the random service times and speed changes.
    :param ledger_path: file that records the runs of orders so that they
        survive a crash.
    """

    def __init__(
        self,
        behaviour: Behaviour,
        seed: int,
        ledger_path: pathlib.Path | None = None,
    ) -> None:
        self.clock = Clock()
        self.behaviour = behaviour
        self.rng = random.Random(seed)
        self.speed = Speed(behaviour, seed, self.clock.now())
        self.slots = Slots(behaviour)
        self.ledger = Ledger(self.clock, ledger_path)
        self.load = LoadMeter(self.clock, behaviour, self.slots)
        self.cut_all: Callable[[], None] = _ignore_cut

    async def __call__(
        self, scope: _asgi.Scope, receive: _asgi.Receive, send: _asgi.Send
    ) -> None:
        """Answer one request."""
        if not _asgi.is_http(scope):
            return
        rejection = self._rejection(scope['path'])
        payload = await _asgi.read_body(receive)
        if self.behaviour.faults.hang:
            self.ledger.counters['hung'] += 1
            await _asgi.wait_for_disconnect(receive)
            return
        if rejection is not None:
            await _asgi.send_answer(send, rejection)
            return
        call_spec = parse_call_spec(scope, payload)
        run = self._make_run(scope, call_spec)
        outcome = await self._run_call(run, call_spec, receive)
        if outcome == RunOutcome.COMPLETED:
            await self._send(run, call_spec, payload, send)
        elif outcome != RunOutcome.CANCELLED:
            await _asgi.send_answer(send, self._expired_answer(run))

    def restart(self) -> None:
        """Abort every connection and begin a cold start."""
        self.cut_all()
        self.speed.restart(self.clock.now())

    def _rejection(self, path: str) -> _asgi.Answer | None:
        if path == _PROBE_PATH:
            self.ledger.record_probe()
            return self.load.probe_answer()
        if self.behaviour.faults.draining:
            return self._not_run_answer(headers.NOT_RUN_DRAINING)
        if self.behaviour.faults.fail_fast != FailFast.OFF:
            self.ledger.counters['failed_fast'] += 1
            return _failure(self.behaviour.faults.fail_fast)
        if self.slots.is_full():
            return self._not_run_answer(headers.NOT_RUN_SHED)
        return None

    def _not_run_answer(self, reason: str) -> _asgi.Answer:
        self.ledger.counters[reason] += 1
        response_headers: _asgi.Headers = (
            (headers.NOT_RUN.encode(), reason.encode()),
        )
        if reason == headers.NOT_RUN_DRAINING:
            response_headers = (*response_headers, (b'connection', b'close'))
        return _asgi.Answer(
            _asgi.HTTP_UNAVAILABLE,
            b'',
            (*response_headers, *self.load.report()),
        )

    def _expired_answer(self, run: Run) -> _asgi.Answer:
        if run['started'] == 0:
            return self._not_run_answer(headers.NOT_RUN_SHED)
        return _asgi.Answer(_HTTP_EXPIRED)

    def _make_run(self, scope: _asgi.Scope, call_spec: CallSpec) -> Run:
        work = call_spec.work_ms
        if work < 0:
            work = self.rng.expovariate(1 / self.behaviour.mean_ms)
        request_headers = dict(scope['headers'])
        return {
            'request_id': _header_text(request_headers, headers.REQUEST_ID),
            'order_key': _header_text(request_headers, 'idempotency-key'),
            'caller': _caller_of(request_headers),
            'path': scope['path'],
            'nonce': call_spec.nonce,
            'attempt': _header_text(request_headers, headers.ATTEMPT),
            'work_ms': work,
            'started': 0,
            'ended': 0,
            'outcome': RunOutcome.RUNNING,
        }

    async def _run_call(
        self, run: Run, call_spec: CallSpec, receive: _asgi.Receive
    ) -> RunOutcome:
        now = self.clock.now()
        deadline = float('inf')
        if self.behaviour.faults.honours_deadline and call_spec.deadline_ms > 0:
            deadline = now + call_spec.deadline_ms
        slot_outcome = await self._wait_for_slot(receive, deadline - now)
        if slot_outcome != RunOutcome.RUNNING:
            self.ledger.counters['left_queue'] += 1
            return slot_outcome
        self.load.count_call()
        run['started'] = self.clock.now()
        is_kept = bool(run['order_key']) or self.behaviour.keeps_all
        self.ledger.start(run, is_kept=is_kept)
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._release)
            if call_spec.is_crash:
                self._crash(run)
            outcome = await self._work(run, receive, deadline)
        self.ledger.end(run, outcome)
        self.load.record_duration(run['ended'] - run['started'])
        return outcome

    def _release(self) -> None:
        self.slots.release()
        self.load.record_in_flight()

    async def _wait_for_slot(
        self, receive: _asgi.Receive, max_wait: Millis
    ) -> RunOutcome:
        if self.slots.busy < self.behaviour.slots:
            await self.slots.acquire()
            self.load.record_in_flight()
            return RunOutcome.RUNNING
        outcomes = [RunOutcome.EXPIRED]
        with anyio.move_on_after(seconds_of(max_wait)):
            async with anyio.create_task_group() as group:
                group.start_soon(
                    _cancel_on_disconnect, receive, group.cancel_scope, outcomes
                )
                await self.slots.acquire()
                outcomes.append(RunOutcome.RUNNING)
                group.cancel_scope.cancel()
        self.load.record_in_flight()
        return outcomes[-1]

    async def _work(
        self, run: Run, receive: _asgi.Receive, deadline: Millis
    ) -> RunOutcome:
        remaining_work = run['work_ms']
        now = self.clock.now()
        while remaining_work > 0:
            if now >= deadline:
                return RunOutcome.EXPIRED
            speed, span = self.speed.at(now)
            # The event loop's timers have a resolution of 1 ms; a shorter
            # sleep would return at once.
            step = max(min(span, remaining_work / speed), _MIN_STEP)
            if await self._disconnects_within(receive, step):
                return RunOutcome.CANCELLED
            step_end = self.clock.now()
            remaining_work -= (step_end - now) * speed
            if remaining_work < _COMPLETION_TOLERANCE * speed:
                break
            now = step_end
        return RunOutcome.COMPLETED

    async def _disconnects_within(
        self, receive: _asgi.Receive, step: Millis
    ) -> bool:
        if not self.behaviour.faults.honours_cancel:
            await self.clock.sleep(step)
            return False
        try:
            # asyncio.timeout is used because cancelling a task group here
            # doubles the cost of a call.
            async with asyncio.timeout(seconds_of(step)):
                await _asgi.wait_for_disconnect(receive)
        except TimeoutError:
            return False
        return True

    async def _send(
        self, run: Run, call_spec: CallSpec, payload: bytes, send: _asgi.Send
    ) -> None:
        body = expected_body(call_spec.nonce, call_spec.size)
        response_headers = [
            (b'x-nonce', call_spec.nonce.encode()),
            (b'x-body-length', str(len(payload)).encode()),
            *self.load.report(),
        ]
        if not call_spec.is_chunked:
            response_headers.append(
                (b'payload-length', str(len(body)).encode())
            )
        await send(
            {
                'type': 'http.response.start',
                'status': 200,
                'headers': response_headers,
            }
        )
        if self.behaviour.faults.truncate > 0:
            self.behaviour.faults.truncate -= 1
            run['outcome'] = RunOutcome.TRUNCATED
            self.ledger.counters[RunOutcome.TRUNCATED.value] += 1
            await send(_body_message(body[: len(body) // 2], more=True))
            return
        for start in range(0, len(body), _CHUNK_BYTES):
            end = start + _CHUNK_BYTES
            await send(_body_message(body[start:end], more=end < len(body)))
        if not body:
            await send(_body_message(b'', more=False))

    def _crash(self, run: Run) -> None:
        self.ledger.counters['crashes'] += 1
        print('crash', run['request_id'], file=sys.stderr, flush=True)
        if self.behaviour.faults.crash_mode == CrashMode.EXIT:
            os._exit(_CRASH_STATUS)
        self.restart()


def _failure(mode: FailFast) -> _asgi.Answer:
    if mode == FailFast.ERROR:
        return _asgi.Answer(_HTTP_ERROR, b'failed at once')
    return _asgi.Answer(_asgi.HTTP_UNAVAILABLE, b'unavailable')


def _body_message(body: bytes, *, more: bool) -> dict[str, object]:
    return {'type': 'http.response.body', 'body': body, 'more_body': more}


def _header_text(request_headers: Mapping[bytes, bytes], name: str) -> str:
    return request_headers.get(name.encode(), b'').decode('latin-1')


def _caller_of(request_headers: Mapping[bytes, bytes]) -> str:
    for name in _CALLER_HEADERS:
        caller = _header_text(request_headers, name)
        if caller:
            return caller
    return ''


def _ignore_cut() -> None:
    """Do nothing; used until the server sets its own callback."""


async def _cancel_on_disconnect(
    receive: _asgi.Receive, scope: anyio.CancelScope, outcomes: list[RunOutcome]
) -> None:
    await _asgi.wait_for_disconnect(receive)
    outcomes.append(RunOutcome.CANCELLED)
    scope.cancel()
