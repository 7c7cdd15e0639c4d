"""Placement policies, and the interference model that one of them uses.

A policy ranks the workers that are feasible for a task. Feasibility
(capacity, lease, epoch, leaving) is checked by the callers, and no policy
can override it.
"""

from __future__ import annotations

import functools
import random
import typing as t

import attrs

from tulippin.types import JobKind, JobSpec, Resources

if t.TYPE_CHECKING:
    from tulippin.ini import SectionReader


_MAX_CLASSES: t.Final = 32
# Limits of weights from peers, far above any learned slowdown or sample count.
_MAX_SHARED_WEIGHT: t.Final = 1e6
_MAX_SHARED_SAMPLES: t.Final = 1e6


@attrs.frozen
class Policy:
    """Base of all policies."""


@attrs.frozen
class RandomPolicy(Policy):
    """Picks any feasible worker."""


@attrs.frozen
class LeastLoadedPolicy(Policy):
    """Picks the worker with the lowest load."""


@attrs.frozen
class BestFitPolicy(Policy):
    """Picks the worker with the highest load."""


@attrs.frozen
class InterferencePolicy(Policy):
    """Picks the worker where services and batch slow each other least.

    Parameters
    ----------
    load_weight : float
        Weight of a worker's load relative to the predicted slowdown.
    explore_share : float
        Probability that a candidate gets a random score, so that samples
        of all combinations are gathered.
    throttle_ratio : float
        Service latency over target at which batch is throttled.
    evict_ratio : float
        Service latency over target at which batch is evicted.
    """

    load_weight: float = 0.2
    explore_share: float = 0.005
    throttle_ratio: float = 1.2
    evict_ratio: float = 2.5


POLICY_KINDS: t.Final[dict[str, type[Policy]]] = {
    'random': RandomPolicy,
    'least_loaded': LeastLoadedPolicy,
    'best_fit': BestFitPolicy,
    'interference': InterferencePolicy,
}


def make_policy(kind: str, reader: SectionReader) -> Policy:
    """Return the policy of a kind, with the settings of its section."""
    policy_type = POLICY_KINDS[kind]
    keys = {
        field.name: reader.get_float(field.name, field.default, 0)
        for field in attrs.fields(policy_type)
    }
    return policy_type(**keys)


@attrs.frozen
class Candidate:
    """A feasible worker as a policy sees it.

    ``services`` and ``batch`` count the running attempts by job class.
    """

    worker_id: str
    capacity: Resources
    free: Resources
    services: t.Mapping[str, int]
    batch: t.Mapping[str, int]


def compute_load(candidate: Candidate) -> float:
    """Return the larger of the used shares of processors and memory."""
    capacity = candidate.capacity
    cpu = 1 - candidate.free.cpu_millicores / max(1, capacity.cpu_millicores)
    memory = 1 - candidate.free.memory_mb / max(1, capacity.memory_mb)
    return max(cpu, memory)


@attrs.define
class InterferenceModel:
    """Learned slowdown of services by batch classes.

    The weight of a service and a batch class is the slowdown that each
    task of the class adds. A sample is attributed to the tasks that ran at
    the time of its measurement by normalized least mean squares, so that
    a class does not get the slowdown of its neighbours. Sample counts
    decay by ``forget``.
    """

    prior: float = 0.05
    prior_count: float = 4.0
    step: float = 0.25
    forget: float = 0.999
    weights: dict[str, float] = attrs.field(factory=dict)
    sample_counts: dict[str, float] = attrs.field(factory=dict)
    shared: dict[str, dict[str, tuple[float, float]]] = attrs.field(
        factory=dict
    )
    shared_sums: dict[str, tuple[float, float]] = attrs.field(factory=dict)

    def get_weight(self, service: str, batch_class: str) -> float:
        """Return the slowdown that one task of a batch class adds.

        Own and shared samples are averaged by their counts and shrunk towards
        the prior while there are few.
        """
        key = f'{service}|{batch_class}'
        count = self.sample_counts.get(key, 0.0)
        learned = self.weights.get(key, self.prior)
        shared_sum, shared_count = self.shared_sums.get(key, (0.0, 0.0))
        total = learned * count + shared_sum + self.prior * self.prior_count
        return total / (count + shared_count + self.prior_count)

    def store_shared(
        self, session_id: str, entries: t.Iterable[tuple[str, float, float]]
    ) -> int:
        """Store the weights that another instance shares.

        They replace its earlier weights for the same keys.

        Returns the number of rejected entries. Out of range values are
        rejected because a negative sample count could make the sum of the
        counts, which weights are divided by, zero.
        """
        source_weights = self.shared.setdefault(session_id, {})
        rejected_count = 0
        for key, weight, count in entries:
            is_valid_weight = 0 <= weight <= _MAX_SHARED_WEIGHT
            if not is_valid_weight or not 0 <= count <= _MAX_SHARED_SAMPLES:
                rejected_count += 1
                continue
            old_weight, old_count = source_weights.get(key, (0.0, 0.0))
            total, total_count = self.shared_sums.get(key, (0.0, 0.0))
            self.shared_sums[key] = (
                total - old_weight * old_count + weight * count,
                total_count - old_count + count,
            )
            source_weights[key] = (weight, count)
        return rejected_count

    def remove_shared(self, session_id: str) -> None:
        """Remove the weights shared by an instance that has ended."""
        source_weights = self.shared.pop(session_id, {})
        for key, (weight, count) in source_weights.items():
            total, total_count = self.shared_sums[key]
            self.shared_sums[key] = (
                total - weight * count,
                total_count - count,
            )

    def iter_classes(self) -> list[str]:
        """Return the batch classes that have own or shared weights."""
        keys = {*self.weights, *self.shared_sums}
        return sorted({key.partition('|')[2] for key in keys})[:_MAX_CLASSES]

    def iter_learned(self) -> t.Iterator[tuple[str, float, float]]:
        """Yield the keys, weights and sample counts of this instance."""
        for key, count in self.sample_counts.items():
            yield key, self.weights[key], count

    def predict(self, service: str, batch: t.Mapping[str, int]) -> float:
        """Return the expected slowdown factor of a service, 1.0 meaning none.

        ``batch`` gives the number of tasks beside the service by batch class.
        """
        return 1 + sum(
            self.get_weight(service, name) * count
            for name, count in batch.items()
        )

    def learn(
        self, service: str, batch: t.Mapping[str, int], slowdown: float
    ) -> None:
        """Update the weights with one measured slowdown of a service.

        ``batch`` gives the number of tasks that ran then by batch class.
        """
        norm = sum(count * count for count in batch.values())
        if not norm:
            return
        error = (
            slowdown
            - 1
            - sum(
                self.weights.get(f'{service}|{name}', self.prior) * count
                for name, count in batch.items()
            )
        )
        for name, count in batch.items():
            key = f'{service}|{name}'
            old = self.weights.get(key, self.prior)
            self.weights[key] = max(0, old + self.step * error * count / norm)
            seen = self.sample_counts.get(key, 0.0)
            self.sample_counts[key] = seen * self.forget + 1


@functools.singledispatch
def score(
    policy: Policy,
    spec: JobSpec,
    candidate: Candidate,
    model: InterferenceModel,
    random_source: random.Random,
) -> float:
    """Return a policy's score of a candidate; the lowest score wins."""
    raise NotImplementedError(type(policy))


@score.register
def _(
    policy: RandomPolicy,
    spec: JobSpec,
    candidate: Candidate,
    model: InterferenceModel,
    random_source: random.Random,
) -> float:
    return random_source.random()


@score.register
def _(
    policy: LeastLoadedPolicy,
    spec: JobSpec,
    candidate: Candidate,
    model: InterferenceModel,
    random_source: random.Random,
) -> float:
    return compute_load(candidate)


@score.register
def _(
    policy: BestFitPolicy,
    spec: JobSpec,
    candidate: Candidate,
    model: InterferenceModel,
    random_source: random.Random,
) -> float:
    return -compute_load(candidate)


@score.register
def _(
    policy: InterferencePolicy,
    spec: JobSpec,
    candidate: Candidate,
    model: InterferenceModel,
    random_source: random.Random,
) -> float:
    if random_source.random() < policy.explore_share:
        return random_source.random() * policy.load_weight
    load = compute_load(candidate) * policy.load_weight
    if spec.kind is JobKind.SERVICE:
        return load + model.predict(spec.job_class, candidate.batch) - 1
    harm = sum(
        model.get_weight(service, spec.job_class) * count
        for service, count in candidate.services.items()
    )
    return load + harm


def choose_candidate(
    policy: Policy,
    spec: JobSpec,
    candidates: t.Sequence[Candidate],
    model: InterferenceModel,
    random_source: random.Random,
) -> Candidate | None:
    """Return the candidate with the lowest score, if there is any."""
    if not candidates:
        return None
    return min(
        candidates,
        key=lambda candidate: score(
            policy, spec, candidate, model, random_source
        ),
    )
