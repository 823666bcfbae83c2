"""The keys of the rows that operators write."""

from cowslippond_core import CONFIGURATION_KEY, EVACUATION_PREFIX

_CONFIGURATION = 'config'
_EVACUATION = 'evacuate/'


def operator_key(key: str) -> str | None:
    """Return this project's key of an operator's row, or ``None`` if unknown.

    An evacuation that names no failure domain is unknown.
    """
    if key == _CONFIGURATION:
        return CONFIGURATION_KEY
    domain = key.removeprefix(_EVACUATION)
    if domain and domain != key:
        return f'{EVACUATION_PREFIX}{domain}'
    return None
