"""Control commands that set the platform's faults and its VM list."""

from collections.abc import Mapping
from typing import Any, TypeAlias

from cowslippond_standins.platform._faults import Faults
from cowslippond_standins.platform._vms import VmRegister

PartFaults: TypeAlias = Mapping[str, Faults]


def execute(
    command: Mapping[str, Any], faults_by_part: PartFaults, vms: VmRegister
) -> None:
    """Execute one control command.

    :param command: the command's arguments, with its name under the key
        ``command``.
    :raises ValueError: if the command is unknown.
    """
    name = command['command']
    if name == 'set_faults':
        faults_by_part[command['part']].change(command)
        return
    if name == 'clear_faults':
        _clear(command.get('part', ''), faults_by_part)
        return
    if name == 'set_lag':
        vms.lag_ms = command['lag_ms']
        return
    _change_list(name, command, vms)


def counters(faults_by_part: PartFaults) -> Mapping[str, Mapping[str, int]]:
    """Return the counters of each part of the platform."""
    return {
        part: dict(faults.counters) for part, faults in faults_by_part.items()
    }


def _clear(selected_part: str, faults_by_part: PartFaults) -> None:
    for part, faults in faults_by_part.items():
        if selected_part in {'', part}:
            faults.clear()


def _change_list(
    name: str, command: Mapping[str, Any], vms: VmRegister
) -> None:
    if name == 'set_vms':
        vms.replace(command['vms'])
    elif name == 'add_vm':
        vms.add(command['vm'])
    elif name == 'remove_vm':
        vms.remove(command['vm'])
    elif name == 'set_state':
        vms.set_state(command['vm'], command['state'])
    else:
        raise ValueError(f'unknown command {name!r}')
