"""Commands for jobs."""

from __future__ import annotations

import typing as t

from cleo.helpers import argument, option

from tulippin.cli_base import (
    API_OPTIONS,
    ApiCommand,
    parse_int,
    warn_missing,
)
from tulippin.exceptions import InputError
from tulippin.types import JobKind, JobSpec, Resources

_MS_PER_S: t.Final = 1000


class JobSubmit(ApiCommand):
    """Submit a job."""

    name = 'job submit'
    description = 'Submit a job; the same id again is the same job.'
    arguments = [argument('job_id', 'An id that you choose.')]
    options = [
        *API_OPTIONS,
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

    def run_command(self) -> None:
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
            run_s * _MS_PER_S,
            self._get_int('priority'),
        )
        show_jobs(self, [self.send('POST', '/v1/jobs', body)])

    def _get_kind(self) -> str:
        kind = str(self.option('kind'))
        if kind not in {'batch', 'service'}:
            raise InputError(f'--kind {kind}: batch or service', code='usage')
        return kind

    def _get_int(self, name: str) -> int:
        return parse_int(str(self.option(name)), f'--{name}')


class JobShow(ApiCommand):
    """Show a job."""

    name = 'job show'
    description = 'Show a job.'
    arguments = [argument('job_id', 'The id of the job.')]

    def run_command(self) -> None:
        """Show the job."""
        job_id = self.argument('job_id')
        show_jobs(self, [self.send('GET', f'/v1/jobs/{job_id}')])


class JobCancel(ApiCommand):
    """Cancel a job."""

    name = 'job cancel'
    description = 'Cancel a job; its running tasks are stopped.'
    arguments = [argument('job_id', 'The id of the job.')]

    def run_command(self) -> None:
        """Cancel the job."""
        job_id = self.argument('job_id')
        show_jobs(self, [self.send('DELETE', f'/v1/jobs/{job_id}')])


class JobList(ApiCommand):
    """List jobs."""

    name = 'job list'
    description = 'List jobs, of one team if you name it.'
    options = [*API_OPTIONS, option('team', 't', 'Only its jobs.', flag=False)]

    def run_command(self) -> None:
        """List the jobs."""
        team = self.option('team') or ''
        response = self.send('GET', f'/v1/jobs?team={team}')
        if self.wants_json():
            self.show_json(response)
        else:
            show_jobs(self, response['jobs'])
        warn_missing(self, response['missing'])


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
