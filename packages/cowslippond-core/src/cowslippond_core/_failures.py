"""How many of the calls on an upstream fail, by evidence of all daemons."""

from typing import NamedTuple

from cowslippond_core._clock import Millis

# Failures of a machine last for seconds; after a few half-lives a recovered one
# is tried again.
_HALF_LIFE: Millis = 2000

# What others told longer ago has decayed to an eighth.
_HEARD_LIFE = 3 * _HALF_LIFE

# What others told counts a little less than what was seen here: it is older,
# and a path between two machines may be at fault.
_HEARD_WEIGHT = 0.7


class Evidence(NamedTuple):
    """Ends of calls on an upstream, older ones counting less."""

    failed: float = 0
    good: float = 0

    def aged(self, span: Millis) -> 'Evidence':
        """Return what is left of it after a time in milliseconds."""
        keeps = 0.5 ** (span / _HALF_LIFE)
        return Evidence(self.failed * keeps, self.good * keeps)


class _Heard(NamedTuple):
    evidence: Evidence
    at: Millis


class FailureShare:
    """The share of recent calls that failed.

    ``is_news`` tells that calls have ended here since it was last unset,
    ``usual`` is the share that is common at the upstreams of the service.
    """

    def __init__(self) -> None:
        self.seen = Evidence()
        self.noted_at: Millis = 0
        self.is_news = False
        self.usual: float = 0
        self.heard: dict[str, _Heard] = {}

    def note(self, now: Millis, *, is_failure: bool, weight: float = 1) -> None:
        """Count the end of a call.

        :param now: on the clock, in milliseconds.
        """
        failed, good = self.own(now)
        if is_failure:
            failed += weight
        else:
            good += weight
        self.seen = Evidence(failed, good)
        self.noted_at = now
        self.is_news = True

    def hear(self, teller: str, evidence: Evidence, now: Millis) -> None:
        """Take over what another daemon has seen, in place of what it told.

        :param now: on the clock, in milliseconds.
        """
        self.heard[teller] = _Heard(evidence, now)
        for other, told in tuple(self.heard.items()):
            if now - told.at > _HEARD_LIFE:
                self.heard.pop(other)

    def own(self, now: Millis) -> Evidence:
        """Return what this daemon has seen."""
        return self.seen.aged(now - self.noted_at)

    def share(self, now: Millis) -> float:
        """Return the share, which falls to 0 while nothing is noted."""
        failed, good = self.own(now)
        for told in self.heard.values():
            theirs = told.evidence.aged(now - told.at)
            failed += theirs.failed * _HEARD_WEIGHT
            good += theirs.good * _HEARD_WEIGHT
        return failed / (failed + good + 1)
