"""Tests of the status endpoint."""

import anyio
import orjson
import pytest
from cowslippond_core import Clock, Metric, read_settings
from cowslippond_daemon._components import build_components
from cowslippond_daemon._status import build_status

pytestmark = pytest.mark.anyio

SETTINGS = """{
  "vm": "entry-1", "failure_domain": "rvk-1",
  "caller_address": "127.0.0.1:1", "admin_address": "127.0.0.1:2",
  "peer_address": "127.0.0.1:3",
  "platform": {
    "table_url": "http://127.0.0.1:4", "table_name": "t",
    "objects_url": "http://127.0.0.1:4", "objects_bucket": "b",
    "vm_list_url": "http://127.0.0.1:4/vms", "timeout_ms": 100
  }
}"""


async def test_status_is_json_serializable() -> None:
    """Guard against status values that JSON cannot represent."""
    settings = read_settings(SETTINGS, 'settings').ok
    async with anyio.create_task_group() as tasks:
        components = build_components(settings, tasks, Clock())
        components.metrics.count(Metric.CALLS)
        status = orjson.loads(orjson.dumps(build_status(components)))
    assert status['revision'] == 0
    assert status['versions'] == {}
    assert status['counters'] == {'calls': 1}
