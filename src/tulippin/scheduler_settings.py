"""Settings of a scheduler instance: INI, all findings together."""

from __future__ import annotations

import configparser
import pathlib
import typing as t

import attrs

from tulippin.exceptions import Finding, InputError
from tulippin.ini import (
    SectionReader,
    check_address,
    parse_port,
    read_ini,
    read_operators,
    read_settings_text,
)

_SECTIONS: t.Final = frozenset(
    (
        'instance',
        'listen',
        'store',
        'advice',
        'workers',
        'stop',
        'operators',
        'log',
    )
)
# Bounds that no instance reaches, so that what is worked out of the figures
# stays one.
_LONGEST_LEASE_MS: t.Final = 600_000
_LONGEST_GRACE_S: t.Final = 3600.0
_MOST_CORES: t.Final = 1000.0
_MOST_SPEED: t.Final = 1000.0


@attrs.frozen
class SchedulerSettings:
    """Everything that a scheduler instance learns from its file.

    Parameters
    ----------
    instance_id, failure_domain, region : str
        Who and where the instance is.
    callers, readiness : str
        Addresses to listen on, each an IP and a port.
    internal_ip : str
        Where peers and operators reach the instance.
    internal_first_port, internal_last_port : int
        Ports free for that.
    store_address : str
        IP and port of the platform's store.
    advice_address : str
        IP and port of the service that knows which workers may run what.
    worker_lease_limit_ms : int
        The longest lease that a worker grants.
    grace_ms : int
        Time between a planned stop and the kill.
    operators : dict
        Names and Ed25519 public keys of those who sign bundles.
    log_level : str
        The least level of log lines.
    processor_share : float
        The instance's processor, in cores of usual speed.
    """

    instance_id: str
    failure_domain: str
    region: str
    callers: str
    readiness: str
    internal_ip: str
    internal_first_port: int
    internal_last_port: int
    store_address: str
    advice_address: str
    worker_lease_limit_ms: int
    grace_ms: int
    operators: dict[str, str] = attrs.field(factory=dict)
    log_level: str = 'info'
    processor_share: float = 1.0

    @property
    def operators_address(self) -> str:
        """Where operators and scrapes reach the instance."""
        return f'{self.internal_ip}:{self.internal_first_port}'


def load_scheduler_settings(path: str | pathlib.Path) -> SchedulerSettings:
    """Read and check a settings file.

    Raises
    ------
    InputError
        With every finding, each with file, section and key.
    """
    source = str(path)
    return parse_scheduler_settings(read_settings_text(source), source)


def is_scheduler_settings(text: str) -> bool:
    """Tell the settings of a scheduler instance by their [store]."""
    return any(line.strip() == '[store]' for line in text.splitlines())


def parse_scheduler_settings(
    text: str, source: str = 'settings'
) -> SchedulerSettings:
    """Check settings given as text."""
    parser = read_ini(text, source)
    findings: list[Finding] = []
    for section in parser.sections():
        if section not in _SECTIONS:
            known = ', '.join(sorted(_SECTIONS))
            findings.append(
                Finding(f'{source}: [{section}]', 'unknown section', known)
            )
    readers = {
        name: SectionReader(parser, name, source, findings)
        for name in _SECTIONS
    }
    settings = _read(parser, readers)
    for reader in readers.values():
        reader.close()
    if findings:
        raise InputError(
            f'{source} has {len(findings)} finding(s)',
            findings,
            code='bad_settings',
        )
    return settings


def _read(
    parser: configparser.ConfigParser, readers: dict[str, SectionReader]
) -> SchedulerSettings:
    instance = readers['instance']
    listen = readers['listen']
    ports = listen.get_list('internal_ports')
    first, last = _read_ports(listen, ports)
    workers = readers['workers']
    grace_s = readers['stop'].get_float('grace_s', 6.0, 1.0, _LONGEST_GRACE_S)
    return SchedulerSettings(
        instance_id=instance.get_text('id'),
        failure_domain=instance.get_text('failure_domain'),
        region=instance.get_text('region', '-'),
        callers=_read_address(listen, 'callers'),
        readiness=_read_address(listen, 'readiness'),
        internal_ip=listen.get_text('internal_ip'),
        internal_first_port=first,
        internal_last_port=last,
        store_address=_read_address(
            readers['store'], 'address', may_be_name=True
        ),
        advice_address=_read_address(
            readers['advice'], 'address', '', may_be_name=True
        ),
        worker_lease_limit_ms=workers.get_int(
            'lease_limit_ms', 6000, 1000, _LONGEST_LEASE_MS
        ),
        grace_ms=int(grace_s * 1000),
        operators=read_operators(parser, readers['operators']),
        log_level=readers['log'].get_choice(
            'level', ('debug', 'info', 'warning', 'error'), 'info'
        ),
        processor_share=(
            instance.get_float('core_share', 1.0, 0.01, _MOST_CORES)
            * instance.get_float('core_speed', 1.0, 0.01, _MOST_SPEED)
        ),
    )


def _read_address(
    reader: SectionReader,
    key: str,
    default: str | None = None,
    *,
    may_be_name: bool = False,
) -> str:
    address = reader.get_text(key, default)
    if address:
        check_address(reader, key, address, may_be_name=may_be_name)
    return address


def _read_ports(
    listen: SectionReader, ports: tuple[str, ...]
) -> tuple[int, int]:
    found = [parse_port(port) for port in ports]
    known = [port for port in found if port is not None]
    if len(known) == len(ports) == 2 and known == sorted(known):
        return known[0], known[1]
    listen.report('internal_ports', 'is no range', 'write FIRST,LAST')
    return 0, 0
