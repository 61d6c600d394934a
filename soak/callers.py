"""Callers that follow the directory and keep their connections."""

import random
from dataclasses import dataclass
from typing import Any

import gevent
from gevent import socket as gevent_socket

from bilberry_core.address import split_address
from bilberry_core.const import MS_PER_SECOND
from bilberry_platform.const import HEADER_NAMES, PATH_DIRECTORY
from bilberry_testing.client import CALL_ERRORS, call

from .deployment import (
    DIRECTORY_PORT,
    HOME_PATHS,
    HOME_TIMEOUT_MS,
    ZONES,
    Deployment,
)
from .history import Call

HOST_NAME = "shop.example"
DIRECTORY_TIMEOUT_MS = 1_000
MAX_CALLS_PER_CONNECTION = 6
MAX_PAUSE_MS = 120
TIMEOUT_MS = 2_000
# How much longer than its own limit a caller waits for an answer.
ANSWER_SLACK_MS = 4_000
KEYS = 12
BOOK_FRACTION, CONFIG_FRACTION, HOME_FRACTION = 0.3, 0.15, 0.2


class ConnectionEndedError(Exception):
    """Raised when a node closes the connection in place of an answer."""


@dataclass(slots=True)
class Answer:
    """Represent an answer's status, headers in lower case, and body."""

    status: int
    headers: dict[str, str]
    body: bytes


class CallerConnection:
    """Send requests to one node, one after the other."""

    __slots__ = ("buffer", "sock")

    def __init__(self, address: str) -> None:
        timeout_s = DIRECTORY_TIMEOUT_MS / MS_PER_SECOND
        self.sock: Any = gevent_socket.create_connection(
            split_address(address), timeout_s
        )
        self.buffer = b""

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()

    def send(self, made: Call, key: str) -> None:
        """Send a request."""
        self.sock.settimeout((made.timeout_ms + ANSWER_SLACK_MS) / MS_PER_SECOND)
        lines = [
            f"{made.method} {made.target} HTTP/1.1",
            f"Host: {HOST_NAME}",
            f"{HEADER_NAMES.request_id}: {made.request_id}",
            f"{HEADER_NAMES.timeout}: {made.timeout_ms}",
            f"{HEADER_NAMES.affinity}: {key}",
            "Content-Length: 0",
        ]
        self.sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())

    def receive(self) -> Answer:
        """Return the next answer; raise ConnectionEndedError without one."""
        while b"\r\n\r\n" not in self.buffer:
            self.fill()
        head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        length = int(headers.get("content-length", 0))
        while len(self.buffer) < length:
            self.fill()
        body, self.buffer = self.buffer[:length], self.buffer[length:]
        return Answer(int(lines[0].split()[1]), headers, body)

    def fill(self) -> None:
        """Receive more bytes."""
        data = self.sock.recv(65_536)
        if not data:
            raise ConnectionEndedError
        self.buffer += data


class Caller:
    """Send requests until stopped, and record what came of them."""

    def __init__(self, deployment: Deployment, name: str, seed: int) -> None:
        self.deployment = deployment
        self.name = name
        self.rng = random.Random(seed)
        self.zone = self.rng.choice(list(ZONES))
        self.count = 0
        self.is_stopping = False

    def run(self) -> None:
        """Open one connection after the other."""
        while not self.is_stopping:
            address = self.find_node()
            if address is None:
                gevent.sleep(MAX_PAUSE_MS / MS_PER_SECOND)
                continue
            try:
                connection = CallerConnection(address)
            except OSError:
                gevent.sleep(MAX_PAUSE_MS / MS_PER_SECOND)
                continue
            try:
                self.use(connection, address)
            finally:
                connection.close()

    def find_node(self) -> str | None:
        """Return the address of a node that the directory names."""
        asked = self.rng.choice(self.deployment.nodes)
        query = f"name={HOST_NAME}&region={ZONES[self.zone]}&zone={self.zone}"
        url = f"http://{asked.ip}:{DIRECTORY_PORT}{PATH_DIRECTORY}?{query}"
        try:
            reply = call("GET", url, timeout_ms=DIRECTORY_TIMEOUT_MS)
            addresses = reply.json()["addresses"] if reply.status == 200 else []
        except (*CALL_ERRORS, ValueError):
            return None
        return self.rng.choice(addresses) if addresses else None

    def use(self, connection: CallerConnection, address: str) -> None:
        """Send some requests on a connection."""
        node = next(n.name for n in self.deployment.nodes if n.front == address)
        for _ in range(self.rng.randint(1, MAX_CALLS_PER_CONNECTION)):
            if self.is_stopping or not self.ask(connection, node):
                return
            gevent.sleep(self.rng.random() * MAX_PAUSE_MS / MS_PER_SECOND)

    def ask(self, connection: CallerConnection, node: str) -> bool:
        """Send one request; return whether the connection may go on."""
        made = self.make_call(node)
        clock = self.deployment.clock
        try:
            connection.send(made, f"k{self.rng.randrange(KEYS)}")
            answer = connection.receive()
        except (ConnectionEndedError, ConnectionError):
            made.closed = True
            made.ended_ms = clock.now_ms()
            return False
        except OSError:
            made.ended_ms = clock.now_ms()
            return False
        made.ended_ms = clock.now_ms()
        made.status = answer.status
        made.answer_id = answer.headers.get(HEADER_NAMES.request_id.lower(), "")
        made.body = answer.body
        return answer.headers.get("connection", "").lower() != "close"

    def make_call(self, node: str) -> Call:
        """Return a new request, recorded before it is sent."""
        self.count += 1
        method, target, timeout_ms = "GET", "/read/x", TIMEOUT_MS
        drawn = self.rng.random()
        if drawn < BOOK_FRACTION:
            method, target = "POST", "/book/x"
        elif drawn < BOOK_FRACTION + CONFIG_FRACTION:
            target = f"{self.deployment.history.versions[-1].prefix}x"
        elif drawn < BOOK_FRACTION + CONFIG_FRACTION + HOME_FRACTION:
            target = f"{self.rng.choice(HOME_PATHS)}x"
            timeout_ms = HOME_TIMEOUT_MS
        made = Call(
            f"{self.name}-{self.count}",
            method,
            target,
            node,
            self.deployment.clock.now_ms(),
            timeout_ms=timeout_ms,
        )
        self.deployment.history.calls.append(made)
        return made
