"""One VM, as a list of VMs describes it."""

import enum
from typing import NamedTuple

from cowslippond_core._clock import Millis

#: The ``service`` label of an entry VM, on which a daemon of this project runs.
ENTRY_SERVICE = 'cowslippond'


class VmState(enum.StrEnum):
    """Whether a VM stays or is about to stop."""

    LIVE = 'live'
    LEAVING = 'leaving'


class Vm(NamedTuple):
    """One VM of the platform's list.

    ``incarnation`` changes whenever a VM with the same name or address is a
    new VM. ``address`` is the ``host:port`` that takes calls; for an entry VM
    it is the address for peers, and ``admin_address`` is set. ``slots`` is how
    many calls it runs side by side, 0 if the list doesn't say. ``warm_up`` is
    for how much longer it is slow after its start, in milliseconds.
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
