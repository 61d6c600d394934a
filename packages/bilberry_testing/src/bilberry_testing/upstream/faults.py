"""Inject faults into the answers of the simulated upstream."""

import socket
from collections.abc import Callable
from typing import Any

import gevent

from bilberry_core.const import MS_PER_SECOND
from bilberry_core.registry import Registry

from .messages import Fault, FaultAction
from .response import Answer

HANG_CHECK_MS = 50
GARBAGE = b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nstolen!"

FaultInjector = Callable[[Any, Answer, Fault], Answer | None]

FAULTS: Registry[FaultAction, FaultInjector] = Registry()


@FAULTS.register(FaultAction.TRUNCATE)
def truncate(sock: Any, answer: Answer, fault: Fault) -> Answer:
    """Send part of the body; the headers give its full length."""
    answer.cut_bytes = fault.after_bytes
    return answer


@FAULTS.register(FaultAction.GARBAGE)
def add_garbage(sock: Any, answer: Answer, fault: Fault) -> Answer:
    """Append bytes that look like a second answer to a complete one."""
    answer.garbage = GARBAGE
    return answer


@FAULTS.register(FaultAction.ERROR)
def set_status(sock: Any, answer: Answer, fault: Fault) -> Answer:
    """Answer with an error status."""
    answer.status = fault.status
    return answer


@FAULTS.register(FaultAction.RESET)
def reset(sock: Any, answer: Answer, fault: Fault) -> None:
    """Close the connection without an answer."""


@FAULTS.register(FaultAction.HANG)
def hang(sock: Any, answer: Answer, fault: Fault) -> None:
    """Send no answer and wait until the caller closes the connection."""
    while True:
        try:
            if sock.recv(1, socket.MSG_PEEK) == b"":
                return
        except OSError:
            return
        gevent.sleep(HANG_CHECK_MS / MS_PER_SECOND)
