"""An upstream that leaves while a node lists the entries stays in use.

The list comes in pages. The watch begins at the revision of the last page,
so that a removal of an entry of an earlier page is never seen.
"""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    Client,
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

PAGE_ITEMS = 500
LINK_ONE_WAY_S = 0.055
SERVICES = {"suivi": 354, "reserve": 159}
LEAVING = 88
LEAVE_EVERY_S = 0.03
DIRECTORY_TTL_S = 2.0
BOUNDS = {"drain_s": 4.0, "stability_window_s": 5.0, "grace_s": 10.0}
SLOTS = 9
WORK_S = 0.35
REQUESTS_PER_S = 100.0
LOAD_S = 12.0
OBJECTS = 1_000
# For what a client sent before the bound.
SLACK_S = 0.5


async def leave(
    platform: Platform, names: list[str], record: Record
) -> dict[str, float]:
    """Let upstreams leave in turn; return when the store acked each.

    Half of them report that they drain, and lose their entries later.
    """
    left_s = {}
    reporting = []
    for index, name in enumerate(names):
        if index % 2:
            reporting.append(name)
            platform.drain(name)
            record.write(f"{name} reports that it drains")
        else:
            platform.unregister(name)
            record.write(f"entry of {name} removed")
        left_s[name] = record.now_s()
        await asyncio.sleep(LEAVE_EVERY_S)
    await asyncio.sleep(BOUNDS["drain_s"])
    for name in reporting:
        platform.unregister(name)
        record.write(f"entry of {name} removed")
    return left_s


def record_list(record: Record, method: str, target: str) -> None:
    """Record a call that lists the upstreams."""
    if method == "GET" and "/servers" in target and "watch=" not in target:
        record.write(f"store: {method} {target}")


async def send_requests(client: Client) -> int:
    """Send requests at a steady rate; return how many got a success."""
    tasks = []
    begin_s = time.monotonic()
    for index in range(int(LOAD_S * REQUESTS_PER_S)):
        key = random.randrange(OBJECTS)
        request = client.request("GET", f"/read/{key}", key=str(key))
        tasks.append(asyncio.create_task(request))
        due_s = begin_s + index / REQUESTS_PER_S
        await asyncio.sleep(max(0, due_s - time.monotonic()))
    answers = await asyncio.gather(*tasks)
    return sum(answer.status == 200 for answer in answers)


def count_late(
    upstreams: dict[str, Upstream], left_s: dict[str, float], in_touch_s: float
) -> dict[str, int]:
    """Return how many runs came too late, by upstream."""
    late = {}
    for name, at_s in left_s.items():
        end_s = max(at_s + BOUNDS["drain_s"], in_touch_s)
        count = sum(run.at_s > end_s + SLACK_S for run in upstreams[name].runs)
        if count:
            late[name] = count
    return late


async def case(record: Record, directory: Path) -> int:
    """Return 1 if upstreams get requests long after they have left."""
    store = Store(PAGE_ITEMS, LINK_ONE_WAY_S)
    routes = [route("read", "/read/", "suivi", "idempotent", sticky=True)]
    store.put("config", "main", manifest(routes, list(SERVICES)))
    upstreams = [
        Upstream(
            f"i-{random.getrandbits(32):08x}", service, "qc-a", SLOTS, WORK_S, record
        )
        for service, count in SERVICES.items()
        for _ in range(count)
    ]
    store.on_call = lambda method, target: record_list(record, method, target)
    by_name = {upstream.name: upstream for upstream in upstreams}
    platform = Platform(store, upstreams)
    await platform.start()
    node = Node(directory, "front-qc-a-1", "qc-a", store.address, **BOUNDS)
    node.start()
    try:
        if not await node.wait_ready():
            return 2
        await asyncio.sleep(1)
        suivi = [name for name in by_name if by_name[name].service == "suivi"]
        if has_trouble():
            node.send(signal.SIGTERM)
            if await node.wait(BOUNDS["grace_s"]) is None:
                return 2
            node.start()
            restarted_s = record.now_s()
            record.write("node started again")
        else:
            restarted_s = 0.0
        in_touch_s = restarted_s + BOUNDS["stability_window_s"]
        leaving = asyncio.create_task(leave(platform, suivi[:LEAVING], record))
        if not await node.wait_ready():
            return 2
        record.write("node ready")
        # Clients learn of the node once their directory answers expire.
        await asyncio.sleep(DIRECTORY_TTL_S)
        await asyncio.sleep(max(0, in_touch_s + SLACK_S - record.now_s()))
        served = await send_requests(Client(node.ip, node.front_port, record))
        left_s = await leaving
        late = count_late(by_name, left_s, in_touch_s)
        record.write(f"{served} served; late runs at upstreams that left: {late}")
        if not has_trouble() and not served:
            return 2
        return 1 if late else 0
    finally:
        node.close()


if __name__ == "__main__":
    run_case(case, __file__)
