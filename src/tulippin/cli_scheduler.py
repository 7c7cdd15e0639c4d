"""Commands that show the state of a running scheduler instance."""

from __future__ import annotations

import typing as t

from cleo.helpers import argument

from tulippin.cli_base import ApiCommand
from tulippin.exceptions import InputError

# Views of the internal listener, and the key of the rows in the response.
_ROW_KEYS: t.Final = {
    'units': 'units',
    'lives': 'lives',
    'jobs': 'jobs',
    'queues': 'queues',
    'workers': 'workers',
    'model': 'pairs',
}


class SchedulerShow(ApiCommand):
    """Show one view of a scheduler instance."""

    name = 'scheduler show'
    description = 'Show one view of a scheduler, such as units, lives or jobs.'
    arguments = [argument('view', f'One of: {", ".join(_ROW_KEYS)}.')]

    def run_command(self) -> None:
        """Show the view."""
        view = self.argument('view')
        if view not in _ROW_KEYS:
            known = ', '.join(_ROW_KEYS)
            raise InputError(f'{view}: one of {known}', code='usage')
        response = self.send('GET', f'/v1/{view}')
        if self.wants_json():
            self.show_json(response)
            return
        rows = response[_ROW_KEYS[view]]
        if not rows:
            self.line(f'no {view}')
            return
        columns = list(rows[0])
        self.show_rows(
            columns, [[row[column] for column in columns] for row in rows]
        )


class SchedulerJob(ApiCommand):
    """Show one job with its runs."""

    name = 'scheduler job'
    description = 'Show a job with its runs, from the instance that owns it.'
    arguments = [argument('job', "The job's id.")]

    def run_command(self) -> None:
        """Show the job."""
        self.show_json(self.send('GET', f'/v1/jobs/{self.argument("job")}'))
