"""Reading and checking of INI files; each finding has its location."""

from __future__ import annotations

import configparser
import ipaddress
import pathlib
import re
import typing as t

from tulippin.exceptions import Finding, InputError

_HEX_KEY: t.Final = re.compile('[0-9a-f]{64}')
_PORT: t.Final = re.compile('[0-9]{1,5}')
_MAX_PORT: t.Final = 65535
_HOST_NAME: t.Final = re.compile(r'[A-Za-z0-9_-]+(\.[A-Za-z0-9_-]+)*')
# Integers beyond it may not fit into a float or into the store.
_MAX_NUMBER: t.Final = 2**63


def read_settings_text(source: str) -> str:
    """Read the settings file at a path.

    Raises
    ------
    InputError
        If it can't be read as text.
    """
    try:
        return pathlib.Path(source).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise InputError(
            f'cannot read {source}: {error}', code='no_settings'
        ) from error


def read_ini(text: str, source: str) -> configparser.ConfigParser:
    """Parse INI text.

    Raises
    ------
    InputError
        If the text is not valid INI; the finding names the line.
    """
    parser = configparser.ConfigParser(interpolation=None)
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        finding = Finding(source, str(error).replace('\n', ' '))
        raise InputError(
            f'{source} is not INI', [finding], code='bad_ini'
        ) from error
    return parser


class SectionReader:
    """Reads the keys of one section and reports invalid ones.

    Parameters
    ----------
    parser : configparser.ConfigParser
        The parsed file.
    section : str
        The section to read; it may be absent.
    source : str
        The file's name, for findings.
    findings : list of Finding
        Findings are appended to it.
    """

    def __init__(
        self,
        parser: configparser.ConfigParser,
        section: str,
        source: str,
        findings: list[Finding],
    ) -> None:
        self._section = section
        self._source = source
        self._findings = findings
        self._used: set[str] = set()
        present = parser.has_section(section)
        self._values = dict(parser.items(section)) if present else {}

    def report(self, key: str, message: str, advice: str = '') -> None:
        """Add a finding about a key."""
        place = f'{self._source}: [{self._section}] {key}'
        self._findings.append(Finding(place, message, advice))

    def get_text(self, key: str, default: str | None = None) -> str:
        """Return a key's text; without a default the key is required."""
        self._used.add(key)
        text = self._values.get(key, '').strip()
        if text:
            return text
        if default is None:
            self.report(key, 'is missing', f'add {key} = ...')
            return ''
        return default

    def get_list(
        self, key: str, default: t.Sequence[str] | None = None
    ) -> tuple[str, ...]:
        """Return the comma-separated items of a key."""
        fallback = None if default is None else ','.join(default)
        text = self.get_text(key, fallback)
        return tuple(part.strip() for part in text.split(',') if part.strip())

    def get_choice(
        self,
        key: str,
        choices: t.Sequence[str],
        default: str | None = None,
    ) -> str:
        """Return one of the allowed values."""
        text = self.get_text(key, default)
        if text in choices:
            return text
        if text:
            allowed = ', '.join(choices)
            self.report(key, f'{text!r} is not known', f'one of: {allowed}')
        return choices[0]

    def get_int(
        self,
        key: str,
        default: int | None = None,
        minimum: int | None = None,
        maximum: int | None = None,
    ) -> int:
        """Return an integer within bounds."""
        return int(self._get_number(key, int, default, minimum, maximum))

    def get_float(
        self,
        key: str,
        default: float | None = None,
        minimum: float | None = None,
        maximum: float | None = None,
    ) -> float:
        """Return a number within bounds."""
        return float(self._get_number(key, float, default, minimum, maximum))

    def close(self) -> None:
        """Report unknown keys: those that were never read."""
        for key in self._values:
            if key not in self._used:
                known = ', '.join(sorted(self._used))
                self.report(key, 'unknown key', f'known here: {known}')

    def _get_number(
        self,
        key: str,
        kind: t.Callable[[str], float],
        default: float | None,
        minimum: float | None,
        maximum: float | None,
    ) -> float:
        text = self.get_text(key, None if default is None else str(default))
        fallback = default if default is not None else minimum or 0
        if not text:
            return fallback
        try:
            number = kind(text)
        except ValueError:
            self.report(key, f'{text!r} is not a number', 'write a number')
            return fallback
        low = -_MAX_NUMBER if minimum is None else minimum
        high = _MAX_NUMBER if maximum is None else maximum
        # The comparison is also false for NaN.
        if not low <= number <= high:
            self.report(key, f'{text} is out of bounds', f'{low} to {high}')
            return fallback
        return number


def parse_port(text: str) -> int | None:
    """Return a port number, or nothing if the text is not one."""
    if not _PORT.fullmatch(text) or int(text) > _MAX_PORT:
        return None
    return int(text)


def check_address(
    reader: SectionReader, key: str, address: str, *, may_be_name: bool = False
) -> None:
    """Report an address that is not an IP and a port.

    Parameters
    ----------
    reader : SectionReader
        The finding is added to it.
    key, address : str
        The key and its text.
    may_be_name : bool
        A host name is allowed too, for addresses to connect to.
    """
    host, _, port = address.rpartition(':')
    if not (may_be_name and _HOST_NAME.fullmatch(host)) and not _is_ip(host):
        reader.report(key, f'{address!r} has no IP number', 'write IP:PORT')
    elif parse_port(port) is None:
        reader.report(key, f'{address!r} has no port', 'write IP:PORT')


def _is_ip(host: str) -> bool:
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        return False
    return True


def read_operators(
    parser: configparser.ConfigParser, reader: SectionReader
) -> dict[str, str]:
    """Return the operators' public keys by name, from ``[operators]``."""
    public_keys: dict[str, str] = {}
    if not parser.has_section('operators'):
        return public_keys
    for name in parser.options('operators'):
        key = reader.get_text(name)
        public_keys[name] = key
        if key and not _HEX_KEY.fullmatch(key):
            reader.report(
                name,
                'is no Ed25519 public key of 64 hex digits',
                'make one with "tulippin key make"',
            )
    return public_keys
