"""Switch the quarantine off."""

from cowslippond_core._quarantine import Quarantine


def _allow(_, fingerprint):
    return None


def _trust(_, fingerprint):
    return False


Quarantine.check = _allow
Quarantine.is_suspect = _trust
