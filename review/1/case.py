"""Upstreams crash midway in answers without a length.

The half that came is passed on as a whole answer.
"""

import asyncio
import contextlib
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    Client,
    Message,
    Node,
    Platform,
    Record,
    Store,
    Upstream,
    has_trouble,
    manifest,
    route,
    run_case,
)

UPSTREAMS = 12
CRASHING = 2
SLOTS = 4
WORK_S = 0.6
REQUESTS_PER_S = 50.0
LOAD_S = 10.0
CRASH_AT_S = 4.0
SILENT_S = 4.0
BODY_BYTES = 24_000
HALF_BYTES = 750
SMALL_WINDOW_BYTES = 4_096


class Crash:
    """Keep some upstreams silent for a while; then they lose their state."""

    def __init__(self) -> None:
        self.begun = asyncio.Event()
        self.ended = asyncio.Event()
        self.names: set[str] = set()

    async def run(self, record: Record) -> None:
        """Crash at the set time, and come back."""
        await asyncio.sleep(CRASH_AT_S)
        record.write(f"crash of {sorted(self.names)}")
        self.begun.set()
        await asyncio.sleep(SILENT_S)
        self.ended.set()
        record.write("they are back")

    async def works(self, upstream: Upstream, seconds: float) -> bool:
        """Wait for a time; return whether the upstream hasn't crashed."""
        if upstream.name not in self.names:
            await asyncio.sleep(seconds)
            return True
        if self.ended.is_set():
            return True
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.begun.wait(), seconds)
        if not self.begun.is_set():
            return True
        await self.ended.wait()
        return False


CRASH = Crash()


async def serve(
    upstream: Upstream,
    message: Message,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bool:
    """Begin the answer before the long body is read, then read and end it."""
    length = int(message.headers["content-length"])
    assert upstream.slot is not None
    async with upstream.slot:
        if not await CRASH.works(upstream, 0):
            writer.transport.abort()
            return False
        upstream.begin(message)
        whole = upstream.answer(message, b"A" * HALF_BYTES + b"B" * HALF_BYTES, False)
        writer.write(whole[:-HALF_BYTES])
        works = await CRASH.works(upstream, WORK_S)
        upstream.running -= 1
    if not works:
        writer.transport.abort()
        return False
    await reader.readexactly(length)
    writer.write(whole[-HALF_BYTES:])
    await writer.drain()
    return False


async def case(record: Record, directory: Path) -> int:
    """Return 1 if a success came with a part of the body only."""
    store = Store()
    routes = [route("book", "/book/", "s", "non_idempotent")]
    store.put("config", "main", manifest(routes, ["s"]))
    upstreams = [
        Upstream(
            f"i-{index:02}",
            "s",
            "mtl-a",
            SLOTS,
            WORK_S,
            record,
            receive_buffer_bytes=SMALL_WINDOW_BYTES,
            on_request=serve,
        )
        for index in range(UPSTREAMS)
    ]
    await Platform(store, upstreams).start()
    node = Node(directory, "front-mtl-a-1", "mtl-a", store.address)
    node.start()
    try:
        if not await node.wait_ready():
            return 2
        await asyncio.sleep(1)
        client = Client(node.ip, node.front_port, record)
        if has_trouble():
            CRASH.names = {upstream.name for upstream in upstreams[:CRASHING]}
            crash = asyncio.create_task(CRASH.run(record))
        tasks = []
        begin_s = time.monotonic()
        for index in range(int(LOAD_S * REQUESTS_PER_S)):
            booking = client.request("POST", "/book/1", b"x" * BODY_BYTES)
            tasks.append(asyncio.create_task(booking))
            due_s = begin_s + index / REQUESTS_PER_S
            await asyncio.sleep(max(0, due_s - time.monotonic()))
        answers = await asyncio.gather(*tasks)
        if has_trouble():
            await crash
        complete = [a for a in answers if a.status == 200 and a.is_complete]
        broken = sum(len(answer.body) != 2 * HALF_BYTES for answer in complete)
        record.write(f"{len(complete)} successes, {broken} with a part of the body")
        if not has_trouble() and not complete:
            return 2
        return 1 if broken else 0
    finally:
        node.close()


if __name__ == "__main__":
    run_case(case, __file__)
