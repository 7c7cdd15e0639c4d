"""Reads and validates the INI settings file of a scheduler instance."""

from __future__ import annotations

import configparser
import pathlib
import typing as t

import attrs

from tulippin.client_limits import ClientLimits, read_client_limits
from tulippin.exceptions import Finding, InputError
from tulippin.ini import (
    SectionReader,
    check_address,
    parse_port,
    read_ini,
    read_operators,
    read_settings_text,
)
from tulippin.jobs._record_validation import MAX_JOB_PARTS
from tulippin.jobs.features import Features

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
        'scheduling',
        'clients',
    )
)
# Above any real instance; values derived from these settings stay finite.
_MAX_LEASE_MS: t.Final = 600_000
_MAX_GRACE_S: t.Final = 3600.0
_MAX_CORES: t.Final = 1000.0
_MAX_CORE_SPEED: t.Final = 1000.0
_MIN_HARM_LIMIT_MS: t.Final = 2000
_MAX_HARM_LIMIT_MS: t.Final = 60_000


@attrs.frozen
class SchedulerSettings:
    """Settings of a scheduler instance.

    Parameters
    ----------
    instance_id, failure_domain, region : str
        Identity and location of the instance.
    callers, readiness : str
        Listen addresses, each an IP and a port.
    internal_ip : str
        IP at which peers and operators reach the instance.
    internal_first_port, internal_last_port : int
        Port range that is free for them.
    store_address : str
        Address of the platform's store.
    advice_address : str
        Address of the advice service; empty if there is none.
    worker_lease_limit_ms : int
        Maximum lease that a worker grants.
    grace_ms : int
        Time between the signal for a planned stop and the kill.
    operators : dict
        Names and Ed25519 public keys of the operators who sign bundles.
    log_level : str
        Minimum level of log lines.
    processor_share : float
        Processing capacity of the instance, in cores of standard speed.
    features : Features
        Optional parts of the scheduler.
    client_limits : ClientLimits
        Limits on the connections of all clients together.
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
    features: Features = Features()
    client_limits: ClientLimits = ClientLimits()

    @property
    def operators_address(self) -> str:
        """Listen address for operators and metric scrapes."""
        return f'{self.internal_ip}:{self.internal_first_port}'


def load_scheduler_settings(path: str | pathlib.Path) -> SchedulerSettings:
    """Read and validate a settings file.

    Raises
    ------
    InputError
        With all findings, each with file, section and key.
    """
    source = str(path)
    return parse_scheduler_settings(read_settings_text(source), source)


def is_scheduler_settings(text: str) -> bool:
    """Return whether a settings text has a [store] section."""
    return any(line.strip() == '[store]' for line in text.splitlines())


def parse_scheduler_settings(
    text: str, source: str = 'settings'
) -> SchedulerSettings:
    """Parse and validate settings given as text.

    Raises
    ------
    InputError
        With all findings.
    """
    parser = read_ini(text, source)
    findings: list[Finding] = []
    for section in parser.sections():
        if section not in _SECTIONS:
            valid = ', '.join(sorted(_SECTIONS))
            findings.append(
                Finding(f'{source}: [{section}]', 'unknown section', valid)
            )
    readers = {
        name: SectionReader(parser, name, source, findings)
        for name in _SECTIONS
    }
    settings = _read_settings(parser, readers)
    for reader in readers.values():
        reader.close()
    if findings:
        raise InputError(
            f'{source} has {len(findings)} finding(s)',
            findings,
            code='bad_settings',
        )
    return settings


def _read_settings(
    parser: configparser.ConfigParser, readers: dict[str, SectionReader]
) -> SchedulerSettings:
    """Read all settings; the readers collect the findings."""
    instance = readers['instance']
    listen = readers['listen']
    ports = listen.get_list('internal_ports')
    first, last = _read_ports(listen, ports)
    workers = readers['workers']
    grace_s = readers['stop'].get_float('grace_s', 6.0, 1.0, _MAX_GRACE_S)
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
            'lease_limit_ms', 6000, 1000, _MAX_LEASE_MS
        ),
        grace_ms=int(grace_s * 1000),
        operators=read_operators(parser, readers['operators']),
        log_level=readers['log'].get_choice(
            'level', ('debug', 'info', 'warning', 'error'), 'info'
        ),
        processor_share=(
            instance.get_float('core_share', 1.0, 0.01, _MAX_CORES)
            * instance.get_float('core_speed', 1.0, 0.01, _MAX_CORE_SPEED)
        ),
        features=_read_features(readers['scheduling']),
        client_limits=read_client_limits(readers['clients']),
    )


def _read_features(reader: SectionReader) -> Features:
    default = Features()
    return Features(
        job_part_count=reader.get_int(
            'job_parts', default.job_part_count, 1, MAX_JOB_PARTS
        ),
        bounds_writes=_read_switch(reader, 'bounded_writes'),
        has_admission=_read_switch(reader, 'admission'),
        orders_by_progress=_read_switch(reader, 'progress_order'),
        budgets_harm=_read_switch(reader, 'harm_budget'),
        harm_limit_ms=reader.get_int(
            'harm_limit_ms',
            default.harm_limit_ms,
            _MIN_HARM_LIMIT_MS,
            _MAX_HARM_LIMIT_MS,
        ),
        gathers_reports=_read_switch(reader, 'gathered_reports'),
        gathers_reads=_read_switch(reader, 'gathered_reads'),
    )


def _read_switch(reader: SectionReader, key: str) -> bool:
    return reader.get_choice(key, ('no', 'yes'), 'no') == 'yes'


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
    """Return the first and last internal port; report an invalid range."""
    parsed = [parse_port(port) for port in ports]
    valid = [port for port in parsed if port is not None]
    if len(valid) == len(ports) == 2 and valid == sorted(valid):
        return valid[0], valid[1]
    listen.report('internal_ports', 'is no range', 'write FIRST,LAST')
    return 0, 0
