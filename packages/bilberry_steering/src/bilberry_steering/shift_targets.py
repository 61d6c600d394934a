"""Compute target slots of a service's groups from its intents."""

from dataclasses import dataclass, field

from bilberry_core.ids import stable_hash
from bilberry_resources.const import DEFAULT_SHIFT_MAX_SHARE, DEFAULT_SHIFT_STEP_MS
from bilberry_resources.kinds.intents import IntentSpec, TrafficMove
from bilberry_resources.snapshot import ConfigSnapshot

from .const import HASH_SLOTS
from .messages import ShiftState
from .slots import apportion, slots_per_owner
from .topology import default_runs, region_names

REASON_SUPERSEDED = "another intent sets this service's weights"


@dataclass(slots=True)
class StepCap:
    """Represent the largest size and the shortest duration of a step."""

    max_share: float
    max_rate_per_s: float | None
    step_ms: int
    soak_ms: int


@dataclass(slots=True)
class ServiceIntents:
    """Represent the active and the superseded intents of a service."""

    active_names: list[str] = field(default_factory=list)
    active: list[IntentSpec] = field(default_factory=list)
    superseded: list[str] = field(default_factory=list)

    @property
    def signature(self) -> str:
        """Return a hash of the shares that the active intents ask for."""
        parts: list[str] = []
        for name, intent in zip(self.active_names, self.active, strict=True):
            moves = [(m.source, m.target, m.share) for m in intent.moves]
            parts.append(f"{name} {sorted(intent.weights.items())} {moves}")
        return f"{stable_hash(*parts):016x}" if parts else ""

    @property
    def is_paused(self) -> bool:
        """Return whether an operator has paused one of the intents."""
        return any(intent.paused for intent in self.active)

    @property
    def closed_regions(self) -> list[str]:
        """Return the regions that an intent closes by a weight of 0."""
        for intent in self.active:
            if intent.weights:
                return sorted(r for r, w in intent.weights.items() if w == 0)
        return []


def service_intents(snapshot: ConfigSnapshot, service: str) -> ServiceIntents:
    """Return the intents of a service in the order of their names.

    Only the first intent with weights is active, others with weights are
    superseded. Moves are applied in order after the weights.
    """
    intents = ServiceIntents()
    weighted = False
    for name in sorted(snapshot.intents):
        intent = snapshot.intents[name]
        if intent.service != service:
            continue
        if intent.weights and weighted:
            intents.superseded.append(name)
            continue
        weighted = weighted or bool(intent.weights)
        intents.active_names.append(name)
        intents.active.append(intent)
    return intents


def step_cap(intents: ServiceIntents, state: ShiftState) -> StepCap:
    """Return the strictest cap of the intents, else the shift's last cap."""
    if not intents.active:
        share = state.max_share if state.step_ms else DEFAULT_SHIFT_MAX_SHARE
        step_ms = state.step_ms or DEFAULT_SHIFT_STEP_MS
        return StepCap(share, state.max_rate_per_s, step_ms, state.soak_ms)
    caps = [intent.cap for intent in intents.active]
    rates = [cap.max_rate_per_s for cap in caps if cap.max_rate_per_s is not None]
    return StepCap(
        min(cap.max_share for cap in caps),
        min(rates, default=None),
        max(intent.step_ms for intent in intents.active),
        max(intent.soak_ms for intent in intents.active),
    )


def target_counts(
    snapshot: ConfigSnapshot,
    service: str,
    intents: ServiceIntents,
    groups: list[str],
    demand: dict[str, float],
) -> dict[str, list[int]]:
    """Return the target slots of each group by region index.

    `demand` is requests/s by group; it weighs the groups for moves.
    """
    names = region_names(snapshot)
    counts = {
        group: slots_per_owner(default_runs(snapshot, service, group), len(names))
        for group in groups
    }
    for intent in intents.active:
        if intent.weights and sum(intent.weights.values()) > 0:
            weights = [intent.weights.get(name, 0.0) for name in names]
            counts = {group: apportion(weights) for group in groups}
    for intent in intents.active:
        for move in intent.moves:
            _apply_move(counts, move, names, demand)
    return counts


def _apply_move(
    counts: dict[str, list[int]],
    move: TrafficMove,
    names: list[str],
    demand: dict[str, float],
) -> None:
    source, target = names.index(move.source), names.index(move.target)
    rates = {group: max(demand.get(group, 0.0), 1e-9) for group in counts}
    total = sum(rates.values())
    source_requests = sum(rates[g] * counts[g][source] for g in counts) / HASH_SLOTS
    if source_requests <= 0:
        return
    factor = min(1.0, move.share * total / source_requests)
    for group in counts:
        moved = round(counts[group][source] * factor)
        counts[group][source] -= moved
        counts[group][target] += moved
