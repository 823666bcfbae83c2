"""What the end of a send tells about crashes of its upstream."""

import anyio
from anyio.abc import ByteStream

from cowslippond_core._attempt import Attempt, Lost
from cowslippond_core._clock import Millis, seconds_of
from cowslippond_core._exchange import ExchangeFault
from cowslippond_core._quarantine import Quarantine
from cowslippond_core._upstreams import Upstream

# A crashed process refuses at once; a machine that is gone does not.
_CONNECT_TIMEOUT: Millis = 50
_CLOSE_TIMEOUT: Millis = 5
_CRASH_WINDOW: Millis = 50


def record_send_end(quarantine: Quarantine, attempt: Attempt) -> None:
    """Note whether a send ended in a whole answer or a broken connection.

    A send that was cancelled or timed out tells neither.
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
    # A caller that breaks off its body ends the connection, too.
    if exchange.fault is ExchangeFault.CLOSED and not connection.is_sending:
        quarantine.record_break(address, fingerprint)


async def watch_crash(
    quarantine: Quarantine,
    upstream: Upstream,
    lost: Lost,
    *,
    may_repeat: bool,
) -> None:
    """Find out whether an upstream crashed under a call, and tell the fleet.

    One that crashed refuses connections until it is started again, and all
    connections to it break at once. One that is started again at once leaves
    doubt; the others are told of that, too, before a caller hears of its loss.

    :param may_repeat: whether the call is sent again without its caller.
    """
    if lost.fault is not ExchangeFault.CLOSED:
        return
    connections = upstream.connections
    since = connections.clock.now() - _CRASH_WINDOW
    is_refusing = await _is_refusing(upstream.address)
    if is_refusing or connections.have_all_broken(since):
        quarantine.confirm_crash(upstream.address)
    elif may_repeat:
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
    # The kernel may take a connection for a process that is just ending.
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
