"""Time the decisions on one request."""

import time

from bilberry_balance.admission import AdmissionQueue, Admit, QueuePriority
from bilberry_balance.endpoint import AttemptOutcome
from bilberry_balance.pool import Pool

from .balance_model import SERVICES
from .balance_options import MEMBERS, node_shares
from .report import Report

REQUESTS = 10_000
IN_FLIGHT = 8
TIMEOUT_MS = 1_000


def add_cost_table(report: Report) -> None:
    """Add the time of one request's decisions for each service."""
    columns = ["service", "endpoints", "admit, pick and end: us"]
    table = report.table("One request's decisions on one node", columns)
    for size in SERVICES:
        pool = Pool(seed=1)
        pool.update(node_shares(size, MEMBERS[0]), 0)
        table.add(size.name, size.endpoints, decision_us(pool))


def decision_us(pool: Pool) -> float:
    """Return the time in us for one request, with a few in flight."""
    queue = AdmissionQueue(3 * IN_FLIGHT, min_running=IN_FLIGHT)
    running: list[str] = []
    started_ns = time.perf_counter_ns()
    for now_ms in range(REQUESTS):
        decision = queue.offer(QueuePriority.NORMAL, now_ms + TIMEOUT_MS, now_ms)
        assert isinstance(decision, Admit), "the queue has room"
        pick = pool.pick(now_ms)
        assert pick is not None, "the pool has room"
        pool.on_request_started(pick.endpoint, now_ms)
        running.append(pick.endpoint)
        if len(running) > IN_FLIGHT:
            pool.on_request_finished(
                running.pop(0), 50, AttemptOutcome.ANSWERED, now_ms
            )
            queue.release(50, now_ms)
    return (time.perf_counter_ns() - started_ns) / 1_000 / REQUESTS
