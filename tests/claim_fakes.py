"""In-memory fakes for tests of claims: daemons, tables and an upstream."""

import random
from collections import Counter
from collections.abc import AsyncIterator, Callable, Sequence

import anyio
from cowslippond_core import (
    CallAnswer,
    CallIdentity,
    CallRefusal,
    CallRequest,
    CallResult,
    Millis,
    Outcome,
    RefusalReason,
)
from cowslippond_core._claim_backlog import ClaimBacklog
from cowslippond_core._claim_flow import ClaimFlow
from cowslippond_core._claims import Claims
from cowslippond_core._objects import ObjectError, ObjectFault
from cowslippond_core._table import Put, TableError, TableFault
from expression import Error, Ok, Result
from fakes import FakeClock, FakeTable

IDENTITY = CallIdentity('checkout', 'till-4', 'order-1')
FAULTS = ('none', 'none', 'lost_request', 'lost_answer', 'late', 'down')
_MAX_YIELDS = 6


class FakeObjectStore:
    """An in-memory object store."""

    def __init__(self) -> None:
        self.bodies: dict[str, bytes] = {}
        self.is_down = False

    async def put(self, key: str, body: bytes) -> Result[None, ObjectError]:
        if self.is_down:
            return Error(ObjectError(ObjectFault.UNAVAILABLE, 'down'))
        if key in self.bodies:
            return Error(ObjectError(ObjectFault.CONFLICT, 'taken'))
        self.bodies[key] = body
        return Ok(None)

    async def get(self, key: str) -> Result[bytes | None, ObjectError]:
        if self.is_down:
            return Error(ObjectError(ObjectFault.UNAVAILABLE, 'down'))
        return Ok(self.bodies.get(key))

    async def delete(self, key: str) -> Result[None, ObjectError]:
        self.bodies.pop(key, None)
        return Ok(None)


class HookedTable(FakeTable):
    """A table that calls ``after_write`` at the end of each write."""

    def __init__(self) -> None:
        super().__init__()
        self.after_write: Callable[[], None] | None = None

    async def transact(self, puts: Sequence[Put]) -> Result[None, TableError]:
        written = await super().transact(puts)
        if self.after_write is not None:
            self.after_write()
        await anyio.lowlevel.checkpoint()
        return written


class FaultyTable(FakeTable):
    """A table that randomly loses, delays or refuses writes or answers."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self.rng = rng
        self.is_faulty = True
        self.late_writes: list[Sequence[Put]] = []
        self.faults: Counter[str] = Counter()

    async def transact(self, puts: Sequence[Put]) -> Result[None, TableError]:
        fault = self.rng.choice(FAULTS) if self.is_faulty else 'none'
        self.faults[fault] += 1
        await self.yield_randomly()
        if fault == 'late':
            self.late_writes.append(puts)
            return Error(TableError(TableFault.UNKNOWN, 'write delayed'))
        self.lost_requests = int(fault == 'lost_request')
        self.lost_answers = int(fault == 'lost_answer')
        self.is_down = fault == 'down'
        written = self._write(puts)
        self.is_down = False
        await self.yield_randomly()
        return written

    async def yield_randomly(self) -> None:
        """Yield to other tasks a random number of times."""
        for _ in range(self.rng.randrange(_MAX_YIELDS)):
            await anyio.lowlevel.checkpoint()

    async def deliver_late_writes(self) -> None:
        """Apply the delayed writes in random order."""
        while self.late_writes:
            puts = self.late_writes.pop(
                self.rng.randrange(len(self.late_writes))
            )
            self.lost_requests = 0
            self.lost_answers = 0
            self._write(puts)
            await self.yield_randomly()

    def _write(self, puts: Sequence[Put]) -> Result[None, TableError]:
        if self.is_down:
            return Error(TableError(TableFault.UNAVAILABLE, 'down'))
        if self.lost_requests:
            return Error(TableError(TableFault.UNKNOWN, 'request lost'))
        if not all(self._conditions_met(put) for put in puts):
            return Error(TableError(TableFault.CONFLICT, 'condition failed'))
        for put in puts:
            self.rows[put.key] = dict(put.attributes)
        if self.lost_answers:
            return Error(TableError(TableFault.UNKNOWN, 'answer lost'))
        return Ok(None)


class ClaimDaemon:
    """The parts of one daemon that handle claims."""

    def __init__(
        self,
        vm: str,
        table: FakeTable,
        objects: FakeObjectStore,
        clock: FakeClock,
    ) -> None:
        self.clock = clock
        self.claims = Claims(table, objects, clock, vm)
        self.backlog = ClaimBacklog(self.claims, clock)
        self.flow = ClaimFlow(self.claims, self.backlog, clock)

    async def drain_backlog(self) -> None:
        """Run the backlog until it is empty."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.backlog.run)
            while not self.backlog.is_idle():
                await anyio.lowlevel.checkpoint()
            tasks.cancel_scope.cancel()


class FakeUpstream:
    """Runs calls and records their request IDs in ``runs``.

    ``on_run`` is called after a call has run. A call sets ``started`` and
    then waits for ``may_finish``.
    """

    def __init__(self, body: bytes = b'receipt') -> None:
        self.body = body
        self.runs: list[str] = []
        self.refuses_calls = False
        self.reads_rest = True
        self.received_rest = b''
        self.on_run: Callable[[], None] | None = None
        self.chunks: AsyncIterator[bytes] | None = None
        self.started = anyio.Event()
        self.may_finish = anyio.Event()
        self.may_finish.set()

    async def send(self, request: CallRequest) -> CallResult:
        if self.refuses_calls:
            return CallRefusal(
                Outcome.NOT_RUN, RefusalReason.UPSTREAMS_FULL, 1000
            )
        self.started.set()
        await self.may_finish.wait()
        if request.rest is not None and self.reads_rest:
            self.received_rest = b''.join([part async for part in request.rest])
        self.runs.append(request.request_id)
        if self.on_run is not None:
            self.on_run()
        chunks = self.chunks or two_chunks(self.body)
        return CallAnswer(201, ((b'x-order', b'1'),), chunks)


def make_request(
    request_id: str,
    deadline: Millis = 10_000,
    body: bytes = b'one pass',
    attempt: int = 0,
) -> CallRequest:
    """Return a call that places an order."""
    return CallRequest(
        request_id=request_id,
        method=b'POST',
        target=b'/orders',
        headers=(),
        body=body,
        rest=None,
        is_idempotent=False,
        deadline=deadline,
        attempt=attempt,
        fingerprint='',
    )


async def two_chunks(body: bytes) -> AsyncIterator[bytes]:
    """Yield a body in two chunks."""
    half = len(body) // 2
    yield body[:half]
    yield body[half:]


async def read_body(call_result: CallResult) -> bytes:
    """Return the complete body of an answer."""
    assert isinstance(call_result, CallAnswer), call_result
    return b''.join([chunk async for chunk in call_result.chunks])
