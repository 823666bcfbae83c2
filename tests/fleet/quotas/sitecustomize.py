"""Gives a daemon workspaces until it decodes them and authenticates callers.

Tests start daemons with this directory on their ``PYTHONPATH``. The variable
holds the rate and the burst of each workspace, by name. The first part of a
call's path is the name of its workspace.
"""

import json
import os
from typing import Any

LIMITS_VARIABLE = 'QUOTA_TEST_LIMITS'


def _patch(limits: dict[str, tuple[float, float]]) -> None:
    from cowslippond_core.workspaces import Workspace
    from cowslippond_daemon import _fleet_calls, platform

    decode = platform.decode_configuration
    make_request = _fleet_calls._make_request
    workspaces = {
        name: Workspace(name, 0, rate, burst)
        for name, (rate, burst) in limits.items()
    }

    def decode_with_workspaces(text: str) -> Any:
        return decode(text).map(
            lambda decoded: decoded._replace(workspaces=workspaces)
        )

    def make_request_of_workspace(call: Any, *arguments: Any) -> Any:
        name = call.target.decode().split('/')[1]
        request = make_request(call, *arguments)
        return request._replace(workspace=name)

    platform.decode_configuration = decode_with_workspaces
    _fleet_calls._make_request = make_request_of_workspace


text = os.environ.get(LIMITS_VARIABLE)
if text:
    _patch(json.loads(text))
