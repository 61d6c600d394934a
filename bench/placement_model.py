"""Model deployments, upstreams with object caches, and callers' requests."""

import math
import random
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import Any, TypeVar

from bilberry_core.const import MS_PER_SECOND

from .placement_machines import Machine, MachineModel, Telling

KNOWN_OBJECT_FRACTION = 0.3
WORK_SPREAD = 0.15
WAVE_PERIOD_MS = 36_000
WAVE_SWING = 0.55


@dataclass(slots=True, frozen=True)
class ServiceModel:
    """Describe a service, its upstreams by region and its requests.

    `objects` are asked for nearly equally often; an upstream remembers the
    latest `cached_objects` of them and is faster for these.
    """

    name: str
    upstreams: dict[str, int]
    slots: int
    cached_objects: int
    share: float
    work_ms: int
    target_ms: int
    timeout_ms: int
    objects: int
    worth: float = 1.0
    late_worth: float = 0.2
    priority: int = 2
    idempotent: bool = True


@dataclass(slots=True, frozen=True)
class SlowSpell:
    """Describe a time in which a share of a service's upstreams is slow.

    Requests that begin between `at_ms` and `end_ms` take `factor` times as
    long there.
    """

    service: str
    at_ms: int
    end_ms: int
    share: float
    factor: float

    def factor_at(self, now_ms: int) -> float:
        """Return how many times as long a request takes that begins now."""
        return self.factor if self.at_ms <= now_ms < self.end_ms else 1.0


@dataclass(slots=True, frozen=True)
class RateLimitSpell:
    """Describe a time in which a share of a service's upstreams name a limit.

    Each takes `per_s` requests a second of all nodes together, and says so in
    its answers; it serves others as usual.
    """

    service: str
    at_ms: int
    end_ms: int
    share: float
    per_s: float

    def limit_at(self, now_ms: int) -> float | None:
        """Return the limit that an answer names, None without one."""
        return self.per_s if self.at_ms <= now_ms < self.end_ms else None


@dataclass(slots=True, frozen=True)
class RestartSpell:
    """Describe a time in which a share of a service's upstreams is down.

    They refuse connections until `end_ms`, when they start again under their
    names, cold for `cold_ms`. Each node reads the new entry `min_news_ms` to
    `max_news_ms` later.
    """

    service: str
    at_ms: int
    end_ms: int
    share: float
    cold_ms: int = 3_000
    min_news_ms: int = 600
    max_news_ms: int = 1_600

    def is_down(self, now_ms: int) -> bool:
        """Return whether the upstreams refuse connections."""
        return self.at_ms <= now_ms < self.end_ms


Spell = TypeVar("Spell", SlowSpell, RateLimitSpell, RestartSpell)


def spell_of(spell: Spell | None, service: ServiceModel, index: int) -> Spell | None:
    """Return the spell of a region's `index`-th upstream, if it has any."""
    if spell is None or spell.service != service.name:
        return None
    is_struck = int((index + 1) * spell.share) > int(index * spell.share)
    return spell if is_struck else None


@dataclass(slots=True, frozen=True)
class DeploymentModel:
    """Describe regions, nodes and load; delays are one-way, in ms.

    `phases` shift the wave of each region's load, as fractions of its period.
    """

    name: str
    phases: dict[str, float]
    domains_per_region: int
    nodes_per_domain: int
    per_s: float
    services: tuple[ServiceModel, ...]
    domain_ms: int = 4
    region_ms: int = 55
    slow_spell: SlowSpell | None = None
    rate_limit_spell: RateLimitSpell | None = None
    restart_spell: RestartSpell | None = None
    machines: MachineModel | None = None
    cold_per_s: float = 6.0

    def load_factor(self, region: str, now_ms: int) -> float:
        """Return a region's load at a time, as a ratio to its mean."""
        turns = now_ms / WAVE_PERIOD_MS + self.phases[region]
        return 1.0 + WAVE_SWING * math.sin(2 * math.pi * turns)


@dataclass(slots=True)
class Call:
    """Represent one caller's request and how it ended; times in ms."""

    service: ServiceModel
    key: str
    region: str
    domain: str
    started_ms: int
    ended_ms: int | None = None
    retries_left: int = 1
    refused: bool = False

    def deadline_ms(self) -> int:
        """Return when its caller gives up."""
        return self.started_ms + self.service.timeout_ms

    def credit(self) -> float:
        """Return what the answer is worth to the caller."""
        if self.ended_ms is None:
            return 0.0
        if self.ended_ms - self.started_ms <= self.service.target_ms:
            return self.service.worth
        return self.service.late_worth


@dataclass(slots=True)
class UpstreamModel:
    """Run requests on slots; an object that was handled lately is faster.

    `arrivals_ms` are the times at which requests arrived.
    """

    service: ServiceModel
    rng: random.Random
    queue_limit: int
    slow_spell: SlowSpell | None = None
    rate_limit_spell: RateLimitSpell | None = None
    restart_spell: RestartSpell | None = None
    machine: Machine | None = None
    arrivals_ms: list[int] = field(default_factory=list)
    running: int = 0
    waiting: deque[Any] = field(default_factory=deque)
    cached: OrderedDict[str, None] = field(default_factory=OrderedDict)
    hits: int = 0
    misses: int = 0

    def begin(self, key: str, now_ms: int) -> int:
        """Occupy a slot; return how long the work takes, in ms."""
        self.running += 1
        work = self.service.work_ms * self.rng.gauss(1.0, WORK_SPREAD)
        if key in self.cached:
            self.hits += 1
            work *= KNOWN_OBJECT_FRACTION
        else:
            self.misses += 1
        if self.slow_spell is not None:
            work *= self.slow_spell.factor_at(now_ms)
        if self.machine is not None:
            work *= self.machine.work_factor(now_ms)
        return max(1, int(work))

    def load_report(self, now_ms: int) -> tuple[int, int, float] | None:
        """Return the running and waiting requests and the pace, as read."""
        telling = self.machine.model.telling if self.machine else Telling.LOAD
        if telling is Telling.UNREADABLE:
            return None
        pace = 1.0
        if self.machine is not None and telling is Telling.PACE:
            pace = self.machine.pace(now_ms)
        return self.running, len(self.waiting), pace

    def rate_limit(self, now_ms: int) -> float | None:
        """Return the limit that an answer names, None without one."""
        spell = self.rate_limit_spell
        return spell.limit_at(now_ms) if spell is not None else None

    def end(self, key: str) -> None:
        """Free a slot, and remember the object."""
        self.running -= 1
        self.cached[key] = None
        self.cached.move_to_end(key)
        if len(self.cached) > self.service.cached_objects:
            self.cached.popitem(last=False)


def arrival_gap_ms(rng: random.Random, per_s: float) -> int:
    """Return a random time between two requests, in ms."""
    return max(1, round(rng.expovariate(per_s) * MS_PER_SECOND))
