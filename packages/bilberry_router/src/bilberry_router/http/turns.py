"""Share the processor among greenlets whose peers send without a pause."""

import gevent

from .const import ITEM_WORK_BYTES, TURN_WORK_BYTES


class Turn:
    """Bound the work that one peer's bytes cause before others run.

    Work is counted in bytes. An item, such as a chunk or a header line, counts
    as several, as it takes longer to parse than to copy.
    """

    __slots__ = ("remaining_bytes",)

    def __init__(self) -> None:
        self.remaining_bytes = TURN_WORK_BYTES

    def spend(self, byte_count: int, items: int = 0) -> None:
        """Count work that was done."""
        self.remaining_bytes -= byte_count + items * ITEM_WORK_BYTES

    def wait(self) -> None:
        """Let other greenlets run if the turn is used up.

        Called before bytes are read, as bytes that many greenlets hold while
        they wait here would count in no limit.
        """
        if self.remaining_bytes <= 0:
            self.remaining_bytes = TURN_WORK_BYTES
            gevent.sleep(0)
