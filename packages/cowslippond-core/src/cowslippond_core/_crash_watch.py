"""Detection of upstream crashes when a send ends."""

import anyio
from anyio.abc import ByteStream

from cowslippond_core._attempt import AnswerLost, Attempt
from cowslippond_core._clock import Millis, seconds_of
from cowslippond_core._exchange import ExchangeFault
from cowslippond_core._quarantine import Quarantine
from cowslippond_core._upstreams import Upstream

# The host of a crashed process refuses connections at once; a machine that is
# gone does not answer.
_CONNECT_TIMEOUT: Millis = 50
_CLOSE_TIMEOUT: Millis = 5
_CRASH_WINDOW: Millis = 50


def record_send_end(quarantine: Quarantine, attempt: Attempt) -> None:
    """Record whether a send ended in a whole answer or a broken connection.

    A send that was cancelled or timed out is neither, and is not recorded.
    """
    connection = attempt.connection
    if connection is None:
        return
    address = attempt.upstream.address
    fingerprint = attempt.request.fingerprint
    exchange = attempt.exchange
    if exchange.is_complete:
        quarantine.record_answer(address, fingerprint, connection.opened_at)
        return
    # A body that its caller aborts is a different fault.
    if exchange.fault is ExchangeFault.CLOSED:
        quarantine.record_break(address, fingerprint)


async def watch_crash(
    quarantine: Quarantine,
    upstream: Upstream,
    lost: AnswerLost,
    *,
    may_retry: bool,
) -> None:
    """Check whether an upstream crashed during a call, and notify the fleet.

    A crashed upstream refuses connections until it is restarted, and all
    connections to it break at the same time. If it is restarted immediately,
    the crash remains uncertain. An uncertain crash is also pushed to the other
    daemons before the caller learns that its call was lost, unless this daemon
    retries the call itself.

    :param quarantine: records the crash.
    :param upstream: the upstream of the lost call.
    :param lost: how the call was lost.
    :param may_retry: whether this daemon retries the call itself.
    """
    if lost.fault is not ExchangeFault.CLOSED:
        return
    connections = upstream.connections
    since = connections.clock.now() - _CRASH_WINDOW
    is_refusing = await _is_refusing(upstream.address)
    if is_refusing or connections.were_all_closed(since):
        quarantine.confirm_crash(upstream.address)
    elif may_retry:
        return
    await quarantine.push_updates()


async def _is_refusing(address: str) -> bool:
    host, _, port = address.rpartition(':')
    try:
        with anyio.fail_after(seconds_of(_CONNECT_TIMEOUT)):
            stream = await anyio.connect_tcp(host.strip('[]'), int(port))
    except TimeoutError:
        return False
    except OSError as error:
        return isinstance(error.__cause__, ConnectionRefusedError)
    # The kernel may accept a connection for a process that is about to exit.
    async with stream:
        return await _is_closed(stream)


async def _is_closed(stream: ByteStream) -> bool:
    try:
        with anyio.fail_after(seconds_of(_CLOSE_TIMEOUT)):
            await stream.receive(1)
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return True
    except TimeoutError:
        return False
    return False
