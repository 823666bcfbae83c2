"""The reports of daemons that cannot read the store."""

import math
from typing import NamedTuple

from cowslippond_core._clock import Millis
from cowslippond_core._gossip_table import GossipRow, GossipTable

#: The gossip table in which daemons report that they cannot read the store.
STORE_LOST_TABLE = 'store_lost'

# Lifetime of such a report unless it is renewed.
_REPORT_TTL: Millis = 5000


class LostReport(NamedTuple):
    """A report that a daemon cannot read the store.

    ``age`` is how long ago it was written. ``missed`` is for how long the daemon
    may have missed changes when it wrote the report, as its call got no answer;
    0 if the store refused it. Both are in milliseconds.
    """

    age: Millis
    missed: Millis


def report_store_lost(
    reports: GossipTable, address: str, missed: Millis
) -> None:
    """Report that a daemon cannot read the store.

    :param address: the peer address of the daemon.
    :param missed: for how long it may have missed changes, in milliseconds.
    """
    reports.put(address, str(math.ceil(missed)), _REPORT_TTL)


def decode_report(row: GossipRow) -> LostReport:
    """Return the report in a row; those of earlier releases have no number."""
    missed = min(int(row.text), _REPORT_TTL) if row.text.isdecimal() else 0
    return LostReport(_REPORT_TTL - row.remaining, missed)


def lost_reports_of(reports: GossipTable) -> dict[str, LostReport]:
    """Return the reports that have not expired, by peer address."""
    return {row.key: decode_report(row) for row in reports.rows()}
