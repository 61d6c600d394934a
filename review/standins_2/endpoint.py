"""Stand in for an endpoint of a service."""

import asyncio
import time
from collections.abc import Callable

from .http import STREAM_LIMIT_BYTES, Answer, Message, read_message
from .store import Store

HEARTBEAT_S = 1.5
HEALTH_PATH = "/healthz"


class Endpoint:
    """Register in the store, run requests and record those that ran."""

    def __init__(
        self,
        store: Store,
        name: str,
        service: str,
        answer_body: Callable[[Message], bytes],
        work_s: float = 0.02,
        slots: int = 16,
        zone: str = "mtl-a",
    ) -> None:
        self.store = store
        self.name = name
        self.service = service
        self.answer_body = answer_body
        self.work_s = work_s
        self.slots = slots
        self.zone = zone
        self.running = 0
        self.sequence = 0
        self.runs: list[tuple[float, str]] = []
        self.address = ""
        self.born = int(time.time() * 1_000)
        self.server: asyncio.Server | None = None
        self.beats: asyncio.Task[None] | None = None
        self.state = "ready"

    async def start(self, host: str) -> None:
        """Listen on a free port of `host`, and register."""
        self.server = await asyncio.start_server(
            self.serve, host, 0, limit=STREAM_LIMIT_BYTES
        )
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        self.beat()
        self.beats = asyncio.create_task(self.send_beats())

    def beat(self) -> None:
        """Write the entry."""
        self.sequence += 1
        spec = {
            "address": self.address,
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
        }
        status = {
            "state": self.state,
            "sequence": self.sequence,
            "cold_remaining_s": 0,
        }
        self.store.put("servers", self.name, spec, status)

    async def send_beats(self) -> None:
        """Renew the entry at regular intervals."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.beat()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection, one request at a time."""
        try:
            while True:
                request = await read_message(reader)
                answer = await self.run(request)
                writer.write(answer.encode())
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def run(self, request: Message) -> Answer:
        """Run one request."""
        load = f"{self.running},0,{self.slots}"
        if request.target.startswith(HEALTH_PATH):
            headers = {"X-Instance-Id": self.name, "X-Server-Load": load}
            return Answer(200, b"", headers)
        request_id = request.headers.get("x-attempt-id", "")
        expected = request.headers.get("x-expected-instance", self.name)
        if expected != self.name:
            return Answer(421, b"", {"X-Attempt-Id": request_id})
        if self.running >= self.slots:
            return Answer(503, b"", {"X-Attempt-Id": request_id, "X-Not-Executed": "1"})
        self.running += 1
        self.runs.append((time.time(), request_id))
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        body = self.answer_body(request)
        headers = {
            "X-Attempt-Id": request_id,
            "X-Response-Signature": f"sig.{len(body):x}",
            "X-Server-Load": load,
            "X-Instance-Id": self.name,
        }
        return Answer(200, body, headers)
