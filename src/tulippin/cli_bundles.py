"""Commands for bundles and operators' keys."""

from __future__ import annotations

import pathlib
import typing as t

from cleo.helpers import argument

from tulippin.bundles import compute_digest, make_key, parse_bundle, sign
from tulippin.cli_base import (
    API_OPTIONS,
    SIGN_OPTIONS,
    ApiCommand,
    BaseCommand,
    parse_int,
)
from tulippin.exceptions import InputError


class KeyMake(BaseCommand):
    """Make an operator's key."""

    name = 'key make'
    description = 'Make a signing key; prints the public part for [operators].'
    arguments = [argument('file', 'Where to write the private key.')]

    def run_command(self) -> None:
        """Make the key."""
        path = pathlib.Path(self.argument('file'))
        if path.exists():
            raise InputError(f'{path} is there already; choose another name')
        private, public = make_key()
        path.touch(mode=0o600)
        path.write_text(f'{private}\n')
        self.line(public)


class BundleCheck(BaseCommand):
    """Check a bundle."""

    name = 'bundle check'
    description = 'Check a bundle file and print every finding.'
    arguments = [argument('file', 'The bundle, INI.')]

    def run_command(self) -> None:
        """Check the bundle."""
        name = self.argument('file')
        text = self.read_file(name)
        bundle = parse_bundle(text, name)
        policies = ', '.join(bundle.trial.policies)
        self.line(f'{name}: no findings')
        self.line(f'bundle {bundle.name}, on trial: {policies}')
        self.line(f'digest {compute_digest(text)}')


class BundlePropose(ApiCommand):
    """Propose a bundle."""

    name = 'bundle propose'
    description = 'Propose a bundle; another operator approves it.'
    arguments = [argument('file', 'The bundle, INI.')]
    options = [*API_OPTIONS, *SIGN_OPTIONS]

    def run_command(self) -> None:
        """Sign the bundle and propose it."""
        text = self.read_file(self.argument('file'))
        parse_bundle(text, self.argument('file'))
        operator = self.require('operator')
        key = self.read_file(self.require('private-key'))
        signature = sign(key, operator, 'propose', 0, compute_digest(text))
        body = {
            'text': text,
            'operator': operator,
            'signature': signature.signature,
        }
        show_bundle(self, self.send('POST', '/v1/bundles', body))


class _BundleAction(ApiCommand):
    """Base class of the commands that change the state of a bundle."""

    action = ''
    arguments = [argument('number', 'The number of the bundle.')]
    options = [*API_OPTIONS, *SIGN_OPTIONS]

    def run_command(self) -> None:
        """Sign the action and send it."""
        number = parse_int(self.argument('number'))
        path = f'/v1/bundles/{number}'
        row = self.send('GET', path)
        operator = self.require('operator')
        key = self.read_file(self.require('private-key'))
        signature = sign(key, operator, self.action, number, row['digest'])
        body = {'operator': operator, 'signature': signature.signature}
        show_bundle(self, self.send('POST', f'{path}/{self.action}', body))


class BundleApprove(_BundleAction):
    """Approve a bundle."""

    name = 'bundle approve'
    description = 'Approve a bundle that another operator proposed.'
    action = 'approve'


class BundleRoll(_BundleAction):
    """Roll a bundle."""

    name = 'bundle roll'
    description = 'Roll an approved bundle over the fleet.'
    action = 'roll'


class BundleRetire(_BundleAction):
    """Retire a bundle."""

    name = 'bundle retire'
    description = 'Retire a bundle that is not in force.'
    action = 'retire'


class BundleShow(ApiCommand):
    """Show a bundle."""

    name = 'bundle show'
    description = 'Show a bundle with its text and signatures.'
    arguments = [argument('number', 'The number of the bundle.')]

    def run_command(self) -> None:
        """Show the bundle."""
        number = parse_int(self.argument('number'))
        row = self.send('GET', f'/v1/bundles/{number}')
        show_bundle(self, row)
        if not self.wants_json():
            self.line(row['text'], style=None)


class BundleList(ApiCommand):
    """List bundles."""

    name = 'bundle list'
    description = 'List all bundles and where each stands.'

    def run_command(self) -> None:
        """Print the bundles."""
        response = self.send('GET', '/v1/bundles')
        if self.wants_json():
            self.show_json(response)
            return
        rows = [
            (
                row['number'],
                row['state'],
                row['proposed']['operator'],
                (row['approved'] or {}).get('operator', ''),
                row['digest'][:12],
            )
            for row in response['bundles']
        ]
        self.show_rows(
            ('number', 'state', 'proposed by', 'approved by', 'digest'), rows
        )


def show_bundle(command: ApiCommand, row: t.Mapping[str, t.Any]) -> None:
    """Print one bundle."""
    if command.wants_json():
        command.show_json(row)
        return
    command.line(f'bundle {row["number"]} is {row["state"]}')
    command.line(f'digest {row["digest"]}')
