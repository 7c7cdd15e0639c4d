"""The operators' command line."""

from __future__ import annotations

import os
import pathlib
import sys
import typing as t

import trio
from cleo.application import Application
from cleo.commands.command import Command
from cleo.commands.completions_command import CompletionsCommand
from cleo.helpers import argument, option
from cleo.io.inputs.string_input import StringInput

from tulippin.bundles import compute_digest, make_key, parse_bundle, sign
from tulippin.client import ApiClient, make_tls_context
from tulippin.codec_json import decode, encode
from tulippin.exceptions import InputError, TulippinError
from tulippin.settings import load_settings
from tulippin.types import JobKind, JobSpec, Resources

_VERSION: t.Final = '0.1.0'
_DEFAULT_URL: t.Final = 'http://127.0.0.1:8081'
_MS: t.Final = 1000

_API_OPTIONS: t.Final = (
    option('url', 'u', 'Address of an instance for operators.', flag=False),
    option('output', 'o', 'table or json.', flag=False, default='table'),
    option('authority', None, 'PEM file of the TLS authority.', flag=False),
    option('certificate', None, 'PEM file of your certificate.', flag=False),
    option('key-file', None, 'PEM file of its key.', flag=False),
)
_SIGN_OPTIONS: t.Final = (
    option('operator', None, 'Your name in [operators].', flag=False),
    option('private-key', None, 'File with your private key.', flag=False),
)


class BaseCommand(Command):
    """A command whose errors are shown and end in their exit code."""

    def handle(self) -> int:
        """Run the command; return its exit code."""
        try:
            self.run_checked()
        except TulippinError as error:
            error.show()
            return error.exit_code
        return 0

    def run_checked(self) -> None:
        """Do the command's work; errors of the family may pass."""
        raise NotImplementedError

    def show_rows(
        self, heads: t.Sequence[str], rows: t.Sequence[t.Sequence[t.Any]]
    ) -> None:
        """Print rows as a table."""
        table = self.table(list(heads), [list(map(str, row)) for row in rows])
        table.render()

    def read_file(self, name: str) -> str:
        """Return a text file's content."""
        try:
            return pathlib.Path(name).read_text()
        except (OSError, UnicodeDecodeError) as error:
            raise InputError(
                f'cannot read {name}: {error}', code='no_file'
            ) from error

    def require(self, name: str) -> str:
        """Return an option that must be given."""
        value = self.option(name)
        if not value:
            raise InputError(f'give --{name}', code='usage')
        return str(value)


class ApiCommand(BaseCommand):
    """A command that talks to an instance."""

    options = list(_API_OPTIONS)

    def open_client(self) -> ApiClient:
        """Return a client of the instance asked for."""
        url = self.option('url') or os.environ.get('TULIPPIN_URL', _DEFAULT_URL)
        tls = make_tls_context(
            self.option('authority') or '',
            self.option('certificate') or '',
            self.option('key-file') or '',
        )
        return ApiClient(url, tls)

    def send(self, method: str, path: str, body: t.Any = None) -> t.Any:
        """Call the instance once."""
        with self.open_client() as client:
            return client.send(method, path, body)

    def wants_json(self) -> bool:
        """Tell whether JSON is asked for."""
        output = self.option('output')
        if output not in {'table', 'json'}:
            raise InputError(f'--output {output}: table or json', code='usage')
        return bool(output == 'json')

    def show_json(self, value: t.Any) -> None:
        """Print a value as JSON."""
        self.line(encode(value).decode(), style=None)


class SettingsCheck(BaseCommand):
    """Check a settings file."""

    name = 'settings check'
    description = 'Check a settings file and print every finding.'
    arguments = [argument('file', 'The settings, INI.')]

    def run_checked(self) -> None:
        """Check the file."""
        settings = load_settings(self.argument('file'))
        self.line(f'{self.argument("file")}: no findings')
        self.line(f'instance {settings.config.instance_id}')


class KeyMake(BaseCommand):
    """Make an operator's key."""

    name = 'key make'
    description = 'Make a signing key; prints the public part for [operators].'
    arguments = [argument('file', 'Where to write the private key.')]

    def run_checked(self) -> None:
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

    def run_checked(self) -> None:
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
    options = [*_API_OPTIONS, *_SIGN_OPTIONS]

    def run_checked(self) -> None:
        """Sign and propose."""
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


class _BundleStep(ApiCommand):
    """Signs one step of a bundle's life."""

    action = ''
    arguments = [argument('number', 'The number of the bundle.')]
    options = [*_API_OPTIONS, *_SIGN_OPTIONS]

    def run_checked(self) -> None:
        """Sign the step and ask for it."""
        number = get_number(self.argument('number'))
        path = f'/v1/bundles/{number}'
        row = self.send('GET', path)
        operator = self.require('operator')
        key = self.read_file(self.require('private-key'))
        signature = sign(key, operator, self.action, number, row['digest'])
        body = {'operator': operator, 'signature': signature.signature}
        show_bundle(self, self.send('POST', f'{path}/{self.action}', body))


class BundleApprove(_BundleStep):
    """Approve a bundle."""

    name = 'bundle approve'
    description = 'Approve a bundle that another operator proposed.'
    action = 'approve'


class BundleRoll(_BundleStep):
    """Roll a bundle."""

    name = 'bundle roll'
    description = 'Roll an approved bundle over the fleet.'
    action = 'roll'


class BundleRetire(_BundleStep):
    """Retire a bundle."""

    name = 'bundle retire'
    description = 'Retire a bundle that is not in force.'
    action = 'retire'


class BundleShow(ApiCommand):
    """Show a bundle."""

    name = 'bundle show'
    description = 'Show a bundle with its text and signatures.'
    arguments = [argument('number', 'The number of the bundle.')]

    def run_checked(self) -> None:
        """Show the bundle."""
        number = get_number(self.argument('number'))
        row = self.send('GET', f'/v1/bundles/{number}')
        show_bundle(self, row)
        if not self.wants_json():
            self.line(row['text'], style=None)


class BundleList(ApiCommand):
    """List bundles."""

    name = 'bundle list'
    description = 'List all bundles and where each stands.'

    def run_checked(self) -> None:
        """List the bundles."""
        found = self.send('GET', '/v1/bundles')
        if self.wants_json():
            self.show_json(found)
            return
        rows = [
            (
                row['number'],
                row['state'],
                row['proposed']['operator'],
                (row['approved'] or {}).get('operator', ''),
                row['digest'][:12],
            )
            for row in found['bundles']
        ]
        self.show_rows(
            ('number', 'state', 'proposed by', 'approved by', 'digest'), rows
        )


class JobSubmit(ApiCommand):
    """Submit a job."""

    name = 'job submit'
    description = 'Submit a job; the same id again is the same job.'
    arguments = [argument('job_id', 'An id that you choose.')]
    options = [
        *_API_OPTIONS,
        option('team', 't', 'The team that runs it.', flag=False),
        option('kind', None, 'batch or service.', flag=False, default='batch'),
        option(
            'job-class', None, 'Names jobs alike.', flag=False, default='batch'
        ),
        option('tasks', None, 'How many tasks.', flag=False, default='1'),
        option('cpu', None, 'Millicores a task.', flag=False, default='1000'),
        option('memory', None, 'MiB a task.', flag=False, default='1024'),
        option('accelerators', None, 'A task.', flag=False, default='0'),
        option('run-s', None, 'Seconds a task runs.', flag=False, default='60'),
        option('priority', None, '100 is urgent.', flag=False, default='0'),
    ]

    def run_checked(self) -> None:
        """Submit the job."""
        kind = JobKind(self._get_kind())
        run_s = self._get_int('run-s') if kind is JobKind.BATCH else 0
        body = JobSpec(
            self.argument('job_id'),
            self.require('team'),
            kind,
            self.option('job-class'),
            self._get_int('tasks'),
            Resources(
                self._get_int('cpu'),
                self._get_int('memory'),
                self._get_int('accelerators'),
            ),
            run_s * _MS,
            self._get_int('priority'),
        )
        show_jobs(self, [self.send('POST', '/v1/jobs', body)])

    def _get_kind(self) -> str:
        kind = str(self.option('kind'))
        if kind not in {'batch', 'service'}:
            raise InputError(f'--kind {kind}: batch or service', code='usage')
        return kind

    def _get_int(self, name: str) -> int:
        return get_number(str(self.option(name)), f'--{name}')


class JobShow(ApiCommand):
    """Show a job."""

    name = 'job show'
    description = 'Show a job.'
    arguments = [argument('job_id', 'The id of the job.')]

    def run_checked(self) -> None:
        """Show the job."""
        job_id = self.argument('job_id')
        show_jobs(self, [self.send('GET', f'/v1/jobs/{job_id}')])


class JobCancel(ApiCommand):
    """Cancel a job."""

    name = 'job cancel'
    description = 'Cancel a job; its running tasks are stopped.'
    arguments = [argument('job_id', 'The id of the job.')]

    def run_checked(self) -> None:
        """Cancel the job."""
        job_id = self.argument('job_id')
        show_jobs(self, [self.send('DELETE', f'/v1/jobs/{job_id}')])


class JobList(ApiCommand):
    """List jobs."""

    name = 'job list'
    description = 'List jobs, of one team if you name it.'
    options = [*_API_OPTIONS, option('team', 't', 'Only its jobs.', flag=False)]

    def run_checked(self) -> None:
        """List the jobs."""
        team = self.option('team') or ''
        found = self.send('GET', f'/v1/jobs?team={team}')
        if self.wants_json():
            self.show_json(found)
        else:
            show_jobs(self, found['jobs'])
        warn_missing(self, found['missing'])


class Compare(ApiCommand):
    """Compare policies."""

    name = 'compare'
    description = 'Show how each policy on trial fared on the same load.'
    options = [
        *_API_OPTIONS,
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


def get_number(text: str, place: str = 'number') -> int:
    """Return a whole number from the command line."""
    try:
        return int(text)
    except ValueError as error:
        raise InputError(
            f'{place}: {text!r} is not a whole number', code='usage'
        ) from error


def show_bundle(command: ApiCommand, row: t.Mapping[str, t.Any]) -> None:
    """Print one bundle."""
    if command.wants_json():
        command.show_json(row)
        return
    command.line(f'bundle {row["number"]} is {row["state"]}')
    command.line(f'digest {row["digest"]}')


def show_jobs(
    command: ApiCommand, jobs: t.Sequence[t.Mapping[str, t.Any]]
) -> None:
    """Print jobs."""
    if command.wants_json():
        command.show_json(jobs)
        return
    counts = ('pending', 'assigned', 'done', 'failed', 'cancelled')
    rows = [
        (
            job['spec']['job_id'],
            job['spec']['team'],
            job['state'],
            *(job[f'{name}_count'] for name in counts),
        )
        for job in jobs
    ]
    command.show_rows(('job', 'team', 'state', *counts), rows)


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


def warn_missing(command: BaseCommand, missing: t.Sequence[str]) -> None:
    """Say which instances' figures are missing."""
    if missing:
        names = ', '.join(missing)
        command.line_error(f'without the figures of: {names}')


COMMANDS: t.Final = (
    SettingsCheck,
    KeyMake,
    BundleCheck,
    BundlePropose,
    BundleApprove,
    BundleRoll,
    BundleRetire,
    BundleShow,
    BundleList,
    JobSubmit,
    JobShow,
    JobCancel,
    JobList,
    Compare,
    Dump,
    Instances,
    Workers,
    Demo,
    CompletionsCommand,
)


def make_application() -> Application:
    """Return the command line with all its commands."""
    application = Application('tulippin', _VERSION)
    for command in COMMANDS:
        application.add(command())
    return application


def main() -> int:
    """Run ``tulippin``; return its exit code."""
    application = make_application()
    if sys.argv[1:] in (['--help'], ['-h']):
        return application.run(StringInput('list'))
    return application.run()
