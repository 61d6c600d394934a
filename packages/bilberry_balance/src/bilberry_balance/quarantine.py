"""Prevent requests that crash upstreams from crashing more of them.

A request is identified by its fingerprint. After one crash the fingerprint
is suspect and runs only as a trial. The requests in flight at the same
crash are tried one at a time over all nodes; the node that owns the crash
grants the trials. After a second crash the fingerprint is quarantined. All
times are monotonic ms of this node.
"""

import hashlib
from collections import OrderedDict
from dataclasses import dataclass, field

import msgspec

from bilberry_core.ids import rendezvous_order

from .const import (
    DEATHS_TO_QUARANTINE,
    DEFAULT_QUARANTINE_LIMIT,
    DEFAULT_QUARANTINE_MS,
    DEFAULT_SUSPECT_MS,
    SAME_CRASH_MS,
)

FINGERPRINT_BYTES = 16


class DeathNote(msgspec.Struct, frozen=True):
    """Report a crash of an upstream; `ago_ms` is its age when sent."""

    upstream: str
    ago_ms: int
    in_trial: bool = False


class SuspectNote(msgspec.Struct, frozen=True):
    """Report the crashes under one fingerprint to peers.

    `left_ms` is the remaining validity when sent. `cleared` ends the
    suspicion; `trial_ended` means that a trial ended without a result.
    """

    fingerprint: str
    deaths: tuple[DeathNote, ...]
    left_ms: int
    cleared: bool = False
    trial_ended: bool = False


@dataclass(slots=True)
class Death:
    """Store a crash of an upstream under one fingerprint."""

    upstream: str
    at_ms: int
    in_trial: bool


@dataclass(slots=True)
class Suspicion:
    """Store the crashes seen under one fingerprint."""

    limit: int = DEATHS_TO_QUARANTINE
    deaths: list[Death] = field(default_factory=list)
    until_ms: int = 0

    def is_quarantined(self) -> bool:
        """Return whether there were enough crashes to refuse the request."""
        return len(self.deaths) >= self.limit

    def add(self, upstream: str, at_ms: int, in_trial: bool = False) -> bool:
        """Add a crash; return False if it is known already."""
        new = Death(upstream, at_ms, in_trial)
        if any(_same_crash(death, new) for death in self.deaths):
            return False
        self.deaths.append(new)
        span_ms = DEFAULT_SUSPECT_MS
        if self.is_quarantined():
            span_ms = DEFAULT_QUARANTINE_MS
        self.until_ms = max(self.until_ms, at_ms + span_ms)
        return True


@dataclass(slots=True)
class Trial:
    """Store the trial that runs for a crash."""

    fingerprint: str
    until_ms: int


@dataclass(slots=True, frozen=True)
class Clear:
    """Run the request without restrictions."""


@dataclass(slots=True, frozen=True)
class Suspect:
    """Run the request only as a trial that `owner` grants."""

    owner: str | None


@dataclass(slots=True, frozen=True)
class Quarantined:
    """Refuse the request with 503 `not-run`."""

    retry_after_ms: int


Check = Clear | Suspect | Quarantined


def request_fingerprint(method: str, path: str, body: bytes) -> str:
    """Return a digest that is the same for identical requests."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (method.encode(), path.encode()):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(body)
    return digest.hexdigest()


class QuarantineTable:
    """Store this node's view of suspect and quarantined requests."""

    __slots__ = ("deaths", "limit", "members", "node", "suspicions", "trials")

    def __init__(
        self,
        node: str,
        limit: int = DEFAULT_QUARANTINE_LIMIT,
        deaths: int = DEATHS_TO_QUARANTINE,
    ) -> None:
        self.node = node
        self.limit = limit
        self.deaths = deaths
        self.members: tuple[str, ...] = (node,)
        self.suspicions: OrderedDict[str, Suspicion] = OrderedDict()
        self.trials: dict[str, Trial] = {}

    def set_members(self, members: tuple[str, ...]) -> None:
        """Set the nodes among which the ownership of crashes is divided."""
        self.members = members

    def owner(self, fingerprint: str) -> str | None:
        """Return the node that grants trials of `fingerprint`."""
        order = rendezvous_order(self._crash(fingerprint), self.members)
        return order[0] if order else None

    def check(self, fingerprint: str, now_ms: int) -> Check:
        """Return whether and how a request with `fingerprint` may run."""
        suspicion = self._live(fingerprint, now_ms)
        if suspicion is None:
            return Clear()
        if suspicion.is_quarantined():
            return Quarantined(suspicion.until_ms - now_ms)
        return Suspect(self.owner(fingerprint))

    def lost_upstreams(self, fingerprint: str, now_ms: int) -> frozenset[str]:
        """Return the upstreams that crashed under `fingerprint`."""
        suspicion = self._live(fingerprint, now_ms)
        if suspicion is None:
            return frozenset()
        return frozenset(death.upstream for death in suspicion.deaths)

    def begin_trial(self, fingerprint: str, now_ms: int, limit_ms: int) -> bool:
        """Start a trial; return False if another one of the crash runs.

        Only the owner of the crash may call this.
        """
        suspicion = self._live(fingerprint, now_ms)
        if suspicion is not None and suspicion.is_quarantined():
            return False
        crash = self._crash(fingerprint)
        running = self.trials.get(crash)
        if running is not None and now_ms < running.until_ms:
            return False
        self.trials[crash] = Trial(fingerprint, now_ms + limit_ms)
        if suspicion is not None:
            suspicion.until_ms = max(suspicion.until_ms, now_ms + limit_ms)
        return True

    def end_trial(self, fingerprint: str) -> SuspectNote:
        """End a trial without a result, for example after shedding it.

        Return the report to send to the peers.
        """
        self._release(fingerprint)
        return SuspectNote(fingerprint, (), 0, trial_ended=True)

    def on_death(
        self, fingerprint: str, upstream: str, now_ms: int, in_trial: bool = False
    ) -> SuspectNote:
        """Count a connection that broke during a request.

        Failures at one upstream at about the same time count as one crash,
        but that of a trial always as a new one. Return the report to send
        to the peers.
        """
        self._release(fingerprint)
        suspicion = self._live(fingerprint, now_ms) or Suspicion(self.deaths)
        suspicion.add(upstream, now_ms, in_trial)
        self._keep(fingerprint, suspicion)
        return self._note(fingerprint, suspicion, now_ms)

    def on_success(self, fingerprint: str, now_ms: int) -> SuspectNote | None:
        """Clear a suspect request that was answered.

        Return the report to send to the peers, if any.
        """
        self._release(fingerprint)
        suspicion = self._live(fingerprint, now_ms)
        if suspicion is None or suspicion.is_quarantined():
            return None
        del self.suspicions[fingerprint]
        return SuspectNote(fingerprint, (), 0, cleared=True)

    def merge(self, note: SuspectNote, now_ms: int) -> None:
        """Merge a peer's report."""
        self._release(note.fingerprint)
        suspicion = self._live(note.fingerprint, now_ms)
        if note.cleared:
            if suspicion is not None and not suspicion.is_quarantined():
                del self.suspicions[note.fingerprint]
            return
        if note.left_ms <= 0 or note.trial_ended:
            return
        suspicion = suspicion or Suspicion(self.deaths)
        for death in note.deaths:
            at_ms = now_ms - max(0, death.ago_ms)
            suspicion.add(death.upstream, at_ms, death.in_trial)
        if suspicion.until_ms > now_ms:
            self._keep(note.fingerprint, suspicion)

    def notes(self, now_ms: int) -> list[SuspectNote]:
        """Return reports of all suspects, for a peer that has just started."""
        self.expire(now_ms)
        return [self._note(f, s, now_ms) for f, s in self.suspicions.items()]

    def expire(self, now_ms: int) -> None:
        """Drop expired suspects and trials."""
        for name in [f for f, s in self.suspicions.items() if s.until_ms <= now_ms]:
            del self.suspicions[name]
        for crash in [c for c, t in self.trials.items() if t.until_ms <= now_ms]:
            del self.trials[crash]

    def _crash(self, fingerprint: str) -> str:
        suspicion = self.suspicions.get(fingerprint)
        if suspicion is None:
            return fingerprint
        return suspicion.deaths[0].upstream

    def _release(self, fingerprint: str) -> None:
        for crash, trial in list(self.trials.items()):
            if trial.fingerprint == fingerprint:
                del self.trials[crash]

    def _live(self, fingerprint: str, now_ms: int) -> Suspicion | None:
        suspicion = self.suspicions.get(fingerprint)
        if suspicion is None:
            return None
        if suspicion.until_ms <= now_ms:
            del self.suspicions[fingerprint]
            return None
        return suspicion

    def _keep(self, fingerprint: str, suspicion: Suspicion) -> None:
        self.suspicions[fingerprint] = suspicion
        self.suspicions.move_to_end(fingerprint)
        if len(self.suspicions) > self.limit:
            self._evict()

    def _evict(self) -> None:
        for name, suspicion in self.suspicions.items():
            if not suspicion.is_quarantined():
                del self.suspicions[name]
                return
        self.suspicions.popitem(last=False)

    def _note(self, name: str, suspicion: Suspicion, now_ms: int) -> SuspectNote:
        deaths = tuple(
            DeathNote(death.upstream, now_ms - death.at_ms, death.in_trial)
            for death in suspicion.deaths
        )
        return SuspectNote(name, deaths, suspicion.until_ms - now_ms)


def _same_crash(one: Death, other: Death) -> bool:
    near = abs(one.at_ms - other.at_ms) < SAME_CRASH_MS
    alike = one.upstream == other.upstream and one.in_trial == other.in_trial
    return near and alike
