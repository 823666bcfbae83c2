"""Increasing versions of texts that the daemons of a fleet pass on."""

from collections.abc import Callable, Iterable

from cowslippond_core._clock import Millis
from cowslippond_core._document import AcceptedDocument


class Versions:
    """The newest known version of each text.

    Versions only increase. ``revision`` is the revision up to which no change
    of any text is missing; individual texts may be newer. ``confirmed_at`` is
    the clock time at which ``revision`` was last known to be the newest.
    ``observed_revision`` is the highest revision reported to exist.
    ``successor`` is the name of the log in which peers that have it exchange
    the same texts instead. ``confirmation_listeners`` are called with the time
    of each confirmation that is newer than the former ones.
    """

    successor = ''

    def __init__(self) -> None:
        self.revision = 0
        self.observed_revision = 0
        self.confirmed_at: Millis | None = None
        self.latest: dict[str, AcceptedDocument] = {}
        self.listeners: list[Callable[[], None]] = []
        self.confirmation_listeners: list[Callable[[Millis], None]] = []

    def offer(self, accepted: AcceptedDocument) -> bool:
        """Put a version in force if it is newer than the stored one.

        A version that cannot be parsed is still stored, so that it is passed
        on and not fetched again, but the previous one stays in force.

        :returns: whether the version is now in force.
        """
        if not self._is_newer(accepted):
            return False
        self.latest[accepted.service] = accepted
        is_in_force = self.put_in_force(accepted)
        self._notify()
        return is_in_force

    def offer_all(self, batch: Iterable[AcceptedDocument]) -> None:
        """Put the newer versions of a batch in force.

        Listeners are called once, after the last version.
        """
        has_changed = False
        for accepted in batch:
            if not self._is_newer(accepted):
                continue
            self.latest[accepted.service] = accepted
            self.put_in_force(accepted)
            has_changed = True
        if has_changed:
            self._notify()

    def advance(self, revision: int) -> None:
        """Record that no change up to a revision is missing.

        :param revision: ignored unless it is above the current one.
        """
        if revision <= self.revision:
            return
        self.revision = revision
        self._notify()

    def observe_revision(self, revision: int) -> None:
        """Record that a revision exists, though its changes may be missing."""
        self.observed_revision = max(self.observed_revision, revision)

    def confirm(self, at: Millis, revision: int) -> None:
        """Record that a revision was the newest at a given time.

        :param at: the clock time at which the read of the head began, in
            milliseconds.
        :param revision: the head revision that was read; it is ignored unless
            it equals the current revision.
        """
        if revision != self.revision:
            return
        if self.confirmed_at is not None and self.confirmed_at >= at:
            return
        self.confirmed_at = at
        for listener in self.confirmation_listeners:
            listener(at)

    def accepts(self) -> bool:
        """Return whether texts of peers are applied."""
        return True

    def newer_than(self, revision: int) -> list[AcceptedDocument]:
        """Return the newest texts above a revision, lowest revision first."""
        newer = [
            accepted
            for accepted in self.latest.values()
            if accepted.revision > revision
        ]
        return sorted(newer, key=lambda accepted: accepted.revision)

    def put_in_force(self, accepted: AcceptedDocument) -> bool:
        """Put a newer version in force; subclasses may reject it.

        :returns: whether the version is now in force.
        """
        return True

    def _is_newer(self, accepted: AcceptedDocument) -> bool:
        if accepted.revision == self.revision + 1:
            self.revision = accepted.revision
        current = self.latest.get(accepted.service)
        return current is None or current.version < accepted.version

    def _notify(self) -> None:
        for listener in self.listeners:
            listener()
