"""Placement policies: they rank workers that are feasible already.

Feasibility (capacity, lease, epoch, leaving) is decided elsewhere and
no policy can switch it off.
"""

from __future__ import annotations

import functools
import random
import typing as t

import attrs

from tulippin.types import JobKind, JobSpec, Resources

if t.TYPE_CHECKING:
    from tulippin.ini import SectionReader


_CLASS_LIMIT: t.Final = 32
# Far above what is learned of a slowdown, and of how many samples.
_MOST_WEIGHT: t.Final = 1e6
_MOST_SAMPLES: t.Final = 1e6


@attrs.frozen
class Policy:
    """Base of all policies."""


@attrs.frozen
class RandomPolicy(Policy):
    """Any feasible worker."""


@attrs.frozen
class LeastLoadedPolicy(Policy):
    """The worker with the largest share free."""


@attrs.frozen
class BestFitPolicy(Policy):
    """The worker that is left with the least free."""


@attrs.frozen
class InterferencePolicy(Policy):
    """The worker where services and batch slow each other least.

    Parameters
    ----------
    load_weight : float
        How much a worker's load counts beside predicted slowdown.
    explore_share : float
        Share of batch placements made at random, to learn.
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
    """Make a policy from the keys of its section."""
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
    """Return the largest used share over processors and memory."""
    capacity = candidate.capacity
    cpu = 1 - candidate.free.cpu_millicores / max(1, capacity.cpu_millicores)
    memory = 1 - candidate.free.memory_mb / max(1, capacity.memory_mb)
    return max(cpu, memory)


@attrs.define
class InterferenceModel:
    """Learned slowdown of a service by a batch class, with forgetting.

    One weight per (service, batch class) is the slowdown that one
    neighbour of the class adds. A sample is credited to what ran
    together when it was measured, by normalized least mean squares,
    so that a class is not blamed for its neighbours.
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
        """Return the slowdown, shrunk to the prior where data is thin."""
        key = f'{service}|{batch_class}'
        count = self.sample_counts.get(key, 0.0)
        learned = self.weights.get(key, self.prior)
        shared_sum, shared_count = self.shared_sums.get(key, (0.0, 0.0))
        total = learned * count + shared_sum + self.prior * self.prior_count
        return total / (count + shared_count + self.prior_count)

    def take_shared(
        self, source: str, entries: t.Iterable[tuple[str, float, float]]
    ) -> int:
        """Take what another instance has learned, in place of its last.

        Returns how many entries are none that could be learned: less than
        no sample would leave nothing to divide by.
        """
        known = self.shared.setdefault(source, {})
        odd_count = 0
        for key, weight, count in entries:
            is_weight = 0 <= weight <= _MOST_WEIGHT
            if not is_weight or not 0 <= count <= _MOST_SAMPLES:
                odd_count += 1
                continue
            old_weight, old_count = known.get(key, (0.0, 0.0))
            total, counted = self.shared_sums.get(key, (0.0, 0.0))
            self.shared_sums[key] = (
                total - old_weight * old_count + weight * count,
                counted - old_count + count,
            )
            known[key] = (weight, count)
        return odd_count

    def drop_shared(self, source: str) -> None:
        """Forget what an instance that has ended had learned."""
        known = self.shared.pop(source, {})
        for key, (weight, count) in known.items():
            total, counted = self.shared_sums[key]
            self.shared_sums[key] = (total - weight * count, counted - count)

    def iter_classes(self) -> list[str]:
        """Return the batch classes that anything is known of."""
        keys = {*self.weights, *self.shared_sums}
        return sorted({key.partition('|')[2] for key in keys})[:_CLASS_LIMIT]

    def iter_learned(self) -> t.Iterator[tuple[str, float, float]]:
        """Iterate over this instance's own weights and their counts."""
        for key, count in self.sample_counts.items():
            yield key, self.weights[key], count

    def predict(self, service: str, batch: t.Mapping[str, int]) -> float:
        """Return the expected slowdown, 1.0 meaning none."""
        return 1 + sum(
            self.get_weight(service, name) * count
            for name, count in batch.items()
        )

    def learn(
        self, service: str, batch: t.Mapping[str, int], slowdown: float
    ) -> None:
        """Credit one measured slowdown to the classes that ran then."""
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
    source: random.Random,
) -> float:
    """Return how little a policy likes a candidate; the lowest wins."""
    raise NotImplementedError(type(policy))


@score.register
def _(
    policy: RandomPolicy,
    spec: JobSpec,
    candidate: Candidate,
    model: InterferenceModel,
    source: random.Random,
) -> float:
    return source.random()


@score.register
def _(
    policy: LeastLoadedPolicy,
    spec: JobSpec,
    candidate: Candidate,
    model: InterferenceModel,
    source: random.Random,
) -> float:
    return compute_load(candidate)


@score.register
def _(
    policy: BestFitPolicy,
    spec: JobSpec,
    candidate: Candidate,
    model: InterferenceModel,
    source: random.Random,
) -> float:
    return -compute_load(candidate)


@score.register
def _(
    policy: InterferencePolicy,
    spec: JobSpec,
    candidate: Candidate,
    model: InterferenceModel,
    source: random.Random,
) -> float:
    if source.random() < policy.explore_share:
        return source.random() * policy.load_weight
    load = compute_load(candidate) * policy.load_weight
    if spec.kind is JobKind.SERVICE:
        return load + model.predict(spec.job_class, candidate.batch) - 1
    harm = sum(
        model.get_weight(service, spec.job_class) * count
        for service, count in candidate.services.items()
    )
    return load + harm


def rank(
    policy: Policy,
    spec: JobSpec,
    candidates: t.Sequence[Candidate],
    model: InterferenceModel,
    source: random.Random,
) -> Candidate | None:
    """Return the candidate that the policy likes best, or nothing."""
    if not candidates:
        return None
    return min(
        candidates,
        key=lambda candidate: score(policy, spec, candidate, model, source),
    )
