"""Daemon settings: all findings are reported at once, with places."""

import pytest

from tulippin.exceptions import InputError
from tulippin.settings import load_settings, parse_settings

VALID_SETTINGS = """
[instance]
id = instance-1
failure_domain = hall-a
[listen]
callers = 10.0.0.1:8080
operators = 10.0.0.1:8081
peers = 10.0.0.1:8082
[platform]
url = http://10.0.0.9:9000/
"""


def list_finding_places(text):
    with pytest.raises(InputError) as caught:
        parse_settings(text, 'file.ini')
    assert caught.value.exit_code == 2
    return [finding.place for finding in caught.value.findings]


def test_valid_settings():
    settings = parse_settings(VALID_SETTINGS)
    assert settings.config.instance_id == 'instance-1'
    assert settings.config.peer_address == '10.0.0.1:8082'
    assert settings.platform_url == 'http://10.0.0.9:9000'


def test_all_findings_are_reported_together():
    text = """
[instance]
id = one
color = red
[listen]
callers = localhost:80
operators = 10.0.0.1:99999
[timing]
lease_ms = soon
renew_every_ms = 4000
[operators]
alice = abc
[log]
style = xml
[tls]
operators_certificate = /nowhere.pem
[colour]
"""
    assert list_finding_places(text) == [
        'file.ini: [colour]',
        'file.ini: [listen] callers',
        'file.ini: [listen] operators',
        'file.ini: [listen] peers',
        'file.ini: [instance] failure_domain',
        'file.ini: [instance] color',
        'file.ini: [timing] lease_ms',
        'file.ini: [timing] renew_every_ms',
        'file.ini: [platform] url',
        'file.ini: [operators] alice',
        'file.ini: [tls] operators_certificate',
        'file.ini: [tls] operators_key',
        'file.ini: [log] style',
    ]


def test_text_that_is_not_ini_is_a_finding():
    assert list_finding_places('no section here') == ['file.ini']


def test_missing_file_has_error_code():
    with pytest.raises(InputError) as caught:
        load_settings('/nowhere/settings.ini')
    assert caught.value.code == 'no_settings'
