"""Sleep in milliseconds."""

import gevent

from bilberry_core.const import MS_PER_SECOND


def sleep_ms(duration_ms: int) -> None:
    """Sleep for `duration_ms`, yielding to other greenlets."""
    gevent.sleep(duration_ms / MS_PER_SECOND)
