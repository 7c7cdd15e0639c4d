"""What is kept in the store: jobs, their progress, and who owns them."""

from __future__ import annotations

import typing as t
import zlib

import attrs

from tulippin.jobs.types import JobRequest, JobState, Queue

UNITS_TABLE: t.Final = 'units'
LEASE_KEY: t.Final = 'lease'
EPOCH_KEY: t.Final = 'epoch'
ROSTER_KEY: t.Final = 'roster'
CANCEL_SUFFIX: t.Final = '/cancel'
# The store carries out a part's writes one after the other, and a write of
# a store that is slow takes 0.3 s. Accepted and cancelled jobs are spread
# over so many parts, away from the owner's own writes.
_JOBS_PARTS: t.Final = 8


@attrs.frozen
class Unit:
    """A set of workers with the jobs homed there; one instance owns it."""

    number: int = 0

    @property
    def part(self) -> str:
        """The part that holds the rows which only the owner writes."""
        return f'u{self.number}'

    @property
    def jobs_parts(self) -> tuple[str, ...]:
        """The parts that hold accepted and cancelled jobs."""
        return tuple(f'{self.part}.{number}' for number in range(_JOBS_PARTS))

    def get_jobs_part(self, job_id: str) -> str:
        """Return the part that holds a job's row and that of its cancel."""
        return self.jobs_parts[zlib.crc32(job_id.encode()) % _JOBS_PARTS]

    @property
    def jobs_table(self) -> str:
        """The table of accepted and of cancelled jobs."""
        return f'jobs{self.number}'

    @property
    def progress_table(self) -> str:
        """The table of what jobs have done."""
        return f'progress{self.number}'


@attrs.frozen
class LeaseRecord:
    """The owner's sign of life; observers time its changes themselves.

    ``waiting`` counts the accepted jobs of each queue with no task begun.
    """

    session_id: str
    instance_id: str
    renewal_count: int = 0
    released: bool = False
    waiting: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen
class EpochRecord:
    """Who owns the unit; the epoch is its fencing token."""

    epoch: int
    session_id: str


@attrs.frozen
class RosterRecord:
    """Workers, by id, on which the owner's orders may still have effect."""

    addresses: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen
class JobRecord:
    """An accepted job, with its queue as it was configured then."""

    queue: Queue
    request: JobRequest


@attrs.frozen
class CancelRecord:
    """Says that a caller cancelled the job."""

    queue_name: str


@attrs.frozen
class ProgressRecord:
    """What is durable of a job's run.

    Parameters
    ----------
    state : JobState
        As shown to callers.
    done : dict
        For each occurrence and step, as ``K.STEP``, the tasks that are
        done: bits of a hexadecimal number.
    failures : dict
        Numbers of failed runs by task, as ``K.STEP.INDEX``; a worker may
        list an end again to the next owner.
    """

    state: JobState
    done: dict[str, str] = attrs.field(factory=dict)
    failures: dict[str, list[int]] = attrs.field(factory=dict)
