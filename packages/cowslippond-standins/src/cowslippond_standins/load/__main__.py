"""Command line entry point of the load generator."""

import anyio
import defopt
import orjson

from cowslippond_standins._address import parse_address
from cowslippond_standins.load._generator import LoadGenerator
from cowslippond_standins.load._plan import Mix, Phase, plan_calls

_SECOND = 1000
_DEFAULT_RATE = 100


def send(
    *targets: str,
    rate: float = _DEFAULT_RATE,
    seconds: float = 10,
    seed: int = 1,
    host: str = 'localhost',
    path: str = '/',
    order_share: float = 0,
    work_ms: float = 8,
) -> None:
    """Send calls on a fixed, seeded schedule and print a report.

    :param targets: addresses to send to, round-robin.
    :param rate: calls per second.
    :param seconds: duration of the run.
    :param seed: seed of the schedule.
    :param host: ``Host`` header of the calls.
    :param path: path of lookups; orders are sent to ``orders`` below it.
    :param order_share: fraction of calls that are orders with a key.
    :param work_ms: mean work per call, in milliseconds.
    """
    mix = Mix(
        host=host,
        lookup_path=path,
        order_path=f'{path.rstrip("/")}/orders',
        order_share=order_share,
        mean_work_ms=work_ms,
    )
    calls = plan_calls([Phase(seconds * _SECOND, rate)], [mix], seed)
    addresses = [parse_address(target) for target in targets]
    generator = LoadGenerator(addresses, seed)
    report = anyio.run(
        generator.run, calls, backend_options={'use_uvloop': True}
    )
    summary = orjson.dumps(report.summary(), option=orjson.OPT_INDENT_2)
    print(summary.decode())


if __name__ == '__main__':
    defopt.run(send)
