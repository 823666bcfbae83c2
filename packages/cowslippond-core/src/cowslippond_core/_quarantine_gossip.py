"""Passes the suspects of the quarantine on between daemons."""

from typing import Any

import orjson

from cowslippond_core._clock import Clock, Millis
from cowslippond_core._gossip_table import GossipRow, GossipTable
from cowslippond_core._quarantine import Quarantine
from cowslippond_core._suspects import CrashMark, Suspect

#: The time between two looks at the quarantine, in milliseconds.
LOOK_INTERVAL: Millis = 50

#: How long a suspect is passed on, in milliseconds; as long as the longest
#: quarantine lasts.
SUSPECT_LIFETIME: Millis = 600_000


class QuarantineGossip:
    """Keeps the quarantine and its gossip table alike.

    The table keeps one writer's row for each fingerprint. A daemon that knows
    more than the row it hears writes what both know together, so concurrent
    writers end up with the same marks.

    :param quarantine: what this daemon knows of suspects.
    :param table: passes it on.
    """

    def __init__(self, quarantine: Quarantine, table: GossipTable) -> None:
        self.quarantine = quarantine
        self.table = table
        table.listeners.append(self._hear)

    def publish(self) -> None:
        """Pass on what changed in the quarantine."""
        for suspect in self.quarantine.rows():
            text = encode_suspect(suspect)
            if self.table.text_of(suspect.fingerprint) != text:
                self.table.put(suspect.fingerprint, text, SUSPECT_LIFETIME)

    async def run(self, clock: Clock) -> None:
        """Publish changes until cancelled."""
        while True:
            self.publish()
            await clock.sleep(LOOK_INTERVAL)

    def _hear(self, row: GossipRow) -> None:
        suspect = decode_suspect(row)
        if suspect is not None:
            self.quarantine.merge([suspect])


def encode_suspect(suspect: Suspect) -> str:
    """Return the text of a suspect's row."""
    return orjson.dumps([suspect.cleared_at, suspect.marks]).decode()


def decode_suspect(row: GossipRow) -> Suspect | None:
    """Return the suspect of a row, ``None`` if the row holds none."""
    try:
        cleared_at, marks = orjson.loads(row.text)
        return Suspect(row.key, int(cleared_at), _decode_marks(marks))
    except (ValueError, TypeError):
        return None


def _decode_marks(marks: Any) -> tuple[CrashMark, ...]:
    return tuple(CrashMark(str(upstream), int(at)) for upstream, at in marks)
