"""Invalid settings are reported with place and hint for each mistake."""

import pytest

from mintlanding.conf.exceptions import SettingsError
from mintlanding.conf.loader import load_settings, parse_settings

VALID = """
instance: mx-a-1
zone: mx-a
region: mx-centro
key_pepper: 0123456789abcdef
peers: {port: 7000, secrets: [0123456789abcdef]}
platform:
  key_value_url: http://127.0.0.1:7001
  instance_list_url: http://127.0.0.1:7002
entry: {port: 8080}
"""


def test_valid_settings_get_their_defaults():
    cfg = parse_settings(VALID)
    assert cfg.entry.queue_timeout == 20
    assert cfg.staleness.refuse_after == 0


def test_all_mistakes_are_reported_at_once():
    text = VALID.replace('port: 8080', 'prot: 1').replace('zone: mx-a', '')
    with pytest.raises(SettingsError) as caught:
        parse_settings(text)
    places = {each.place: each for each in caught.value.messages}
    assert set(places) == {
        'settings: zone',
        'settings: entry.port',
        'settings: entry.prot',
    }
    assert 'port' in places['settings: entry.prot'].hint


@pytest.mark.parametrize(
    ('text', 'check_id'),
    [
        ('a: [', 'conf.E002'),
        ('just text', 'conf.E003'),
        ('', 'conf.E003'),
        ('instance: 5', 'conf.E010'),
    ],
)
def test_invalid_settings_have_a_check_id(text, check_id):
    with pytest.raises(SettingsError) as caught:
        parse_settings(text)
    assert {each.check_id for each in caught.value.messages} == {check_id}


def test_missing_file_is_named():
    with pytest.raises(SettingsError, match='no-such.yaml'):
        load_settings('no-such.yaml')
