"""Message bodies under the platform's own field names."""

from __future__ import annotations

import typing as t

import msgspec

RunningRow: t.TypeAlias = tuple[t.Any, ...]
# Above any clock and any count, and small enough that sums stay printable:
# Python refuses to convert integers of more than 4300 digits to text.
_Count: t.TypeAlias = t.Annotated[int, msgspec.Meta(ge=-(2**62), lt=2**62)]
EndedRow: t.TypeAlias = tuple[_Count, str, _Count, str, str]

# Paths of the calls to workers, and the header with the expected worker's id.
START_PATH: t.Final = '/v1/run-start'
STOP_PATH: t.Final = '/v1/run-stop'
PACE_PATH: t.Final = '/v1/pace'
HOLD_PATH: t.Final = '/v1/hold'
WORKER_HEADER: t.Final = 'Expected-Instance'

# A worker lists this many ends at once, those with the lowest numbers.
MAX_LISTED_ENDS: t.Final = 500

# Start of a worker's process in Unix milliseconds; 0 if it is not reported.
_UnixTime: t.TypeAlias = t.Annotated[int, msgspec.Meta(ge=0, lt=2**62)]

# Above the capacity of any machine; sums over all workers don't overflow.
_Amount: t.TypeAlias = t.Annotated[int, msgspec.Meta(ge=1, le=10**9)]
_OptionalAmount: t.TypeAlias = t.Annotated[int, msgspec.Meta(ge=0, le=10**6)]
_Name: t.TypeAlias = t.Annotated[str, msgspec.Meta(min_length=1)]
# A host name or an IPv6 address in brackets, and a port.
ADDRESS_PATTERN: t.Final = (
    r'^([A-Za-z0-9_-]{1,63}(\.[A-Za-z0-9_-]{1,63}){0,9}|'
    r'\[[0-9A-Fa-f:.]{2,45}\]):'
    '(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}'
    r'|[1-5][0-9]{4}|[1-9][0-9]{0,3})\Z'
)
_Address: t.TypeAlias = t.Annotated[str, msgspec.Meta(pattern=ADDRESS_PATTERN)]
# A larger version would block all later configurations.
_Version: t.TypeAlias = t.Annotated[int, msgspec.Meta(ge=0, lt=2**62)]
# An entry with any other state is invalid.
_WorkerState: t.TypeAlias = t.Literal['ready', 'draining']


class CapacityBody(msgspec.Struct, frozen=True):
    """Capacity of a worker: millicores, MiB and whole GPUs."""

    cpu: _Amount = msgspec.field(name='Cpu')
    memory_mb: _Amount = msgspec.field(name='MemMb')
    gpus: _OptionalAmount = msgspec.field(name='Gpus', default=0)


class StepBody(msgspec.Struct, frozen=True):
    """Step of a job; fields that are zero, false or empty may be omitted."""

    count: int = msgspec.field(name='Count')
    cpu: int = msgspec.field(name='Cpu', default=0)
    memory_mb: int = msgspec.field(name='MemMb', default=0)
    gpus: int = msgspec.field(name='Gpus', default=0)
    estimated_ms: float = msgspec.field(name='EstimatedMs', default=0)
    # Indexes of the earlier steps that it depends on.
    after: tuple[int, ...] = msgspec.field(name='AfterRevision', default=())
    checkpointing: bool = msgspec.field(name='Checkpointing', default=False)
    gang: bool = msgspec.field(name='Gang', default=False)
    same_rack: bool = msgspec.field(name='SameRack', default=False)
    # One label that its workers must have.
    requirements: str = msgspec.field(name='Requirements', default='')
    # The rack that holds its data.
    affinity: str = msgspec.field(name='Affinity', default='')
    # Maximum number of tasks of the step on one worker; 0 means no limit.
    anti_affinity: int = msgspec.field(name='AntiAffinity', default=0)
    allow_duplicates: bool = msgspec.field(
        name='AllowDuplicates', default=False
    )
    long_running: bool = msgspec.field(name='LongRunning', default=False)
    image: str = ''
    target_ms: float = 0
    opportunistic: bool = msgspec.field(name='fills', default=False)
    max_unavailable: int = msgspec.field(name='may_miss', default=0)


class JobBody(msgspec.Struct, frozen=True):
    """Job request of a caller."""

    spec: str = msgspec.field(name='Spec')
    steps: tuple[StepBody, ...] = msgspec.field(name='Steps')
    start_at_ms: int = msgspec.field(name='StartAtMs', default=0)
    interval_ms: int = msgspec.field(name='IntervalMs', default=0)
    repeat_count: int = msgspec.field(name='RepeatCount', default=0)


class StateBody(msgspec.Struct, frozen=True):
    """State of a job, as returned to a caller."""

    state: str = msgspec.field(name='State')


class WaitingBody(msgspec.Struct, frozen=True):
    """Number of waiting jobs of a queue."""

    waiting: int = msgspec.field(name='WaitingCount')


class ErrorBody(msgspec.Struct, frozen=True):
    """Reason for which a request failed."""

    error: str = msgspec.field(name='Error')


class RouteBody(msgspec.Struct, frozen=True):
    """Queue in the configuration."""

    name: str = msgspec.field(name='Name')
    host: str = msgspec.field(name='Host')
    prefix: str = msgspec.field(name='PathPrefix')
    service: str = msgspec.field(name='Service')
    priority: int = msgspec.field(name='Priority', default=0)
    max_attempts: int = msgspec.field(name='MaxAttempts', default=1)
    stretch: float = msgspec.field(name='Stretch', default=1.0)
    target_ms: float = msgspec.field(name='TargetLatencyMs', default=0)
    advice: dict[str, t.Any] | None = None


class ServiceBody(msgspec.Struct, frozen=True):
    """Pool of workers in the configuration."""

    name: str = msgspec.field(name='Name')
    enforces_capacity: bool = msgspec.field(
        name='EnforcesCapacity', default=False
    )
    spare: bool = msgspec.field(name='Spare', default=False)


class LimitsBody(msgspec.Struct, frozen=True):
    """Size limits of callers' requests."""

    body_bytes: int = msgspec.field(name='MaxBodyBytes', default=262144)
    header_bytes: int = msgspec.field(name='MaxHeaderBytes', default=65536)


class ConfigBody(msgspec.Struct, frozen=True):
    """The operators' configuration."""

    version: _Version = msgspec.field(name='Version')
    routes: tuple[RouteBody, ...] = msgspec.field(name='Routes', default=())
    services: tuple[ServiceBody, ...] = msgspec.field(
        name='Services', default=()
    )
    limits: LimitsBody = msgspec.field(name='Limits', default=LimitsBody())


class WorkerBody(msgspec.Struct, frozen=True, kw_only=True):
    """Entry that a worker writes into the worker list.

    Fields without a default are mandatory, also those that are not used here:
    an entry without one of them was not written by a worker.
    """

    service: _Name = msgspec.field(name='Service')
    address: _Address = msgspec.field(name='Address')
    zone: _Name = msgspec.field(name='Zone')
    version: str = msgspec.field(name='Version')
    slots: int = msgspec.field(name='Slots')
    state: _WorkerState = msgspec.field(name='State')
    cold_remaining_ms: float = msgspec.field(name='ColdRemainingMs')
    sequence: int = msgspec.field(name='Sequence')
    capacity: CapacityBody = msgspec.field(name='Capacity')
    # The kind of the worker, then its rack.
    labels: t.Annotated[tuple[str, ...], msgspec.Meta(min_length=1)] = (
        msgspec.field(name='Labels')
    )
    clock_ms: int = msgspec.field(name='ClockMs', default=0)
    # Minimum time until a draining worker leaves.
    remaining_ms: float = msgspec.field(name='RemainingMs', default=0)
    machine: str = ''
    born_ms: _UnixTime = msgspec.field(name='born', default=0)


class RowBody(msgspec.Struct, frozen=True):
    """Row of the store; a valid value is base64 text."""

    table: str = ''
    part: str = ''
    key: str = msgspec.field(name='Key', default='')
    value: t.Any = msgspec.field(name='Value', default='')
    version: int = msgspec.field(name='ver', default=0)
    gone: bool = False


class RowsBody(msgspec.Struct, frozen=True):
    """Page of rows, and the current version of the store."""

    rows: tuple[RowBody, ...] = ()
    more: bool = False
    version: int = msgspec.field(name='ver', default=0)
    now_ms: int = 0


class TransactionBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """Conditional write of several rows of one part."""

    # Rows with their required versions.
    expected: tuple[dict[str, t.Any], ...] = msgspec.field(
        name='ExpectedRevision', default=()
    )
    put: tuple[dict[str, t.Any], ...] = ()
    remove: tuple[dict[str, t.Any], ...] = msgspec.field(
        name='Remove', default=()
    )


class StartBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """Order to a worker to start a run."""

    task: str = msgspec.field(name='Task')
    run: int = msgspec.field(name='Run')
    spec: str = msgspec.field(name='Spec')
    deadline_ms: int = msgspec.field(name='DeadlineMs')
    fencing_token: int = msgspec.field(name='FencingToken')
    checkpoint: str = msgspec.field(name='Checkpoint', default='')
    ticket: str = msgspec.field(name='Ticket', default='')


class StopBody(msgspec.Struct, frozen=True):
    """Order to a worker to stop a run."""

    task: str = msgspec.field(name='Task')
    run: int = msgspec.field(name='Run')
    fencing_token: int = msgspec.field(name='FencingToken')


class PaceBody(msgspec.Struct, frozen=True):
    """Order to a worker to limit a run to a share of its speed."""

    task: str = msgspec.field(name='Task')
    run: int = msgspec.field(name='Run')
    percent: int
    fencing_token: int = msgspec.field(name='FencingToken')


class HoldBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """Request that extends a worker's lease and returns its report."""

    fencing_token: int = msgspec.field(name='FencingToken')
    # Ended runs up to this number are acknowledged; the worker may drop them.
    last_seen: int = msgspec.field(name='LastSeen', default=0)
    deadline_ms: int | None = msgspec.field(name='DeadlineMs', default=None)
    wait_ms: int = msgspec.field(name='WaitMs', default=0)


class AdviceRequestBody(msgspec.Struct, frozen=True):
    """Request to the advice service: which workers may run a step."""

    step: str = msgspec.field(name='Step')
    # Worker ids.
    workers: t.Sequence[str] = msgspec.field(name='Workers')


class AdviceBody(msgspec.Struct, frozen=True):
    """Response of the advice service: pairs of worker id and ticket."""

    good: tuple[tuple[str, str], ...] = ()
    valid_ms: int = 0


class WorkerAnswerBody(msgspec.Struct, frozen=True):
    """Response of a worker to any request."""

    clock_ms: _Count | None = msgspec.field(name='ClockMs', default=None)
    reason: str = msgspec.field(name='Reason', default='')
    # Rows of task, run, checkpoint, progress percent and load.
    running: tuple[RunningRow, ...] = msgspec.field(
        name='RunningCount', default=()
    )
    # Rows of number, task, run, outcome and checkpoint.
    ended: tuple[EndedRow, ...] = msgspec.field(name='EndedAt', default=())
    born_ms: _UnixTime = msgspec.field(name='born', default=0)
