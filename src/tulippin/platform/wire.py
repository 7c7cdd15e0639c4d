"""Bodies as the platform spells them."""

from __future__ import annotations

import typing as t

import msgspec

RunningRow: t.TypeAlias = tuple[t.Any, ...]
# Far above any clock and any count, with room for what is added to it: a
# number of more than 4300 digits can't even be written.
_Count: t.TypeAlias = t.Annotated[int, msgspec.Meta(ge=-(2**62), lt=2**62)]
EndedRow: t.TypeAlias = tuple[_Count, str, _Count, str, str]

# Far above any machine, and far below what sums over all workers may reach.
_Amount: t.TypeAlias = t.Annotated[int, msgspec.Meta(ge=1, le=10**9)]
_AmountOrNone: t.TypeAlias = t.Annotated[int, msgspec.Meta(ge=0, le=10**6)]
_Name: t.TypeAlias = t.Annotated[str, msgspec.Meta(min_length=1)]
# A host's name or an IPv6 address in brackets, and a port.
ADDRESS_PATTERN: t.Final = (
    r'^([A-Za-z0-9_-]{1,63}(\.[A-Za-z0-9_-]{1,63}){0,9}|'
    r'\[[0-9A-Fa-f:.]{2,45}\]):'
    '(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}'
    r'|[1-5][0-9]{4}|[1-9][0-9]{0,3})\Z'
)
_Address: t.TypeAlias = t.Annotated[str, msgspec.Meta(pattern=ADDRESS_PATTERN)]
# Above any of these no newer configuration would ever come.
_Version: t.TypeAlias = t.Annotated[int, msgspec.Meta(ge=0, lt=2**62)]
# The states that the platform names; an entry with another one is foreign.
_WorkerState: t.TypeAlias = t.Literal['ready', 'draining']


class RoomBody(msgspec.Struct, frozen=True):
    """What a worker holds: thousandths of a core, MiB, whole GPUs."""

    cpu: _Amount = msgspec.field(name='Cpu')
    memory_mb: _Amount = msgspec.field(name='MemMb')
    gpus: _AmountOrNone = msgspec.field(name='Gpus', default=0)


class StepBody(msgspec.Struct, frozen=True):
    """A step of a job; what is zero, false or empty may be left out."""

    count: int = msgspec.field(name='Count')
    cpu: int = msgspec.field(name='Cpu', default=0)
    memory_mb: int = msgspec.field(name='MemMb', default=0)
    gpus: int = msgspec.field(name='Gpus', default=0)
    estimated_ms: float = msgspec.field(name='EstimatedMs', default=0)
    # Numbers of earlier steps, not a revision of anything.
    after: tuple[int, ...] = msgspec.field(name='AfterRevision', default=())
    checkpointing: bool = msgspec.field(name='Checkpointing', default=False)
    gang: bool = msgspec.field(name='Gang', default=False)
    same_rack: bool = msgspec.field(name='SameRack', default=False)
    # One label.
    requirements: str = msgspec.field(name='Requirements', default='')
    # The rack where the data lies.
    affinity: str = msgspec.field(name='Affinity', default='')
    # The most tasks of the step on one worker.
    anti_affinity: int = msgspec.field(name='AntiAffinity', default=0)
    allow_duplicates: bool = msgspec.field(
        name='AllowDuplicates', default=False
    )
    long_running: bool = msgspec.field(name='LongRunning', default=False)
    image: str = ''
    target_ms: float = 0
    fills: bool = False
    may_miss: int = 0


class JobBody(msgspec.Struct, frozen=True):
    """A job as a caller sends it."""

    spec: str = msgspec.field(name='Spec')
    steps: tuple[StepBody, ...] = msgspec.field(name='Steps')
    start_at_ms: int = msgspec.field(name='StartAtMs', default=0)
    interval_ms: int = msgspec.field(name='IntervalMs', default=0)
    repeat_count: int = msgspec.field(name='RepeatCount', default=0)


class StateBody(msgspec.Struct, frozen=True):
    """A job's state."""

    state: str = msgspec.field(name='State')


class WaitingBody(msgspec.Struct, frozen=True):
    """How many of a queue's jobs wait."""

    waiting: int = msgspec.field(name='WaitingCount')


class ErrorBody(msgspec.Struct, frozen=True):
    """Why a call was refused."""

    error: str = msgspec.field(name='Error')


class RouteBody(msgspec.Struct, frozen=True):
    """A queue of the configuration."""

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
    """A pool of workers."""

    name: str = msgspec.field(name='Name')
    enforces_capacity: bool = msgspec.field(
        name='EnforcesCapacity', default=False
    )
    spare: bool = msgspec.field(name='Spare', default=False)


class LimitsBody(msgspec.Struct, frozen=True):
    """Limits on what callers send."""

    body_bytes: int = msgspec.field(name='MaxBodyBytes', default=262144)
    header_bytes: int = msgspec.field(name='MaxHeaderBytes', default=65536)


class ConfigBody(msgspec.Struct, frozen=True):
    """The operators' configuration in full."""

    version: _Version = msgspec.field(name='Version')
    routes: tuple[RouteBody, ...] = msgspec.field(name='Routes', default=())
    services: tuple[ServiceBody, ...] = msgspec.field(
        name='Services', default=()
    )
    limits: LimitsBody = msgspec.field(name='Limits', default=LimitsBody())


class WorkerBody(msgspec.Struct, frozen=True, kw_only=True):
    """A worker's own entry in the list.

    Every worker writes all fields without a default, also those that are
    not used here: an entry that lacks one is not a worker's.
    """

    service: _Name = msgspec.field(name='Service')
    address: _Address = msgspec.field(name='Address')
    zone: _Name = msgspec.field(name='Zone')
    version: str = msgspec.field(name='Version')
    slots: int = msgspec.field(name='Slots')
    state: _WorkerState = msgspec.field(name='State')
    cold_remaining_ms: float = msgspec.field(name='ColdRemainingMs')
    sequence: int = msgspec.field(name='Sequence')
    room: RoomBody = msgspec.field(name='Capacity')
    # Its kind, then its rack.
    labels: t.Annotated[tuple[str, ...], msgspec.Meta(min_length=1)] = (
        msgspec.field(name='Labels')
    )
    clock_ms: int = msgspec.field(name='ClockMs', default=0)
    # The least time until a draining worker goes.
    remaining_ms: float = msgspec.field(name='RemainingMs', default=0)
    machine: str = ''


class RowBody(msgspec.Struct, frozen=True):
    """A row of the store; the value is in base64 if it is the store's."""

    table: str = ''
    part: str = ''
    key: str = msgspec.field(name='Key', default='')
    value: t.Any = msgspec.field(name='Value', default='')
    version: int = msgspec.field(name='ver', default=0)
    gone: bool = False


class RowsBody(msgspec.Struct, frozen=True):
    """Rows, and the store's newest version."""

    rows: tuple[RowBody, ...] = ()
    more: bool = False
    version: int = msgspec.field(name='ver', default=0)
    now_ms: int = 0


class TransactionBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """A transaction."""

    # Rows with the versions that they must have.
    expected: tuple[dict[str, t.Any], ...] = msgspec.field(
        name='ExpectedRevision', default=()
    )
    put: tuple[dict[str, t.Any], ...] = ()
    remove: tuple[dict[str, t.Any], ...] = msgspec.field(
        name='Remove', default=()
    )


class StartBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """An order to start a run."""

    task: str = msgspec.field(name='Task')
    run: int = msgspec.field(name='Run')
    spec: str = msgspec.field(name='Spec')
    deadline_ms: int = msgspec.field(name='DeadlineMs')
    fencing_token: int = msgspec.field(name='FencingToken')
    checkpoint: str = msgspec.field(name='Checkpoint', default='')
    ticket: str = msgspec.field(name='Ticket', default='')


class StopBody(msgspec.Struct, frozen=True):
    """An order to stop a run."""

    task: str = msgspec.field(name='Task')
    run: int = msgspec.field(name='Run')
    fencing_token: int = msgspec.field(name='FencingToken')


class PaceBody(msgspec.Struct, frozen=True):
    """An order to let a run work at a share of its speed."""

    task: str = msgspec.field(name='Task')
    run: int = msgspec.field(name='Run')
    percent: int
    fencing_token: int = msgspec.field(name='FencingToken')


class HoldBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """Extends a worker's lease and asks what it runs."""

    fencing_token: int = msgspec.field(name='FencingToken')
    # Ends up to this number are taken note of, and may be forgotten.
    last_seen: int = msgspec.field(name='LastSeen', default=0)
    deadline_ms: int | None = msgspec.field(name='DeadlineMs', default=None)
    wait_ms: int = msgspec.field(name='WaitMs', default=0)


class QuestionBody(msgspec.Struct, frozen=True):
    """Asks which of some workers may run a step."""

    step: str = msgspec.field(name='Step')
    # Ids of workers.
    workers: t.Sequence[str] = msgspec.field(name='Workers')


class AdviceBody(msgspec.Struct, frozen=True):
    """Rows of worker and ticket, for those that may."""

    good: tuple[tuple[str, str], ...] = ()
    valid_ms: int = 0


class WorkerAnswerBody(msgspec.Struct, frozen=True):
    """A worker's answer to any order."""

    clock_ms: _Count | None = msgspec.field(name='ClockMs', default=None)
    reason: str = msgspec.field(name='Reason', default='')
    # Rows, not a count: task, run, checkpoint, percent, load.
    running: tuple[RunningRow, ...] = msgspec.field(
        name='RunningCount', default=()
    )
    # Rows, not a time: number, task, run, how, checkpoint.
    ended: tuple[EndedRow, ...] = msgspec.field(name='EndedAt', default=())
