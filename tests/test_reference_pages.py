"""Test that the generated reference pages are up to date."""

from pathlib import Path

import pytest

from mintlanding.conf.reference import render_settings
from mintlanding.core.reference import render_result_codes

PAGES = Path(__file__).parent.parent / 'docs' / 'reference'


@pytest.mark.parametrize(
    ('name', 'render'),
    [
        ('result-codes.md', render_result_codes),
        ('settings.md', render_settings),
    ],
)
def test_page_is_current(name, render):
    assert (PAGES / name).read_text() == render()
