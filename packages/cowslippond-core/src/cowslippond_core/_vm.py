"""One VM as described by a VM list."""

import enum
from typing import NamedTuple

from cowslippond_core._clock import Millis

#: The ``service`` label of an entry VM, on which a daemon of this project runs.
ENTRY_SERVICE = 'cowslippond'


class VmState(enum.StrEnum):
    """Whether a VM is in service or about to stop."""

    LIVE = 'live'
    LEAVING = 'leaving'


class Vm(NamedTuple):
    """One VM of the platform's list.

    ``incarnation`` changes whenever a new VM takes over a name or address.
    ``address`` is the ``host:port`` that accepts calls; for an entry VM it is
    the address for peers, and ``admin_address`` is set. ``slots`` is the
    number of calls that the VM runs concurrently, 0 if the list does not give
    it. ``warm_up`` is the remaining time for which the VM responds slowly
    after its start, in milliseconds, counted from ``listed_at``, the time on the
    clock at which its entry was received; only entries of cold VMs have it.
    """

    name: str
    incarnation: str
    failure_domain: str
    state: VmState
    service: str
    address: str
    admin_address: str = ''
    slots: int = 0
    warm_up: Millis = 0
    listed_at: Millis = 0
