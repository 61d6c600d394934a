"""A node is stopped while callers read large answers and send on."""

import asyncio
import signal
import sys
import time
from collections.abc import Callable
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
from standins_2.http import Message, encode_request, read_head  # noqa: E402

# The largest download of the site file.
FILE_BYTES = 540_000
CALLERS = 8
WORK_S = 0.3
DEADLINE_MS = 12_000
RECEIVE_BYTES = 16_384
READ_BYTES = 16_384
# A caller reads about 200 kB/s.
READ_PAUSE_S = 0.08
# After the downloads were requested.
SIGTERM_S = 1.0
SEND_ON_S = 1.6
ANSWER_TIMEOUT_S = 12


@dataclass(slots=True)
class Caller:
    """Represent a caller and which of its requests got whole answers."""

    number: int
    sent: list[str] = field(default_factory=list)
    answered: list[str] = field(default_factory=list)

    def request(self) -> bytes:
        """Return the next request's bytes."""
        request_id = f"file-{self.number}-{len(self.sent)}"
        self.sent.append(request_id)
        headers = request_headers(request_id, DEADLINE_MS)
        return encode_request("GET", f"/files/{request_id}", headers)


async def read_whole(
    reader: asyncio.StreamReader, on_close: Callable[[], object]
) -> Message:
    """Return the next answer, read slowly; tell at once if it is the last."""
    answer = await asyncio.wait_for(read_head(reader), ANSWER_TIMEOUT_S)
    if answer.headers.get("connection") == "close":
        on_close()
    left = int(answer.headers["content-length"])
    while left:
        data = await asyncio.wait_for(
            reader.read(min(left, READ_BYTES)), ANSWER_TIMEOUT_S
        )
        if not data:
            raise ConnectionResetError("the answer ended early")
        left -= len(data)
        await asyncio.sleep(READ_PAUSE_S)
    return answer


async def play_caller(deployment: Deployment, node: Node, caller: Caller) -> None:
    """Send a download, read its answer, and meanwhile send a further one."""
    reader, writer = await deployment.connect(node, receive_bytes=RECEIVE_BYTES)
    writer.write(caller.request())
    deployment.note(f"caller {caller.number} sent {caller.sent[-1]}")
    more = asyncio.create_task(send_on(deployment, caller, writer))
    try:
        while len(caller.answered) < len(caller.sent):
            answer = await read_whole(reader, more.cancel)
            request_id = answer.headers["x-attempt-id"]
            caller.answered.append(request_id)
            closes = answer.headers.get("connection", "") == "close"
            deployment.note(
                f"{request_id} answered {answer.status}{' (close)' if closes else ''}"
            )
            if closes:
                break
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        deployment.note(f"caller {caller.number} lost its connection: {error!r}")
    more.cancel()
    writer.close()


async def send_on(
    deployment: Deployment, caller: Caller, writer: asyncio.StreamWriter
) -> None:
    """Send a further request unless the connection is said to close."""
    await asyncio.sleep(SEND_ON_S)
    writer.write(caller.request())
    deployment.note(f"caller {caller.number} sent {caller.sent[-1]}")


async def play(deployment: Deployment) -> bool:
    """Return whether all that was passed on got its whole answer."""
    deployment.put_manifest(
        [Route("r-files", "/files/", "depot", "download", 12, 1.5)], ["depot"]
    )
    endpoint = Endpoint(
        deployment.store,
        "i-depot-1",
        "depot",
        lambda _: b"f" * FILE_BYTES,
        work_s=WORK_S,
        slots=CALLERS * 2,
    )
    await endpoint.start(deployment.address(3))
    node = await deployment.start_node(2)
    await deployment.wait_until_ready(node)
    callers = [Caller(number) for number in range(CALLERS)]
    began = time.time()
    tasks = [
        asyncio.create_task(play_caller(deployment, node, caller)) for caller in callers
    ]
    await asyncio.sleep(SIGTERM_S)
    if has_trouble():
        deployment.note("SIGTERM")
        node.process.send_signal(signal.SIGTERM)
    await asyncio.gather(*tasks)
    deployment.note(f"callers ended after {time.time() - began:.1f} s")
    ran = {request_id for _, request_id in endpoint.runs}
    deployment.note(f"the endpoint ran {sorted(ran)}")
    lost = [
        request_id
        for caller in callers
        for request_id in caller.sent
        if request_id in ran and request_id not in caller.answered
    ]
    deployment.note(f"ran without a whole answer: {len(lost)}: {lost}")
    return not lost


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
