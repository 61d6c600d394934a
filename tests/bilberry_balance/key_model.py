"""A model of nodes, a store and callers that fail at random.

It counts the executions of each idempotency key.
"""

import heapq
import random
import uuid

from bilberry_balance.key_handover import (
    apply_handover,
    build_end_report,
    build_handovers,
)
from bilberry_balance.keys import Execute, KeyTable, StoredResponse
from bilberry_balance.ownership import Ownership

WALL = 1_700_000_000_000
STEPS = 600
MAX_SKEW_MS = 1_000
RESPONSE = StoredResponse(200, (), b"done")


class Node:
    def __init__(self, name, skew_ms):
        self.name = name
        self.table = KeyTable(Ownership(name))
        self.skew_ms = skew_ms
        self.paused_until_ms = 0


class Model:
    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.pending = []
        self.event_count = 0
        self.nodes = {}
        self.keys = []
        self.runs = {}
        self.max_runs_per_key = 0
        self.store_is_up = True
        self.broken_links = set()
        for _ in range(4):
            self.add_node()
        self.epoch = (1, tuple(self.nodes), ())
        for node in list(self.nodes.values()):
            self.see_epoch(node, self.epoch)

    def add_node(self):
        self.event_count += 1
        skew_ms = self.rng.randint(-MAX_SKEW_MS, MAX_SKEW_MS)
        node = Node(f"n{self.event_count}", skew_ms)
        self.nodes[node.name] = node
        return node

    def wall_ms(self, node):
        return WALL + self.now_ms + node.skew_ms

    def schedule(self, max_delay_ms, action, *args):
        delay_ms = self.rng.randint(0, max_delay_ms)
        self.event_count += 1
        heapq.heappush(
            self.pending, (self.now_ms + delay_ms, self.event_count, action, args)
        )

    def run(self):
        for _ in range(STEPS):
            until_ms = self.now_ms + self.rng.randint(1, 400)
            while self.pending and self.pending[0][0] <= until_ms:
                due_ms, _, action, args = heapq.heappop(self.pending)
                self.now_ms = max(self.now_ms, due_ms)
                action(*args)
            self.now_ms = until_ms
            self.do_random_action()

    def do_random_action(self):
        choice = self.rng.random()
        if choice < 0.04:
            self.rng.choice([self.crash, self.join, self.evict, self.pause])()
        elif choice < 0.06:
            self.store_is_up = not self.store_is_up
        elif choice < 0.09:
            self.toggle_link()
        elif choice < 0.6:
            self.request()
        else:
            self.gossip()

    def any_node(self):
        return self.rng.choice(list(self.nodes.values()))

    def reachable(self, one, other):
        return one == other or frozenset((one, other)) not in self.broken_links

    def toggle_link(self):
        names = [self.any_node().name, self.any_node().name, "store"]
        self.broken_links ^= {frozenset(self.rng.sample(names, 2))}

    def write_epoch(self, members):
        if not self.store_is_up or not members:
            return
        number, members_before, _ = self.epoch
        self.epoch = (number + 1, members, members_before)

    def crash(self):
        name = self.any_node().name
        del self.nodes[name]
        self.schedule(5_000, self.drop_member, name)
        if not self.nodes:
            self.join()

    def drop_member(self, name):
        self.write_epoch(tuple(n for n in self.epoch[1] if n != name))

    def evict(self):
        self.drop_member(self.any_node().name)

    def join(self):
        if len(self.nodes) < 6:
            node = self.add_node()
            self.write_epoch((*self.epoch[1], node.name))

    def pause(self):
        self.any_node().paused_until_ms = self.now_ms + self.rng.randint(0, 10_000)

    def gossip(self):
        for node in list(self.nodes.values()):
            self.detect_ended_members(node)
            if self.store_is_up and self.reachable(node.name, "store"):
                self.schedule(800, self.read_store, node, self.epoch, self.now_ms)
            for peer in list(self.nodes.values()):
                newest = peer.table.ownership.newest
                if newest is None or not self.reachable(node.name, peer.name):
                    continue
                args = (node, peer.name, newest.number, self.now_ms)
                self.schedule(800, self.receive_peer_epoch, *args)

    def detect_ended_members(self, node):
        newest = node.table.ownership.newest
        for name in newest.former_members if newest else ():
            if name not in self.nodes:
                self.schedule(800, self.report_ended_member, node, name)

    def report_ended_member(self, node, name):
        if self.check_awake_or_defer(node, self.report_ended_member, node, name):
            wall_ms = self.wall_ms(node)
            node.table.ownership.on_member_ended(name, self.now_ms, wall_ms)

    def check_awake_or_defer(self, node, action, *args):
        if self.nodes.get(node.name) is not node:
            return False
        if self.now_ms < node.paused_until_ms:
            delay_ms = node.paused_until_ms - self.now_ms
            self.event_count += 1
            due_ms = self.now_ms + delay_ms
            heapq.heappush(self.pending, (due_ms, self.event_count, action, args))
            return False
        return True

    def read_store(self, node, epoch, asked_ms):
        if not self.check_awake_or_defer(node, self.read_store, node, epoch, asked_ms):
            return
        self.see_epoch(node, epoch)
        node.table.ownership.on_confirmed(epoch[0], asked_ms)

    def see_epoch(self, node, epoch):
        ownership = node.table.ownership
        if not ownership.on_epoch(*epoch, self.now_ms, self.wall_ms(node)):
            return
        for message in build_handovers(node.table, self.now_ms):
            self.send(node, message)

    def receive_peer_epoch(self, node, peer, number, asked_ms):
        args = (node, peer, number, asked_ms)
        if self.check_awake_or_defer(node, self.receive_peer_epoch, *args):
            wall_ms = self.wall_ms(node)
            node.table.ownership.on_peer_epoch(
                peer, number, asked_ms, self.now_ms, wall_ms
            )

    def send(self, node, message):
        lost = self.rng.random() < 0.1
        if not lost and self.reachable(node.name, message.target):
            self.schedule(1_000, self.receive, message)

    def receive(self, message):
        target = self.nodes.get(message.target)
        if target is not None and self.check_awake_or_defer(
            target, self.receive, message
        ):
            apply_handover(target.table, message, self.now_ms)

    def new_key(self):
        if self.rng.random() < 0.3:
            key = f"plain-{self.event_count}-{len(self.keys)}"
        else:
            skew_ms = self.rng.choice([0, 0, -20_000, 20_000, 90_000, -90_000])
            created_ms = WALL + self.now_ms + skew_ms
            value = (created_ms << 80) | (7 << 76) | (0b10 << 62) | len(self.keys)
            key = str(uuid.UUID(int=value))
        self.keys.append(key)
        return key

    def request(self):
        reuse_key = self.keys and self.rng.random() < 0.6
        key = self.rng.choice(self.keys[-40:]) if reuse_key else self.new_key()
        entry = self.any_node()
        owner = entry.table.ownership.owner(key)
        target = self.nodes.get(owner)
        if target is not None and self.reachable(entry.name, owner):
            self.schedule(300, self.begin, target, key)

    def begin(self, node, key):
        if not self.check_awake_or_defer(node, self.begin, node, key):
            return
        wall_ms = self.wall_ms(node)
        decision = node.table.begin(key, "f", self.now_ms, wall_ms)
        if isinstance(decision, Execute):
            self.runs[key] = self.runs.get(key, 0) + 1
            self.max_runs_per_key = max(self.max_runs_per_key, self.runs[key])
            self.schedule(9_000, self.finish, node, key)

    def finish(self, node, key):
        if not self.check_awake_or_defer(node, self.finish, node, key):
            return
        choice = self.rng.random()
        if choice < 0.6:
            node.table.store(key, RESPONSE, self.now_ms)
        elif choice < 0.8:
            node.table.mark_lost(key, self.now_ms)
        else:
            node.table.release(key)
            self.runs[key] -= 1
        message = build_end_report(node.table, key, self.now_ms)
        if message is not None:
            self.send(node, message)
