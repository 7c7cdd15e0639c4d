"""Commands that show: comparison, dump, instances, workers, demo."""

from __future__ import annotations

import pathlib
import typing as t

import trio
from cleo.helpers import argument, option

from tulippin.cli_base import (
    API_OPTIONS,
    ApiCommand,
    BaseCommand,
    get_number,
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

    def run_checked(self) -> None:
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

    def run_checked(self) -> None:
        """Show the comparison."""
        found = self.send('GET', '/v1/compare')
        if self.wants_json():
            self.show_json(found)
        else:
            show_comparison(self, found)
        if self.option('html'):
            with self.open_client() as client:
                page = client.send_raw('GET', '/v1/compare.html')
            pathlib.Path(self.option('html')).write_bytes(page)
        warn_missing(self, found['missing'])


class Dump(ApiCommand):
    """Dump an instance's state."""

    name = 'dump'
    description = 'Print the whole state of one instance as JSON.'

    def run_checked(self) -> None:
        """Print the dump."""
        self.show_json(self.send('GET', '/v1/dump'))


class Instances(ApiCommand):
    """List instances."""

    name = 'instances'
    description = 'List the instances as one of them sees them.'

    def run_checked(self) -> None:
        """List the instances."""
        found = self.send('GET', '/v1/instances')
        if self.wants_json():
            self.show_json(found)
            return
        heads = (
            'instance_id',
            'failure_domain',
            'standing',
            'bundle_number',
            'silent_ms',
        )
        rows = [[row[head] for head in heads] for row in found['instances']]
        self.show_rows(heads, rows)


class Workers(ApiCommand):
    """List workers."""

    name = 'workers'
    description = 'List the workers by cell, with what they hold.'

    def run_checked(self) -> None:
        """List the workers."""
        found = self.send('GET', '/v1/workers')
        if self.wants_json():
            self.show_json(found)
            return
        heads = (
            'attempt_count',
            'reserved_cpu_millicores',
            'capacity_cpu_millicores',
            'free_slots',
            'lost',
            'leaving',
        )
        rows = [
            (cell, worker_id, *(worker[head] for head in heads))
            for cell, body in sorted(found['cells'].items())
            for worker_id, worker in sorted(body['workers'].items())
        ]
        self.show_rows(('cell', 'worker', *heads), rows)
        warn_missing(self, found['missing'])


class Demo(BaseCommand):
    """Run the demonstration."""

    name = 'demo'
    description = 'Run instances, workers and mixed load in this process.'
    options = [
        option('seconds', 's', 'How long.', flag=False, default='20'),
        option('html', None, 'Write the report to a file.', flag=False),
    ]

    def run_checked(self) -> None:
        """Run the demonstration and show the comparison."""
        # Loaded late: it brings every server with it.
        from tulippin.demo import run_demo

        seconds = get_number(str(self.option('seconds')), '--seconds')
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


def show_comparison(command: BaseCommand, found: t.Mapping[str, t.Any]) -> None:
    """Print a comparison."""
    heads = (
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
    rows = [[row[head] for head in heads] for row in found['rows']]
    command.show_rows(heads, rows)
    pairs = [
        (
            one['measure'],
            f'{one["first"]} - {one["second"]}',
            one['pair_count'],
            f'{one["mean"]:.4g}',
            f'{one["low"]:.4g} to {one["high"]:.4g}',
            'yes' if one['decided'] else 'no',
        )
        for one in found['differences']
    ]
    if pairs:
        command.show_rows(
            ('measure', 'difference', 'pairs', 'mean', '95%', 'decided'), pairs
        )
    command.line(f'verdict: {found["verdict"]}')
