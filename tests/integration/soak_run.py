"""A deployment under load, with the faults injected and results observed."""

import itertools
import re
from collections import defaultdict
from collections.abc import Mapping
from typing import Any, NamedTuple

import anyio
from anyio.abc import TaskGroup
from cowslippond_core import Clock, Millis
from cowslippond_ctl._exit_codes import ExitCode
from cowslippond_standins._address import Address
from cowslippond_standins.harness._deployment import Deployment
from cowslippond_standins.harness._handles import (
    DaemonHandle,
    LinkHandle,
    UpstreamHandle,
    UpstreamPlan,
)
from cowslippond_standins.harness._http import ControlError
from cowslippond_standins.load._generator import LoadGenerator
from cowslippond_standins.load._plan import Mix, Phase, plan_calls
from cowslippond_standins.load._report import CallRecord
from integration.client import DOMAINS
from integration.shop import DOCUMENT, SERVICE

DAEMONS = 3
UPSTREAMS = 4
MIX = Mix(
    'shop.example',
    '/prints',
    '/orders',
    order_share=0.5,
    repeat_share=0.5,
    repeat_after_ms=400,
    sizes=(0, 256, 256, 20_000, 300_000),
    caller_header='x-caller',
)
CALLS_PER_SECOND = 60
# Calls are planned in consecutive blocks, so that the load lasts as long as
# the faults.
BLOCK_MS: Millis = 2000
# The longest pause plus the longest deadline.
CALL_TIMEOUT_MS: Millis = 18_000
BALANCER_LAG_MS: Millis = 300
RETIRE_LIMIT_MS: Millis = 15_000
POLL_MS: Millis = 200
SETTLE_LIMIT_SECONDS = 30
STATUS_TIMEOUT_MS: Millis = 100


class Fault(NamedTuple):
    """A fault drawn from a seed.

    ``target_index``, modulo the number of free targets, selects the target.
    ``delay`` is the time from the start of the round.
    """

    kind: str
    target_index: int
    delay: Millis
    duration: Millis

    def __str__(self) -> str:
        """Return the fault as printed in the output of a run."""
        return (
            f'{self.kind}({self.target_index}) '
            f'{self.delay:.0f}+{self.duration:.0f} ms'
        )


class Effect(NamedTuple):
    """The observed effect of a fault; ``count`` is zero if there was none."""

    fault: Fault
    count: int
    counter: str


class Disturbance(NamedTuple):
    """A period in which connections through a VM may break."""

    vm: str
    start: Millis
    end: Millis


class SoakRun:
    """A shop under load and faults.

    ``versions`` holds, for each daemon, the pairs of revision and version in
    the order in which it reported them. ``targets`` holds the addresses that
    callers use, as a balancer would provide them. ``accepted_versions`` holds
    the versions that were reported to operators as accepted, and
    ``uncertain_changes`` counts the changes whose outcome was reported as
    unknown. ``truncated_nonces`` holds the nonces of the calls whose answers
    an upstream truncated before it was killed.
    """

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.deployment = deployment
        self.platform = deployment.platform
        self.seed = seed
        self.clock = Clock()
        self.domains = itertools.cycle(DOMAINS)
        self.daemons: list[DaemonHandle] = []
        self.upstreams: list[UpstreamHandle] = []
        self.links: dict[str, LinkHandle] = {}
        self.targets: list[Address] = []
        self.reserved: set[str] = set()
        self.results: list[CallRecord] = []
        self.stray_bytes = 0
        self.truncated_nonces: set[str] = set()
        self.disturbances: list[Disturbance] = []
        self.versions: dict[str, list[tuple[int, int]]] = defaultdict(list)
        self.accepted_versions: list[int] = []
        self.uncertain_changes = 0
        self.effects: list[Effect] = []
        self.change_numbers = itertools.count(1)
        self.block_numbers = itertools.count()
        self.is_finished = False

    async def start_shop(self, group: TaskGroup) -> None:
        """Start the upstreams and daemons and apply the document."""
        for _ in range(UPSTREAMS):
            await self.add_upstream(next(self.domains))
        await self.deployment.accept(DOCUMENT)
        for _ in range(DAEMONS):
            await self.add_daemon(next(self.domains), group)

    async def add_upstream(self, domain: str) -> None:
        """Start an upstream behind a link of the fault proxy."""
        plan = UpstreamPlan(SERVICE, seed=len(self.deployment.upstreams))
        made = await self.deployment.add_upstreams(
            plan, [domain], queue=8, keeps_all=True
        )
        link = await self.deployment.proxy.open(made[0].vm, made[0].address)
        upstream = made[0]._replace(listed_address=link.address)
        self.links[upstream.vm] = link
        await self.deployment.register_upstream(upstream)
        self.upstreams.append(upstream)

    async def add_daemon(self, domain: str, group: TaskGroup) -> None:
        """Start a daemon, and add it to the targets once it serves."""
        daemon = await self.deployment.add_daemon(domain)
        await self.deployment.wait_serving(daemon)
        link = await self.deployment.proxy.open(
            daemon.vm, daemon.caller_address
        )
        self.links[daemon.vm] = link
        self.daemons.append(daemon)
        self.targets.append(link.address)
        group.start_soon(self.record_versions, daemon)

    async def record_versions(self, daemon: DaemonHandle) -> None:
        """Record the versions that a daemon reports while it runs."""
        seen = self.versions[daemon.vm]
        while daemon.child.is_running() and not self.is_finished:
            await self.clock.sleep(POLL_MS)
            try:
                status = await daemon.status()
            except ControlError:
                continue
            version = int(status['versions'].get(SERVICE, 0))
            seen.append((int(status['revision']), version))

    async def generate_load(self, group: TaskGroup) -> None:
        """Start blocks of calls until the faults are over."""
        while not self.is_finished:
            group.start_soon(self.run_block, next(self.block_numbers))
            await self.clock.sleep(BLOCK_MS)

    async def run_block(self, block: int) -> None:
        """Send the calls of one block and record their results."""
        seed = self.seed * 1000 + block
        phase = Phase(BLOCK_MS, CALLS_PER_SECOND)
        generator = LoadGenerator(self.targets, seed, CALL_TIMEOUT_MS)
        report = await generator.run(plan_calls([phase], [MIX], seed))
        self.results.extend(report.records)
        self.stray_bytes += report.stray_bytes

    async def retry_unanswered_orders(self) -> list[CallRecord]:
        """Send every order without an answer once more."""
        answered = {
            one.call.key for one in self.results if one.outcome == 'answered'
        }
        orders = {
            one.call.key: one.call for one in self.results if one.call.key
        }
        calls = [
            orders[key]._replace(at=turn * 20, is_repeat=True)
            for turn, key in enumerate(sorted(orders.keys() - answered))
        ]
        generator = LoadGenerator(self.targets, self.seed, CALL_TIMEOUT_MS)
        return (await generator.run(calls)).records

    async def wait_for_settled_claims(self) -> None:
        """Wait until all daemons have settled their claims in the table."""
        with anyio.fail_after(SETTLE_LIMIT_SECONDS):
            for daemon in self.daemons:
                while (await daemon.status())['unsettled_claims']:
                    await self.clock.sleep(POLL_MS)

    async def change_document(self) -> tuple[int, str]:
        """Change the document with the operator tool."""
        ceiling = 5000 + next(self.change_numbers)
        text = re.sub(
            '"ceiling_ms": [0-9]+', f'"ceiling_ms": {ceiling}', DOCUMENT
        )
        code, printed = await self.deployment.apply(text)
        found = re.search(r'version (\d+) accepted', printed)
        if code == ExitCode.DONE and found:
            self.accepted_versions.append(int(found.group(1)))
        self.uncertain_changes += code == ExitCode.UNKNOWN
        return code, printed

    def reserve_daemon(self, fault: Fault) -> DaemonHandle:
        """Reserve a daemon that no other fault has reserved."""
        free = [one for one in self.daemons if one.vm not in self.reserved]
        chosen = free[fault.target_index % len(free)]
        self.reserved.add(chosen.vm)
        return chosen

    def reserve_upstream(self, fault: Fault) -> UpstreamHandle:
        """Reserve an upstream that no other fault has reserved."""
        free = [one for one in self.upstreams if one.vm not in self.reserved]
        chosen = free[fault.target_index % len(free)]
        self.reserved.add(chosen.vm)
        return chosen

    def record_disturbance(self, vm: str, start: Millis) -> None:
        """Record that connections through a VM may have broken since a time."""
        self.disturbances.append(Disturbance(vm, start, self.clock.now()))

    def withdraw_daemon(self, daemon: DaemonHandle) -> None:
        """Remove a daemon from the targets of the callers."""
        self.targets.remove(self.links[daemon.vm].address)
        self.daemons.remove(daemon)

    async def runs(self) -> list[tuple[str, Mapping[str, Any]]]:
        """Return all runs with the VM of their upstream."""
        all_runs: list[tuple[str, Mapping[str, Any]]] = []
        for upstream in self.deployment.upstreams:
            if upstream.child.is_running():
                runs = (await upstream.ledger())['runs']
            else:
                runs = upstream.order_runs()
            all_runs.extend((upstream.vm, one) for one in runs)
        return all_runs

    async def count(self, part: str, counter: str) -> int:
        """Return the value of a counter of a part of the platform."""
        found: int = (await self.platform.counters())[part].get(counter, 0)
        return found
