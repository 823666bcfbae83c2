"""Decides on a call: which service, whether it may run, and how often."""

import logging
from fnmatch import fnmatchcase
from typing import NamedTuple, Protocol

from cowslippond_core import (
    CallAnswer,
    CallRefusal,
    CallRequest,
    Claimant,
    Clock,
    Millis,
    NeverRepeat,
    Outcome,
    Quarantine,
    RefusalReason,
    ServiceDocument,
    fingerprint_request,
)
from cowslippond_core import InForce

from cowslippond_daemon._edge import IncomingCall

_log = logging.getLogger(__name__)

_IDEMPOTENT_METHODS = frozenset((
    'GET',
    'HEAD',
    'OPTIONS',
    'TRACE',
    'PUT',
    'DELETE',
))
_RETRY_AFTER_MS = 1000
