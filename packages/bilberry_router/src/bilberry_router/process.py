"""Run a node until a signal stops it."""

import logging
import signal
import sys

import gevent
from gevent.event import Event

from .const import EXIT_FAILED, EXIT_OK
from .node import Node
from .settings import Settings

_LOGGER = logging.getLogger(__name__)

THREAD_SWITCH_INTERVAL_S = 0.001


def run_until_stopped(settings: Settings) -> int:
    """Serve until SIGTERM or SIGINT, then shut down gracefully.

    A second signal ends the wait for requests in flight.
    """
    sys.setswitchinterval(THREAD_SWITCH_INTERVAL_S)
    node = Node(settings)
    stop = Event()

    def on_signal() -> None:
        if stop.is_set():
            _LOGGER.warning("node: Received a second signal, not waiting for requests.")
            node.force_shutdown()
        stop.set()

    gevent.signal_handler(signal.SIGTERM, on_signal)
    gevent.signal_handler(signal.SIGINT, on_signal)
    node.start()
    stop.wait()
    is_clean = node.close()
    return EXIT_OK if is_clean else EXIT_FAILED
