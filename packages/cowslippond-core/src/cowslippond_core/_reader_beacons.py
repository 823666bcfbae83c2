"""Tells all daemons within milliseconds that one of them reads the store.

A reader sends a beacon several times a second to a few daemons, and each daemon
passes it on to a few others. With a fan-out of four, about one daemon in fifty
misses a beacon (e^-4), and gets the next one. A beacon names the newest entry
of each log, so that a daemon that has all of these knows that it had missed no
change when the beacon was sent.
"""

import math
import random
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import orjson

from cowslippond_core._clock import Clock, Millis
from cowslippond_core._codec import WireError, read_number, read_text
from cowslippond_core._membership import Membership
from cowslippond_core._store_era import StoreEra
from cowslippond_core._store_outage import StoreSilence
from cowslippond_core._versions import Versions

#: Time between two beacons of the reader that ranks first.
BEACON_INTERVAL: Millis = 250

# A reader that ranks lower sends beacons if it has heard none of a higher rank
# for this long.
_STANDBY_TIME: Millis = 400

# To how many daemons a beacon is sent, and how often it is passed on.
_FAN_OUT = 4
_MAX_HOPS = 10

# Half of the receivers are chosen among the daemons that have sent a beacon to
# this one within this time, as many of the known ones may be gone.
_SENDER_LIFETIME: Millis = 1500

# Beacons that a daemon remembers. It passes on each of them once.
_REMEMBERED = 64

# How long gossip may take to pass on an entry in a small fleet; it grows with the
# logarithm of the number of daemons.
_SPREAD_TIME: Millis = 300
_FIRST_LEVEL = 6

# A daemon that has heard of no reader for longer than this, or of none that it
# could rely on, must not wait for gossip once more: the entries that it lacks may
# have been stored at the beginning of that time.
_MAX_LAG: Millis = 1000

# Daemons of the previous release send no beacons. After this time without any,
# a daemon goes by other signs of readers.
_SILENCE_LIMIT: Millis = 5000

_KIND = 'b'
_MAX_BYTES = 1024


class Beacon(NamedTuple):
    """The message of a daemon that reads the store.

    ``number`` increases with each beacon of a process, ``incarnation``
    identifies that process. ``hops`` is how often the beacon may still be
    passed on. ``era`` is the era of the store, ``newest`` the revision of the
    newest entry in each log. ``age`` is for how long the reader may have missed
    changes, in milliseconds.
    """

    fleet: str
    source: str
    incarnation: str
    number: int
    hops: int
    is_substitute: bool
    era: int
    newest: Mapping[str, int]
    age: int

    def rank(self) -> tuple[bool, str]:
        """Return the sort key of the reader; the lowest one sends beacons."""
        return self.is_substitute, self.source

    def identity(self) -> tuple[str, str, int]:
        """Return what identifies a beacon wherever it has been passed on."""
        return self.source, self.incarnation, self.number


class _HeardBeacon(NamedTuple):
    """A beacon; ``is_doubted`` means that its reader had no answers then."""

    at: Millis
    beacon: Beacon
    is_doubted: bool = False


class ReaderBeacons:
    """The beacons that a daemon sends, passes on and remembers.

    :param fleet: the fleet's name; beacons of other fleets are ignored.
    :param membership: the daemons to which beacons are sent.
    :param logs: the logs of which the store holds the entries.
    :param frequent: the name of a log that may change many times a second.
        Its entries are given the time that they take to spread.
    :param era: the era of the store.
    :param clock: measures the age of beacons.
    :param rng: chooses the daemons to which a beacon is sent.
    :param send: sends a datagram to a peer address.
    """

    def __init__(
        self,
        fleet: str,
        membership: Membership,
        logs: Mapping[str, Versions],
        frequent: str,
        era: StoreEra,
        clock: Clock,
        rng: random.Random,
        send: Callable[[str, bytes], None],
    ) -> None:
        self.fleet = fleet
        self.membership = membership
        self.logs = {
            name: log for name, log in logs.items() if not log.successor
        }
        self.frequent = frequent
        self.era = era
        self.clock = clock
        self.rng = rng
        self.send = send
        self.heard: deque[_HeardBeacon] = deque(maxlen=_REMEMBERED)
        self.read_up_to: Mapping[str, int] = {}
        self.senders: dict[str, Millis] = {}
        self.sent = 0
        self.sent_at: Millis = -BEACON_INTERVAL
        self.known_at: Millis = -math.inf
        self.silence = StoreSilence(clock)

    def receive(self, sender: str, packed: bytes) -> bool:
        """Record a beacon and pass it on, if it is new to this daemon.

        :returns: whether the datagram is a beacon.
        """
        try:
            beacon = decode_beacon(packed)
        except WireError:
            return False
        self.senders[sender] = self.clock.now()
        if self._is_new(beacon):
            self.silence.record_reading()
            self.heard.append(_HeardBeacon(self.clock.now(), beacon))
            if beacon.hops:
                passed_on = beacon._replace(hops=beacon.hops - 1)
                self._spread(passed_on, {sender, beacon.source})
        return True

    def is_due(self) -> bool:
        """Return whether the last beacon of this daemon was sent long ago."""
        return self.clock.now() - self.sent_at >= BEACON_INTERVAL

    def send_own(self, age: Millis, *, is_substitute: bool) -> None:
        """Tell all daemons that this one waits for changes in the store.

        Nothing is sent while a reader of a higher rank does so.

        :param age: for how long this daemon may have missed changes, in
            milliseconds.
        :param is_substitute: whether this daemon reads because it had heard
            of no reader.
        """
        now = self.clock.now()
        own = self.membership.own
        beacon = Beacon(
            self.fleet,
            own.address,
            own.incarnation,
            self.sent,
            _MAX_HOPS,
            is_substitute,
            self.era.current,
            {name: _newest_entry(log) for name, log in self.logs.items()},
            math.ceil(age),
        )
        if any(
            heard.beacon.rank() < beacon.rank()
            for heard in self.heard
            if now - heard.at <= _STANDBY_TIME
        ):
            return
        self.sent += 1
        self.sent_at = now
        self._spread(beacon, set())

    def is_in_use(self) -> bool:
        """Return whether readers of this release have been heard of lately.

        A daemon that has just started first gets the entries that they have.
        """
        return self.last_known_at() > -math.inf and self.are_heard(
            _SILENCE_LIMIT
        )

    def are_heard(self, max_age: Millis) -> bool:
        """Return whether any beacon has come within a time span."""
        return self.clock.now() - self.heard_at() <= max_age

    def heard_at(self) -> Millis:
        """Return when the last beacon has come."""
        return self.heard[-1].at if self.heard else -math.inf

    def last_known_at(self) -> Millis:
        """Return when this daemon was last known to have missed no change."""
        counts_until = self._counts_until()
        for heard in self.heard:
            known_at = heard.at - heard.beacon.age
            if known_at <= self.known_at or heard.at > counts_until:
                continue
            if heard.is_doubted or self._comes_too_late(heard):
                continue
            if self._has_reached(heard.beacon):
                self.known_at = known_at
        return self.known_at

    def doubt(self, source: str, since: Millis, until: Millis) -> bool:
        """Disregard the beacons that a reader sent within a time.

        :param source: the peer address of the reader.
        :param since: in milliseconds.
        :param until: in milliseconds.
        :returns: whether this daemon had counted on the newest of them.
        """
        was_relied_on = False
        for index, heard in enumerate(self.heard):
            if heard.beacon.source != source or not since < heard.at <= until:
                continue
            self.heard[index] = heard._replace(is_doubted=True)
            if heard.at - heard.beacon.age == self.known_at:
                self.known_at = since
                was_relied_on = True
        return was_relied_on

    def is_outranked(self, max_age: Millis) -> bool:
        """Return whether a reader was heard of that this one may rely on.

        Of several substitutes, the one with the lowest address goes on.

        :param max_age: for how long a reader counts after its last beacon.
        """
        own_rank = (True, self.membership.own.address)
        since = self.clock.now() - max_age
        counts_until = self._counts_until()
        return any(
            heard.beacon.rank() < own_rank and self._has_reached(heard.beacon)
            for heard in self.heard
            if since <= heard.at <= counts_until
        )

    def record_own_read(self, age: Millis) -> None:
        """Record that this daemon has read all changes from the store.

        :param age: how long ago, in milliseconds.
        """
        self.silence.record_reading()
        read_at = self.clock.now() - age
        self.known_at = max(self.known_at, read_at)
        newest: dict[str, int] = {}
        for heard in self.heard:
            if heard.at > read_at:
                continue
            for name, revision in heard.beacon.newest.items():
                newest[name] = max(revision, newest.get(name, 0))
        self.read_up_to = newest

    def _is_new(self, beacon: Beacon) -> bool:
        if beacon.fleet != self.fleet:
            return False
        if beacon.source == self.membership.own.address:
            return False
        identity = beacon.identity()
        return all(heard.beacon.identity() != identity for heard in self.heard)

    def _has_reached(self, beacon: Beacon) -> bool:
        """Return whether this daemon has all entries that the reader had."""
        if beacon.era < self.era.current:
            return False
        return all(
            name == self.frequent or self._known_revision(name) >= newest
            for name, newest in beacon.newest.items()
        )

    def _comes_too_late(self, heard: _HeardBeacon) -> bool:
        """Return whether entries that a beacon names must not wait for gossip."""
        if not 0 < heard.at - self.known_at - _MAX_LAG < math.inf:
            return False
        newest = heard.beacon.newest.get(self.frequent, 0)
        return newest > self._known_revision(self.frequent)

    def _known_revision(self, name: str) -> float:
        """Return the revision up to which a log is known, if there is one."""
        log = self.logs.get(name)
        if log is None:
            return math.inf
        return max(log.revision, self.read_up_to.get(name, 0))

    def _counts_until(self) -> Millis:
        """Return the time from which on beacons do not count.

        That is some time after the first beacon that names an entry of the
        frequently changing log which this daemon lacks: by then, gossip would
        have passed it on.
        """
        known = self._known_revision(self.frequent)
        for heard in self.heard:
            if heard.beacon.newest.get(self.frequent, 0) > known:
                levels = math.log(self.membership.count() / _FIRST_LEVEL)
                return heard.at + _SPREAD_TIME * max(levels, 1)
        return math.inf

    def _spread(self, beacon: Beacon, excluded: set[str]) -> None:
        known = {
            daemon.address for daemon in self.membership.known_daemons()
        } - excluded
        reachable = self._recent_senders() & known
        receivers = _choose(self.rng, reachable, _FAN_OUT // 2)
        others = known.difference(receivers)
        receivers += _choose(self.rng, others, _FAN_OUT - len(receivers))
        packed = encode_beacon(beacon)
        for address in receivers:
            self.send(address, packed)

    def _recent_senders(self) -> set[str]:
        """Return the daemons that have lately sent to this one."""
        since = self.clock.now() - _SENDER_LIFETIME
        self.senders = {
            address: at for address, at in self.senders.items() if at >= since
        }
        return set(self.senders)


def encode_beacon(beacon: Beacon) -> bytes:
    """Encode a beacon as a datagram."""
    return orjson.dumps((_KIND, *beacon))


def decode_beacon(packed: bytes) -> Beacon:
    """Decode a datagram; fields that a later release appends are ignored.

    :raises WireError: if it is not a beacon.
    """
    if len(packed) > _MAX_BYTES:
        raise WireError(f'beacon too long: {len(packed)} bytes')
    try:
        kind, *fields = orjson.loads(packed)
    except (ValueError, TypeError) as error:
        raise WireError(f'unreadable beacon: {error!r}') from error
    if kind != _KIND or len(fields) < len(Beacon._fields):
        raise WireError(f'not a beacon: {kind!r}')
    return _read_fields(dict(zip(Beacon._fields, fields, strict=False)))


def _read_fields(fields: dict[str, Any]) -> Beacon:
    newest = fields['newest']
    if not isinstance(newest, dict):
        raise WireError('beacon without revisions')
    return Beacon(
        read_text(fields['fleet']),
        read_text(fields['source']),
        read_text(fields['incarnation']),
        read_number(fields['number']),
        min(read_number(fields['hops']), _MAX_HOPS),
        bool(fields['is_substitute']),
        read_number(fields['era']),
        {name: read_number(revision) for name, revision in newest.items()},
        read_number(fields['age']),
    )


def _choose(rng: random.Random, addresses: set[str], count: int) -> list[str]:
    return rng.sample(sorted(addresses), min(count, len(addresses)))


def _newest_entry(log: Versions) -> int:
    return max((entry.revision for entry in log.latest.values()), default=0)
