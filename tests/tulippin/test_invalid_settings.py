"""Settings files with invalid numbers, ports and addresses.

Guards against a mistake in a settings file ending a running instance that
reloads it: a number of 400 digits, a grace of 1e308 s, or a port with a
non-ASCII digit raised errors that the reading code didn't catch.
"""

import attrs
import logbook
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tulippin.exceptions import InputError
from tulippin.jobs.features import Features
from tulippin.line_buffer import LineBuffer
from tulippin.scheduler_daemon import SchedulerDaemon
from tulippin.scheduler_settings import (
    SchedulerSettings,
    load_scheduler_settings,
    parse_scheduler_settings,
)
from tulippin.settings import Settings, parse_settings

SCHEDULER = {
    'instance': {
        'id': 'edge-1',
        'failure_domain': 'hall',
        'core_share': '0.5',
        'core_speed': '1.2',
    },
    'listen': {
        'callers': '127.0.0.1:80',
        'readiness': '[::1]:81',
        'internal_ip': '127.0.0.1',
        'internal_ports': '9000,9009',
    },
    'store': {'address': '10.0.0.9:7000'},
    'advice': {'address': '10.0.0.9:7001'},
    'workers': {'lease_limit_ms': '6000'},
    'stop': {'grace_s': '3'},
    'log': {'level': 'info'},
    'scheduling': {
        'job_parts': '64',
        'harm_limit_ms': '4000',
        'admission': 'yes',
    },
}
DAEMON = {
    'instance': {'id': 'instance-1', 'failure_domain': 'hall-a'},
    'listen': {
        'callers': '10.0.0.1:8080',
        'operators': '10.0.0.1:8081',
        'peers': '10.0.0.1:8082',
    },
    'platform': {'url': 'http://10.0.0.9:9000/'},
    'timing': {
        'lease_ms': '5000',
        'renew_every_ms': '1000',
        'range_count': '8',
    },
    'limits': {'max_deadline_ms': '5000', 'max_body_bytes': '1000'},
}
HUGE_NUMBER = '1' + '0' * 400
INVALID_NUMBERS = (
    'soon',
    'nan',
    'inf',
    '-inf',
    '1e308',
    '-1',
    '0',
    HUGE_NUMBER,
    f'-{HUGE_NUMBER}',
    '1' * 5000,
    '\u00b2',
    '0x10',
    '1,5',
)
NUMBER_KEYS = {
    'instance': ('core_share', 'core_speed'),
    'workers': ('lease_limit_ms',),
    'stop': ('grace_s',),
    'scheduling': ('job_parts', 'harm_limit_ms'),
}
INVALID_PORTS = (
    '9000',
    '9000,',
    '9000,9009,9010',
    '\u00b2,\u00b2',
    '9000,\u0669\u0660',
    '9000,65536',
    f'9000,{HUGE_NUMBER}',
    '9009,9000',
    '-1,9000',
    'a,b',
)
INVALID_ADDRESSES = (
    '10.0.0.1',
    '10.0.0.1:',
    ':80',
    '10.0.0.1:http',
    '10.0.0.1:\u00b2',
    '10.0.0.1:65536',
    f'10.0.0.1:{HUGE_NUMBER}',
    '10.0.0.1:-1',
    '10.0.0.1:80/path',
    'http://10.0.0.1:80',
    'a b:80',
)
TEXTS = st.sampled_from(
    (
        *INVALID_NUMBERS,
        *INVALID_PORTS,
        *INVALID_ADDRESSES,
        '5',
        '2.5',
        'a',
        '%(x)s',
        '[',
        '=',
    )
)


def render(sections, section='', key='', text=''):
    changed = {name: dict(keys) for name, keys in sections.items()}
    if section:
        changed[section][key] = text
    return '\n'.join(
        f'[{name}]\n'
        + '\n'.join(f'{key} = {text}' for key, text in keys.items())
        for name, keys in changed.items()
    )


def list_finding_places(parse, text):
    with pytest.raises(InputError) as caught:
        parse(text, 'file.ini')
    return [finding.place for finding in caught.value.findings]


@pytest.mark.parametrize('text', INVALID_NUMBERS, ids=lambda text: text[:9])
@pytest.mark.parametrize(
    ('section', 'key'),
    [(section, key) for section, keys in NUMBER_KEYS.items() for key in keys],
)
def test_invalid_scheduler_number_is_reported(section, key, text):
    changed = render(SCHEDULER, section, key, text)
    place = f'file.ini: [{section}] {key}'
    assert list_finding_places(parse_scheduler_settings, changed) == [place]


def test_features_are_off_unless_the_settings_switch_them_on():
    sections = {**SCHEDULER, 'scheduling': {}}
    assert parse_scheduler_settings(render(sections)).features == Features()
    found = parse_scheduler_settings(render(SCHEDULER)).features
    assert found == Features(job_part_count=64, has_admission=True)


def test_invalid_switch_is_reported():
    changed = render(SCHEDULER, 'scheduling', 'admission', 'maybe')
    place = 'file.ini: [scheduling] admission'
    assert list_finding_places(parse_scheduler_settings, changed) == [place]


@pytest.mark.parametrize('text', INVALID_PORTS, ids=lambda text: text[:9])
def test_invalid_ports_are_reported(text):
    changed = render(SCHEDULER, 'listen', 'internal_ports', text)
    place = 'file.ini: [listen] internal_ports'
    assert list_finding_places(parse_scheduler_settings, changed) == [place]


@pytest.mark.parametrize('text', INVALID_ADDRESSES, ids=lambda text: text[:9])
@pytest.mark.parametrize(
    ('section', 'key'),
    [
        ('listen', 'callers'),
        ('listen', 'readiness'),
        ('store', 'address'),
        ('advice', 'address'),
    ],
)
def test_invalid_scheduler_address_is_reported(section, key, text):
    changed = render(SCHEDULER, section, key, text)
    place = f'file.ini: [{section}] {key}'
    assert list_finding_places(parse_scheduler_settings, changed) == [place]


@pytest.mark.parametrize('text', INVALID_NUMBERS, ids=lambda text: text[:9])
@pytest.mark.parametrize(
    ('section', 'key'),
    [
        ('timing', 'lease_ms'),
        ('timing', 'range_count'),
        ('limits', 'max_deadline_ms'),
        ('limits', 'max_body_bytes'),
    ],
)
def test_invalid_daemon_number_is_reported(section, key, text):
    changed = render(DAEMON, section, key, text)
    places = list_finding_places(parse_settings, changed)
    assert f'file.ini: [{section}] {key}' in places


@pytest.mark.parametrize('text', INVALID_ADDRESSES, ids=lambda text: text[:9])
def test_invalid_daemon_address_is_reported(text):
    changed = render(DAEMON, 'listen', 'peers', text)
    place = 'file.ini: [listen] peers'
    assert list_finding_places(parse_settings, changed) == [place]


def list_keys(sections):
    return [
        (section, key) for section, keys in sections.items() for key in keys
    ]


CHANGES = st.dictionaries(
    st.sampled_from(list_keys(SCHEDULER)), TEXTS, max_size=4
)


@settings(max_examples=300)
@given(CHANGES)
def test_settings_are_accepted_or_rejected(changes):
    sections = {name: dict(keys) for name, keys in SCHEDULER.items()}
    for (section, key), text in changes.items():
        sections[section][key] = text
    try:
        found = parse_scheduler_settings(render(sections))
    except InputError:
        return
    assert isinstance(found, SchedulerSettings)
    assert 0 < found.processor_share <= 10**6
    assert 1000 <= found.grace_ms <= 10**7


@given(st.text(max_size=200) | st.text('[]=:%;#\n ab0', max_size=80))
def test_any_text_is_accepted_or_rejected(text):
    for parse in (parse_scheduler_settings, parse_settings):
        try:
            found = parse(text)
        except InputError:
            continue
        assert isinstance(found, (SchedulerSettings, Settings))


# -- reloading -----------------------------------------------------------------


@pytest.fixture
def daemon(tmp_path):
    path = tmp_path / 'i.ini'
    path.write_text(render(SCHEDULER))
    lines = LineBuffer(1, {}, 'INFO')
    return SchedulerDaemon(load_scheduler_settings(path), lines, str(path))


def damage(path, damage_kind):
    if damage_kind == 'gone':
        path.unlink()
    elif damage_kind == 'directory':
        path.unlink()
        path.mkdir()
    elif damage_kind == 'no text':
        path.write_bytes(b'\xff\xfe\0')
    elif damage_kind == 'empty':
        path.write_text('')
    elif damage_kind == 'cut off':
        path.write_text(render(SCHEDULER)[:60])
    else:
        section, key, text = damage_kind
        path.write_text(render(SCHEDULER, section, key, text))


DAMAGES = (
    'gone',
    'directory',
    'no text',
    'empty',
    'cut off',
    ('stop', 'grace_s', '1e308'),
    ('stop', 'grace_s', HUGE_NUMBER),
    ('workers', 'lease_limit_ms', HUGE_NUMBER),
    ('workers', 'lease_limit_ms', '1' * 5000),
    ('listen', 'internal_ports', '\u00b2,\u00b2'),
    ('store', 'address', '10.0.0.9'),
    ('store', 'address', ''),
    ('log', 'level', 'loud'),
)


@pytest.mark.parametrize('damage_kind', DAMAGES, ids=str)
def test_reload_of_invalid_file_changes_nothing(daemon, tmp_path, damage_kind):
    before = attrs.evolve(daemon.settings)
    damage(tmp_path / 'i.ini', damage_kind)
    with logbook.TestHandler() as lines:
        daemon.reload()
    assert daemon.settings == before
    assert [one.message for one in lines.records] == ['settings refused']


def test_reload_of_repaired_file(daemon, tmp_path):
    path = tmp_path / 'i.ini'
    damage(path, 'gone')
    daemon.reload()
    path.write_text(render(SCHEDULER, 'stop', 'grace_s', '9'))
    daemon.reload()
    assert daemon.settings.grace_ms == 9000
