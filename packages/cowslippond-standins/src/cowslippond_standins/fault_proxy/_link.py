"""Proxied links, their connections and the faults injected into them."""

import collections
import enum
import socket
from collections.abc import Mapping
from typing import Any

import anyio
from anyio.abc import SocketStream
from cowslippond_core import Clock, Millis

from cowslippond_standins import _stream
from cowslippond_standins._address import Address

_PACKET_BYTES = 1500
_RECEIVE_BUFFER_BYTES = 65_536
_MILLIS_PER_SECOND = 1000
_CONNECTION_ERRORS = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class Direction(enum.StrEnum):
    """Direction of a byte stream; up is from the client to the target."""

    UP = 'up'
    DOWN = 'down'


class CutMode(enum.StrEnum):
    """How a connection is closed when it is cut."""

    FIN = 'fin'
    RST = 'rst'


class Faults:
    """Faults that are enabled on a link.

    ``delay_up_ms`` and ``delay_down_ms`` delay each chunk of bytes.
    ``silent`` holds the directions in which the bytes of new connections are
    discarded. ``refuse_new`` resets new connections. ``holding`` holds back
    answers until they are released. ``drop_answers`` is the number of
    answers still to be dropped, each together with its connection.
    ``cut_after_bytes`` closes a connection that has sent more than that many
    bytes down; zero disables it. ``cut_mode`` is how a connection with a
    dropped answer is closed. ``bytes_per_second`` is the speed of the link in
    each direction, which its connections share; zero means no limit.
    """

    def __init__(self) -> None:
        self.delay_up_ms: Millis = 0
        self.delay_down_ms: Millis = 0
        self.silent: set[Direction] = set()
        self.refuse_new = False
        self.holding = False
        self.drop_answers = 0
        self.cut_after_bytes = 0
        self.cut_mode = CutMode.RST
        self.bytes_per_second: float = 0

    def update(self, command: Mapping[str, Any]) -> None:
        """Set the faults named by a control command.

        Each key is the name of an attribute.
        """
        for name, setting in command.items():
            if name == 'silent':
                self.silent = {Direction(text) for text in setting}
                continue
            current = getattr(self, name)
            setattr(self, name, type(current)(setting))

    def delay(self, direction: Direction) -> Millis:
        """Return the delay of each chunk in one direction."""
        if direction == Direction.UP:
            return self.delay_up_ms
        return self.delay_down_ms


class Relay:
    """A client connection and its connection to the target.

    ``silent`` holds the directions in which bytes are discarded.
    """

    def __init__(self, client: SocketStream, target: SocketStream) -> None:
        self.client = client
        self.target = target
        self.silent: set[Direction] = set()
        self.bytes_down = 0

    async def cut(self, mode: CutMode) -> None:
        """Close the connections on both sides."""
        for stream in (self.client, self.target):
            if mode == CutMode.RST:
                await _stream.reset(stream)
            else:
                await stream.aclose()


class Link:
    """Forwards connections to a target and applies faults to them."""

    def __init__(self, clock: Clock, target: Address) -> None:
        self.clock = clock
        self.target = target
        self.faults = Faults()
        self.relays: set[Relay] = set()
        self.counters: collections.Counter[str] = collections.Counter()
        self.released = anyio.Event()
        # When the bytes accepted so far have passed the link.
        self.free_at: dict[Direction, Millis] = dict.fromkeys(Direction, 0)

    async def forward(self, client: SocketStream) -> None:
        """Forward one connection to the target until it closes."""
        self.counters['connections'] += 1
        if self.faults.refuse_new:
            self.counters['refused'] += 1
            await _stream.reset(client)
            return
        if self.faults.bytes_per_second:
            # The system would otherwise take megabytes from the sender at once.
            client.extra(anyio.abc.SocketAttribute.raw_socket).setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
            )
        try:
            target = await _stream.connect(self.target)
        except OSError:
            self.counters['target_refused'] += 1
            await _stream.reset(client)
            return
        await self._relay(Relay(client, target))

    async def cut_all(self, mode: CutMode) -> None:
        """Cut all open connections."""
        for relay in list(self.relays):
            self.counters['cut'] += 1
            await relay.cut(mode)

    def silence_existing(self, directions: set[Direction]) -> None:
        """Discard further bytes of the open connections."""
        for relay in self.relays:
            self.counters['silenced'] += 1
            relay.silent |= directions

    def release(self) -> None:
        """Stop holding answers and forward those held back so far."""
        self.faults.holding = False
        self.released.set()
        self.released = anyio.Event()

    async def _relay(self, relay: Relay) -> None:
        relay.silent |= self.faults.silent
        self.relays.add(relay)
        async with relay.client, relay.target:
            async with anyio.create_task_group() as group:
                scope = group.cancel_scope
                group.start_soon(self._copy, relay, Direction.UP, scope)
                group.start_soon(self._copy, relay, Direction.DOWN, scope)
        self.relays.discard(relay)

    async def _copy(
        self, relay: Relay, direction: Direction, scope: anyio.CancelScope
    ) -> None:
        source, sink = relay.client, relay.target
        if direction == Direction.DOWN:
            source, sink = sink, source
        try:
            await self._copy_all(relay, direction, source, sink)
        except _CONNECTION_ERRORS:
            scope.cancel()

    async def _copy_all(
        self,
        relay: Relay,
        direction: Direction,
        source: SocketStream,
        sink: SocketStream,
    ) -> None:
        async for chunk in source:
            if await self._apply_faults(relay, direction, chunk):
                await self._forward_chunk(direction, sink, chunk)
                self.counters[f'bytes_{direction}'] += len(chunk)
        if direction not in relay.silent:
            await _stream.half_close(sink)

    async def _forward_chunk(
        self, direction: Direction, sink: SocketStream, chunk: bytes
    ) -> None:
        speed = self.faults.bytes_per_second
        if not speed:
            await sink.send(chunk)
            return
        # Connections take turns, one packet each.
        for start in range(0, len(chunk), _PACKET_BYTES):
            packet = chunk[start : start + _PACKET_BYTES]
            now = self.clock.now()
            free_at = max(self.free_at[direction], now)
            free_at += len(packet) / speed * _MILLIS_PER_SECOND
            self.free_at[direction] = free_at
            await self.clock.sleep(free_at - now)
            await sink.send(packet)

    async def _apply_faults(
        self, relay: Relay, direction: Direction, chunk: bytes
    ) -> bool:
        if direction == Direction.DOWN:
            await self._apply_answer_faults(relay, chunk)
        delay = self.faults.delay(direction)
        if delay > 0:
            self.counters['delayed'] += 1
            await self.clock.sleep(delay)
        if direction in relay.silent:
            self.counters['bytes_lost'] += len(chunk)
            return False
        return True

    async def _apply_answer_faults(self, relay: Relay, chunk: bytes) -> None:
        faults = self.faults
        if faults.holding:
            self.counters['held'] += 1
            await self.released.wait()
        if faults.drop_answers > 0:
            faults.drop_answers -= 1
            self.counters['answers_dropped'] += 1
            await relay.cut(faults.cut_mode)
            raise anyio.ClosedResourceError
        relay.bytes_down += len(chunk)
        if 0 < faults.cut_after_bytes < relay.bytes_down:
            self.counters['cut_in_answer'] += 1
            allowed = faults.cut_after_bytes - relay.bytes_down + len(chunk)
            await relay.client.send(chunk[: max(allowed, 0)])
            await relay.cut(CutMode.FIN)
            raise anyio.ClosedResourceError
