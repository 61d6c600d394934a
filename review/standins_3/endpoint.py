"""Stand-in of an endpoint, as the page on endpoints describes it."""

import asyncio
import time
from dataclasses import dataclass, field
from typing import Any

from .http import Message, abort, encode, read_message
from .store import Store

HEARTBEAT_S = 1.5
BACK_AFTER_S = 3.0


@dataclass
class Run:
    """Store one request that an endpoint began to run."""

    at: float
    endpoint: str
    service: str
    attempt_id: str
    path: str
    node: str


@dataclass
class Endpoint:
    """Run requests in slots and register in the store."""

    store: Store
    name: str
    service: str
    host: str
    zone: str
    runs: list[Run]
    slots: int = 8
    work_s: float = 0.05
    status: int = 200
    state: str = "ready"
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    address: str = ""
    sequence: int = 0
    running: int = 0
    tasks: list[asyncio.Task[Any]] = field(default_factory=list)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen, and register."""
        port = int(self.address.rpartition(":")[2] or 0)
        self.server = await asyncio.start_server(self.serve, self.host, port)
        self.address = f"{self.host}:{self.server.sockets[0].getsockname()[1]}"
        await self.store.put("servers", self.name, self.spec(), self.beat())
        self.tasks.append(asyncio.create_task(self.renew()))

    def spec(self) -> dict[str, Any]:
        """Return what it registers of itself once."""
        info = {
            "service": self.service,
            "version": "v1",
            "zone": self.zone,
            "slots": self.slots,
        }
        return {"address": self.address, "born": self.born, "info": info}

    def beat(self) -> dict[str, Any]:
        """Return its status, as it renews it."""
        self.sequence += 1
        return {"state": self.state, "sequence": self.sequence, "cold_remaining_s": 0}

    async def renew(self) -> None:
        """Write its status from time to time."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.store.put_status("servers", self.name, self.beat())

    async def drain(self) -> float | None:
        """Report that it is draining; return when that was acknowledged."""
        self.state = "draining"
        return await self.store.put_status("servers", self.name, self.beat())

    async def close(self) -> None:
        """End."""
        for task in self.tasks:
            task.cancel()
        self.tasks.clear()
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            abort(writer)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        self.writers.add(writer)
        node = writer.get_extra_info("peername")[0]
        try:
            while True:
                request = await read_message(reader)
                answer = await self.answer(request, node)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request: Message, node: str) -> bytes | None:
        """Return the answer to one request."""
        headers = request.headers
        attempt_id = headers.get("x-attempt-id", "")
        own = {
            "X-Attempt-Id": attempt_id,
            "X-Server-Load": f"{self.running},0,{self.slots}",
        }
        if headers.get("x-expected-instance", self.name) != self.name:
            return encode("HTTP/1.1 421 Misdirected Request", own)
        path = request.first_line.split(" ")[1]
        if path == "/healthz":
            ok = self.state == "ready"
            first = "HTTP/1.1 200 OK" if ok else "HTTP/1.1 503 Service Unavailable"
            return encode(first, {**own, "X-Instance-Id": self.name})
        if self.running >= self.slots:
            own["X-Not-Executed"] = "1"
            return encode("HTTP/1.1 503 Service Unavailable", own)
        self.running += 1
        now = time.monotonic()
        self.runs.append(Run(now, self.name, self.service, attempt_id, path, node))
        try:
            await self.work(request)
        finally:
            self.running -= 1
        body = f"{self.name} ran {attempt_id}".encode()
        own["X-Response-Signature"] = f"sig.{self.name}.{attempt_id}"
        return encode(f"HTTP/1.1 {self.status} Status", own, body)

    async def work(self, request: Message) -> None:
        """Work on a request."""
        await asyncio.sleep(self.work_s)


@dataclass
class CrashingEndpoint(Endpoint):
    """Crash under one request; come back as a new one at the same address.

    With a `caller`, only its requests do that, as their User-Agent tells.
    """

    crashing: str = ""
    caller: str = ""
    lost: list[str] = field(default_factory=list)
    active: set[str] = field(default_factory=set)

    async def work(self, request: Message) -> None:
        """Work on a request, or crash."""
        attempt_id = request.headers.get("x-attempt-id", "")
        self.active.add(attempt_id)
        try:
            if self.is_crashing(request):
                self.crash(attempt_id)
            await super().work(request)
        finally:
            self.active.discard(attempt_id)

    def is_crashing(self, request: Message) -> bool:
        """Return whether a request is the crashing one."""
        path = request.first_line.split(" ")[1]
        agent = request.headers.get("user-agent", "")
        return path == self.crashing and agent == self.caller

    def crash(self, attempt_id: str) -> None:
        """End at once; start again after some seconds."""
        assert self.server is not None
        self.server.close()
        self.lost += self.active - {attempt_id}
        for task in self.tasks:
            task.cancel()
        self.tasks.clear()
        for writer in list(self.writers):
            abort(writer)
        self.tasks.append(asyncio.create_task(self.come_back()))

    async def come_back(self) -> None:
        """Start again under a new id."""
        await asyncio.sleep(BACK_AFTER_S)
        old = self.name
        self.name = f"{old.partition('.')[0]}.{time.time_ns()}"
        self.running = 0
        self.born = int(time.time() * 1000)
        self.tasks.clear()
        await self.start()
        await self.store.delete("servers", old)
