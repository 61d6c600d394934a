"""Messages between nodes about idempotency keys; durations in ms."""

from enum import StrEnum, auto

import msgspec

from bilberry_balance.key_handover import Handover
from bilberry_balance.keys import StoredResponse

KIND_KEY_EPOCH = "key_epoch"
NAME_KEY_EPOCH = "current"


class Decision(StrEnum):
    """Say what an entry node is to do with a keyed request."""

    RUN = auto()
    REPLAY = auto()
    MISMATCH = auto()
    UNKNOWN = auto()
    REFUSED = auto()
    ELSEWHERE = auto()
    STILL_RUNNING = auto()


class BeginCall(msgspec.Struct, frozen=True):
    """Ask the owner `target` about a key; `attempt` names the asker."""

    target: str
    key: str
    fingerprint: str
    attempt: str
    wait_ms: int


class BeginReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """Carry the owner's decision."""

    decision: Decision
    reason: str = ""
    retry_after_ms: int = 0
    answer: StoredResponse | None = None


class RunEnd(StrEnum):
    """Say how the run of a key has ended."""

    STORED = auto()
    LOST = auto()
    RELEASED = auto()


class EndCall(msgspec.Struct, frozen=True, omit_defaults=True):
    """Tell the owner how a run that it allowed has ended."""

    key: str
    attempt: str
    end: RunEnd
    answer: StoredResponse | None = None


class HandoverCall(msgspec.Struct, frozen=True):
    """Hand keys over to the member `target`."""

    target: str
    handover: Handover


class Taken(msgspec.Struct, frozen=True):
    """Tell whether a call was taken in."""

    taken: bool


class EpochReply(msgspec.Struct, frozen=True):
    """Name the member, one run of a process, and its newest epoch."""

    member: str
    epoch: int


class TrialCall(msgspec.Struct, frozen=True):
    """Ask to run a suspect request once."""

    fingerprint: str
    limit_ms: int


class EpochSpec(msgspec.Struct, frozen=True):
    """Hold one epoch as the store keeps it."""

    number: int
    members: tuple[str, ...]
    former: tuple[str, ...]


def node_of(member: str) -> str:
    """Return the node's name of a member."""
    return member.partition("/")[0]
