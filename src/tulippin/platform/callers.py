"""Callers' calls and the readiness question, as the platform sends them."""

from __future__ import annotations

import re
import typing as t

import msgspec
import trio

from tulippin import failures
from tulippin._http_guard import INTERNAL_MESSAGE
from tulippin.exceptions import (
    AnswerLostError,
    Finding,
    InputError,
    UnavailableError,
)
from tulippin.jobs._row_checks import (
    LONGEST_MS,
    MOST_AMOUNT,
    MOST_TASKS,
    find_fault,
)
from tulippin.jobs.intake import LEAST_LIMIT_MS, JobIntake
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

_JOB_ID: t.Final = re.compile('[0-9a-fA-F]{16}')
_READY_PATH: t.Final = '/v1/ready'
_DEADLINE_HEADER: t.Final = b'deadline-ms'
# A caller that gives no deadline is taken to wait so long: the shortest
# deadline that the users' sheets give.
_DEFAULT_DEADLINE_MS: t.Final = 3000
# Above any deadline of the users' sheets; what is longer is waited for so
# long.
_LONGEST_DEADLINE_MS: t.Final = 3_600_000
_DEADLINE: t.Final = re.compile(b'(-?)0*([0-9]+)')
# A number of more digits is above any deadline, and not worth reading.
_DEADLINE_DIGITS: t.Final = 9
# Kept back of a deadline for the answer's way to the caller: 3 ms each
# way and a slow machine's scheduling. Of a short one, half of it.
_ANSWER_MS: t.Final = 300
_MS: t.Final = 1000
_SPEC_LIMIT_BYTES: t.Final = 4000
# Of tasks on one worker, or away at once; some callers write the largest
# number that they know for no bound.
_MOST_SPREAD: t.Final = 2**64
_BAD_REQUEST: t.Final = 400
# Whether a call was carried out is not known.
_UNKNOWN: t.Final = 504
_REFUSED: t.Final = 503
# Of what a caller sends, a log line takes so much.
_PATH_SIGNS: t.Final = 200
# A colon, a blank and a line's end around each header.
_HEADER_SIGNS: t.Final = 4
# When to come back after a refusal: a takeover takes about so long.
_RETRY_AFTER_S: t.Final = '1'
_STATES: t.Final = {state: state.value for state in JobState}

_job_decoder = msgspec.json.Decoder(JobBody)

Scope: t.TypeAlias = dict[str, t.Any]
Receive: t.TypeAlias = t.Callable[[], t.Awaitable[dict[str, t.Any]]]
Send: t.TypeAlias = t.Callable[[dict[str, t.Any]], t.Awaitable[None]]


class BodyTooLargeError(InputError):
    """A body is over the configured limit."""

    code = 'body_too_large'


class HeadersTooLargeError(InputError):
    """A call's headers are over the configured limit."""

    code = 'headers_too_large'


# The status of a refusal by what was wrong; anything else is a 400.
_REFUSAL_STATUSES: t.Final = {
    BodyTooLargeError: 413,
    HeadersTooLargeError: 431,
}


class _Bound(t.NamedTuple):
    """Between which figures a field of a body is, and the platform's name."""

    name: str
    field: str
    least: int
    most: int


_JOB_BOUNDS: t.Final = (
    _Bound('StartAtMs', 'start_at_ms', 0, LONGEST_MS),
    _Bound('IntervalMs', 'interval_ms', 0, LONGEST_MS),
    _Bound('RepeatCount', 'repeat_count', 0, MOST_TASKS),
)
_STEP_BOUNDS: t.Final = (
    _Bound('Count', 'count', 1, MOST_TASKS),
    _Bound('Cpu', 'cpu', 0, MOST_AMOUNT),
    _Bound('MemMb', 'memory_mb', 0, MOST_AMOUNT),
    _Bound('Gpus', 'gpus', 0, MOST_AMOUNT),
    _Bound('EstimatedMs', 'estimated_ms', 0, LONGEST_MS),
    _Bound('AntiAffinity', 'anti_affinity', 0, _MOST_SPREAD),
    _Bound('target_ms', 'target_ms', 0, LONGEST_MS),
    _Bound('may_miss', 'may_miss', 0, _MOST_SPREAD),
)


class Reply(t.NamedTuple):
    """An answer: its status, its body and whether to come back later."""

    status: int
    body: msgspec.Struct | None = None
    retry: bool = False


def decode_job(body: bytes) -> JobRequest:
    """Return a job as a caller sent it.

    Raises
    ------
    InputError
        With all findings, if it is not a job that could ever run.
    """
    try:
        wire = _job_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InputError(str(error), code='bad_job') from error
    findings = list(_check_job(wire))
    if findings:
        raise InputError('the job is refused', findings, code='bad_job')
    request = JobRequest(
        wire.spec,
        tuple(_decode_step(step) for step in wire.steps),
        Schedule(wire.start_at_ms, wire.interval_ms, wire.repeat_count),
    )
    # Its owner would pass over what its own check refuses, and a job that
    # was accepted would never run.
    fault = find_fault(request)
    if fault:
        raise InputError(f'the job is refused: {fault}', code='bad_job')
    return request


def _check_job(wire: JobBody) -> t.Iterator[Finding]:
    if len(wire.spec.encode()) > _SPEC_LIMIT_BYTES:
        yield Finding('Spec', 'is too long', f'{_SPEC_LIMIT_BYTES} bytes')
    if not wire.steps:
        yield Finding('Steps', 'is empty', 'give at least one step')
    yield from _check_figures('', wire, _JOB_BOUNDS)
    for number, step in enumerate(wire.steps):
        place = f'Steps[{number}]'
        yield from _check_figures(f'{place}.', step, _STEP_BOUNDS)
        if any(not 0 <= one < number for one in step.after):
            yield Finding(f'{place}.AfterRevision', 'names no earlier step')


def _check_figures(
    place: str, wire: msgspec.Struct, bounds: t.Iterable[_Bound]
) -> t.Iterator[Finding]:
    for bound in bounds:
        figure = getattr(wire, bound.field)
        if figure < bound.least:
            yield Finding(f'{place}{bound.name}', f'is below {bound.least}')
        if figure > bound.most:
            yield Finding(f'{place}{bound.name}', f'is above {bound.most}')


def _decode_time_ms(time_ms: float) -> int:
    """Return a time as a whole number; 0 says that there is none."""
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
        opportunistic=step.fills,
        max_unavailable=step.may_miss,
    )


class CallersApp:
    """An ASGI application: jobs for callers, readiness for the platform.

    Parameters
    ----------
    intake : JobIntake
        Takes the calls.
    get_unready : callable
        Returns why the instance is not ready, or an empty text.
    """

    def __init__(
        self, intake: JobIntake, get_unready: t.Callable[[], str]
    ) -> None:
        self._intake = intake
        self._get_unready = get_unready
        self.is_closing = False

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answer one call."""
        if scope['type'] != 'http':
            raise NotImplementedError(scope['type'])
        if scope['path'] == _READY_PATH:
            reply = Reply(_REFUSED if self._get_unready() else 200)
        else:
            reply = await self._answer_surely(scope, receive)
        await self._send(reply, send)

    async def _answer_surely(self, scope: Scope, receive: Receive) -> Reply:
        """Answer one call, also one that fails by a fault of ours.

        What was asked for may have been done. Its caller is told so, with the
        status after which it may ask again.
        """
        try:
            return await self._answer(scope, receive)
        except Exception as error:
            failures.tell(
                'call failed',
                error,
                method=scope['method'],
                path=scope['path'][:_PATH_SIGNS],
            )
            text = f'internal: {INTERNAL_MESSAGE}'
            return Reply(_UNKNOWN, ErrorBody(text), retry=True)

    async def _send(self, reply: Reply, send: Send) -> None:
        body = b'' if reply.body is None else msgspec.json.encode(reply.body)
        headers = [
            (b'content-type', b'application/json'),
            (b'content-length', str(len(body)).encode()),
        ]
        if reply.retry:
            headers.append((b'retry-after', _RETRY_AFTER_S.encode()))
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

    async def _answer(self, scope: Scope, receive: Receive) -> Reply:
        headers = dict(scope['headers'])
        configuration = self._intake.shell.configuration
        if configuration is None:
            return Reply(
                _REFUSED, ErrorBody('no configuration yet'), retry=True
            )
        host = headers.get(b'host', b'').decode('latin-1').partition(':')[0]
        queue = configuration.find_queue(host, scope['path'])
        if queue is None:
            return Reply(404, ErrorBody('no such queue'))
        job_id = scope['path'].removeprefix(queue.path_prefix).strip('/')
        limit_ms = read_limit_ms(headers)
        if limit_ms < LEAST_LIMIT_MS:
            return _give_up(
                job_id, _REFUSED, 'not run: too little time is left'
            )
        try:
            with trio.fail_after(limit_ms / _MS):
                _check_headers(scope, configuration.max_header_bytes)
                body = await _read_body(receive, configuration.max_body_bytes)
                return await self._dispatch(
                    scope['method'], job_id, queue, body, limit_ms
                )
        except InputError as error:
            return _refuse_input(job_id, error)
        except UnavailableError as error:
            # Only what surely was not done may be refused.
            is_open = isinstance(error, AnswerLostError)
            return _give_up(
                job_id, _UNKNOWN if is_open else _REFUSED, error.message
            )
        except trio.TooSlowError:
            return _give_up(job_id, _UNKNOWN, 'out of time')

    async def _dispatch(
        self,
        method: str,
        job_id: str,
        queue: Queue,
        body: bytes,
        limit_ms: int,
    ) -> Reply:
        intake = self._intake
        if not job_id:
            if method != 'GET':
                return Reply(405, ErrorBody('a queue can only be read'))
            return Reply(200, WaitingBody(intake.count_waiting(queue)))
        if not _JOB_ID.fullmatch(job_id):
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
        return Reply(200, StateBody(_STATES[state]))


def _refuse_input(job_id: str, error: InputError) -> Reply:
    status = _REFUSAL_STATUSES.get(type(error), _BAD_REQUEST)
    text = '; '.join(
        [error.message, *(finding.render() for finding in error.findings)]
    )
    logger.info('call refused', job=job_id, status=status, reason=text)
    return Reply(status, ErrorBody(f'{error.code}: {text}'))


def _give_up(job_id: str, status: int, reason: str) -> Reply:
    logger.warning('call given up', job=job_id, status=status, reason=reason)
    return Reply(status, ErrorBody(reason), retry=True)


def _check_headers(scope: Scope, limit_bytes: int) -> None:
    """Refuse a call whose headers, as they are sent, exceed a limit."""
    sent_bytes = sum(
        len(name) + len(value) + _HEADER_SIGNS
        for name, value in scope['headers']
    )
    if sent_bytes > limit_bytes:
        raise HeadersTooLargeError(
            f'{sent_bytes} bytes of headers, {limit_bytes} are allowed'
        )


def read_limit_ms(headers: t.Mapping[bytes, bytes]) -> int:
    """Return for how long a call may be worked on; 0 if its time is over.

    A text that is no whole number counts as none.
    """
    match = _DEADLINE.fullmatch(headers.get(_DEADLINE_HEADER, b''))
    deadline_ms = _DEFAULT_DEADLINE_MS
    if match is not None:
        deadline_ms = _decode_deadline_ms(*match.groups())
    return deadline_ms - min(_ANSWER_MS, -(-deadline_ms // 2))


def _decode_deadline_ms(sign: bytes, digits: bytes) -> int:
    if sign:
        return 0
    if len(digits) > _DEADLINE_DIGITS:
        return _LONGEST_DEADLINE_MS
    return min(int(digits), _LONGEST_DEADLINE_MS)


async def _read_body(receive: Receive, limit_bytes: int) -> bytes:
    body = b''
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise InputError('the caller left', code='caller_left')
        body += message.get('body', b'')
        if len(body) > limit_bytes:
            raise BodyTooLargeError(f'over {limit_bytes} bytes')
        if not message.get('more_body', False):
            return body
