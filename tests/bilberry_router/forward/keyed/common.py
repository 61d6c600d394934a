"""Several nodes that share a store and own idempotency keys."""

import gevent
import msgspec

from bilberry_core.outcome import Failure, Success
from bilberry_fleet.messages import Member, MemberState
from bilberry_router.http.server import Server
from bilberry_store.errors import StoreError, StoreErrorKind
from tests.bilberry_router.forward.common import OK, ForwarderFixture


class FakeStore:
    """In-memory store with conditional writes."""

    def __init__(self):
        self.objects = {}
        self.is_down = False

    def get(self, kind, name):
        if self.is_down:
            return Failure(StoreError(kind=StoreErrorKind.UNREACHABLE))
        found = self.objects.get((kind, name))
        if found is None:
            return Failure(StoreError(kind=StoreErrorKind.NOT_FOUND))
        return Success(found)

    def put(self, stored, if_version):
        if self.is_down:
            return Failure(StoreError(kind=StoreErrorKind.UNREACHABLE))
        key = stored.kind, stored.metadata.name
        current = self.objects.get(key)
        if (current.metadata.version if current else 0) != if_version:
            return Failure(StoreError(kind=StoreErrorKind.CONFLICT))
        metadata = msgspec.structs.replace(stored.metadata, version=if_version + 1)
        self.objects[key] = msgspec.structs.replace(stored, metadata=metadata)
        return Success(self.objects[key])


class Nodes:
    """Run nodes with one scripted upstream; epochs tick on demand."""

    def __init__(self, script, count=3, store=None):
        self.store = store or FakeStore()
        self.rigs = [ForwarderFixture(script, name="n1", store=self.store)]
        shared = self.rigs[0].addresses
        for index in range(1, count):
            rig = ForwarderFixture(name=f"n{index + 1}", store=self.store)
            rig.install(shared)
            self.rigs.append(rig)
        self.peers = [
            Server("127.0.0.1:0", rig.forwarder.handle_peer, max_connections=100)
            for rig in self.rigs
        ]
        self.live = []
        self.crashed = []

    def __enter__(self):
        for rig, peer in zip(self.rigs, self.peers, strict=True):
            rig.__enter__()
            peer.start()
        self.join(*range(len(self.rigs)))
        return self

    def __exit__(self, *error):
        for rig, peer in zip(self.rigs, self.peers, strict=True):
            peer.stop(timeout=0)
            rig.__exit__()

    def join(self, *indexes):
        """Make only these nodes live and update the epoch."""
        self.live = list(indexes)
        members = self.members(indexes)
        for rig in self.rigs:
            rig.state.set_members(members)
        self.tick()
        self.tick()
        gevent.sleep(0.05)

    def members(self, indexes):
        return [
            Member(
                name=self.rigs[i].state.settings.node.name,
                peer_address=self.peers[i].bound_address,
                state=MemberState.LIVE,
            )
            for i in indexes
        ]

    def tick(self):
        """Tick every node that has not crashed, including leaving ones."""
        for rig in self.rigs:
            if rig not in self.crashed:
                rig.forwarder.keys.epochs.last_write_ms = -10_000
                rig.forwarder.keys.epochs.started_ms = -10_000
                rig.forwarder.keys.epochs.tick()

    def owner(self, key):
        """Return the index of the key's owner."""
        names = [rig.forwarder.keys.coordinator.member for rig in self.rigs]
        return names.index(
            self.rigs[self.live[0]].forwarder.keys.coordinator.ownership.owner(key)
        )

    def other(self, key):
        """Return the index of a live node that is not the key's owner."""
        return next(i for i in self.live if i != self.owner(key))

    def ask(self, index, key, body=b"x", method="POST", path="/x", headers=()):
        sent = [f"Idempotency-Key: {key}", *headers]
        return self.rigs[index].ask(method, path, sent, body)

    @property
    def executions(self):
        return [body for _, body in self.rigs[0].upstreams[0].requests]


def answer_with_count(upstream, sock):
    """Answer each request with the number of requests so far."""
    while upstream.read_request(sock) is not None:
        body = b"%d" % len(upstream.requests)
        head = b"HTTP/1.1 201 Made\r\nX-Count: %b\r\nContent-Length: %d\r\n\r\n"
        sock.sendall(head % (body, len(body)) + body)


def answer_slowly(upstream, sock):
    while upstream.read_request(sock) is not None:
        gevent.sleep(0.1)
        sock.sendall(OK)
