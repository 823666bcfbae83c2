"""Which owners of shares answer this daemon."""

from cowslippond_core._clock import Millis

# An owner that did not answer is asked again after this time, at first, without
# any call waiting for its answer. The time doubles up to the maximum.
_FIRST_PAUSE: Millis = 500
_MAX_PAUSE: Millis = 4000


class _Silence:
    """An owner that has not answered."""

    def __init__(self, now: Millis) -> None:
        self.pause = _FIRST_PAUSE
        self.probe_at = now + _FIRST_PAUSE

    def extend(self, now: Millis) -> None:
        self.pause = min(self.pause * 2, _MAX_PAUSE)
        self.probe_at = now + self.pause


class OwnerContacts:
    """Remembers silent owners, so that few calls wait for them."""

    def __init__(self) -> None:
        self.silent: dict[str, _Silence] = {}

    def is_silent(self, owner: str) -> bool:
        """Return whether the owner did not answer when last asked."""
        return owner in self.silent

    def should_probe(self, owner: str, now: Millis) -> bool:
        """Return whether to ask a silent owner again, and count the probe."""
        silence = self.silent.get(owner)
        if silence is None or now < silence.probe_at:
            return False
        silence.extend(now)
        return True

    def record_answer(self, owner: str) -> None:
        """Record that an owner answered, even if late."""
        self.silent.pop(owner, None)

    def record_silence(self, owner: str, now: Millis) -> None:
        """Record that an owner did not answer in time."""
        if owner not in self.silent:
            self.silent[owner] = _Silence(now)

    def retain(self, owners: set[str]) -> None:
        """Forget daemons that are no longer listed."""
        for owner in self.silent.keys() - owners:
            self.silent.pop(owner)
