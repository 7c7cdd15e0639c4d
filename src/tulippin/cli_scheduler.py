"""Commands that show a running scheduler on the users' platform."""

from __future__ import annotations

import typing as t

from cleo.helpers import argument

from tulippin.cli_base import ApiCommand
from tulippin.exceptions import InputError

# The views of the internal listener, with the key of their rows.
_VIEWS: t.Final = {
    'units': 'units',
    'lives': 'lives',
    'jobs': 'jobs',
    'queues': 'queues',
    'workers': 'workers',
    'model': 'pairs',
}


class SchedulerShow(ApiCommand):
    """Show one view of a scheduler."""

    name = 'scheduler show'
    description = 'Show one view of a scheduler, such as units, lives or jobs.'
    arguments = [argument('view', f'One of: {", ".join(_VIEWS)}.')]

    def run_checked(self) -> None:
        """Show the view."""
        view = self.argument('view')
        if view not in _VIEWS:
            known = ', '.join(_VIEWS)
            raise InputError(f'{view}: one of {known}', code='usage')
        found = self.send('GET', f'/v1/{view}')
        if self.wants_json():
            self.show_json(found)
            return
        rows = found[_VIEWS[view]]
        if not rows:
            self.line(f'no {view}')
            return
        heads = list(rows[0])
        self.show_rows(heads, [[row[head] for head in heads] for row in rows])


class SchedulerJob(ApiCommand):
    """Show one job with its runs."""

    name = 'scheduler job'
    description = 'Show a job with its runs, from the instance that owns it.'
    arguments = [argument('job', "The job's id.")]

    def run_checked(self) -> None:
        """Show the job."""
        self.show_json(self.send('GET', f'/v1/jobs/{self.argument("job")}'))
