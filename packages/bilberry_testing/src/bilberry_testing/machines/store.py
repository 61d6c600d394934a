"""Serve an object table over the platform store's API, with faults."""

from dataclasses import dataclass
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs, unquote

import gevent
import msgspec
from gevent.event import Event

from bilberry_core.clock import Clock
from bilberry_core.const import MS_PER_SECOND
from bilberry_resources.routing import CallerLimits
from bilberry_router.entry.listener import Listener
from bilberry_router.entry.messages import EntryAnswer, EntryRequest
from bilberry_router.http.head import RequestHead

from .table import ObjectTable, StoredItem, WriteRefusal

HEADER_ERA = "Store-Era"
OBJECTS_PREFIX = "/objects/"
PAGE_ITEMS = 500
PAGE_BYTES = 1_048_576
REFUSAL_STATUSES = {
    WriteRefusal.EXISTS: HTTPStatus.CONFLICT,
    WriteRefusal.CONFLICT: HTTPStatus.CONFLICT,
    WriteRefusal.MISSING: HTTPStatus.NOT_FOUND,
}


@dataclass(slots=True)
class StoreFaults:
    """Represent the injected faults of the store.

    `down_status` is the answer to every call, if set. With `silent` each
    answer comes after the caller's timeout, with `lose_writes` only those
    to changes, which take effect. `page_items` and `page_bytes` limit the
    size of a page of more than one object.
    With `stale_reads` cheap watches miss all changes.
    """

    down_status: int = 0
    silent: bool = False
    lose_writes: bool = False
    delay_ms: int = 0
    page_items: int = PAGE_ITEMS
    page_bytes: int = PAGE_BYTES
    stale_reads: bool = False


class StoreServer:
    """Serve an object table on a listener and record the calls.

    The era that answers name rises with each return of an earlier table; with
    an era of 0 they name none.
    """

    __slots__ = ("calls", "changed", "era", "faults", "listener", "table")

    def __init__(self, clock: Clock, address: str = "127.0.0.1:0") -> None:
        self.table = ObjectTable()
        self.era = 0
        self.faults = StoreFaults()
        self.changed = Event()
        self.calls: list[str] = []
        self.listener = Listener(address, self, CallerLimits, clock)

    def start(self) -> None:
        """Listen."""
        self.listener.start()

    def close(self) -> None:
        """Stop listening."""
        self.listener.close()

    def notify(self) -> None:
        """Wake the waiting watches after a change of the table."""
        self.changed.set()
        self.changed.clear()

    def go_down(self) -> None:
        """Refuse all calls, and end the waiting watches."""
        self.faults.down_status = HTTPStatus.SERVICE_UNAVAILABLE
        self.notify()

    def come_back(self) -> None:
        """Answer again."""
        self.faults.down_status = 0

    def restore(self, table: ObjectTable) -> None:
        """Go on from an earlier table; what was written since is lost."""
        self.table = table
        self.era += 1
        self.notify()

    def may_overlap(self, head: RequestHead) -> bool:
        """Return that calls on one connection may run in parallel."""
        return True

    def handle(self, request: EntryRequest) -> EntryAnswer:
        """Answer one call."""
        answer = self._handle(request)
        if self.era:
            answer.headers.append((HEADER_ERA, str(self.era)))
        return answer

    def _handle(self, request: EntryRequest) -> EntryAnswer:
        head = request.head
        self.calls.append(f"{head.method} {head.target}")
        faults = self.faults
        if faults.delay_ms:
            gevent.sleep(faults.delay_ms / MS_PER_SECOND)
        if faults.silent:
            gevent.sleep(MS_PER_SECOND)
        if faults.down_status:
            return EntryAnswer(faults.down_status)
        kind, _, name = head.path.removeprefix(OBJECTS_PREFIX).partition("/")
        query = {key: values[0] for key, values in parse_qs(head.query).items()}
        answer = self._answer(request, unquote(kind), unquote(name), query)
        if head.method != "GET" and faults.lose_writes:
            gevent.sleep(MS_PER_SECOND)
        return answer

    def _answer(
        self, request: EntryRequest, kind: str, name: str, query: dict[str, str]
    ) -> EntryAnswer:
        method = request.head.method
        if method == "GET" and "watch" in query:
            revision, wait_ms = int(query["watch"]), int(query["wait_ms"])
            if self.faults.stale_reads and "serializable" in query:
                return self._miss_changes(revision, wait_ms)
            return self._watch(kind, revision, wait_ms)
        if method == "GET" and not name:
            return self._list(kind, query.get("after", ""))
        if method == "GET":
            item = self.table.get(kind, name)
            return (
                _build_json_answer(_encode_item(item))
                if item
                else EntryAnswer(HTTPStatus.NOT_FOUND)
            )
        if method == "DELETE":
            found = self.table.delete(kind, name)
            self.notify()
            return EntryAnswer(HTTPStatus.OK if found else HTTPStatus.NOT_FOUND)
        return self._write(method, kind, name, request.body)

    def _write(
        self, method: str, kind: str, name: str, body: bytes | bytearray
    ) -> EntryAnswer:
        message_body = msgspec.json.decode(body)
        metadata = message_body["metadata"]
        if method == "POST":
            result = self.table.create(kind, metadata["name"], message_body["spec"])
        else:
            revision = metadata.get("revision")
            result = self.table.replace(kind, name, message_body["spec"], revision)
        if isinstance(result, WriteRefusal):
            return EntryAnswer(REFUSAL_STATUSES[result])
        self.notify()
        return _build_json_answer(_encode_item(result))

    def _list(self, kind: str, after: str) -> EntryAnswer:
        items = [item for item in self.table.items(kind) if item.name > after]
        page: list[msgspec.Raw] = []
        byte_count = 0
        for item in items[: self.faults.page_items]:
            encoded = _encode_item(item)
            byte_count += len(bytes(encoded))
            if page and byte_count > self.faults.page_bytes:
                break
            page.append(encoded)
        return _build_json_answer(
            {
                "items": page,
                "has_more": len(items) > len(page),
                "as_of": self.table.revision,
            }
        )

    def _watch(self, kind: str, revision: int, wait_ms: int) -> EntryAnswer:
        deadline = gevent.Timeout(wait_ms / MS_PER_SECOND, exception=False)
        with deadline:
            while self.table.events_since(kind, revision) == []:
                self.changed.wait()
                if self.faults.down_status:
                    return EntryAnswer(self.faults.down_status)
        events = self.table.events_since(kind, revision)
        if events is None:
            return EntryAnswer(HTTPStatus.GONE)
        return _build_json_answer(
            {
                "events": [
                    {"object": _encode_item(event.item), "deleted": event.deleted}
                    for event in events
                ],
                "as_of": self.table.revision,
            }
        )

    def _miss_changes(self, revision: int, wait_ms: int) -> EntryAnswer:
        """Answer a watch as a replica that is behind."""
        gevent.sleep(wait_ms / MS_PER_SECOND)
        return _build_json_answer({"events": [], "as_of": revision})


def _encode_item(item: StoredItem) -> msgspec.Raw:
    if item.raw is not None:
        return msgspec.Raw(item.raw)
    metadata = {
        "name": item.name,
        "revision": item.revision,
        "created": item.created,
        "finalizers": [],
        "deleting": False,
    }
    content = {"metadata": metadata, "spec": item.spec, "status": item.status}
    return msgspec.Raw(msgspec.json.encode(content))


def _build_json_answer(message: Any) -> EntryAnswer:
    headers = [("Content-Type", "application/json")]
    return EntryAnswer(HTTPStatus.OK, headers, msgspec.json.encode(message))
