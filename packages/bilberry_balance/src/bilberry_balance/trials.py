"""Grant trials of suspect requests, so that a crash in one has one cause."""

from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class Trial:
    """Represent a trial of a suspect request.

    `holder` names who runs it, so that asking twice changes nothing. It runs
    at `upstream`, empty if that isn't known yet. `crashed` names the upstreams
    that crashed under the request before.
    """

    fingerprint: str
    holder: str
    expires_ms: int
    upstream: str = ""
    crashed: frozenset[str] = frozenset()

    def conflicts_with(self, other: "Trial") -> bool:
        """Return whether a crash in one may be taken for one in the other."""
        if self.fingerprint == other.fingerprint:
            return True
        if self.upstream and other.upstream:
            return self.upstream == other.upstream
        return bool(self.crashed & other.crashed)


@dataclass(slots=True)
class TrialTable:
    """Store the trials that this node has granted to all nodes."""

    trials: dict[str, Trial] = field(default_factory=dict)

    def begin(self, trial: Trial, now_ms: int) -> bool:
        """Grant a trial, unless another one that conflicts is running."""
        self.expire(now_ms)
        for running in self.trials.values():
            is_same = running.fingerprint == trial.fingerprint
            if is_same and trial.holder and running.holder == trial.holder:
                continue
            if running.conflicts_with(trial):
                return False
        self.trials[trial.fingerprint] = trial
        return True

    def end(self, fingerprint: str) -> None:
        """End the trial of a request, if there is one."""
        self.trials.pop(fingerprint, None)

    def expire(self, now_ms: int) -> None:
        """Drop trials that didn't end in time."""
        for fingerprint, trial in list(self.trials.items()):
            if trial.expires_ms <= now_ms:
                del self.trials[fingerprint]
