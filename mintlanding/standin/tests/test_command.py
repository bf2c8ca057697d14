"""Help of the stand-in's command."""

import sys

from mintlanding.standin.__main__ import main


def test_help_lists_the_options(monkeypatch, capsys):
    monkeypatch.setattr(sys, 'argv', ['mintlanding-standin', '--help'])
    main()
    out = capsys.readouterr().out
    assert '--kind' in out
    assert '--store-url' in out
