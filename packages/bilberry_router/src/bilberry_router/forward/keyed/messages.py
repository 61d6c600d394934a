"""Messages between nodes about idempotency keys; durations in ms."""

from enum import StrEnum, auto

import msgspec

from bilberry_balance.key_handover import Handover
from bilberry_balance.keys import StoredResponse

KIND_KEY_EPOCH = "key_epoch"
NAME_KEY_EPOCH = "current"


class Decision(StrEnum):
    """The owner's decision on a keyed request at its entry node."""

    RUN = auto()
    REPLAY = auto()
    MISMATCH = auto()
    UNKNOWN = auto()
    REFUSED = auto()
    ELSEWHERE = auto()
    STILL_RUNNING = auto()


class BeginCall(msgspec.Struct, frozen=True):
    """Request to run a key, sent to its owner, the member `target`.

    `attempt` identifies this request among those with the same key.
    """

    target: str
    key: str
    fingerprint: str
    attempt: str
    wait_ms: int


class BeginReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """The owner's decision, with the response to replay if any."""

    decision: Decision
    reason: str = ""
    retry_after_ms: int = 0
    answer: StoredResponse | None = None


class RunOutcome(StrEnum):
    """Result of a key's run."""

    STORED = auto()
    LOST = auto()
    RELEASED = auto()


class EndCall(msgspec.Struct, frozen=True, omit_defaults=True):
    """Report to the owner how a run has ended."""

    key: str
    attempt: str
    outcome: RunOutcome = msgspec.field(name="end")
    answer: StoredResponse | None = None


class HandoverCall(msgspec.Struct, frozen=True):
    """Send keys to their new owner, the member `target`."""

    target: str
    handover: Handover


class Acknowledgement(msgspec.Struct, frozen=True):
    """Reply to a call: whether the receiver accepted it."""

    accepted: bool = msgspec.field(name="taken")


class EpochReply(msgspec.Struct, frozen=True):
    """Reply with a node's member name and its newest epoch.

    A member is one process run of a node, named "node/uuid".
    """

    member: str
    epoch: int


class TrialCall(msgspec.Struct, frozen=True):
    """Request permission to run a suspect request once."""

    fingerprint: str
    limit_ms: int


class EpochSpec(msgspec.Struct, frozen=True):
    """An epoch as stored: its members and those of the former epoch."""

    number: int
    members: tuple[str, ...]
    former: tuple[str, ...]


def node_name(member: str) -> str:
    """Return the name of a member's node."""
    return member.partition("/")[0]
