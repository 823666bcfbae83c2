"""Exchange of quarantine updates between daemons by gossip."""

from cowslippond_core._gossip_table import GossipRow, GossipTable
from cowslippond_core._quarantine import Quarantine
from cowslippond_core._suspects import (
    MARK_TTL,
    CrashMark,
    SuspectUpdate,
    SuspectUpdateKind,
)

_KEY_PARTS = 3


def share_quarantine(quarantine: Quarantine, table: GossipTable) -> None:
    """Connect a quarantine to a gossip table, in both directions.

    :param quarantine: receives the updates of other daemons.
    :param table: receives the updates of this daemon.
    """
    quarantine.listeners.append(_Publisher(table).publish)
    table.listeners.append(_Receiver(quarantine).receive)


class _Publisher:
    def __init__(self, table: GossipTable) -> None:
        self.table = table

    def publish(self, update: SuspectUpdate) -> None:
        mark = update.mark
        # Each mark needs its own row: the table stores only the newest row of a
        # key.
        key = f'{update.fingerprint} {mark.upstream} {mark.at}'
        self.table.put(key, update.kind.value, MARK_TTL)


class _Receiver:
    def __init__(self, quarantine: Quarantine) -> None:
        self.quarantine = quarantine

    def receive(self, row: GossipRow) -> None:
        update = _parse_update(row)
        if update is not None:
            self.quarantine.apply(update)


def _parse_update(row: GossipRow) -> SuspectUpdate | None:
    parts = row.key.split(' ')
    if len(parts) != _KEY_PARTS or row.text not in set(SuspectUpdateKind):
        return None
    fingerprint, upstream, at = parts
    if not at.isdecimal():
        return None
    kind = SuspectUpdateKind(row.text)
    mark = CrashMark(upstream, int(at), kind is SuspectUpdateKind.CONFIRMED)
    return SuspectUpdate(kind, fingerprint, mark)
