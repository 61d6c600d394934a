"""Kill all nodes while a crashing request comes again (BUDGET)."""

import asyncio
import signal
import sys
import time
from functools import partial

from standins_3.case import Case, main, manifest, route
from standins_3.endpoint import CrashingEndpoint

ZONES = {"mtl-a": "mtl", "qc-a": "qc"}
RATE_PER_S = 20
ORDERS_PER_S = 20
STABILITY_WINDOW_S = 4.0
MAX_LATE_RETRIES = 3
KILLS = 2
PERIOD_S = 9.0
DOWN_S = 0.7
COMES = 6
PATHS = [f"/read/{number}" for number in range(50)]
ORDERS = [f"/order/{number}" for number in range(50)]
CRASHING = "/read/crash"


async def start(case: Case) -> None:
    """Start the deployment."""
    routes = [
        route("read", "/read/"),
        route("order", "/order/", kind="non_idempotent", max_attempts=1),
    ]
    await case.store.put("config", "main", manifest(3, routes, ["s"]))
    endpoint = partial(CrashingEndpoint, crashing=CRASHING)
    for number, zone in enumerate(["mtl-a", "qc-a"] * 4):
        await case.add_endpoint(f"i-7f3a91c{number}", "s", zone, kind=endpoint)
    for zone in ("mtl-a", "mtl-a", "qc-a"):
        await case.add_node(zone, ZONES)
    await case.start_nodes()


async def kill_all(case: Case) -> tuple[float, float]:
    """Kill all nodes and start them again; return when both was done."""
    killed_at = time.monotonic()
    for node in case.nodes:
        node.send(signal.SIGKILL)
    for node in case.nodes:
        node.kill()
    case.note("all processes are killed")
    await asyncio.sleep(DOWN_S)
    for node in case.nodes:
        node.start()
    case.note("all processes are started again")
    return killed_at, time.monotonic()


async def come_again(case: Case) -> None:
    """Send the crashing request several times."""
    caller = case.clients("mtl", "mtl-a")
    for _ in range(COMES):
        sent = await caller.send(CRASHING)
        case.note(f"{CRASHING} is answered {sent.status} {sent.body}")
        await asyncio.sleep(0.5)


def late_retries(case: Case, kills: list[tuple[float, float]]) -> list[str]:
    """Return what breaks the rule."""
    reached = sorted((r for r in case.runs if r.path == CRASHING), key=lambda r: r.at)
    for run in reached:
        case.note(f"{CRASHING} reached {run.endpoint} at {case.at(run.at):.3f}")
    if len(reached) < 3:
        return []
    third_at = reached[2].at
    late = [
        r
        for r in reached[3:]
        if r.at > third_at + STABILITY_WINDOW_S
        and not any(k <= r.at <= s + STABILITY_WINDOW_S for k, s in kills)
    ]
    if len(late) <= MAX_LATE_RETRIES:
        return []
    return [
        f"BUDGET: {CRASHING} reached {r.endpoint}"
        f" {r.at - third_at:.2f} s after its third crash"
        for r in late
    ]


async def play(case: Case) -> list[str]:
    """Return what breaks the rule."""
    await start(case)
    end = time.monotonic() + 10 + (KILLS + 1) * (PERIOD_S + STABILITY_WINDOW_S)
    clients = case.clients("mtl", "mtl-a")
    traffic = asyncio.gather(
        clients.run(RATE_PER_S, end, PATHS),
        clients.run(ORDERS_PER_S, end, ORDERS, method="POST"),
    )
    await come_again(case)
    kills: list[tuple[float, float]] = []
    for _ in range(KILLS):
        await asyncio.sleep(STABILITY_WINDOW_S)
        begun_at = time.monotonic()
        if case.trouble:
            kills.append(await kill_all(case))
        await asyncio.sleep(max(0, begun_at + PERIOD_S - time.monotonic()))
        await come_again(case)
    await traffic
    lost = {i for e in case.endpoints for i in getattr(e, "lost", [])}
    orders = [
        s for s in case.sent if s.attempt_id in lost and s.path.startswith("/order/")
    ]
    case.note(
        f"{len(orders)} orders of others ran at endpoints that crashed, answered"
        f" {[s.status for s in orders]}"
    )
    return late_retries(case, kills)


if __name__ == "__main__":
    sys.exit(main(__file__, play))
