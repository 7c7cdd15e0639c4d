"""Tail latencies of a queue at the owner and of slots lent as credits.

A queueing model of nine instances with Poisson arrivals and one service;
bench/hops.py gives the latency of the hop. Owner: one queue for all slots,
and a hop for the requests that arrive at the eight other instances.
Credits: slots are lent to the instances by their demand in the last period,
and a request waits at the instance where it arrives.
"""

import argparse
import collections
import heapq
import random

INSTANCES = 9
HOP_MS = 3.8
SERVICE_MS = 10.0
DURATION_MS = 60000


def get_quantiles(latencies):
    ordered = sorted(latencies)
    return tuple(
        ordered[min(len(ordered) - 1, int(len(ordered) * share))]
        for share in (0.5, 0.99, 0.999)
    )


def make_arrivals(rng, slots, load, skew):
    """Return (time, instance, service time); ``skew`` weights instance 0."""
    rate = load * slots / SERVICE_MS
    weights = [skew if instance == 0 else 1.0 for instance in range(INSTANCES)]
    arrivals, now_ms = [], 0.0
    while now_ms < DURATION_MS:
        now_ms += rng.expovariate(rate)
        instance = rng.choices(range(INSTANCES), weights)[0]
        arrivals.append((now_ms, instance, rng.expovariate(1 / SERVICE_MS)))
    return arrivals


def simulate_owner(arrivals, slots):
    free_at_ms = [0.0] * slots
    latencies = []
    ordered = sorted(
        (at_ms + (HOP_MS / 2 if instance else 0.0), at_ms, instance, took_ms)
        for at_ms, instance, took_ms in arrivals
    )
    for ready_ms, at_ms, instance, took_ms in ordered:
        began_ms = max(ready_ms, heapq.heappop(free_at_ms))
        ended_ms = began_ms + took_ms
        heapq.heappush(free_at_ms, ended_ms)
        return_ms = HOP_MS / 2 if instance else 0.0
        latencies.append(ended_ms + return_ms - at_ms)
    return latencies


class Credits:
    """Slots lent to instances, reassigned by demand each period."""

    def __init__(self, slots, period_ms):
        self.period_ms = period_ms
        self.credits = [
            slots // INSTANCES + (instance < slots % INSTANCES)
            for instance in range(INSTANCES)
        ]
        self.slots = slots
        self.busy = [0] * INSTANCES
        self.demand = [1.0] * INSTANCES
        self.queues = [collections.deque() for _ in range(INSTANCES)]
        self.events = []
        self.latencies = []

    def simulate(self, arrivals):
        for number, (at_ms, instance, took_ms) in enumerate(arrivals):
            heapq.heappush(self.events, (at_ms, 1, number, instance, took_ms))
        heapq.heappush(self.events, (self.period_ms, 2, 0, 0, 0.0))
        while self.events:
            at_ms, kind, _, instance, took_ms = heapq.heappop(self.events)
            if kind == 0:
                self.busy[instance] -= 1
            elif kind == 1:
                self.demand[instance] += took_ms
                self.queues[instance].append((at_ms, took_ms))
            elif at_ms < DURATION_MS:
                self.reassign()
                heapq.heappush(
                    self.events, (at_ms + self.period_ms, 2, 0, 0, 0.0)
                )
            for changed in range(INSTANCES) if kind == 2 else (instance,):
                self.start(changed, at_ms)
        return self.latencies

    def start(self, instance, now_ms):
        while (
            self.queues[instance]
            and self.busy[instance] < self.credits[instance]
        ):
            at_ms, took_ms = self.queues[instance].popleft()
            self.busy[instance] += 1
            ended_ms = now_ms + took_ms
            self.latencies.append(ended_ms - at_ms)
            heapq.heappush(self.events, (ended_ms, 0, 0, instance, 0.0))

    def reassign(self):
        """Assign the idle slots to instances by their demand."""
        demands = [
            demand + sum(took_ms for _, took_ms in queue)
            for demand, queue in zip(self.demand, self.queues, strict=True)
        ]
        total = sum(demands)
        targets = [self.slots * demand_ms / total for demand_ms in demands]
        unassigned = self.slots - sum(self.busy)
        self.credits = list(self.busy)
        while unassigned > 0:
            instance = max(
                range(INSTANCES),
                key=lambda candidate: (
                    targets[candidate] - self.credits[candidate]
                ),
            )
            self.credits[instance] += 1
            unassigned -= 1
        self.demand = [0.1 + demand / 2 for demand in self.demand]


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args()
    print('slots load skew  way              p50     p99    p999 ms')
    for slots in (8, 32, 128):
        for load in (0.3, 0.6, 0.8):
            for skew in (1, 8):
                rng = random.Random(options.seed)
                arrivals = make_arrivals(rng, slots, load, skew)
                latencies_by_name = {
                    'owner': simulate_owner(arrivals, slots),
                    'credits 100 ms': Credits(slots, 100.0).simulate(arrivals),
                    'credits 500 ms': Credits(slots, 500.0).simulate(arrivals),
                }
                for name, latencies in latencies_by_name.items():
                    quantiles = get_quantiles(latencies)
                    text = ' '.join(
                        f'{quantile:7.1f}' for quantile in quantiles
                    )
                    print(f'{slots:5} {load:4} {skew:4}  {name:14} {text}')


if __name__ == '__main__':
    main()
