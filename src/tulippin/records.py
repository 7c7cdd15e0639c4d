"""Durable records that a session writes to its journal for its units."""

from __future__ import annotations

import attrs

from tulippin.types import JobSpec, OutcomeKind, Resources, TaskOutcome


@attrs.frozen
class TaskRef:
    """Reference to one attempt at a task, with the job's home range."""

    job_id: str
    index: int
    attempt: int
    home: str

    @property
    def task_id(self) -> str:
        """Return the id of the task, the same for all its attempts."""
        return f'{self.job_id}/{self.index}'


@attrs.frozen
class JobAccepted:
    """A job was accepted."""

    spec: JobSpec
    digest: str
    accepted_ms: int = 0


@attrs.frozen
class JobCancelled:
    """A job was cancelled by a caller."""

    job_id: str


@attrs.frozen
class JobForgotten:
    """A finished job was removed after its retention."""

    job_id: str


@attrs.frozen
class TaskAssigned:
    """A home assigned an attempt to a cell, for one epoch of the cell."""

    job_id: str
    index: int
    attempt: int
    cell: str
    cell_epoch: int


@attrs.frozen
class TaskReturned:
    """An attempt ended and was returned to its home.

    Its outcome and its checkpoint are recorded together, so that the next
    attempt starts from that checkpoint.
    """

    job_id: str
    index: int
    attempt: int
    outcome: TaskOutcome
    checkpoint: str = ''


@attrs.frozen
class AttemptPlaced:
    """A cell placed an attempt on a worker and reserved capacity for it."""

    task: TaskRef
    spec: JobSpec
    worker_id: str
    incarnation: str
    reserved: Resources
    checkpoint: str = ''
    policy: str = ''


@attrs.frozen
class AttemptEnded:
    """An attempt ended or was lost; it cannot run any more."""

    task_id: str
    attempt: int
    outcome: TaskOutcome
    checkpoint: str = ''


@attrs.frozen
class AttemptForgotten:
    """A cell removed an ended attempt whose outcome its home has recorded."""

    task_id: str
    attempt: int


@attrs.frozen
class RequestOpened:
    """A non-repeatable request is about to be sent for the only time.

    ``ticket`` distinguishes several openings of one id in a session: only
    the ticket of this opening may send the request.
    """

    request_id: str
    digest: str
    ticket: int
    opened_ms: int = 0


@attrs.frozen
class RequestClosed:
    """A non-repeatable request ended with an outcome."""

    request_id: str
    outcome: OutcomeKind
    status: int = 0
    body: str = ''


@attrs.frozen
class RequestForgotten:
    """A request was removed after its retention."""

    request_id: str


Record = (
    JobAccepted
    | JobCancelled
    | JobForgotten
    | TaskAssigned
    | TaskReturned
    | AttemptPlaced
    | AttemptEnded
    | AttemptForgotten
    | RequestOpened
    | RequestClosed
    | RequestForgotten
)


@attrs.frozen
class UnitRecord:
    """A record with its unit and the epoch of the unit's owner."""

    unit: str
    epoch: int
    record: Record
