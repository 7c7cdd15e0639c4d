"""Slots by the owner's hop against time-bounded credits: the tails.

A queueing model with the hop's cost as bench/hops.py measured it: nine
instances, Poisson arrivals at each, one service. Owner: one queue for all
slots, a hop for eight of nine requests. Credits: slots are lent to the
instances by their demand of the last period; a request waits where it came.
"""

import argparse
import collections
import heapq
import random

INSTANCES = 9
HOP_MS = 3.8
SERVICE_MS = 10.0
RUN_MS = 60000


def get_quantiles(latencies):
    ordered = sorted(latencies)
    return tuple(
        ordered[min(len(ordered) - 1, int(len(ordered) * share))]
        for share in (0.5, 0.99, 0.999)
    )


def make_arrivals(rng, slots, load, skew):
    """Return (time, instance, service time), some instances busier."""
    rate = load * slots / SERVICE_MS
    weights = [skew if place == 0 else 1.0 for place in range(INSTANCES)]
    found, now_ms = [], 0.0
    while now_ms < RUN_MS:
        now_ms += rng.expovariate(rate)
        place = rng.choices(range(INSTANCES), weights)[0]
        found.append((now_ms, place, rng.expovariate(1 / SERVICE_MS)))
    return found


def play_owner(arrivals, slots):
    free = [0.0] * slots
    latencies = []
    ordered = sorted(
        (at_ms + (HOP_MS / 2 if place else 0.0), at_ms, place, took_ms)
        for at_ms, place, took_ms in arrivals
    )
    for ready_ms, at_ms, place, took_ms in ordered:
        began_ms = max(ready_ms, heapq.heappop(free))
        ended_ms = began_ms + took_ms
        heapq.heappush(free, ended_ms)
        back_ms = HOP_MS / 2 if place else 0.0
        latencies.append(ended_ms + back_ms - at_ms)
    return latencies


class Credits:
    """Slots lent to instances, lent anew each period by demand."""

    def __init__(self, slots, period_ms):
        self.period_ms = period_ms
        self.credits = [
            slots // INSTANCES + (place < slots % INSTANCES)
            for place in range(INSTANCES)
        ]
        self.slots = slots
        self.busy = [0] * INSTANCES
        self.demand = [1.0] * INSTANCES
        self.queues = [collections.deque() for _ in range(INSTANCES)]
        self.events = []
        self.latencies = []

    def play(self, arrivals):
        for number, (at_ms, place, took_ms) in enumerate(arrivals):
            heapq.heappush(self.events, (at_ms, 1, number, place, took_ms))
        heapq.heappush(self.events, (self.period_ms, 2, 0, 0, 0.0))
        while self.events:
            at_ms, kind, _, place, took_ms = heapq.heappop(self.events)
            if kind == 0:
                self.busy[place] -= 1
            elif kind == 1:
                self.demand[place] += took_ms
                self.queues[place].append((at_ms, took_ms))
            elif at_ms < RUN_MS:
                self.lend()
                heapq.heappush(
                    self.events, (at_ms + self.period_ms, 2, 0, 0, 0.0)
                )
            for one in range(INSTANCES) if kind == 2 else (place,):
                self.start(one, at_ms)
        return self.latencies

    def start(self, place, now_ms):
        while self.queues[place] and self.busy[place] < self.credits[place]:
            at_ms, took_ms = self.queues[place].popleft()
            self.busy[place] += 1
            ended_ms = now_ms + took_ms
            self.latencies.append(ended_ms - at_ms)
            heapq.heappush(self.events, (ended_ms, 0, 0, place, 0.0))

    def lend(self):
        """Move what is not in use to where the demand was."""
        wants = [
            demand + sum(took for _, took in queue)
            for demand, queue in zip(self.demand, self.queues, strict=True)
        ]
        total = sum(wants)
        targets = [self.slots * want / total for want in wants]
        pool = self.slots - sum(self.busy)
        self.credits = list(self.busy)
        while pool > 0:
            place = max(
                range(INSTANCES),
                key=lambda one: targets[one] - self.credits[one],
            )
            self.credits[place] += 1
            pool -= 1
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
                ways = {
                    'owner': play_owner(arrivals, slots),
                    'credits 100 ms': Credits(slots, 100.0).play(arrivals),
                    'credits 500 ms': Credits(slots, 500.0).play(arrivals),
                }
                for name, latencies in ways.items():
                    quantiles = get_quantiles(latencies)
                    text = ' '.join(f'{one:7.1f}' for one in quantiles)
                    print(f'{slots:5} {load:4} {skew:4}  {name:14} {text}')


if __name__ == '__main__':
    main()
