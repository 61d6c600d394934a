"""Weigh an owner node for idempotency keys against claims in the store."""

import random
import sys
import time
import uuid
from dataclasses import dataclass

from bilberry_balance.key_handover import apply_handover, build_handovers
from bilberry_balance.keys import Execute, KeyTable, StoredResponse, UnknownOutcome
from bilberry_balance.ownership import Ownership

from .report import Report

WALL_MS = 1_700_000_000_000
MEMBERS = tuple(f"n{i}" for i in range(10))
STORE_MS = 5
HOP_MS = 8
BOOKINGS_PER_S = 320
CRASH_MS = 30_000
NOTICE_MS = 2_000
JOIN_MS = 60_000
OUTAGE_MS = (80_000, 110_000)
END_MS = 120_000
CONFIRM_EVERY_MS = 1_000
COUNTED_KEYS = 20_000


@dataclass(slots=True)
class Bookings:
    """Count how the bookings of one option fared."""

    ran: int = 0
    unknown: int = 0
    refused: int = 0
    store_writes: int = 0

    @property
    def total(self) -> int:
        """Return the number of bookings."""
        return self.ran + self.unknown + self.refused


class Fleet:
    """Drive ten owner nodes through a crash, a join and a store outage."""

    __slots__ = ("members", "number", "rng", "tables")

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.members: tuple[str, ...] = ()
        self.tables = {name: KeyTable(Ownership(name)) for name in MEMBERS}
        self.number = 0
        self.change(MEMBERS, 0)

    def change(self, members: tuple[str, ...], now_ms: int) -> None:
        """Let every node see a new epoch and hand over what moved."""
        self.number += 1
        number = self.number
        former, self.members = self.members, members
        for name in members:
            if name not in self.tables:
                self.tables[name] = KeyTable(Ownership(name))
        for table in self.tables.values():
            wall_ms = WALL_MS + now_ms
            table.ownership.on_epoch(number, members, former, now_ms, wall_ms)
            for handover in build_handovers(table, now_ms):
                target = self.tables[handover.target]
                target.ownership.on_epoch(number, members, former, now_ms, wall_ms)
                apply_handover(target, handover, now_ms)

    def confirm(self, now_ms: int) -> None:
        """Confirm the epoch by the store, or among the nodes without it."""
        for name in self.members:
            if name in self.tables:
                self.confirm_one(self.tables[name].ownership, now_ms)

    def confirm_one(self, ownership: Ownership, now_ms: int) -> None:
        """Let one node confirm its newest epoch."""
        newest = ownership.newest
        assert newest is not None, "every node has seen an epoch"
        if not OUTAGE_MS[0] <= now_ms < OUTAGE_MS[1]:
            ownership.on_confirmed(newest.number, now_ms)
        for peer in self.members:
            if peer in self.tables:
                wall_ms = WALL_MS + now_ms
                ownership.on_peer_epoch(peer, newest.number, now_ms, now_ms, wall_ms)

    def book(self, now_ms: int, counts: Bookings) -> None:
        """Send one fresh booking to the owner of its key."""
        key = fresh_key(self.rng, WALL_MS + now_ms)
        entry = next(iter(self.tables.values()))
        table = self.tables.get(entry.ownership.owner(key) or "")
        if table is None:
            counts.refused += 1
            return
        decision = table.begin(key, "f", now_ms, WALL_MS + now_ms)
        if isinstance(decision, Execute):
            table.mark_lost(key, now_ms)
            counts.ran += 1
        elif isinstance(decision, UnknownOutcome):
            counts.unknown += 1
        else:
            counts.refused += 1


def fresh_key(rng: random.Random, wall_ms: int) -> str:
    """Return a UUIDv7 of a caller whose clock is about a second wrong."""
    minted_ms = wall_ms + int(rng.gauss(0, 1_000))
    low = rng.getrandbits(62)
    value = (minted_ms << 80) | (7 << 76) | (0b10 << 62) | low
    return str(uuid.UUID(int=value))


def arrivals_ms() -> range:
    """Return the times of the bookings."""
    return range(0, END_MS, 1_000 // BOOKINGS_PER_S)


def measure_owner(seed: int) -> Bookings:
    """Return how bookings fare with an owner node for each key."""
    fleet = Fleet(seed)
    counts = Bookings()
    live = MEMBERS[1:]
    changes = [
        (CRASH_MS, lambda: fleet.tables.pop(MEMBERS[0])),
        (CRASH_MS + NOTICE_MS, lambda: fleet.change(live, CRASH_MS + NOTICE_MS)),
        (JOIN_MS, lambda: fleet.change((*live, "n10"), JOIN_MS)),
    ]
    confirmed_ms = -CONFIRM_EVERY_MS
    for now_ms in arrivals_ms():
        while changes and changes[0][0] <= now_ms:
            changes.pop(0)[1]()
        if now_ms >= confirmed_ms + CONFIRM_EVERY_MS:
            confirmed_ms = now_ms
            fleet.confirm(now_ms)
        fleet.book(now_ms, counts)
    counts.store_writes = fleet.number
    return counts


def count_claims() -> Bookings:
    """Return how bookings fare with a claim in the store for each."""
    counts = Bookings()
    for now_ms in arrivals_ms():
        if OUTAGE_MS[0] <= now_ms < OUTAGE_MS[1]:
            counts.refused += 1
            continue
        counts.ran += 1
        counts.store_writes += 1
    return counts


def key_cost() -> tuple[float, float]:
    """Return the time in us and the bytes that one stored key takes."""
    ownership = Ownership(MEMBERS[0])
    ownership.on_epoch(1, MEMBERS, (), 0, WALL_MS)
    ownership.on_confirmed(1, 10_000)
    table = KeyTable(ownership)
    rng = random.Random(1)
    keys = [fresh_key(rng, WALL_MS + 10_000) for _ in range(COUNTED_KEYS)]
    keys = [key for key in keys if ownership.owner(key) == MEMBERS[0]]
    answer = StoredResponse(201, (), b"")
    started_ns = time.perf_counter_ns()
    for key in keys:
        if isinstance(table.begin(key, "f", 10_000, WALL_MS + 10_000), Execute):
            table.store(key, answer, 10_000)
    spent_us = (time.perf_counter_ns() - started_ns) / 1_000 / len(keys)
    entry = next(iter(table.entries.values()))
    per_key = float(sys.getsizeof(entry) + sys.getsizeof(keys[0]))
    per_key += sys.getsizeof(table.entries) / max(1, len(table.entries))
    return spent_us, per_key


def add_key_tables(report: Report, seed: int) -> None:
    """Add the comparison of owner nodes with claims to the report."""
    table = report.table(
        f"Idempotency keys: {BOOKINGS_PER_S} bookings/s for 2 min, a node "
        "crashes at 30 s, one joins at 60 s, no store from 80 to 110 s",
        ["option", "ran", "409", "refused", "store writes", "adds ms"],
    )
    options = {
        "owner": (measure_owner(seed), HOP_MS),
        "claim": (count_claims(), STORE_MS),
    }
    for option, (counts, added_ms) in options.items():
        table.add(
            option,
            counts.ran / counts.total,
            counts.unknown / counts.total,
            counts.refused / counts.total,
            counts.store_writes,
            added_ms,
        )
    spent_us, size_bytes = key_cost()
    costs = report.table("One key at its owner", ["us", "bytes without answer"])
    costs.add(spent_us, size_bytes)
