"""A workspace as the configuration describes it."""

from typing import NamedTuple


class Workspace(NamedTuple):
    """A customer's share of the services, with its keys and its quota.

    ``priority`` 0 is the most urgent. ``rate`` is the number of calls per second
    that all daemons together accept, and ``burst`` how many calls may come on top
    of it at once; a rate of 0 means no limit. ``key_digests`` are the digests of
    the keys that callers authenticate with.
    """

    name: str
    priority: int
    rate: float = 0
    burst: float = 0
    key_digests: frozenset[bytes] = frozenset()

    def __repr__(self) -> str:
        """Return a description without the digests, which must not be logged."""
        return f'Workspace({self.name!r})'
