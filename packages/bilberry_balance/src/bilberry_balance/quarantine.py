"""Keep requests that crash upstreams from crashing more of them.

After one death a fingerprint is suspect: it runs only as a trial. All that
were in flight at the same crash are tried one after the other, over all
nodes, as the owner node of the crash decides. After a second death a
fingerprint is quarantined. All times are monotonic ms of this node.
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
    """Name an upstream lost and how long ago, when the note is sent."""

    upstream: str
    ago_ms: int
    in_trial: bool = False


class SuspectNote(msgspec.Struct, frozen=True):
    """Tell peers of the deaths under one fingerprint.

    `left_ms` is how long the note still holds when it is sent. `cleared`
    lifts the suspicion; `trial_ended` tells that a trial proved nothing.
    """

    fingerprint: str
    deaths: tuple[DeathNote, ...]
    left_ms: int
    cleared: bool = False
    trial_ended: bool = False


@dataclass(slots=True)
class Death:
    """Hold one upstream lost and when."""

    upstream: str
    at_ms: int
    in_trial: bool


@dataclass(slots=True)
class Suspicion:
    """Hold the deaths seen under one fingerprint."""

    limit: int = DEATHS_TO_QUARANTINE
    deaths: list[Death] = field(default_factory=list)
    until_ms: int = 0

    def is_quarantined(self) -> bool:
        """Tell whether it died often enough to be refused."""
        return len(self.deaths) >= self.limit

    def add(self, upstream: str, at_ms: int, in_trial: bool = False) -> bool:
        """Count a death unless it belongs to a crash known already."""
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
    """Hold the one trial that runs for a crash."""

    fingerprint: str
    until_ms: int


@dataclass(slots=True, frozen=True)
class Clear:
    """Run the request as any other."""


@dataclass(slots=True, frozen=True)
class Suspect:
    """Run the request only as a trial granted by `owner`."""

    owner: str | None


@dataclass(slots=True, frozen=True)
class Quarantined:
    """Refuse the request with 503 `not-run`."""

    retry_after_ms: int


Check = Clear | Suspect | Quarantined


def request_fingerprint(method: str, path: str, body: bytes) -> str:
    """Return the digest of what makes two requests the same."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (method.encode(), path.encode()):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(body)
    return digest.hexdigest()


class QuarantineTable:
    """Own this node's view of suspect and quarantined requests."""

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
        """Take over the nodes among which suspects are owned."""
        self.members = members

    def owner(self, fingerprint: str) -> str | None:
        """Return the node that grants trials of `fingerprint`."""
        order = rendezvous_order(self._crash(fingerprint), self.members)
        return order[0] if order else None

    def check(self, fingerprint: str, now_ms: int) -> Check:
        """Decide how a request with `fingerprint` may run."""
        suspicion = self._live(fingerprint, now_ms)
        if suspicion is None:
            return Clear()
        if suspicion.is_quarantined():
            return Quarantined(suspicion.until_ms - now_ms)
        return Suspect(self.owner(fingerprint))

    def lost_upstreams(self, fingerprint: str, now_ms: int) -> frozenset[str]:
        """Return the upstreams lost under `fingerprint`."""
        suspicion = self._live(fingerprint, now_ms)
        if suspicion is None:
            return frozenset()
        return frozenset(death.upstream for death in suspicion.deaths)

    def begin_trial(self, fingerprint: str, now_ms: int, limit_ms: int) -> bool:
        """Grant the one trial at a time of a crash; ask its owner only."""
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
        """End a trial that proved nothing, as one shed; share the note."""
        self._release(fingerprint)
        return SuspectNote(fingerprint, (), 0, trial_ended=True)

    def on_death(
        self, fingerprint: str, upstream: str, now_ms: int, in_trial: bool = False
    ) -> SuspectNote:
        """Count a connection that died under a request; share the note.

        Deaths at one upstream at about the same time are one crash, but a
        trial's is always a new one.
        """
        self._release(fingerprint)
        suspicion = self._live(fingerprint, now_ms) or Suspicion(self.deaths)
        suspicion.add(upstream, now_ms, in_trial)
        self._keep(fingerprint, suspicion)
        return self._note(fingerprint, suspicion, now_ms)

    def on_success(self, fingerprint: str, now_ms: int) -> SuspectNote | None:
        """Clear a suspect that was answered; share the note, if any."""
        self._release(fingerprint)
        suspicion = self._live(fingerprint, now_ms)
        if suspicion is None or suspicion.is_quarantined():
            return None
        del self.suspicions[fingerprint]
        return SuspectNote(fingerprint, (), 0, cleared=True)

    def merge(self, note: SuspectNote, now_ms: int) -> None:
        """Take over what a peer has seen."""
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
        """Return all that is known, for a peer that has just started."""
        self.expire(now_ms)
        return [self._note(f, s, now_ms) for f, s in self.suspicions.items()]

    def expire(self, now_ms: int) -> None:
        """Drop what no longer holds."""
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
