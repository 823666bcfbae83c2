"""Track upstreams that are leaving, as any source reports them."""

import enum
from collections import Counter
from collections.abc import Iterable

from cowslippond_core._clock import Clock, Millis
from cowslippond_core._gossip_table import GossipRow, GossipTable
from cowslippond_core._vm import Vm, VmState

#: How long a mark is passed on to other daemons.
MARK_TTL: Millis = 600_000

#: How long a mark is kept after its address disappears from the VM list.
RETENTION: Millis = 600_000

# Maximum number of addresses with a mark, and of marks per address.
_MAX_ADDRESSES = 8192
_MAX_INCARNATIONS = 4

# Placeholder for the incarnation of an address that no list has contained yet.
_UNKNOWN_INCARNATION = ''


class LeavingSource(enum.StrEnum):
    """Which source reported that an upstream is leaving."""

    ANSWER = 'answer'
    PEER = 'peer'
    VM_LIST = 'vm_list'


class LeavingMarks:
    """Marks of leaving upstreams, each for one incarnation of an address.

    A mark is valid until the VM list contains a new incarnation at the
    address, or until the address has been missing from the list for
    :data:`RETENTION`.

    :param clock: measures the retention time.
    :param table: the gossip table that passes marks on between daemons.
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
        """Return whether the current VM at an address is leaving."""
        marks = self.marks.get(address)
        if marks is None:
            return False
        return self.incarnations.get(address, _UNKNOWN_INCARNATION) in marks

    def mark(self, address: str, source: LeavingSource) -> None:
        """Mark the current VM at an address as leaving.

        :param source: counted if the mark is new.
        """
        if self.is_leaving(address):
            return
        incarnation = self.incarnations.get(address, _UNKNOWN_INCARNATION)
        self._add_mark(address, incarnation, source)
        self.table.put(_build_key(address, incarnation), source.value, MARK_TTL)

    def apply_list(self, vms: Iterable[Vm]) -> None:
        """Apply the incarnations and leaving states of a VM list."""
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
