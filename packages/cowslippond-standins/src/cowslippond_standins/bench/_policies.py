"""The policies under comparison: a routing policy with or without hedging."""

from typing import NamedTuple

import orjson


class PolicyVariant(NamedTuple):
    """One policy of the comparison.

    ``routing`` is the name of a routing policy in
    :mod:`cowslippond_standins.bench.daemon`. The service document of
    ``service`` determines whether calls are hedged.
    """

    name: str
    routing: str
    service: str

    def host(self) -> str:
        """Return the host name that selects the service."""
        return f'{self.service}.example'


_PLAIN = 'bench-plain'
_HEDGED = 'bench-copying'

SHIPPED = 'shipped'
BATCH = 'bench-batch'
VARIANTS = (
    PolicyVariant('random', 'random', _PLAIN),
    PolicyVariant('round-robin', 'round-robin', _PLAIN),
    PolicyVariant('two-choices', 'two-choices', _PLAIN),
    PolicyVariant('least', 'least', _PLAIN),
    PolicyVariant('probing', 'probing', _PLAIN),
    PolicyVariant(SHIPPED, 'least', _HEDGED),
)
_HEDGE_RATIOS = ((_PLAIN, 0), (_HEDGED, 0.1))
_HEDGE_DELAY_FACTOR = 2.5
_DEADLINE_MS = 5000
_BATCH_DEADLINE_MS = 10_000


def documents(mean_ms: float) -> list[str]:
    """Return the service documents of the benchmark.

    :param mean_ms: the mean service time.
    """
    texts = []
    for service, share in _HEDGE_RATIOS:
        hedging: dict[str, float] = {'share_of_calls': share}
        if share > 0:
            hedging['delay_ms'] = _HEDGE_DELAY_FACTOR * mean_ms
        document = {
            'service': service,
            'match': [{'host': f'{service}.example'}],
            'upstreams': {'slots': 2, 'mean_service_ms': mean_ms},
            'deadline': {'default_ms': _DEADLINE_MS},
            'hedging': hedging,
        }
        texts.append(orjson.dumps(document).decode())
    texts.append(_batch_document(mean_ms))
    return texts


def _batch_document(mean_ms: float) -> str:
    document = {
        'service': BATCH,
        'match': [{'host': f'{BATCH}.example'}],
        'upstreams': {'slots': 2, 'mean_service_ms': mean_ms},
        'deadline': {'default_ms': _BATCH_DEADLINE_MS},
        'hedging': {'share_of_calls': 0},
        'priority': 'batch',
    }
    return orjson.dumps(document).decode()


def services() -> list[str]:
    """Return the services whose calls the measured upstreams serve."""
    return [service for service, _ in _HEDGE_RATIOS]
