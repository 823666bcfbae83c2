"""Upstreams that are leaving, from whichever source says so first."""

import enum
from collections import Counter
from collections.abc import Iterable

from cowslippond_core._clock import Clock, Millis
from cowslippond_core._gossip_table import GossipRow, GossipTable
from cowslippond_core._vm import Vm, VmState

#: How long a mark is passed on to other daemons, in milliseconds.
MARK_TTL: Millis = 600_000

#: How long a mark outlives its address in the list of VMs, in milliseconds.
RETENTION: Millis = 600_000

# The most addresses with a mark, and the most marks of one address.
_MAX_ADDRESSES = 8192
_MAX_INCARNATIONS = 4

# Stands for the incarnation of an address that no list has shown yet.
_UNKNOWN_INCARNATION = ''


class LeavingSource(enum.StrEnum):
    """Who said that an upstream is leaving."""

    ANSWER = 'answer'
    PEER = 'peer'
    VM_LIST = 'vm_list'


class LeavingMarks:
    """Marks of leaving upstreams, each for one incarnation of an address.

    A mark stands until the list of VMs shows a new incarnation at the
    address, or until the address has been gone from the list for
    :data:`RETENTION`.

    :param clock: the clock of retention.
    :param table: passes the marks on between daemons.
    """

    def __init__(self, clock: Clock, table: GossipTable) -> None:
        self.clock = clock
        self.table = table
        self.incarnations: dict[str, str] = {}
        self.marks: dict[str, tuple[str, ...]] = {}
        self.missing_since: dict[str, Millis] = {}
        self.counts: Counter[LeavingSource] = Counter()
        table.listeners.append(self._apply_peer_row)

    def is_leaving(self, address: str) -> bool:
        """Return whether the VM now at an address is leaving."""
        marks = self.marks.get(address)
        if marks is None:
            return False
        return self.incarnations.get(address, _UNKNOWN_INCARNATION) in marks

    def mark(self, address: str, source: LeavingSource) -> None:
        """Note that the VM now at an address is leaving.

        :param source: counted if the mark is news.
        """
        if self.is_leaving(address):
            return
        incarnation = self.incarnations.get(address, _UNKNOWN_INCARNATION)
        self._add_mark(address, incarnation, source)
        self.table.put(_build_key(address, incarnation), source.value, MARK_TTL)

    def apply_list(self, vms: Iterable[Vm]) -> None:
        """Take over a list of VMs: new incarnations, and who is leaving."""
        listed = {vm.address: vm for vm in vms}
        for address, vm in listed.items():
            self._update_incarnation(address, vm.incarnation)
            if vm.state is VmState.LEAVING:
                self.mark(address, LeavingSource.VM_LIST)
        self._expire_missing(listed.keys())

    def _update_incarnation(self, address: str, incarnation: str) -> None:
        earlier = self.incarnations.get(address)
        self.incarnations[address] = incarnation
        marks = self.marks.get(address)
        if marks is None or earlier == incarnation:
            return
        if earlier is None and _UNKNOWN_INCARNATION in marks:
            self.marks[address] = (incarnation,)
        elif incarnation in marks:
            self.marks[address] = (incarnation,)
        else:
            self.marks.pop(address)

    def _expire_missing(self, listed: Iterable[str]) -> None:
        now = self.clock.now()
        present = set(listed)
        for address in tuple(self.missing_since):
            if address in present:
                self.missing_since.pop(address)
        for address in self.marks.keys() | self.incarnations.keys():
            if address in present:
                continue
            since = self.missing_since.setdefault(address, now)
            if now - since > RETENTION:
                self._remove(address)

    def _remove(self, address: str) -> None:
        self.marks.pop(address, None)
        self.incarnations.pop(address, None)
        self.missing_since.pop(address, None)

    def _apply_peer_row(self, row: GossipRow) -> None:
        address, _, incarnation = row.key.partition(' ')
        current = self.incarnations.get(address, _UNKNOWN_INCARNATION)
        self._add_mark(address, incarnation or current, LeavingSource.PEER)

    def _add_mark(
        self, address: str, incarnation: str, source: LeavingSource
    ) -> None:
        marks = self.marks.get(address, ())
        if incarnation in marks:
            return
        self.counts[source] += 1
        if address not in self.marks and len(self.marks) >= _MAX_ADDRESSES:
            self.marks.pop(next(iter(self.marks)))
        self.marks[address] = (*marks, incarnation)[-_MAX_INCARNATIONS:]


def _build_key(address: str, incarnation: str) -> str:
    return f'{address} {incarnation}'
