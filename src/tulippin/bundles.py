"""Bundles of policies and targets: parsing, digests and signatures.

A bundle is an INI text that operators propose, approve and roll out.
"""

from __future__ import annotations

import configparser
import enum
import hashlib
import typing as t

import attrs
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
    Ed25519PublicKey,
)

from tulippin.exceptions import DeniedError, Finding, InputError
from tulippin.ini import SectionReader, read_ini
from tulippin.policies import POLICY_KINDS, Policy, make_policy

BUNDLE_LIMIT_BYTES: t.Final = 65536


class BundleState(enum.Enum):
    """Where a bundle stands in its life."""

    PROPOSED = 'proposed'
    APPROVED = 'approved'
    ROLLING = 'rolling'
    IN_FORCE = 'in_force'
    SUPERSEDED = 'superseded'
    RETIRED = 'retired'


@attrs.frozen
class ServiceTarget:
    """The latency target of a service."""

    service: str
    target_ms: float


@attrs.frozen
class TeamLimit:
    """What a team may use at one time; zero millicores mean no limit."""

    team: str
    cpu_millicores: int = 0
    max_priority: int = 1000


@attrs.frozen
class Trial:
    """The schedule by which cells switch between policies."""

    policies: tuple[str, ...] = ('least_loaded',)
    window_s: int = 60
    wash_out_s: int = 5
    seed: int = 1
    guard_rail_ratio: float = 3.0
    guard_rail_min_requests: int = 200


@attrs.frozen
class Bundle:
    """A parsed bundle."""

    name: str
    trial: Trial = Trial()
    policies: dict[str, Policy] = attrs.field(factory=dict)
    services: dict[str, ServiceTarget] = attrs.field(factory=dict)
    teams: dict[str, TeamLimit] = attrs.field(factory=dict)
    tail_weight: float = 0.5
    throughput_weight: float = 0.5

    def get_target_ms(self, service: str) -> float:
        """Return the latency target of a service, or 0 if it has none."""
        target = self.services.get(service)
        return target.target_ms if target else 0.0


@attrs.frozen
class Signature:
    """An operator's signature of one action on a bundle's digest."""

    operator: str
    signature: str


@attrs.frozen
class BundleRow:
    """A bundle as the table holds it."""

    number: int
    text: str
    digest: str
    state: BundleState
    proposed: Signature
    approved: Signature | None = None
    rolled: Signature | None = None
    retired: Signature | None = None


@attrs.frozen
class BundleHead:
    """The head of the numbered log; ``rolled_number`` never decreases."""

    next_number: int = 1
    rolled_number: int = 0
    token: str = ''


def compute_digest(text: str) -> str:
    """Return the SHA-256 of a bundle's text, in hex."""
    return hashlib.sha256(text.encode()).hexdigest()


def make_statement(action: str, number: int, digest: str) -> bytes:
    """Return the bytes that an operator signs.

    The number is 0 for a proposal, as it is assigned afterwards.
    """
    return f'tulippin-bundle\n{action}\n{number}\n{digest}'.encode()


def make_key() -> tuple[str, str]:
    """Return a new private key and its public key, in hex."""
    private = Ed25519PrivateKey.generate()
    return (
        private.private_bytes_raw().hex(),
        private.public_key().public_bytes_raw().hex(),
    )


def sign(
    private_hex: str, operator: str, action: str, number: int, digest: str
) -> Signature:
    """Sign one action on a bundle.

    Raises
    ------
    InputError
        If the private key is not 32 bytes in hex.
    """
    try:
        private = Ed25519PrivateKey.from_private_bytes(
            bytes.fromhex(private_hex.strip())
        )
    except ValueError as error:
        raise InputError(
            'the private key is not 32 bytes in hex', code='bad_key'
        ) from error
    statement = make_statement(action, number, digest)
    return Signature(operator, private.sign(statement).hex())


def verify(
    keys: t.Mapping[str, str],
    signature: Signature,
    action: str,
    number: int,
    digest: str,
) -> None:
    """Check a signature against the operators' public keys.

    Raises
    ------
    DeniedError
        If the operator is unknown or the signature does not match.
    """
    public_hex = keys.get(signature.operator)
    if public_hex is None:
        raise DeniedError(
            f'operator {signature.operator!r} has no key in the settings;'
            ' add it to [operators] on every instance',
            code='unknown_operator',
        )
    try:
        Ed25519PublicKey.from_public_bytes(bytes.fromhex(public_hex)).verify(
            bytes.fromhex(signature.signature),
            make_statement(action, number, digest),
        )
    except (InvalidSignature, ValueError) as error:
        raise DeniedError(
            f'the signature of {signature.operator!r} to {action} does not'
            ' match; sign the digest that "tulippin bundle show" prints',
            code='bad_signature',
        ) from error


def verify_row(keys: t.Mapping[str, str], row: BundleRow) -> None:
    """Check the digest and signatures that a rolled bundle needs.

    Raises
    ------
    DeniedError
        If the digest is wrong, a signature is missing or wrong, or the
        proposer is also the approver.
    """
    if row.digest != compute_digest(row.text):
        raise DeniedError('the digest is not that of the text', 'bad_digest')
    if row.approved is None or row.rolled is None:
        raise DeniedError('the bundle is not approved and rolled', 'unsigned')
    if row.approved.operator == row.proposed.operator:
        raise DeniedError('proposer and approver are the same', 'same_operator')
    verify(keys, row.proposed, 'propose', 0, row.digest)
    verify(keys, row.approved, 'approve', row.number, row.digest)
    verify(keys, row.rolled, 'roll', row.number, row.digest)


def parse_bundle(text: str, source: str = 'bundle') -> Bundle:
    """Parse and check a bundle's INI text.

    Raises
    ------
    InputError
        With all findings, each with its file, section and key.
    """
    if len(text.encode()) > BUNDLE_LIMIT_BYTES:
        raise InputError(
            f'the bundle is over {BUNDLE_LIMIT_BYTES} bytes', code='too_large'
        )
    findings: list[Finding] = []
    parser = read_ini(text, source)
    sections = _BundleSections(parser, source, findings)
    bundle = sections.read()
    if findings:
        raise InputError(
            f'{source} has {len(findings)} finding(s)',
            findings,
            code='bad_bundle',
        )
    return bundle


class _BundleSections:
    """Reads a bundle section by section and collects findings."""

    def __init__(
        self,
        parser: configparser.ConfigParser,
        source: str,
        findings: list[Finding],
    ) -> None:
        self._parser = parser
        self._source = source
        self._findings = findings

    def read(self) -> Bundle:
        """Return the bundle, with substitutes for invalid values."""
        self._check_section_names()
        main = self._open('bundle')
        name = main.get_text('name')
        tail = main.get_float('tail_weight', 0.5, 0, 1)
        throughput = main.get_float('throughput_weight', 0.5, 0, 1)
        main.close()
        policies = self._read_policies()
        return Bundle(
            name=name,
            trial=self._read_trial(policies),
            policies=policies,
            services=self._read_services(),
            teams=self._read_teams(),
            tail_weight=tail,
            throughput_weight=throughput,
        )

    def _open(self, section: str) -> SectionReader:
        return SectionReader(
            self._parser, section, self._source, self._findings
        )

    def _check_section_names(self) -> None:
        prefixes = ('policy ', 'service ', 'team ')
        for section in self._parser.sections():
            if section in {'bundle', 'trial'} or section.startswith(prefixes):
                continue
            self._findings.append(
                Finding(
                    f'{self._source}: [{section}]',
                    'unknown section',
                    'use bundle, trial, policy NAME, service NAME, team NAME',
                )
            )

    def _iter_named(self, prefix: str) -> t.Iterator[tuple[str, SectionReader]]:
        for section in self._parser.sections():
            if section.startswith(f'{prefix} '):
                yield section.partition(' ')[2].strip(), self._open(section)

    def _read_policies(self) -> dict[str, Policy]:
        policies = {}
        for name, reader in self._iter_named('policy'):
            kind = reader.get_choice('kind', tuple(POLICY_KINDS))
            policies[name] = make_policy(kind, reader)
            reader.close()
        if not policies:
            self._findings.append(
                Finding(
                    f'{self._source}: [policy NAME]',
                    'no policy is given',
                    'add a section such as [policy baseline]',
                )
            )
        return policies

    def _read_trial(self, policies: t.Mapping[str, Policy]) -> Trial:
        reader = self._open('trial')
        names = reader.get_list('policies', ())
        for name in names:
            if name not in policies:
                reader.report(
                    'policies',
                    f'no section [policy {name}]',
                    'add it or take the name out',
                )
        window_s = reader.get_int('window_s', 60, 1, 86400)
        wash_out_s = reader.get_int('wash_out_s', min(5, window_s // 2), 0)
        if wash_out_s >= window_s:
            reader.report(
                'wash_out_s', 'not below window_s', 'make the window longer'
            )
        trial = Trial(
            policies=tuple(names) or tuple(policies),
            window_s=window_s,
            wash_out_s=wash_out_s,
            seed=reader.get_int('seed', 1, 0),
            guard_rail_ratio=reader.get_float('guard_rail_ratio', 3, 1),
            guard_rail_min_requests=reader.get_int(
                'guard_rail_min_requests', 200, 1
            ),
        )
        reader.close()
        return trial

    def _read_services(self) -> dict[str, ServiceTarget]:
        services = {}
        for name, reader in self._iter_named('service'):
            target_ms = reader.get_float('target_ms', None, 0.001)
            services[name] = ServiceTarget(name, target_ms)
            reader.close()
        return services

    def _read_teams(self) -> dict[str, TeamLimit]:
        teams = {}
        for name, reader in self._iter_named('team'):
            teams[name] = TeamLimit(
                name,
                reader.get_int('cpu_millicores', 0, 0),
                reader.get_int('max_priority', 1000, 0),
            )
            reader.close()
        return teams
