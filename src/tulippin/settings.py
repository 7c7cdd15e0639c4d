"""The daemon's settings file: INI, with all findings reported together."""

from __future__ import annotations

import configparser
import pathlib
import typing as t

import attrs

from tulippin.exceptions import Finding, InputError
from tulippin.ini import (
    SectionReader,
    check_address,
    read_ini,
    read_operators,
    read_settings_text,
)
from tulippin.state import Config

# Above any limit that an instance could make use of.
_MAX_LIMIT: t.Final = 10**9
_SECTIONS: t.Final = frozenset(
    (
        'instance',
        'listen',
        'platform',
        'peers',
        'operators',
        'tls',
        'log',
        'limits',
        'timing',
    )
)


@attrs.frozen
class ListenSettings:
    """Addresses of the listeners, each an IP and a port."""

    callers: str
    operators: str
    peers: str


@attrs.frozen
class TlsSettings:
    """Paths of PEM files, empty where TLS is off, and the peers' name.

    Parameters
    ----------
    operators_certificate, operators_key : str
        Certificate and key of the operators' listener.
    operators_authority : str
        If given, operators must present a certificate signed by it.
    peers_certificate, peers_key, peers_authority : str
        For mutual TLS between peers.
    peers_name : str
        The host name in every instance's certificate.
    """

    operators_certificate: str = ''
    operators_key: str = ''
    operators_authority: str = ''
    peers_certificate: str = ''
    peers_key: str = ''
    peers_authority: str = ''
    peers_name: str = 'tulippin-peer'


@attrs.frozen
class LogSettings:
    """Log style, ``text`` or ``json``, and the lowest level logged."""

    style: str = 'text'
    level: str = 'info'


@attrs.frozen
class LimitSettings:
    """Limits on what callers may send, and the stop's grace period."""

    max_body_bytes: int = 1048576
    max_deadline_ms: int = 600000
    default_deadline_ms: int = 10000
    max_tasks: int = 100000
    balancer_grace_ms: int = 2000


@attrs.frozen
class Settings:
    """The whole content of a daemon's settings file."""

    config: Config
    listen: ListenSettings
    platform_url: str
    operators: dict[str, str]
    tls: TlsSettings = TlsSettings()
    log: LogSettings = LogSettings()
    limits: LimitSettings = LimitSettings()


def load_settings(path: str | pathlib.Path) -> Settings:
    """Read and check a settings file.

    Raises
    ------
    InputError
        With all findings, each with file, section and key.
    """
    source = str(path)
    return parse_settings(read_settings_text(source), source)


def parse_settings(text: str, source: str = 'settings') -> Settings:
    """Parse and check settings given as text.

    Raises
    ------
    InputError
        With all findings, each with its source, section and key.
    """
    parser = read_ini(text, source)
    findings: list[Finding] = []
    settings = _SettingsReader(parser, source, findings).read()
    if findings:
        raise InputError(
            f'{source} has {len(findings)} finding(s)',
            findings,
            code='bad_settings',
        )
    return settings


class _SettingsReader:
    """Reads section by section and collects findings."""

    def __init__(
        self,
        parser: configparser.ConfigParser,
        source: str,
        findings: list[Finding],
    ) -> None:
        self._parser = parser
        self._source = source
        self._findings = findings

    def read(self) -> Settings:
        """Return the settings, with substitutes for invalid values."""
        for section in self._parser.sections():
            if section not in _SECTIONS:
                known = ', '.join(sorted(_SECTIONS))
                self._findings.append(
                    Finding(
                        f'{self._source}: [{section}]',
                        'unknown section',
                        f'known: {known}',
                    )
                )
        listen = self._read_listen()
        return Settings(
            config=self._read_config(listen),
            listen=listen,
            platform_url=self._read_platform(),
            operators=self._read_operators(),
            tls=self._read_tls(),
            log=self._read_log(),
            limits=self._read_limits(),
        )

    def _open(self, section: str) -> SectionReader:
        return SectionReader(
            self._parser, section, self._source, self._findings
        )

    def _read_listen(self) -> ListenSettings:
        reader = self._open('listen')
        listen = ListenSettings(
            callers=_get_address(reader, 'callers'),
            operators=_get_address(reader, 'operators'),
            peers=_get_address(reader, 'peers'),
        )
        reader.close()
        return listen

    def _read_config(self, listen: ListenSettings) -> Config:
        reader = self._open('instance')
        instance_id = reader.get_text('id')
        domain = reader.get_text('failure_domain')
        region = reader.get_text('region', '-')
        advertised = listen.peers
        if reader.get_text('peer_address', '-') != '-':
            advertised = _get_address(reader, 'peer_address')
        reader.close()
        peers = self._open('peers')
        seeds = peers.get_list('addresses', ())
        for seed in seeds:
            check_address(peers, 'addresses', seed)
        peers.close()
        return Config(
            instance_id,
            domain,
            advertised,
            region='' if region == '-' else region,
            peer_seeds=seeds,
            **self._read_timing(),
        )

    def _read_timing(self) -> dict[str, int]:
        reader = self._open('timing')
        defaults = attrs.fields_dict(Config)
        bounds = {
            'lease_ms': (1000, 60000),
            'lease_margin_ms': (100, 10000),
            'renew_every_ms': (200, 20000),
            'poll_every_ms': (100, 10000),
            'worker_lease_ms': (2000, 120000),
            'sync_every_ms': (200, 30000),
            'sync_gap_ms': (0, 30000),
            'detached_limit_ms': (10000, 86400000),
            'range_count': (1, 1024),
            'drain_limit_ms': (1000, 600000),
        }
        values = {
            name: reader.get_int(name, defaults[name].default, low, high)
            for name, (low, high) in bounds.items()
        }
        if values['renew_every_ms'] * 2 > values['lease_ms']:
            reader.report(
                'renew_every_ms',
                'is over half of lease_ms',
                'renew at least twice in each lease',
            )
        reader.close()
        return values

    def _read_platform(self) -> str:
        reader = self._open('platform')
        url = reader.get_text('url')
        if url and not url.startswith(('http://', 'https://')):
            reader.report(
                'url', f'{url!r} is not an HTTP URL', 'http://IP:PORT'
            )
        reader.close()
        return url.rstrip('/')

    def _read_operators(self) -> dict[str, str]:
        reader = self._open('operators')
        public_keys = read_operators(self._parser, reader)
        reader.close()
        return public_keys

    def _read_tls(self) -> TlsSettings:
        reader = self._open('tls')
        values = {}
        for field in attrs.fields(TlsSettings):
            values[field.name] = reader.get_text(field.name, field.default)
            is_file = field.name != 'peers_name' and values[field.name]
            if is_file and not pathlib.Path(values[field.name]).is_file():
                reader.report(
                    field.name,
                    f'no file {values[field.name]}',
                    'give the path of a PEM file',
                )
        for group in ('operators', 'peers'):
            _check_tls_group(reader, values, group)
        reader.close()
        return TlsSettings(**values)

    def _read_log(self) -> LogSettings:
        reader = self._open('log')
        log = LogSettings(
            reader.get_choice('style', ('text', 'json'), 'text'),
            reader.get_choice(
                'level', ('debug', 'info', 'warning', 'error'), 'info'
            ),
        )
        reader.close()
        return log

    def _read_limits(self) -> LimitSettings:
        reader = self._open('limits')
        limits = LimitSettings(
            **{
                field.name: reader.get_int(
                    field.name, field.default, 1, _MAX_LIMIT
                )
                for field in attrs.fields(LimitSettings)
            }
        )
        reader.close()
        return limits


def _check_tls_group(
    reader: SectionReader, values: t.Mapping[str, str], group: str
) -> None:
    certificate = values[f'{group}_certificate']
    key = values[f'{group}_key']
    if bool(certificate) != bool(key):
        reader.report(
            f'{group}_key',
            'certificate and key must be given together',
            'give both or neither',
        )
    if group == 'peers' and certificate and not values['peers_authority']:
        reader.report(
            'peers_authority',
            'is missing',
            'peers authenticate each other; give their certificate authority',
        )


def _get_address(reader: SectionReader, key: str) -> str:
    address = reader.get_text(key)
    if address:
        check_address(reader, key, address)
    return address
