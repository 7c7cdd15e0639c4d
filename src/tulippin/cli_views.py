"""Commands that check settings, show state and run the demonstration."""

from __future__ import annotations

import pathlib
import typing as t

import trio
from cleo.helpers import argument, option

from tulippin.cli_base import (
    API_OPTIONS,
    ApiCommand,
    BaseCommand,
    parse_int,
    warn_missing,
)
from tulippin.codec_json import decode, encode
from tulippin.exceptions import TulippinError
from tulippin.scheduler_settings import (
    is_scheduler_settings,
    parse_scheduler_settings,
)
from tulippin.settings import load_settings


class SettingsCheck(BaseCommand):
    """Check a settings file."""

    name = 'settings check'
    description = 'Check a settings file and print every finding.'
    arguments = [argument('file', 'The settings, INI.')]

    def run_command(self) -> None:
        """Check the file."""
        path = self.argument('file')
        text = self.read_file(path)
        if is_scheduler_settings(text):
            instance_id = parse_scheduler_settings(text, path).instance_id
        else:
            instance_id = load_settings(path).config.instance_id
        self.line(f'{path}: no findings')
        self.line(f'instance {instance_id}')


class Compare(ApiCommand):
    """Compare policies."""

    name = 'compare'
    description = 'Show how each policy on trial fared on the same load.'
    options = [
        *API_OPTIONS,
        option('html', None, 'Also write a report to a file.', flag=False),
    ]

    def run_command(self) -> None:
        """Show the comparison."""
        response = self.send('GET', '/v1/compare')
        if self.wants_json():
            self.show_json(response)
        else:
            show_comparison(self, response)
        if self.option('html'):
            with self.open_client() as client:
                page = client.send_raw('GET', '/v1/compare.html')
            pathlib.Path(self.option('html')).write_bytes(page)
        warn_missing(self, response['missing'])


class Dump(ApiCommand):
    """Dump an instance's state."""

    name = 'dump'
    description = 'Print the whole state of one instance as JSON.'

    def run_command(self) -> None:
        """Print the dump."""
        self.show_json(self.send('GET', '/v1/dump'))


class Instances(ApiCommand):
    """List instances."""

    name = 'instances'
    description = 'List the instances as one of them sees them.'

    def run_command(self) -> None:
        """List the instances."""
        response = self.send('GET', '/v1/instances')
        if self.wants_json():
            self.show_json(response)
            return
        columns = (
            'instance_id',
            'failure_domain',
            'standing',
            'bundle_number',
            'silent_ms',
        )
        rows = [
            [row[column] for column in columns] for row in response['instances']
        ]
        self.show_rows(columns, rows)


class Workers(ApiCommand):
    """List workers."""

    name = 'workers'
    description = 'List the workers by cell, with what they hold.'

    def run_command(self) -> None:
        """List the workers."""
        response = self.send('GET', '/v1/workers')
        if self.wants_json():
            self.show_json(response)
            return
        columns = (
            'attempt_count',
            'reserved_cpu_millicores',
            'capacity_cpu_millicores',
            'free_slots',
            'lost',
            'leaving',
        )
        rows = [
            (cell, worker_id, *(worker[column] for column in columns))
            for cell, body in sorted(response['cells'].items())
            for worker_id, worker in sorted(body['workers'].items())
        ]
        self.show_rows(('cell', 'worker', *columns), rows)
        warn_missing(self, response['missing'])


class Demo(BaseCommand):
    """Run the demonstration."""

    name = 'demo'
    description = 'Run instances, workers and mixed load in this process.'
    options = [
        option('seconds', 's', 'How long.', flag=False, default='20'),
        option('html', None, 'Write the report to a file.', flag=False),
    ]

    def run_command(self) -> None:
        """Run the demonstration and show the comparison."""
        # Imported here because it loads the modules of all servers.
        from tulippin.demo import run_demo

        seconds = parse_int(str(self.option('seconds')), '--seconds')
        result = trio.run(run_demo, seconds, self.line)
        show_comparison(self, decode(encode(result.comparison), t.Any))
        for line in result.lines:
            self.line(line)
        if self.option('html'):
            pathlib.Path(self.option('html')).write_text(result.html)
        if result.violations:
            raise TulippinError(
                f'{len(result.violations)} promise(s) broken', 'broken_promise'
            )


def show_comparison(
    command: BaseCommand, comparison: t.Mapping[str, t.Any]
) -> None:
    """Print a comparison."""
    columns = (
        'policy',
        'request_count',
        'p50_ms',
        'p99_ms',
        'p999_ms',
        'over_target_count',
        'done_count',
        'evicted_count',
        'wasted_ms',
        'weighted_cost',
    )
    rows = [[row[column] for column in columns] for row in comparison['rows']]
    command.show_rows(columns, rows)
    pairs = [
        (
            difference['measure'],
            f'{difference["first"]} - {difference["second"]}',
            difference['pair_count'],
            f'{difference["mean"]:.4g}',
            f'{difference["low"]:.4g} to {difference["high"]:.4g}',
            'yes' if difference['decided'] else 'no',
        )
        for difference in comparison['differences']
    ]
    if pairs:
        command.show_rows(
            ('measure', 'difference', 'pairs', 'mean', '95%', 'decided'), pairs
        )
    command.line(f'verdict: {comparison["verdict"]}')
