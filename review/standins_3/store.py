"""Stand-in of the platform's metadata store, as its page describes it."""

import asyncio
import contextlib
import functools
import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from .http import Message, abort, encode, read_message

PAGE_ITEMS = 500
PAGE_BYTES = 1_048_576
HISTORY_S = 20.0
STATUS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone"}


@dataclass
class StoredObject:
    """Store one object; `raw` replaces its bytes if it can't be read."""

    name: str
    revision: int
    created: int
    spec: Any
    status: Any = None
    raw: Callable[["StoredObject"], bytes] | None = None

    def encode(self) -> bytes:
        """Return the object as a store writes it."""
        if self.raw is not None:
            return self.raw(self)
        metadata = {
            "name": self.name,
            "revision": self.revision,
            "created": self.created,
            "finalizers": [],
            "deleting": False,
        }
        content = {"metadata": metadata, "spec": self.spec, "status": self.status}
        return json.dumps(content).encode()


@dataclass
class Event:
    """Store one change, with the object's bytes after it."""

    kind: str
    revision: int
    at: float
    content: bytes
    deleted: bool


class Store:
    """Serve objects; `stale_s` is how old a serializable watch may be.

    The `exact_readers` are the nodes that made exact watches of the manifest,
    the latest last.
    """

    def __init__(self) -> None:
        self.kinds: dict[str, dict[str, StoredObject]] = {}
        self.revision = 100
        self.history: list[Event] = []
        self.dropped_revision = 0
        self.stale_s = 0.0
        self.changed = asyncio.Event()
        self.servers: list[asyncio.Server] = []
        self.writers: dict[asyncio.StreamWriter, str] = {}
        self.exact_readers: list[str] = []

    async def listen(self, host: str, caller: str) -> str:
        """Listen for one caller, to tell callers apart; return the address."""
        serve = functools.partial(self.serve, caller)
        server = await asyncio.start_server(serve, host, 0)
        self.servers.append(server)
        return f"{host}:{server.sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        """Stop listening."""
        for server in self.servers:
            server.close()
        for writer in list(self.writers):
            abort(writer)

    async def put(
        self,
        kind: str,
        name: str,
        spec: Any,
        status: Any = None,
        raw: Callable[[StoredObject], bytes] | None = None,
    ) -> float:
        """Create or replace an object; return when it was acknowledged."""
        old = self.kinds.get(kind, {}).get(name)
        self.revision += 1
        created = old.created if old else self.revision
        item = StoredObject(name, self.revision, created, spec, status, raw)
        self.kinds.setdefault(kind, {})[name] = item
        return await self.record(kind, item, deleted=False)

    async def put_status(self, kind: str, name: str, status: Any) -> float | None:
        """Replace an object's status; return when that was acknowledged.

        An entry changes when more than its `sequence` changes.
        """
        item = self.kinds.get(kind, {}).get(name)
        if item is None:
            return None
        if _without_sequence(item.status) == _without_sequence(status):
            item.status = status
            return time.monotonic()
        self.revision += 1
        item.revision, item.status = self.revision, status
        return await self.record(kind, item, deleted=False)

    async def delete(self, kind: str, name: str) -> float | None:
        """Remove an object; return when that was acknowledged."""
        item = self.kinds.get(kind, {}).pop(name, None)
        if item is None:
            return None
        self.revision += 1
        item.revision = self.revision
        return await self.record(kind, item, deleted=True)

    async def record(self, kind: str, item: StoredObject, deleted: bool) -> float:
        """Add a change to the history, and wake the watches."""
        now = time.monotonic()
        event = Event(kind, item.revision, now, item.encode(), deleted)
        self.history.append(event)
        while self.history and self.history[0].at < now - HISTORY_S:
            self.dropped_revision = self.history.pop(0).revision
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return now

    async def serve(
        self, caller: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        self.writers[writer] = caller
        try:
            while True:
                request = await read_message(reader)
                target = request.first_line
                if "/config?" in target and "serializable" not in target:
                    self.exact_readers.append(caller)
                status, body = await self.answer(request)
                first = f"HTTP/1.1 {status} {STATUS.get(status, 'Status')}"
                writer.write(encode(first, {"Content-Type": "application/json"}, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.writers.pop(writer, None)
            writer.close()

    async def answer(self, request: Message) -> tuple[int, bytes]:
        """Return the answer to one call."""
        method, target, _ = request.first_line.split(" ")
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        parts = [unquote(part) for part in url.path.split("/")[2:]]
        kind, name = parts[0], "/".join(parts[1:])
        if method == "GET" and "watch" in query:
            return await self.watch(kind, query)
        if method == "GET" and not name:
            return 200, self.page(kind, query.get("after", ""))
        known = self.kinds.get(kind, {}).get(name)
        if method == "GET":
            return (200, known.encode()) if known else (404, b"{}")
        if method == "POST":
            return await self.create(kind, request.body)
        if known is None:
            return 404, b"{}"
        if method == "PUT":
            return await self.replace(kind, known, request.body)
        if "revision" in query and int(query["revision"]) != known.revision:
            return 409, known.encode()
        await self.delete(kind, name)
        return 200, known.encode()

    async def create(self, kind: str, data: bytes) -> tuple[int, bytes]:
        """Create an object unless it exists."""
        body = json.loads(data)
        name = body["metadata"]["name"]
        if name in self.kinds.get(kind, {}):
            return 409, self.kinds[kind][name].encode()
        await self.put(kind, name, body["spec"])
        return 200, self.kinds[kind][name].encode()

    async def replace(
        self, kind: str, known: StoredObject, data: bytes
    ) -> tuple[int, bytes]:
        """Replace the spec of an object, unless its revision is another."""
        body = json.loads(data)
        revision = body["metadata"].get("revision")
        if revision is not None and revision != known.revision:
            return 409, known.encode()
        if known.spec != body["spec"]:
            await self.put(kind, known.name, body["spec"], known.status)
        return 200, self.kinds[kind][known.name].encode()

    def page(self, kind: str, after: str) -> bytes:
        """Return a page of 500 objects or 1 MB at most, one at least."""
        items = self.kinds.get(kind, {})
        names = sorted(name for name in items if name > after)
        page: list[bytes] = []
        for name in names[:PAGE_ITEMS]:
            content = items[name].encode()
            if page and sum(map(len, page)) + len(content) > PAGE_BYTES:
                break
            page.append(content)
        more = b"true" if len(names) > len(page) else b"false"
        return b'{"items":[%s],"has_more":%s,"as_of":%d}' % (
            b",".join(page),
            more,
            self.revision,
        )

    async def watch(self, kind: str, query: dict[str, str]) -> tuple[int, bytes]:
        """Return the changes after a revision as soon as there is one."""
        since = int(query["watch"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        stale_s = self.stale_s if "serializable" in query else 0.0
        if since < self.dropped_revision:
            return 410, b"{}"
        while True:
            now = time.monotonic()
            seen = [e for e in self.history if e.at <= now - stale_s]
            events = [e for e in seen if e.kind == kind and e.revision > since]
            if events or now >= end:
                as_of = max([since, *(e.revision for e in seen)])
                if not stale_s:
                    as_of = max(as_of, self.revision)
                changes = b",".join(
                    b'{"object":%s,"deleted":%s}'
                    % (e.content, b"true" if e.deleted else b"false")
                    for e in events
                )
                return 200, b'{"events":[%s],"as_of":%d}' % (changes, as_of)
            wait_s = min(end - now, 0.05 if stale_s else end - now)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), max(wait_s, 0.001))


def _without_sequence(status: Any) -> Any:
    """Return a status without the figure that each heartbeat raises."""
    if not isinstance(status, dict):
        return status
    return {key: value for key, value in status.items() if key != "sequence"}
