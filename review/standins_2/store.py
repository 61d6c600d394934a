"""Stand in for the platform's store, as its page describes it."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from .http import STREAM_LIMIT_BYTES, Answer, Message, read_message

FIRST_REVISION = 100


class Store:
    """Keep objects by kind and name, and serve lists and watches."""

    def __init__(self) -> None:
        self.revision = FIRST_REVISION
        self.objects: dict[str, dict[str, Any]] = {}
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.address = ""
        self.on_call: Callable[[Message], Awaitable[None]] | None = None

    async def start(self, host: str) -> None:
        """Listen on a free port of `host`."""
        self.server = await asyncio.start_server(
            self.serve, host, 0, limit=STREAM_LIMIT_BYTES
        )
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def put(self, kind: str, name: str, spec: Any, status: Any = None) -> int:
        """Store an object; return the revision of the change."""
        self.revision += 1
        known = self.objects.setdefault(kind, {}).get(name)
        created = known["metadata"]["created"] if known else self.revision
        metadata = {
            "name": name,
            "revision": self.revision,
            "created": created,
            "finalizers": [],
            "deleting": False,
        }
        stored = {"metadata": metadata, "spec": spec, "status": status}
        self.objects[kind][name] = stored
        self.record(kind, stored, False)
        return self.revision

    def remove(self, kind: str, name: str) -> bool:
        """Remove an object; return whether it was there."""
        stored = self.objects.get(kind, {}).pop(name, None)
        if stored is None:
            return False
        self.revision += 1
        self.record(kind, stored, True)
        return True

    def record(self, kind: str, stored: dict[str, Any], deleted: bool) -> None:
        """Add a change to the history, and wake the watches."""
        self.history.append((self.revision, kind, stored, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        try:
            while True:
                call = await read_message(reader)
                if self.on_call is not None:
                    await self.on_call(call)
                answer = await self.answer(call)
                writer.write(answer.encode())
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def answer(self, call: Message) -> Answer:
        """Answer one call."""
        url = urlsplit(call.target)
        kind, _, name = url.path.removeprefix("/objects/").partition("/")
        kind, name = unquote(kind), unquote(name)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if call.method == "GET":
            return await self.read(kind, name, query)
        if call.method == "DELETE":
            return _json(200 if self.remove(kind, name) else 404, {})
        return self.write(call, kind, name)

    def write(self, call: Message, kind: str, name: str) -> Answer:
        """Create or replace an object."""
        body = json.loads(call.body)
        if call.method == "POST":
            name = body["metadata"]["name"]
        known = self.objects.get(kind, {}).get(name)
        if call.method == "POST" and known is not None:
            return _json(409, known)
        if call.method == "PUT" and known is None:
            return _json(404, {})
        self.put(kind, name, body.get("spec"))
        return _json(200, self.objects[kind][name])

    async def read(self, kind: str, name: str, query: dict[str, str]) -> Answer:
        """Return an object, a list or the changes since a revision."""
        if name:
            found = self.objects.get(kind, {}).get(name)
            return _json(200 if found else 404, found or {})
        if "watch" in query:
            return await self.watch(
                kind, int(query["watch"]), int(query.get("wait_ms", "0"))
            )
        items = list(self.objects.get(kind, {}).values())
        return _json(200, {"items": items, "has_more": False, "as_of": self.revision})

    async def watch(self, kind: str, since: int, wait_ms: int) -> Answer:
        """Return the changes after `since` as soon as there are any."""
        loop = asyncio.get_running_loop()
        end = loop.time() + wait_ms / 1_000
        while True:
            events = [
                {"object": stored, "deleted": deleted}
                for revision, changed_kind, stored, deleted in self.history
                if changed_kind == kind and revision > since
            ]
            left_s = end - loop.time()
            if events or left_s <= 0:
                return _json(200, {"events": events, "as_of": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                continue


def _json(status: int, content: Any) -> Answer:
    body = json.dumps(content).encode()
    return Answer(status, body, {"Content-Type": "application/json"})
