"""Start the processes that a measurement needs, and end them."""

import multiprocessing
from collections.abc import Callable
from multiprocessing.connection import Connection
from typing import Any

import gevent

from bilberry_router.http.server import Server

START_TIMEOUT_S = 60
MAX_CONNECTIONS = 1_000

_CONTEXT = multiprocessing.get_context("spawn")


class Child:
    """Own a process that tells its port once it serves."""

    def __init__(self, target: Callable[..., None], *args: Any) -> None:
        self.parent_end, child_end = _CONTEXT.Pipe()
        self.process = _CONTEXT.Process(
            target=target, args=(child_end, *args), daemon=True
        )

    def start(self) -> Any:
        """Start the process and return the first message it sends."""
        self.process.start()
        if not self.parent_end.poll(START_TIMEOUT_S):
            raise TimeoutError("a bench process did not start")
        return self.parent_end.recv()

    def receive(self, timeout_s: float) -> Any:
        """Return the next message from the process."""
        if not self.parent_end.poll(timeout_s):
            raise TimeoutError("a bench process sent nothing")
        return self.parent_end.recv()

    @property
    def pid(self) -> int:
        """Return the process id."""
        pid = self.process.pid
        assert pid is not None
        return pid

    def close(self) -> None:
        """End the process."""
        self.process.terminate()
        self.process.join(timeout=5)


def ready(pipe: Connection, message: Any) -> None:
    """Tell the parent that this process serves."""
    pipe.send(message)


def serve(pipe: Connection, application: Any) -> None:
    """Serve a WSGI application in this process, and tell the parent."""
    server = Server("127.0.0.1:0", application, max_connections=MAX_CONNECTIONS)
    server.start()
    ready(pipe, server.server_port)
    gevent.get_hub().join()
