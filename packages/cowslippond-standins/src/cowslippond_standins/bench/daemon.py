"""A daemon whose routing policy the benchmark switches while it runs.

The policy is replaced here by patching the daemon's sender: the daemon itself
has no such setting.
"""

import os
import pathlib
import random
from collections.abc import Callable, Sequence
from functools import partial
from types import MappingProxyType

from cowslippond_core import Clock, Millis, Sender
from cowslippond_core._routing import (
    LeastInFlight,
    RandomChoice,
    RoundRobin,
    TwoChoices,
    pick,
)
from cowslippond_core._upstreams import Upstream
from cowslippond_daemon import _components
from cowslippond_daemon._program import main

from cowslippond_standins.bench._probing import ProbingPolicy

#: Environment variable with the path of the file that names the policy.
POLICY_FILE_VARIABLE = 'COWSLIPPOND_BENCH_POLICY'

#: The routing policies by name.
POLICIES = MappingProxyType[str, object](
    {
        'random': RandomChoice(),
        'round-robin': RoundRobin(),
        'two-choices': TwoChoices(),
        'least': LeastInFlight(),
        'probing': ProbingPolicy(Clock()),
    }
)
_READ_INTERVAL: Millis = 100


class SwitchedPolicy:
    """Delegates to the policy named in a file, which it reads periodically.

    :param path: the file that contains the name of the policy.
    """

    def __init__(self, clock: Clock, path: pathlib.Path) -> None:
        self.clock = clock
        self.path = path
        self.read_at: Millis = -_READ_INTERVAL
        self.current = POLICIES['least']

    def choose(
        self, candidates: Sequence[Upstream], rng: random.Random
    ) -> Upstream:
        """Return the upstream to send a call to."""
        now = self.clock.now()
        if now - self.read_at >= _READ_INTERVAL:
            self.read_at = now
            self.current = POLICIES[self.path.read_text()]
        return pick(self.current, candidates, rng)


@pick.register
def _pick_switched(
    policy: SwitchedPolicy, candidates: Sequence[Upstream], rng: random.Random
) -> Upstream:
    return policy.choose(candidates, rng)


def run() -> None:
    """Run the daemon with a :class:`SwitchedPolicy`."""
    path = pathlib.Path(os.environ[POLICY_FILE_VARIABLE])
    policy = SwitchedPolicy(Clock(), path)
    make_sender: Callable[..., Sender] = partial(Sender, policy=policy)
    vars(_components)['Sender'] = make_sender
    main()


if __name__ == '__main__':
    run()
