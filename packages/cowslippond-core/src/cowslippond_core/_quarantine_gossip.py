"""Passes on between daemons which calls were running in which crashes."""

from cowslippond_core._gossip_table import GossipRow, GossipTable
from cowslippond_core._quarantine import Quarantine
from cowslippond_core._suspects import (
    MARK_LIFE,
    CrashMark,
    NewsKind,
    SuspectNews,
)

_KEY_PARTS = 3


def share_quarantine(quarantine: Quarantine, table: GossipTable) -> None:
    """Connect a quarantine to the rows that daemons pass to each other.

    :param quarantine: told what other daemons found out.
    :param table: gets what this daemon finds out.
    """
    quarantine.listeners.append(_Publisher(table).publish)
    table.listeners.append(_Receiver(quarantine).receive)


class _Publisher:
    def __init__(self, table: GossipTable) -> None:
        self.table = table

    def publish(self, news: SuspectNews) -> None:
        mark = news.mark
        # One row for each mark, since of rows with one key only the newest
        # lives.
        key = f'{news.fingerprint} {mark.upstream} {mark.at}'
        self.table.put(key, news.kind.value, MARK_LIFE)


class _Receiver:
    def __init__(self, quarantine: Quarantine) -> None:
        self.quarantine = quarantine

    def receive(self, row: GossipRow) -> None:
        news = _news_of(row)
        if news is not None:
            self.quarantine.apply(news)


def _news_of(row: GossipRow) -> SuspectNews | None:
    parts = row.key.split(' ')
    if len(parts) != _KEY_PARTS or row.text not in set(NewsKind):
        return None
    fingerprint, upstream, at = parts
    if not at.isdecimal():
        return None
    kind = NewsKind(row.text)
    mark = CrashMark(upstream, int(at), kind is NewsKind.CONFIRMED)
    return SuspectNews(kind, fingerprint, mark)
