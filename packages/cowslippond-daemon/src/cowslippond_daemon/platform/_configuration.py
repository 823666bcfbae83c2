"""Decodes the operator's configuration from its stored form."""

import logging
import math

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

from cowslippond_daemon.platform._table_reader import FieldReader
from cowslippond_daemon.platform._workspaces import (
    decode_workspaces,
    digest_keys,
)

_logger = logging.getLogger(__name__)

_HEX = 16
_IDEMPOTENT = 'idempotent'
_UPLOAD = 'upload'
_KINDS = frozenset((_IDEMPOTENT, 'non_idempotent', _UPLOAD))
_ROUTE_FIELDS = frozenset(
    (
        'host',
        'path_prefix',
        'kind',
        'service',
        'traffic_split',
        'timeout_ms',
        'target_latency_ms',
        'max_attempts',
        'priority',
        'public',
    )
)

# The most findings and names that one log line lists.
_MAX_LISTED = 20

# Defaults of route settings; times in milliseconds.
_DEFAULT_TARGET_LATENCY = 1000
_DEFAULT_MAX_ATTEMPTS = 1
_DEFAULT_PRIORITY = 9

_MILLIS_PER_SECOND = 1000

# Defaults of limits, in bytes and milliseconds.
_DEFAULT_HEADER_BYTES = 65_536
_DEFAULT_BODY_BYTES = 67_108_864
_DEFAULT_HEADER_TIMEOUT = 10_000
_DEFAULT_IDLE_TIMEOUT = 15_000


def decode_configuration(text: str) -> Result[Configuration, str]:
    """Decode a configuration, or return an error with all findings.

    Unknown fields of routes are logged and otherwise ignored. Calls of a route
    of an unknown kind are never repeated. Keys of workspaces may be replaced by
    digests already; no finding contains a key.
    """
    try:
        table = orjson.loads(text)
    except ValueError as error:
        return Error(f'not valid JSON: {error}')
    if isinstance(table, dict):
        digest_keys(table)
    findings: list[str] = []
    configuration = _decode(FieldReader(table, '', findings))
    if findings:
        return Error(_join(findings))
    return Ok(configuration)


def _decode(reader: FieldReader) -> Configuration:
    findings = reader.findings
    services = {
        name: _decode_service(
            name, FieldReader(service, f'services.{name}', findings)
        )
        for name, service in reader.entries('services').items()
    }
    routes = []
    unknown: set[str] = set()
    for name, route in reader.entries('routes').items():
        route_reader = FieldReader(route, f'routes.{name}', findings)
        routes.append(_decode_route(name, route_reader, services))
        unknown.update(_unknown_fields(route_reader))
    if unknown:
        _logger.warning(
            'configuration has unknown fields or kinds of routes',
            extra={'fields': _join(sorted(unknown))},
        )
    return Configuration(
        version=_decode_version(reader),
        routes=tuple(routes),
        services=services,
        limits=_decode_limits(
            FieldReader(reader.table.get('limits') or {}, 'limits', findings)
        ),
        workspaces=decode_workspaces(reader),
    )


def _unknown_fields(reader: FieldReader) -> list[str]:
    unknown = [
        f'{reader.path}.{field}'
        for field in reader.table.keys() - _ROUTE_FIELDS
    ]
    kind = reader.table.get('kind')
    if isinstance(kind, str) and kind not in _KINDS:
        unknown.append(f'{reader.path}.kind {kind}')
    return unknown


def _decode_version(reader: FieldReader) -> int:
    try:
        return int(reader.text('version'), _HEX)
    except ValueError:
        reader.reject('version', 'expected hexadecimal digits')
        return 0


def _decode_route(
    name: str, reader: FieldReader, services: dict[str, ServiceEntry]
) -> Route:
    return Route(
        name=name,
        match=RouteMatch(reader.text('host'), reader.text('path_prefix')),
        is_idempotent=reader.text('kind') == _IDEMPOTENT,
        timeout=reader.number('timeout_ms', 0) or math.inf,
        objective=reader.number('target_latency_ms', 0)
        or _DEFAULT_TARGET_LATENCY,
        # Both ``max_sends`` and ``max_attempts`` count the first attempt.
        max_sends=int(reader.number('max_attempts', 0))
        or _DEFAULT_MAX_ATTEMPTS,
        priority=int(reader.number('priority', _DEFAULT_PRIORITY)),
        parts=_decode_parts(reader, services),
        is_public=reader.flag('public'),
        is_upload=reader.text('kind') == _UPLOAD,
    )


def _decode_parts(
    reader: FieldReader, services: dict[str, ServiceEntry]
) -> tuple[WeightedService, ...]:
    split = reader.table.get('traffic_split')
    if not split:
        return (WeightedService(_decode_target(reader, services), 1),)
    if not isinstance(split, list):
        reader.reject('traffic_split', 'expected a list')
        return ()
    parts = []
    finding_count = len(reader.findings)
    for index, entry in enumerate(split):
        part = FieldReader(
            entry, f'{reader.path}.traffic_split.{index}', reader.findings
        )
        parts.append(_decode_part(part, services))
    has_valid_parts = len(reader.findings) == finding_count
    if has_valid_parts and not any(part.weight for part in parts):
        reader.reject('traffic_split', 'all weights are 0')
    return tuple(parts)


def _decode_part(
    reader: FieldReader, services: dict[str, ServiceEntry]
) -> WeightedService:
    service = _decode_target(reader, services)
    if 'weight' not in reader.table:
        reader.reject('weight', 'missing')
    return WeightedService(service, reader.number('weight', 0))


def _decode_target(
    reader: FieldReader, services: dict[str, ServiceEntry]
) -> str:
    service = reader.text('service')
    if service and service not in services:
        reader.reject('service', f'unknown service {service}')
    return service


def _decode_service(name: str, reader: FieldReader) -> ServiceEntry:
    return ServiceEntry(
        name,
        reader.text('health_path'),
        _decode_max_connections(reader),
        # Unlike most times of the platform, this one is in seconds.
        warm_up_time=reader.number('warmup_s', 0) * _MILLIS_PER_SECOND,
        warm_up_rate=reader.number('warmup_per_s', 0),
    )


def _decode_max_connections(reader: FieldReader) -> int:
    if 'max_connections' not in reader.table:
        reader.reject('max_connections', 'missing')
    return int(reader.number('max_connections', 0))


def _decode_limits(reader: FieldReader) -> CallerLimits:
    return CallerLimits(
        header_bytes=int(reader.number('max_header_bytes', 0))
        or _DEFAULT_HEADER_BYTES,
        body_bytes=int(reader.number('max_body_bytes', 0))
        or _DEFAULT_BODY_BYTES,
        header_timeout=reader.number('header_timeout_ms', 0)
        or _DEFAULT_HEADER_TIMEOUT,
        idle_timeout=reader.number('idle_timeout_ms', 0)
        or _DEFAULT_IDLE_TIMEOUT,
    )


def _join(texts: list[str]) -> str:
    listed = '; '.join(texts[:_MAX_LISTED])
    more = len(texts) - _MAX_LISTED
    return f'{listed}; and {more} more' if more > 0 else listed
