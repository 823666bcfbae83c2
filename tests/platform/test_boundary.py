"""The platform's wire names are used only in the adapter's folder."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parents[2] / 'packages'
FOLDER = 'cowslippond_daemon/platform/'

# Wire names of the platform that no other format uses.
NAMES = re.compile(
    'X-Target-Instance|X-Not-Executed|X-Backend-Load|X-Response-Signature'
    '|X-Instance-Id|X-Tenant-Id|api_keys|rate_per_s'
    '|rows-tx|rows-get|rows-feed|warmup_left_ms|X-Warmup-Ms|warmup_per_s'
    '|traffic_split'
    '|Server-Limit|target_latency_ms|path_prefix_ms|probes_per_s|retry_budget_ratio'
    '|COWSLIPPOND_NODE_FILE',
    re.IGNORECASE,
)


class TestBoundary:
    def test_no_other_code_uses_the_wire_names(self) -> None:
        violations = [
            str(path.relative_to(ROOT))
            for path in ROOT.rglob('*.py')
            if FOLDER not in path.as_posix()
            and 'standins' not in path.as_posix()
            and NAMES.search(path.read_text())
        ]
        assert violations == []
