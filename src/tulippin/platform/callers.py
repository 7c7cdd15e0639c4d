"""ASGI application that serves callers' requests and the readiness check."""

from __future__ import annotations

import contextlib
import functools
import itertools
import math
import re
import typing as t

import msgspec
import trio

from tulippin import failures
from tulippin._body_budget import BodyBudget
from tulippin._http_guard import INTERNAL_MESSAGE
from tulippin.exceptions import (
    AnswerLostError,
    Finding,
    InputError,
    OverloadedError,
    UnavailableError,
)
from tulippin.jobs._record_validation import (
    MAX_AMOUNT,
    MAX_DURATION_MS,
    MAX_TASKS,
    find_fault,
)
from tulippin.jobs._write_bounds import CallRejectedError, Reason
from tulippin.jobs.intake import MIN_TIME_LIMIT_MS, JobIntake
from tulippin.jobs.types import (
    JobRequest,
    JobState,
    Queue,
    Schedule,
    Step,
)
from tulippin.logs import logger
from tulippin.platform.wire import (
    ErrorBody,
    JobBody,
    StateBody,
    StepBody,
    WaitingBody,
)
from tulippin.types import Resources

_JOB_ID_PATTERN: t.Final = re.compile('[0-9a-fA-F]{16}')
_READY_PATH: t.Final = '/v1/ready'
_DEADLINE_HEADER: t.Final = b'deadline-ms'
# Deadline of a request without one: the shortest deadline in use.
_DEFAULT_DEADLINE_MS: t.Final = 3000
# Longer deadlines are cut to this value, which is above any deadline in use.
_MAX_DEADLINE_MS: t.Final = 3_600_000
_DEADLINE_PATTERN: t.Final = re.compile(b'(-?)0*([0-9]+)')
# A number with more digits is above the maximum and is not parsed.
_MAX_DEADLINE_DIGITS: t.Final = 9
# Part of a deadline that is reserved for returning the reply: 3 ms of network
# latency each way, and scheduling delays on a slow machine. A short deadline
# reserves half of itself.
_MAX_REPLY_RESERVE_MS: t.Final = 300
_MS_PER_S: t.Final = 1000
_MAX_SPEC_BYTES: t.Final = 4000
# Limit of tasks per worker and of unavailable tasks; some callers send the
# largest integer of their language for "unlimited".
_MAX_COUNT_LIMIT: t.Final = 2**64
_BAD_REQUEST: t.Final = 400
# The request may or may not have been carried out.
_OUTCOME_UNKNOWN: t.Final = 504
_UNAVAILABLE: t.Final = 503
_OVERLOADED: t.Final = 429
_MAX_LOGGED_PATH_CHARS: t.Final = 200
# A job of many steps may be wrong in thousands of places.
_MAX_FINDINGS: t.Final = 20
# The colon, the space and the CRLF of each header line.
_HEADER_OVERHEAD_BYTES: t.Final = 4
# About the duration of a takeover.
_RETRY_AFTER_S: t.Final = 1
_STATE_NAMES: t.Final = {state: state.value for state in JobState}

_job_decoder = msgspec.json.Decoder(JobBody)

Scope: t.TypeAlias = dict[str, t.Any]
Receive: t.TypeAlias = t.Callable[[], t.Awaitable[dict[str, t.Any]]]
Send: t.TypeAlias = t.Callable[[dict[str, t.Any]], t.Awaitable[None]]


class BodyTooLargeError(InputError):
    """The request body exceeds the configured limit."""

    code = 'body_too_large'


class HeadersTooLargeError(InputError):
    """The request headers exceed the configured limit."""

    code = 'headers_too_large'


# Other input errors get status 400.
_INPUT_ERROR_STATUSES: t.Final = {
    BodyTooLargeError: 413,
    HeadersTooLargeError: 431,
}


class _FieldRange(t.NamedTuple):
    """Range of a numeric body field, and the platform's name of the field."""

    name: str
    field: str
    minimum: int
    maximum: int


_JOB_RANGES: t.Final = (
    _FieldRange('StartAtMs', 'start_at_ms', 0, MAX_DURATION_MS),
    _FieldRange('IntervalMs', 'interval_ms', 0, MAX_DURATION_MS),
    _FieldRange('RepeatCount', 'repeat_count', 0, MAX_TASKS),
)
_STEP_RANGES: t.Final = (
    _FieldRange('Count', 'count', 1, MAX_TASKS),
    _FieldRange('Cpu', 'cpu', 0, MAX_AMOUNT),
    _FieldRange('MemMb', 'memory_mb', 0, MAX_AMOUNT),
    _FieldRange('Gpus', 'gpus', 0, MAX_AMOUNT),
    _FieldRange('EstimatedMs', 'estimated_ms', 0, MAX_DURATION_MS),
    _FieldRange('AntiAffinity', 'anti_affinity', 0, _MAX_COUNT_LIMIT),
    _FieldRange('target_ms', 'target_ms', 0, MAX_DURATION_MS),
    _FieldRange('may_miss', 'max_unavailable', 0, _MAX_COUNT_LIMIT),
)


class Reply(t.NamedTuple):
    """Reply to a request; 0 in `retry_after_s` stands for no such header."""

    status: int
    body: msgspec.Struct | None = None
    retry_after_s: int = 0


class _Call(t.NamedTuple):
    """The job that a request names, and when it must be answered."""

    job_id: str
    deadline_s: float


def decode_job(body: bytes) -> JobRequest:
    """Decode and validate a job request.

    Raises
    ------
    InputError
        With the first findings, if the job is invalid.
    """
    try:
        job_body = _job_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InputError(str(error), code='bad_job') from error
    findings = list(itertools.islice(_check_job(job_body), _MAX_FINDINGS))
    if findings:
        raise InputError('the job is refused', findings, code='bad_job')
    request = JobRequest(
        job_body.spec,
        tuple(_decode_step(step) for step in job_body.steps),
        Schedule(
            job_body.start_at_ms,
            job_body.interval_ms,
            job_body.repeat_count,
        ),
    )
    # The owner skips rows that fail this check, so that the accepted job would
    # never run.
    fault = find_fault(request)
    if fault:
        raise InputError(f'the job is refused: {fault}', code='bad_job')
    return request


def _check_job(job_body: JobBody) -> t.Iterator[Finding]:
    """Yield a finding for each invalid field of a job."""
    if len(job_body.spec.encode()) > _MAX_SPEC_BYTES:
        yield Finding('Spec', 'is too long', f'{_MAX_SPEC_BYTES} bytes')
    if not job_body.steps:
        yield Finding('Steps', 'is empty', 'give at least one step')
    yield from _check_ranges('', job_body, _JOB_RANGES)
    for number, step in enumerate(job_body.steps):
        path = f'Steps[{number}]'
        yield from _check_ranges(f'{path}.', step, _STEP_RANGES)
        if any(not 0 <= index < number for index in step.after):
            yield Finding(f'{path}.AfterRevision', 'names no earlier step')


def _check_ranges(
    path: str, body: msgspec.Struct, ranges: t.Iterable[_FieldRange]
) -> t.Iterator[Finding]:
    for allowed in ranges:
        value = getattr(body, allowed.field)
        if value < allowed.minimum:
            yield Finding(
                f'{path}{allowed.name}', f'is below {allowed.minimum}'
            )
        if value > allowed.maximum:
            yield Finding(
                f'{path}{allowed.name}', f'is above {allowed.maximum}'
            )


def _decode_time_ms(time_ms: float) -> int:
    """Convert a duration to whole milliseconds, at least 1; 0 means absent."""
    return max(1, int(time_ms)) if time_ms else 0


def _decode_step(step: StepBody) -> Step:
    return Step(
        task_count=step.count,
        size=Resources(step.cpu, step.memory_mb, step.gpus),
        estimated_ms=_decode_time_ms(step.estimated_ms),
        after=step.after,
        checkpointing=step.checkpointing,
        gang=step.gang,
        same_rack=step.same_rack,
        required_label=step.requirements,
        preferred_rack=step.affinity,
        max_per_worker=step.anti_affinity,
        allow_duplicates=step.allow_duplicates,
        long_running=step.long_running,
        image=step.image,
        target_ms=_decode_time_ms(step.target_ms),
        opportunistic=step.opportunistic,
        max_unavailable=step.max_unavailable,
    )


class CallersApp:
    """ASGI application for callers' job requests and the readiness check.

    Parameters
    ----------
    intake : JobIntake
        Submits, cancels and looks up jobs.
    get_unready : callable
        Returns why the instance is not ready, or an empty string.
    """

    def __init__(
        self, intake: JobIntake, get_unready: t.Callable[[], str]
    ) -> None:
        self._intake = intake
        self._get_unready_reason = get_unready
        self.is_closing = False
        self._ends_s = math.inf
        self._request_scopes: set[trio.CancelScope] = set()
        self._bodies = BodyBudget()

    def close_by(self, ends_s: float) -> None:
        """Answer all requests by a time of trio's clock, and close connections.

        Callers get a whole answer also where the instance ends before their
        deadlines.
        """
        self.is_closing = True
        self._ends_s = ends_s
        for scope in self._request_scopes:
            scope.deadline = min(scope.deadline, ends_s)

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Handle one HTTP request."""
        if scope['type'] != 'http':
            raise NotImplementedError(scope['type'])
        if scope['path'] == _READY_PATH:
            reply = Reply(_UNAVAILABLE if self._get_unready_reason() else 200)
        else:
            reply = await self._handle_or_report(scope, receive)
        await self._send(reply, send)

    async def _handle_or_report(self, scope: Scope, receive: Receive) -> Reply:
        """Handle a request; turn an unexpected error into a 504 reply.

        The operation may have been carried out before the error, which 504
        says to the caller; it may retry.
        """
        try:
            return await self._handle(scope, receive)
        except Exception as error:
            failures.tell(
                'call failed',
                error,
                method=scope['method'],
                path=scope['path'][:_MAX_LOGGED_PATH_CHARS],
            )
            text = f'internal: {INTERNAL_MESSAGE}'
            return Reply(_OUTCOME_UNKNOWN, ErrorBody(text), _RETRY_AFTER_S)

    async def _send(self, reply: Reply, send: Send) -> None:
        body = b'' if reply.body is None else msgspec.json.encode(reply.body)
        headers = [
            (b'content-type', b'application/json'),
            (b'content-length', str(len(body)).encode()),
        ]
        if reply.retry_after_s:
            text = str(reply.retry_after_s)
            headers.append((b'retry-after', text.encode()))
        if self.is_closing:
            headers.append((b'connection', b'close'))
        await send(
            {
                'type': 'http.response.start',
                'status': reply.status,
                'headers': headers,
            }
        )
        await send({'type': 'http.response.body', 'body': body})

    async def _handle(self, scope: Scope, receive: Receive) -> Reply:
        """Find the queue, check deadline and headers, and run the request."""
        headers = dict(scope['headers'])
        configuration = self._intake.shell.configuration
        if configuration is None:
            return Reply(
                _UNAVAILABLE, ErrorBody('no configuration yet'), _RETRY_AFTER_S
            )
        host = headers.get(b'host', b'').decode('latin-1').partition(':')[0]
        queue = configuration.find_queue(host, scope['path'])
        if queue is None:
            return Reply(404, ErrorBody('no such queue'))
        job_id = scope['path'].removeprefix(queue.path_prefix).strip('/')
        left_ms = (self._ends_s - trio.current_time()) * _MS_PER_S
        limit_ms = int(min(read_limit_ms(headers), left_ms))
        call = _Call(job_id, trio.current_time() + limit_ms / _MS_PER_S)
        if limit_ms < MIN_TIME_LIMIT_MS:
            error = CallRejectedError(
                'not run: too little time is left', Reason.TOO_LITTLE_TIME
            )
            return self._reply_unavailable(error, call)
        has_begun = False
        try:
            with self._limit_time(limit_ms):
                _check_headers(scope, configuration.max_header_bytes)
                body = await _read_body(receive, configuration.max_body_bytes)
                async with self._bodies.admit(len(body)):
                    has_begun = True
                    left_s = call.deadline_s - trio.current_time()
                    return await self._dispatch(
                        scope['method'],
                        job_id,
                        queue,
                        body,
                        int(left_s * _MS_PER_S),
                    )
        except InputError as error:
            return _reply_invalid(job_id, error)
        except UnavailableError as error:
            return self._reply_unavailable(error, call)
        except trio.TooSlowError:
            return self._reply_unavailable(_make_late_error(has_begun), call)

    @functools.singledispatchmethod
    def _reply_unavailable(self, error: UnavailableError, call: _Call) -> Reply:
        """Return the reply for an operation that can't be completed now.

        503 is only for operations that were definitely not carried out.
        """
        return self._give_up(call, _UNAVAILABLE, error)

    @_reply_unavailable.register
    def _(self, error: AnswerLostError, call: _Call) -> Reply:
        return self._give_up(call, _OUTCOME_UNKNOWN, error)

    @_reply_unavailable.register
    def _(self, error: CallRejectedError, call: _Call) -> Reply:
        return self._give_up(call, _UNAVAILABLE, error, error.retry_after_s)

    @_reply_unavailable.register
    def _(self, error: OverloadedError, call: _Call) -> Reply:
        """Return the reply for a job whose rejection has been logged."""
        body = ErrorBody(error.message)
        return Reply(_OVERLOADED, body, error.retry_after_s)

    def _give_up(
        self,
        call: _Call,
        status: int,
        error: UnavailableError,
        retry_after_s: int = _RETRY_AFTER_S,
    ) -> Reply:
        """Log a request that can't be completed; ask its caller to retry."""
        left_s = call.deadline_s - trio.current_time()
        self._intake.count_given_up(error)
        logger.warning(
            'call given up',
            job=call.job_id[:_MAX_LOGGED_PATH_CHARS],
            status=status,
            reason=error.message,
            left_ms=round(left_s * _MS_PER_S),
            response_ms=self._intake.get_response_ms(),
            retry_after_s=retry_after_s,
        )
        return Reply(status, ErrorBody(error.message), retry_after_s)

    @contextlib.contextmanager
    def _limit_time(self, limit_ms: int) -> t.Iterator[None]:
        """Raise ``trio.TooSlowError`` at a time limit, or at the end."""
        with trio.fail_after(limit_ms / _MS_PER_S) as scope:
            self._request_scopes.add(scope)
            try:
                yield
            finally:
                self._request_scopes.discard(scope)

    async def _dispatch(
        self,
        method: str,
        job_id: str,
        queue: Queue,
        body: bytes,
        limit_ms: int,
    ) -> Reply:
        """Run the operation that method and path ask for.

        Raises
        ------
        InputError
            If the job id or the body is invalid.
        UnavailableError
            If the operation can't be completed now.
        """
        intake = self._intake
        if not job_id:
            if method != 'GET':
                return Reply(405, ErrorBody('a queue can only be read'))
            return Reply(200, WaitingBody(intake.count_waiting(queue)))
        if not _JOB_ID_PATTERN.fullmatch(job_id):
            raise InputError('an id is 16 hex digits', code='bad_id')
        if method == 'POST':
            request = decode_job(body)
            await intake.submit(job_id, queue, request, limit_ms)
            return Reply(200)
        if method == 'DELETE':
            found = await intake.cancel(job_id, queue, limit_ms)
            return Reply(200 if found else 410)
        if method != 'GET':
            return Reply(405, ErrorBody('use POST, GET or DELETE'))
        state = await intake.get_state(job_id)
        if state is None:
            logger.info('job not found', job=job_id, queue=queue.name)
            return Reply(410, ErrorBody('no such job'))
        return Reply(200, StateBody(_STATE_NAMES[state]))


def _make_late_error(has_begun: bool) -> UnavailableError:
    """Return the error for a request that ran out of time."""
    if has_begun:
        return AnswerLostError('out of time')
    return CallRejectedError(
        'not run: the request was not complete in time', Reason.TOO_LITTLE_TIME
    )


def _reply_invalid(job_id: str, error: InputError) -> Reply:
    """Log an invalid request and return its reply."""
    status = _INPUT_ERROR_STATUSES.get(type(error), _BAD_REQUEST)
    text = '; '.join(
        [error.message, *(finding.render() for finding in error.findings)]
    )
    logger.info(
        'call refused',
        job=job_id[:_MAX_LOGGED_PATH_CHARS],
        status=status,
        reason=text,
    )
    return Reply(status, ErrorBody(f'{error.code}: {text}'))


def _check_headers(scope: Scope, limit_bytes: int) -> None:
    """Check the size of the headers as they are on the wire.

    Raises
    ------
    HeadersTooLargeError
        If they exceed the limit.
    """
    sent_bytes = sum(
        len(name) + len(value) + _HEADER_OVERHEAD_BYTES
        for name, value in scope['headers']
    )
    if sent_bytes > limit_bytes:
        raise HeadersTooLargeError(
            f'{sent_bytes} bytes of headers, {limit_bytes} are allowed'
        )


def read_limit_ms(headers: t.Mapping[bytes, bytes]) -> int:
    """Return how long a request may be processed; at most 0 if it is late.

    A deadline header that is not an integer is ignored.
    """
    match = _DEADLINE_PATTERN.fullmatch(headers.get(_DEADLINE_HEADER, b''))
    deadline_ms = _DEFAULT_DEADLINE_MS
    if match is not None:
        deadline_ms = _decode_deadline_ms(*match.groups())
    return deadline_ms - min(_MAX_REPLY_RESERVE_MS, -(-deadline_ms // 2))


def _decode_deadline_ms(sign: bytes, digits: bytes) -> int:
    if sign:
        return 0
    if len(digits) > _MAX_DEADLINE_DIGITS:
        return _MAX_DEADLINE_MS
    return min(int(digits), _MAX_DEADLINE_MS)


async def _read_body(receive: Receive, limit_bytes: int) -> bytes:
    body = bytearray()
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise InputError('the caller left', code='caller_left')
        body += message.get('body', b'')
        if len(body) > limit_bytes:
            raise BodyTooLargeError(f'over {limit_bytes} bytes')
        if not message.get('more_body', False):
            return bytes(body)
