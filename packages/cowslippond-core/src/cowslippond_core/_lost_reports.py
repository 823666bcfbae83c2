"""The reports of daemons that cannot read the store."""

from cowslippond_core._clock import Millis
from cowslippond_core._gossip_table import GossipTable

#: The gossip table in which daemons report that they cannot read the store.
STORE_LOST_TABLE = 'store_lost'

# Lifetime of such a report unless it is renewed.
_REPORT_TTL: Millis = 5000


def report_store_lost(reports: GossipTable, address: str) -> None:
    """Report that a daemon cannot read the store.

    :param address: the peer address of the daemon.
    """
    reports.put(address, 'lost', _REPORT_TTL)


def report_ages(reports: GossipTable) -> dict[str, Millis]:
    """Return how long ago each daemon reported that it cannot read the store.

    :returns: the ages in milliseconds, by peer address.
    """
    return {row.key: _REPORT_TTL - row.remaining for row in reports.rows()}
