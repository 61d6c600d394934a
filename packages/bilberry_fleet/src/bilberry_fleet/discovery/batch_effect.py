"""Tell what a batch of changes of a kind did."""

from enum import Enum, auto


class BatchEffect(Enum):
    """Enumerate what a batch of changes did."""

    NONE = auto()
    RENEWED = auto()
    CHANGED = auto()
    OTHER_ERA = auto()
