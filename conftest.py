"""Load a derandomized Hypothesis profile and mark known failing tests.

The last log lines of a test are reported with its failure.
"""

import gc
import json
import os
from collections import deque
from pathlib import Path

import eliot
import pytest
from hypothesis import HealthCheck, settings

# Log lines that are reported with a failure.
_MAX_LINES = 400
_lines = deque(maxlen=_MAX_LINES)
_CHECKS = (HealthCheck.too_slow, HealthCheck.data_too_large)

settings.register_profile(
    'ci',
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=40,
    stateful_step_count=30,
    suppress_health_check=_CHECKS,
)
settings.register_profile(
    'prove',
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=1000,
    stateful_step_count=60,
    suppress_health_check=_CHECKS,
)
settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'ci'))


def _known_red():
    lines = Path(__file__).with_name('KNOWN-RED.txt').read_text().splitlines()
    rows = [line for line in lines if line and not line.startswith('#')]
    return {row.split('|')[0].strip(): row for row in rows}


def pytest_collection_modifyitems(items):
    known = _known_red()
    for item in items:
        if item.nodeid in known:
            mark = pytest.mark.xfail(reason=known[item.nodeid], strict=True)
            item.add_marker(mark)


def pytest_configure():
    eliot.add_destinations(_lines.append)


def pytest_runtest_setup():
    _lines.clear()


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport():
    report = (yield).get_result()
    if report.failed and _lines:
        text = '\n'.join(json.dumps(each, default=repr) for each in _lines)
        report.sections.append(('Last log lines', text))


@pytest.fixture(autouse=True, scope='module')
def _collect_garbage():
    """Collect what the tests of a module left before the next module runs.

    In Python 3.11 `ast.parse` raises SystemError if garbage is collected
    meanwhile that logs a traceback, such as a task with an unread exception.
    """
    yield
    gc.collect()
