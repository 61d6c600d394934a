"""Stand-in of clients, which ask the directory and send single requests."""

import asyncio
import json
import random
import time
import uuid
from dataclasses import dataclass, field

from .http import encode, read_message

TTL_MAX_S = 5.0


@dataclass
class Sent:
    """Store one client attempt and its answer; status 0 is no answer."""

    at: float
    attempt_id: str
    path: str
    node: str
    status: int = 0
    took_s: float = 0.0
    body: str = ""


@dataclass
class Clients:
    """Send requests at a steady rate, each on a connection of its own."""

    directories: list[str]
    name: str
    region: str
    zone: str
    sent: list[Sent]
    deadline_ms: int = 2000
    addresses: list[str] = field(default_factory=list)
    known_until: float = 0.0
    rng: random.Random = field(default_factory=lambda: random.Random(1))

    async def call(
        self, address: str, data: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        """Return the status and body of an answer, status 0 without one."""
        host, _, port = address.rpartition(":")
        writer = None
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(data)
                message = await read_message(reader)
                return message.status, message.body
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0, b""
        finally:
            if writer is not None:
                writer.close()

    async def resolve(self) -> None:
        """Ask up to three directories where to connect."""
        for address in self.directories[:3]:
            query = f"name={self.name}&region={self.region}&zone={self.zone}"
            head = {"Host": address, "Connection": "close"}
            data = encode(f"GET /resolve?{query} HTTP/1.1", head)
            status, body = await self.call(address, data, 1.0)
            if status == 200 and json.loads(body).get("addresses"):
                found = json.loads(body)
                self.addresses = found["addresses"]
                ttl_s = min(found["ttl_s"], TTL_MAX_S)
                self.known_until = time.monotonic() + ttl_s
                return
        self.rng.shuffle(self.directories)

    async def send(
        self,
        path: str,
        method: str = "GET",
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Sent:
        """Send one request to one of the named nodes."""
        if time.monotonic() > self.known_until:
            await self.resolve()
        attempt_id = uuid.uuid4().hex
        node = self.rng.choice(self.addresses) if self.addresses else ""
        sent = Sent(time.monotonic(), attempt_id, path, node)
        self.sent.append(sent)
        if not node:
            return sent
        head = {
            "Host": self.name,
            "X-Attempt-Id": attempt_id,
            "X-Deadline-Ms": str(self.deadline_ms),
            "Connection": "close",
            **(headers or {}),
        }
        data = encode(f"{method} {path} HTTP/1.1", head, body)
        timeout_s = self.deadline_ms / 1000
        sent.status, answer = await self.call(node, data, timeout_s)
        sent.body = answer.decode("latin-1")
        sent.took_s = time.monotonic() - sent.at
        return sent

    async def run(
        self, per_s: float, end: float, paths: list[str], method: str = "GET"
    ) -> None:
        """Send at a steady rate until `end`."""
        tasks = []
        at = time.monotonic()
        while at < end:
            await asyncio.sleep(max(0.0, at - time.monotonic()))
            sending = self.send(self.rng.choice(paths), method)
            tasks.append(asyncio.create_task(sending))
            at += 1 / per_s
        await asyncio.gather(*tasks)
