"""Builds the parts of a daemon that share state with the other daemons."""

import random
import uuid

from cowslippond_core import (
    EVACUATION_LOG,
    STORE_LOST_TABLE,
    STORE_READER_TABLE,
    UPSTREAM_ERA_LOG,
    UPSTREAM_LOG,
    BeaconTakeover,
    Clock,
    ConfigurationLog,
    EvacuationLog,
    Fleet,
    FleetSettings,
    JsonCodec,
    Metrics,
    PeerDatagrams,
    PlainLog,
    ReaderBeacons,
    ReaderRole,
    SharedRateLimits,
    StoreEra,
    UpstreamRegistry,
)
from cowslippond_core.dispatch import FAILURE_TABLE, RATE_LIMIT_TABLE
from cowslippond_core.quotas import QUOTA_TABLE

from cowslippond_daemon._fleet_bounds import apply_warm_up_settings
from cowslippond_daemon._fleet_status import FleetParts
from cowslippond_daemon._node_settings import NodeSettings
from cowslippond_daemon._platform_adapter import PlatformAdapter
from cowslippond_daemon._quotas import DaemonQuotas

# All daemons that the platform starts belong to one fleet, whichever address
# each of them uses for the store.
_FLEET_NAME = 'platform'

# Enough to distinguish two starts of a daemon. Kept short because each
# heartbeat carries it.
_INCARNATION_DIGITS = 8


def build_fleet_parts(
    settings: NodeSettings,
    adapter: PlatformAdapter,
    clock: Clock,
    rng: random.Random,
) -> FleetParts:
    """Return the parts without starting them.

    :param settings: the settings of this process.
    :param adapter: the formats of the platform.
    :param clock: the clock of all times.
    :param rng: chooses peers and randomizes waits.
    """
    metrics = Metrics('')
    port = PeerDatagrams()
    era = StoreEra()
    log = ConfigurationLog(
        clock, adapter.decode_configuration, adapter.replace_keys
    )
    registry = UpstreamRegistry(clock, adapter.decode_upstream, era)
    evacuations = EvacuationLog(clock, era)
    fleet = Fleet(
        _fleet_settings(settings),
        clock,
        log,
        metrics,
        rng,
        {
            UPSTREAM_ERA_LOG: registry,
            UPSTREAM_LOG: PlainLog(registry, era, UPSTREAM_ERA_LOG),
            EVACUATION_LOG: evacuations,
        },
        (STORE_READER_TABLE, STORE_LOST_TABLE, RATE_LIMIT_TABLE),
        (FAILURE_TABLE, QUOTA_TABLE),
    )
    fleet.gossip.era = era
    fleet.relay_at_once(STORE_LOST_TABLE)
    registry.shared_keys.lost_reports = fleet.gossip_table(STORE_LOST_TABLE)
    beacons = ReaderBeacons(
        _FLEET_NAME,
        fleet.membership,
        fleet.gossip.logs,
        UPSTREAM_ERA_LOG,
        era,
        clock,
        rng,
        port.send,
    )
    registry.shared_keys.silence = beacons.silence
    port.receivers.append(beacons.receive)
    return FleetParts(
        log,
        registry,
        evacuations,
        _make_rate_limits(settings, fleet, clock, rng),
        DaemonQuotas(settings, log, fleet, clock, rng, metrics, port),
        era,
        ReaderRole(
            fleet.membership,
            log,
            fleet.gossip_table(STORE_LOST_TABLE),
            clock,
            era,
            fleet.gossip_table(STORE_READER_TABLE),
            fleet.contact,
            BeaconTakeover(
                beacons,
                fleet.membership,
                fleet.gossip_table(STORE_LOST_TABLE),
                clock,
            ),
        ),
        beacons,
        port,
        fleet,
        metrics,
        clock,
    )


def _fleet_settings(settings: NodeSettings) -> FleetSettings:
    return FleetSettings(
        fleet=_FLEET_NAME,
        peer_address=settings.peer_address,
        admin_address=settings.ready_address,
        failure_domain=settings.failure_domain,
        incarnation=uuid.uuid4().hex[:_INCARNATION_DIGITS],
        seeds=settings.seeds,
        codec=JsonCodec(),
    )


def _make_rate_limits(
    settings: NodeSettings, fleet: Fleet, clock: Clock, rng: random.Random
) -> SharedRateLimits:
    rate_limits = SharedRateLimits(
        fleet.gossip_table(RATE_LIMIT_TABLE),
        settings.peer_address,
        fleet.membership.serving_addresses,
        fleet.size.estimate,
        clock,
        rng,
    )
    apply_warm_up_settings(rate_limits.warm_ups, settings)
    return rate_limits
