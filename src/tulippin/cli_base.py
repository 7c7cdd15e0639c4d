"""Base classes and helpers of the command-line commands."""

from __future__ import annotations

import os
import pathlib
import typing as t

from cleo.commands.command import Command
from cleo.helpers import option

from tulippin.client import ApiClient, make_tls_context
from tulippin.codec_json import encode
from tulippin.exceptions import InputError, TulippinError

_DEFAULT_URL: t.Final = 'http://127.0.0.1:8081'

API_OPTIONS: t.Final = (
    option('url', 'u', 'Address of an instance for operators.', flag=False),
    option('output', 'o', 'table or json.', flag=False, default='table'),
    option('authority', None, 'PEM file of the TLS authority.', flag=False),
    option('certificate', None, 'PEM file of your certificate.', flag=False),
    option('key-file', None, 'PEM file of its key.', flag=False),
)
SIGN_OPTIONS: t.Final = (
    option('operator', None, 'Your name in [operators].', flag=False),
    option('private-key', None, 'File with your private key.', flag=False),
)


class BaseCommand(Command):
    """A command that prints a ``TulippinError`` and exits with its code."""

    def handle(self) -> int:
        """Run the command; return its exit code."""
        try:
            self.run_command()
        except TulippinError as error:
            error.show()
            return error.exit_code
        return 0

    def run_command(self) -> None:
        """Run the command; ``handle`` prints any ``TulippinError``."""
        raise NotImplementedError

    def show_rows(
        self, columns: t.Sequence[str], rows: t.Sequence[t.Sequence[t.Any]]
    ) -> None:
        """Print rows as a table."""
        table = self.table(list(columns), [list(map(str, row)) for row in rows])
        table.render()

    def read_file(self, name: str) -> str:
        """Return the content of a text file."""
        try:
            return pathlib.Path(name).read_text()
        except (OSError, UnicodeDecodeError) as error:
            raise InputError(
                f'cannot read {name}: {error}', code='no_file'
            ) from error

    def require(self, name: str) -> str:
        """Return the value of a required option."""
        value = self.option(name)
        if not value:
            raise InputError(f'give --{name}', code='usage')
        return str(value)


class ApiCommand(BaseCommand):
    """A command that calls the operators' API of an instance."""

    options = list(API_OPTIONS)

    def open_client(self) -> ApiClient:
        """Return a client of the instance that the options name."""
        url = self.option('url') or os.environ.get('TULIPPIN_URL', _DEFAULT_URL)
        tls = make_tls_context(
            self.option('authority') or '',
            self.option('certificate') or '',
            self.option('key-file') or '',
        )
        return ApiClient(url, tls)

    def send(self, method: str, path: str, body: t.Any = None) -> t.Any:
        """Send one request to the instance; return the decoded response."""
        with self.open_client() as client:
            return client.send(method, path, body)

    def wants_json(self) -> bool:
        """Return whether the output format is JSON."""
        output = self.option('output')
        if output not in {'table', 'json'}:
            raise InputError(f'--output {output}: table or json', code='usage')
        return bool(output == 'json')

    def show_json(self, value: t.Any) -> None:
        """Print a value as JSON."""
        self.line(encode(value).decode(), style=None)


def parse_int(text: str, label: str = 'number') -> int:
    """Parse an integer argument; ``label`` names it in the error."""
    try:
        return int(text)
    except ValueError as error:
        raise InputError(
            f'{label}: {text!r} is not a whole number', code='usage'
        ) from error


def warn_missing(command: BaseCommand, missing: t.Sequence[str]) -> None:
    """Print a warning that names the instances without figures."""
    if missing:
        names = ', '.join(missing)
        command.line_error(f'without the figures of: {names}')
