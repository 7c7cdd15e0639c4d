"""Durable records: what a session's journal keeps for its units."""

from __future__ import annotations

import attrs

from tulippin.types import JobSpec, OutcomeKind, Resources, TaskOutcome


@attrs.frozen
class TaskRef:
    """One attempt at one task, and the range that is its home."""

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
    """A job is taken on; it will be run."""

    spec: JobSpec
    digest: str
    accepted_ms: int = 0


@attrs.frozen
class JobCancelled:
    """A caller withdrew a job."""

    job_id: str


@attrs.frozen
class JobForgotten:
    """A finished job's row has passed its retention."""

    job_id: str


@attrs.frozen
class TaskAssigned:
    """A home gave an attempt to a cell, for that epoch of the cell only."""

    job_id: str
    index: int
    attempt: int
    cell: str
    cell_epoch: int


@attrs.frozen
class TaskReturned:
    """An attempt came back; its checkpoint and the next attempt are one."""

    job_id: str
    index: int
    attempt: int
    outcome: TaskOutcome
    checkpoint: str = ''


@attrs.frozen
class AttemptPlaced:
    """A cell gave an attempt to a worker and reserved room for it."""

    task: TaskRef
    spec: JobSpec
    worker_id: str
    incarnation: str
    reserved: Resources
    checkpoint: str = ''
    policy: str = ''


@attrs.frozen
class AttemptEnded:
    """An attempt no longer runs and will never run again."""

    task_id: str
    attempt: int
    outcome: TaskOutcome
    checkpoint: str = ''


@attrs.frozen
class AttemptForgotten:
    """The home has the outcome of an attempt; the cell may drop it."""

    task_id: str
    attempt: int


@attrs.frozen
class RequestOpened:
    """A non-repeatable request is about to be sent, once ever.

    ``ticket`` tells one opening of an id from another in the same
    session: only the ticket that opened it may send it.
    """

    request_id: str
    digest: str
    ticket: int
    opened_ms: int = 0


@attrs.frozen
class RequestClosed:
    """How a non-repeatable request ended."""

    request_id: str
    outcome: OutcomeKind
    status: int = 0
    body: str = ''


@attrs.frozen
class RequestForgotten:
    """A request's row has passed its retention."""

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
    """A record with the unit and epoch that it belongs to."""

    unit: str
    epoch: int
    record: Record
