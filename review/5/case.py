"""A SIGHUP ends a node that is about to start."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
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

NODES = 2
ROUNDS = 3
RESTART_S = 1.2
HUP_AFTER_S = 0.15


async def start(node: Node, record: Record) -> bool:
    """Start a node; return whether it ends by itself."""
    node.start()
    record.write(f"{node.name} starts")
    if has_trouble():
        await asyncio.sleep(HUP_AFTER_S)
        text = node.settings.read_text()
        old, new = "retry_budget_slack = 60", "retry_budget_slack = 62"
        node.settings.write_text(text.replace(old, new))
        node.send(signal.SIGHUP)
        record.write(f"settings of {node.name} changed, SIGHUP")
    code = await node.wait(RESTART_S)
    if code is not None:
        record.write(f"{node.name} ended by itself with {code}")
        await asyncio.sleep(RESTART_S)
    return code is not None


async def count_ends(node: Node, record: Record) -> int:
    """Start a node until it runs; return how often it ended by itself."""
    ends = 0
    while ends < ROUNDS and await start(node, record):
        ends += 1
    return ends


async def case(record: Record, directory: Path) -> int:
    """Return 1 if two processes end by themselves three times each."""
    store = Store()
    routes = [route("read", "/read/", "s", "idempotent")]
    store.put("config", "main", manifest(routes, ["s"]))
    upstreams = [Upstream("i-0", "s", "mtl-a", 4, 0.02, record)]
    await Platform(store, upstreams).start()
    nodes = [
        Node(directory, f"front-mtl-a-{index}", "mtl-a", store.address)
        for index in range(NODES)
    ]
    try:
        ends = await asyncio.gather(*(count_ends(node, record) for node in nodes))
        record.write(f"ends of their own: {ends}")
        if not has_trouble():
            ready = [await node.wait_ready() for node in nodes]
            return 1 if any(ends) else 0 if all(ready) else 2
        return 1 if min(ends) >= ROUNDS else 0
    finally:
        for node in nodes:
            node.close()


if __name__ == "__main__":
    run_case(case, __file__)
