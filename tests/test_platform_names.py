"""Test that names of the users' platform occur only in its adapter."""

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / 'mintlanding'
ADAPTER = PACKAGE / 'platform'
# Names on the wire of the platform that have no other use in this project.
NAMES = re.compile(
    r'x-deadline-ms|x-model|x-token-counts|x-prompt-prefix'
    r'|x-expect-instance|x-tenant|x-not-run|x-response-stamp|kv-txn|kv-watch'
    r'|kv-range|kv-lease|kv-keep|goal_ms|api_keys|rate_per_s|can_resume'
    r'|weights_mb|lease_ttl_ms|op/config|op/version'
    r"|'servers/|boot\.toml|FLEETBENCH",
    re.IGNORECASE,
)
# The adapter only translates; a larger one would hold decisions as well.
MAX_LINES = 1500


def _sources(folder):
    return [path for path in folder.rglob('*.py') if 'tests' not in path.parts]


def test_platform_names_occur_only_in_adapter():
    found = [
        f'{path.relative_to(ROOT)}:{number}'
        for path in _sources(PACKAGE)
        if ADAPTER not in path.parents
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if NAMES.search(line)
    ]
    assert not found


def test_adapter_stays_small():
    lines = sum(
        len(path.read_text().splitlines()) for path in _sources(ADAPTER)
    )
    assert lines < MAX_LINES
