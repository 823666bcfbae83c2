"""Decodes the operator's configuration from its stored form."""

from typing import Any

import orjson
from cowslippond_core import (
    CallerLimits,
    Configuration,
    Route,
    RouteMatch,
    ServiceEntry,
    WeightedService,
)
from expression import Error, Ok, Result

_HEX = 16
_DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError)
_IDEMPOTENT = 'idempotent'

# Defaults of route settings; times in milliseconds. The timeout is that of the
# callers of the slowest known service.
_DEFAULT_TIMEOUT = 30_000
_DEFAULT_TARGET_LATENCY = 1000
_DEFAULT_MAX_ATTEMPTS = 1
_DEFAULT_PRIORITY = 9

# Defaults of limits, in bytes and milliseconds.
_DEFAULT_HEADER_BYTES = 65_536
_DEFAULT_BODY_BYTES = 67_108_864
_DEFAULT_HEADER_TIMEOUT = 10_000
_DEFAULT_IDLE_TIMEOUT = 15_000


def decode_configuration(text: str) -> Result[Configuration, str]:
    """Decode a configuration, or return an error message."""
    try:
        return Ok(_decode(orjson.loads(text)))
    except _DECODE_ERRORS as error:
        return Error(repr(error))


def _decode(table: dict[str, Any]) -> Configuration:
    return Configuration(
        version=int(table['version'], _HEX),
        routes=tuple(
            _decode_route(name, route)
            for name, route in table['routes'].items()
        ),
        services={
            name: _decode_service(name, service)
            for name, service in table['services'].items()
        },
        limits=_decode_limits(table.get('limits') or {}),
    )


def _decode_route(name: str, route: dict[str, Any]) -> Route:
    split = route.get('traffic_split') or (
        {'service': route['service'], 'weight': 1},
    )
    return Route(
        name=name,
        match=RouteMatch(route['host'], route['path_prefix']),
        is_idempotent=route['kind'] == _IDEMPOTENT,
        timeout=float(route.get('timeout_ms') or _DEFAULT_TIMEOUT),
        objective=float(
            route.get('target_latency_ms') or _DEFAULT_TARGET_LATENCY
        ),
        # Both ``max_sends`` and ``max_attempts`` count the first attempt.
        max_sends=int(route.get('max_attempts') or _DEFAULT_MAX_ATTEMPTS),
        priority=int(route.get('priority', _DEFAULT_PRIORITY)),
        parts=tuple(
            WeightedService(part['service'], float(part['weight']))
            for part in split
        ),
    )


def _decode_service(name: str, service: dict[str, Any]) -> ServiceEntry:
    return ServiceEntry(
        name, service['health_path'], int(service['max_connections'])
    )


def _decode_limits(limits: dict[str, Any]) -> CallerLimits:
    return CallerLimits(
        header_bytes=int(
            limits.get('max_header_bytes') or _DEFAULT_HEADER_BYTES
        ),
        body_bytes=int(limits.get('max_body_bytes') or _DEFAULT_BODY_BYTES),
        header_timeout=float(
            limits.get('header_timeout_ms') or _DEFAULT_HEADER_TIMEOUT
        ),
        idle_timeout=float(
            limits.get('idle_timeout_ms') or _DEFAULT_IDLE_TIMEOUT
        ),
    )
