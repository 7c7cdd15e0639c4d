"""Decides which opportunistic runs pause so that missed targets are met.

Costs and gains have one unit: the value that an opportunistic job earns with a
core-second if it completes in time. A missed target costs its users value for
as long as it is expected to last; a run that pauses costs what its job earns by
it. As with an error budget, the expectation is a burn rate over the last
seconds: a short miss is tolerated, and a lasting one pauses the runs that
cause it for the least value. A hard limit does not depend on the model.
"""

from __future__ import annotations

import typing as t

import attrs

from tulippin.jobs.types import TaskKey

RunId: t.TypeAlias = tuple[TaskKey, int]

# Loss by a task over its target, relative to the value of a task that serves.
_MISS_COST_MULTIPLE: t.Final = 4.0
# Value of a reserved core-second of a long-running task. These tasks reserve
# more processors than they use, so each reserved one serves fewer users than
# one that a job keeps busy.
_SERVING_VALUE_RATIO: t.Final = 0.4
# Window of the burn rate. A miss that lasts for a whole window is expected to
# last for as long again.
_BURN_WINDOW_MS: t.Final = 2000
# Time that a pause of all runs needs until the targets are met: a tick of
# 100 ms, a lost order that is sent again after 400 ms, 100 ms until the pace
# is in force, and up to 1,200 ms until a tail has recovered.
_LIMIT_RESERVE_MS: t.Final = 1800
# Time before that pause at which the runs that the model names are paused,
# whatever they are worth, so that the others need not pause: a pace and a
# report after it.
_FORCED_LEAD_MS: t.Final = 600
# A miss is over once its target was met for this long, two readings at least:
# a tail just above its target reads as below it now and then.
_RECOVERY_MS: t.Final = 700
# Time for which a target must be met before a run that disturbs it resumes:
# two readings, which are at least 280 ms apart.
_RESUME_MET_MS: t.Final = 280
# The same where the model never expects enough slack.
_LONG_MET_MS: t.Final = 1500
# Maximum share of the neighbours' total contribution that a miss requires to
# be removed; an observed excess may exceed what the model attributes to them.
_MAX_RELIEF_SHARE: t.Final = 0.9
# Maximum value of a core-second of a job that is nearly complete, relative to
# the mean of the job.
_MAX_COMPLETION_FACTOR: t.Final = 4.0
# Keeps the ratio of relief to gain finite, and orders runs of no value.
_MIN_GAIN: t.Final = 1e-3
_MILLICORES_PER_CORE: t.Final = 1000


def compute_cost(reserved_millicores: int, burn_rate: float) -> float:
    """Return the expected loss per second by a task over its target."""
    cores = reserved_millicores / _MILLICORES_PER_CORE
    return _MISS_COST_MULTIPLE * _SERVING_VALUE_RATIO * cores * burn_rate


def compute_gain(
    millicores: int, outcome_value: float, total_work: float, left_work: float
) -> float:
    """Return what a job earns per second by one of its runs.

    Parameters
    ----------
    millicores : int
        Processors of the run.
    outcome_value : float
        Value of the job's best outcome, relative to completion in time.
    total_work, left_work : float
        Work of the job in core-milliseconds, 0 if not known. All of its value
        depends on the work that is left.
    """
    factor = 1.0
    if total_work > 0:
        factor = min(total_work / max(left_work, 1.0), _MAX_COMPLETION_FACTOR)
    return outcome_value * factor * millicores / _MILLICORES_PER_CORE


@attrs.define
class Miss:
    """A target that was missed a moment ago.

    ``since_ms`` is the earliest time at which the miss may have begun,
    ``met_since_ms`` the first reading that met the target again, or 0.
    ``is_open`` says that the last reading missed the target. In between, the
    tail falls, but the one that users see is still over the target.
    ``burn_rate`` is the share of the last seconds that the miss took.
    """

    image: str
    since_ms: int
    met_since_ms: int = 0
    is_open: bool = True
    burn_rate: float = 0.0


@attrs.frozen
class Shed:
    """A run that is paused, and what its job loses by it per second.

    ``is_cause`` says that the model attributes the miss to it.
    """

    gain: float
    is_cause: bool


@attrs.define
class HarmBudget:
    """Missed targets on a worker, and the runs that pause for them.

    ``read_ms`` is the time of the last reading, ``shed_ms`` that of the last
    pause, ``exposed_ms`` when an opportunistic run last ran there.
    ``is_all_paused`` says that a miss lasted until all runs paused, and
    that some still do which the model does not take for its cause.
    """

    misses: dict[RunId, Miss] = attrs.field(factory=dict)
    shed: dict[RunId, Shed] = attrs.field(factory=dict)
    read_ms: int = 0
    shed_ms: int = 0
    exposed_ms: int = 0
    is_all_paused: bool = False

    def reset(self) -> None:
        """Drop all misses and pauses, as no run can cause a miss."""
        self.misses.clear()
        self.shed.clear()
        self.read_ms = 0
        self.shed_ms = 0
        self.is_all_paused = False

    def record(
        self,
        missed: t.Mapping[RunId, str],
        now_ms: int,
        exposed_ms: int,
        *,
        falling: t.Collection[RunId] = (),
    ) -> int:
        """Record a reading of all tails on the worker.

        Parameters
        ----------
        missed : mapping of RunId to str
            The tasks over their targets, with their images.
        now_ms : int
            When the reading arrived.
        exposed_ms : int
            The earliest time at which a miss may have begun, if this is the
            first reading. Otherwise a miss may have begun right after the last
            reading, which covers reports that arrive late.
        falling : collection of RunId
            Tasks that will meet their targets by their current tails, while
            the smoothed ones are still over them.

        Returns
        -------
        int
            The time since the last reading, or 0 for the first one.
        """
        elapsed_ms = now_ms - self.read_ms if self.read_ms else 0
        since_ms = self.read_ms or min(exposed_ms, now_ms)
        burnt = elapsed_ms / _BURN_WINDOW_MS
        for run_id, image in missed.items():
            miss = self.misses.get(run_id)
            if miss is None:
                miss = self.misses[run_id] = Miss(image, since_ms)
                miss.burn_rate = (now_ms - since_ms) / _BURN_WINDOW_MS
            else:
                miss.burn_rate += burnt
            miss.burn_rate = min(1.0, miss.burn_rate)
            miss.met_since_ms = 0
            miss.is_open = True
        for run_id in self.misses.keys() - missed.keys():
            self.misses[run_id].is_open = False
            if run_id not in falling:
                self._record_met(run_id, now_ms, burnt)
        self.read_ms = now_ms
        return elapsed_ms

    def _record_met(self, run_id: RunId, now_ms: int, burnt: float) -> None:
        miss = self.misses[run_id]
        miss.met_since_ms = miss.met_since_ms or now_ms
        miss.burn_rate = max(0.0, miss.burn_rate - burnt)
        if now_ms - miss.met_since_ms >= _RECOVERY_MS:
            del self.misses[run_id]

    def get_longest_ms(self, now_ms: int) -> int:
        """Return how long the oldest open miss may have lasted."""
        return max(
            (
                now_ms - miss.since_ms
                for miss in self.misses.values()
                if miss.is_open
            ),
            default=0,
        )

    def must_pause_all(self, now_ms: int, limit_ms: int) -> bool:
        """Whether all runs have to pause so that no miss reaches the limit."""
        longest_ms = self.get_longest_ms(now_ms)
        return longest_ms > 0 and longest_ms >= limit_ms - _LIMIT_RESERVE_MS

    def refuses_runs(self, now_ms: int, limit_ms: int) -> bool:
        """Whether no new run may start beside the tasks on the worker.

        A miss nears the limit, or its cause is not known and paused runs
        resume one after the other.
        """
        return self.is_all_paused or any(
            miss.is_open and self.is_forced(run_id, now_ms, limit_ms)
            for run_id, miss in self.misses.items()
        )

    def is_forced(self, run_id: RunId, now_ms: int, limit_ms: int) -> bool:
        """Whether a miss has to end, whatever the runs that cause it earn."""
        lasted_ms = now_ms - self.misses[run_id].since_ms
        return lasted_ms >= limit_ms - _LIMIT_RESERVE_MS - _FORCED_LEAD_MS

    def list_disturbed(self, now_ms: int) -> set[str]:
        """Return the images whose targets the last two readings don't meet."""
        return {
            miss.image
            for miss in self.misses.values()
            if now_ms - (miss.met_since_ms or now_ms) < _RESUME_MET_MS
        }


@attrs.frozen
class Need:
    """Excess by which the targets of an image are missed on a worker.

    ``cost`` is the expected loss per second. With ``is_forced`` the miss has
    to end at any price.
    """

    image: str
    excess: float
    cost: float
    is_forced: bool = False


@attrs.frozen
class Neighbour:
    """An opportunistic run, its gain per second, and the excess it causes.

    ``excesses`` leaves out the images that the run does not disturb. With
    ``ends_soon`` it ends about when a pause would take effect.
    """

    run_id: RunId
    gain: float
    excesses: t.Mapping[str, float]
    ends_soon: bool = False


@attrs.frozen
class Shedding:
    """The runs to pause, the loss per second that ends, and their gain."""

    neighbours: tuple[Neighbour, ...] = ()
    cost: float = 0.0
    gain: float = 0.0
    forced_count: int = 0

    @property
    def rank(self) -> tuple[int, float]:
        """The sort key of alternatives; the highest is the best."""
        return self.forced_count, self.cost - self.gain


def choose_shed(
    needs: t.Sequence[Need], neighbours: t.Sequence[Neighbour]
) -> Shedding:
    """Choose the runs to pause.

    Runs are taken by the relief for the least gain, until the targets are
    expected to be met. Of these choices the one with the highest value counts,
    which may be to pause none. A run that ends soon is left to end.
    """
    left = _limit_needs(needs, neighbours)
    candidates = [
        one
        for one in neighbours
        if not (one.ends_soon or left.keys().isdisjoint(one.excesses))
    ]
    best = Shedding()
    chosen: list[Neighbour] = []
    while candidates and any(excess > 0 for excess in left.values()):
        found = _find_cheapest(candidates, needs, left)
        candidates.remove(found)
        chosen.append(found)
        for image in left.keys() & found.excesses.keys():
            left[image] -= found.excesses[image]
        option = _evaluate(chosen, needs, left)
        if option.rank > best.rank:
            best = option
    return best


def _find_cheapest(
    candidates: t.Sequence[Neighbour],
    needs: t.Sequence[Need],
    left: t.Mapping[str, float],
) -> Neighbour:
    """Return the run whose pause gives the most relief for its gain."""
    return max(
        candidates,
        key=lambda one: (
            _compute_relief(one, needs, left) / max(one.gain, _MIN_GAIN)
        ),
    )


def _limit_needs(
    needs: t.Sequence[Need], neighbours: t.Sequence[Neighbour]
) -> dict[str, float]:
    """Return the excess to remove by image, as far as runs can remove it."""
    left: dict[str, float] = {}
    for need in needs:
        total = sum(one.excesses.get(need.image, 0.0) for one in neighbours)
        ending = sum(
            one.excesses.get(need.image, 0.0)
            for one in neighbours
            if one.ends_soon
        )
        wanted = min(need.excess, _MAX_RELIEF_SHARE * total) - ending
        if wanted > 0:
            left[need.image] = wanted
    return left


def _compute_relief(
    neighbour: Neighbour, needs: t.Sequence[Need], left: t.Mapping[str, float]
) -> float:
    """Return the share of all costs that a run's pause contributes to end."""
    relief = 0.0
    for need in needs:
        useful = min(
            neighbour.excesses.get(need.image, 0.0), left.get(need.image, 0.0)
        )
        if useful > 0:
            relief += max(need.cost, _MIN_GAIN) * useful / need.excess
    return relief


def _evaluate(
    chosen: t.Sequence[Neighbour],
    needs: t.Sequence[Need],
    left: t.Mapping[str, float],
) -> Shedding:
    """Return a choice with the cost of the misses that it ends."""
    met = [need for need in needs if left.get(need.image, 1.0) <= 0]
    return Shedding(
        tuple(chosen),
        sum(need.cost for need in met),
        sum(one.gain for one in chosen),
        sum(need.is_forced for need in met),
    )


def choose_resumed(
    paused: t.Sequence[Neighbour],
    slack: t.Mapping[str, float],
    disturbed: t.Collection[str],
    *,
    running_count: int,
    ignores_slack: bool = False,
) -> list[RunId]:
    """Return the paused runs that resume.

    Runs that the model expects to disturb no image pause only if it has not
    named the cause of a miss. They resume once all targets are met, at most as
    many at once as already run, so that a wrong estimate shows. Of the others
    one resumes, the one with the highest gain for the share of slack that it
    uses up, so that the next reading shows its effect.

    Parameters
    ----------
    paused : sequence of Neighbour
        The runs that are paused.
    slack : mapping of str to float
        Further excess that each image tolerates.
    disturbed : collection of str
        Images whose targets were missed a moment ago.
    running_count : int
        The number of runs that are not paused.
    ignores_slack : bool
        Whether the tails have long been low, whatever the model expects.
    """
    harmless = [one.run_id for one in paused if not one.excesses]
    harmless = [] if disturbed else harmless[: running_count + 1]
    allowed = [
        one
        for one in paused
        if one.excesses
        and one.excesses.keys().isdisjoint(disturbed)
        and (ignores_slack or _fits_slack(one, slack))
    ]
    if not allowed:
        return harmless
    best = max(allowed, key=lambda one: one.gain / sum(one.excesses.values()))
    return [*harmless, best.run_id]


def _fits_slack(neighbour: Neighbour, slack: t.Mapping[str, float]) -> bool:
    """Whether all images tolerate a run at full pace."""
    return all(
        excess <= slack.get(image, 0.0)
        for image, excess in neighbour.excesses.items()
    )


def has_long_met(met_since_ms: int, now_ms: int) -> bool:
    """Whether all targets have been met for long enough to ignore the model."""
    return met_since_ms > 0 and now_ms - met_since_ms >= _LONG_MET_MS
