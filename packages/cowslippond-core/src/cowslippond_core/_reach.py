"""Tells whether this daemon reaches the upstreams of a service.

A daemon may be partitioned from all upstreams while callers, peers and the store
reach it. Connections to upstreams then hang or are reset, or open ones work while
new ones are refused.
"""

import logging
from collections.abc import Callable, Mapping

_logger = logging.getLogger(__name__)

# So many different upstreams, or all of a smaller service, have failed in a row
# before the service counts as out of reach. Some fail at a time when a rack is
# lost. All of a failure domain fail when it loses power, and those of a daemon's
# own domain are tried first, so upstreams of each domain must have failed.
_MIN_FAILED_UPSTREAMS = 4

# So many failures in a row, as one or two upstreams fail more easily at a time.
_MIN_FAILURES = 3


class Evidence:
    """The upstreams that failed since one last succeeded.

    :param list_domains: returns the failure domains of the service's upstreams
        by address.
    :param service: the name of the service, for the log.
    :param kind: what the upstreams fail to do, for the log.
    """

    def __init__(
        self,
        list_domains: Callable[[], Mapping[str, str]],
        service: str,
        kind: str,
    ) -> None:
        self.list_domains = list_domains
        self.service = service
        self.kind = kind
        self.failed: set[str] = set()
        self.failure_count = 0
        self.is_cut = False

    def record_success(self) -> None:
        """Record that an upstream has answered or accepted a connection."""
        self.failed.clear()
        self.failure_count = 0
        if self.is_cut:
            self.is_cut = False
            _logger.info(
                'upstreams of a service are within reach again',
                extra={'service': self.service, 'kind': self.kind},
            )

    def record_failure(self, address: str) -> None:
        """Record that an upstream has not done so."""
        self.failed.add(address)
        self.failure_count += 1
        if self.is_cut or self.failure_count < _MIN_FAILURES:
            return
        known = self.list_domains()
        if not _covers(self.failed, known):
            return
        self.is_cut = True
        _logger.warning(
            'no upstream of a service is within reach',
            extra={
                'service': self.service,
                'kind': self.kind,
                'failed': len(self.failed),
                'upstreams': len(known),
            },
        )


class ServiceReach:
    """Whether upstreams of a service accept connections and answer.

    ``on_cut`` is called with each failure while the service is out of reach, and
    when peers are needed for another reason.

    :param list_domains: returns the failure domains of the service's upstreams
        by address.
    :param service: the name of the service, for the log.
    """

    def __init__(
        self, list_domains: Callable[[], Mapping[str, str]], service: str
    ) -> None:
        self.connects = Evidence(list_domains, service, 'connect')
        self.answers = Evidence(list_domains, service, 'answer')
        self.on_cut: Callable[[], None] = _ignore

    def is_cut(self, *, needs_connection: bool) -> bool:
        """Tell whether a call would fail at all upstreams.

        :param needs_connection: whether the call needs a new connection.
        """
        return self.answers.is_cut or (
            needs_connection and self.connects.is_cut
        )

    def record_answer(self, *, is_new_connection: bool) -> None:
        """Record that an upstream has answered a call or a probe."""
        self.answers.record_success()
        if is_new_connection:
            self.connects.record_success()

    def record_silence(self, address: str) -> None:
        """Record that an upstream has not answered."""
        self.answers.record_failure(address)
        self._notify_if_cut()

    def record_connect_failure(
        self, address: str, *, has_open_connections: bool
    ) -> None:
        """Record that an upstream has not accepted a connection.

        :param has_open_connections: whether others to it are open, which may
            still work.
        """
        self.connects.record_failure(address)
        if not has_open_connections:
            self.answers.record_failure(address)
        self._notify_if_cut()

    def _notify_if_cut(self) -> None:
        if self.is_cut(needs_connection=True):
            self.on_cut()


def _covers(failed: set[str], domains: Mapping[str, str]) -> bool:
    """Tell whether failed upstreams show that all are out of reach."""
    if not domains:
        return False
    relevant = failed.intersection(domains)
    if len(relevant) < min(_MIN_FAILED_UPSTREAMS, len(domains)):
        return False
    failed_domains = {domains[address] for address in relevant}
    return failed_domains.issuperset(domains.values())


def _ignore() -> None:
    """Do nothing; the daemon has no peers."""
