"""Share the processor among greenlets whose peers send without a pause."""

import gevent

from .const import ITEM_WORK_BYTES, WORK_BUDGET_BYTES


class WorkBudget:
    """Bound the work that one peer's bytes cause before others run.

    Work is counted in bytes. An item, such as a chunk or a header line, counts
    as several, as it takes longer to parse than to copy.
    """

    __slots__ = ("remaining_bytes",)

    def __init__(self) -> None:
        self.remaining_bytes = WORK_BUDGET_BYTES

    def consume(self, byte_count: int, items: int = 0) -> None:
        """Count work that was done."""
        self.remaining_bytes -= byte_count + items * ITEM_WORK_BYTES

    def yield_if_exhausted(self) -> None:
        """Let other greenlets run if the budget is used up.

        Call it before bytes are read: bytes that a waiting greenlet refers to
        count in no memory limit.
        """
        if self.remaining_bytes <= 0:
            self.remaining_bytes = WORK_BUDGET_BYTES
            gevent.sleep(0)
