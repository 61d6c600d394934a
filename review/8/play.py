"""Callers read their answers slowly, but all the time."""

import asyncio
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins_2.deployment import (  # noqa: E402
    Deployment,
    Node,
    Route,
    has_trouble,
    request_headers,
    run_case,
)
from standins_2.endpoint import Endpoint  # noqa: E402
from standins_2.http import encode_request, read_head  # noqa: E402

# The largest download of the site file.
FILE_BYTES = 540_000
DOWNLOADS = 12
CALLERS = 4
# The longest time budget of the sheets.
DEADLINE_MS = 30_000
RECEIVE_BYTES = 16_384
READ_BYTES = 5_000
# A caller reads 100 kB/s.
READ_INTERVAL_S = 0.05
# How many downloads a caller can read in its time budget, at its pace.
IN_BUDGET = int(DEADLINE_MS / 1_000 / READ_INTERVAL_S) * READ_BYTES // FILE_BYTES
MAX_LOST = 3


@dataclass(slots=True)
class Caller:
    """Represent a caller, its answers and when its connection was lost."""

    number: int
    answered: list[str] = field(default_factory=list)
    longest_pause_s: float = 0.0
    lost_at_s: float | None = None

    def requests(self) -> list[str]:
        """Return the ids of its requests, in their order."""
        return [f"file-{self.number}-{index}" for index in range(DOWNLOADS)]


async def read_answers(
    reader: asyncio.StreamReader, caller: Caller, began: float
) -> None:
    """Read answers at a steady pace until the time budget is over."""
    end = began + DEADLINE_MS / 1_000
    turn = time.time()
    while len(caller.answered) < DOWNLOADS and time.time() < end:
        answer = await asyncio.wait_for(read_head(reader), end - time.time())
        left = int(answer.headers["content-length"])
        while left:
            data = await asyncio.wait_for(
                reader.read(min(left, READ_BYTES)), max(0.01, end - time.time())
            )
            if not data:
                raise ConnectionResetError("the answer ended early")
            left -= len(data)
            if has_trouble():
                turn = max(turn + READ_INTERVAL_S, time.time() - 1)
                pause_s = max(0, turn - time.time())
                caller.longest_pause_s = max(caller.longest_pause_s, pause_s)
                await asyncio.sleep(pause_s)
        caller.answered.append(answer.headers["x-attempt-id"])


async def play_caller(deployment: Deployment, node: Node, caller: Caller) -> None:
    """Send downloads at once on one connection, and read their answers."""
    reader, writer = await deployment.connect(node, receive_bytes=RECEIVE_BYTES)
    began = time.time()
    for request_id in caller.requests():
        headers = request_headers(request_id, DEADLINE_MS)
        writer.write(encode_request("GET", f"/files/{request_id}", headers))
    deployment.note(f"caller {caller.number} sent {DOWNLOADS} downloads")
    try:
        await read_answers(reader, caller, began)
    except TimeoutError:
        deployment.note(f"caller {caller.number} has used its time budget")
    except (OSError, asyncio.IncompleteReadError) as error:
        caller.lost_at_s = time.time() - began
        deployment.note(
            f"caller {caller.number} lost its connection {caller.lost_at_s:.1f} s "
            f"after it had sent its requests: {error!r}"
        )
    deployment.note(
        f"caller {caller.number} got {len(caller.answered)} whole answers; its "
        f"longest pause between reads was {caller.longest_pause_s:.2f} s"
    )
    writer.close()


async def play(deployment: Deployment) -> bool:
    """Return whether at most a few requests lost their connection."""
    deployment.put_manifest(
        [Route("r-files", "/files/", "depot", "download", 30, 1.5)], ["depot"]
    )
    endpoint = Endpoint(
        deployment.store,
        "i-depot-1",
        "depot",
        lambda _: b"f" * FILE_BYTES,
        slots=CALLERS * DOWNLOADS,
    )
    await endpoint.start(deployment.address(3))
    node = await deployment.start_node(2)
    await deployment.wait_until_ready(node)
    callers = [Caller(number) for number in range(CALLERS)]
    await asyncio.gather(*(play_caller(deployment, node, caller) for caller in callers))
    ran = {request_id for _, request_id in endpoint.runs}
    lost = [
        request_id
        for caller in callers
        if caller.lost_at_s is not None
        for request_id in caller.requests()[:IN_BUDGET]
        if request_id in ran and request_id not in caller.answered
    ]
    deployment.note(
        f"of the first {IN_BUDGET} of each caller, passed on and cut without a "
        f"whole answer: {len(lost)}: {lost}"
    )
    return len(lost) <= MAX_LOST


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
