"""Resource API: read and change objects in the platform's store."""

import logging
from collections.abc import Callable
from typing import Any

import msgspec

from bilberry_core.const import HEADER_OUTCOME, HEADER_RETRY_AFTER
from bilberry_core.outcome import Failure, FieldError, RequestOutcome, Success
from bilberry_resources.codec import decode_untyped
from bilberry_resources.const import KIND_REGION, KIND_SERVICE, KIND_SITE
from bilberry_resources.kinds.registry import Name
from bilberry_resources.model import Metadata, Status, StoredObject
from bilberry_resources.references import check_references
from bilberry_resources.snapshot import (
    ConfigSnapshot,
    build_snapshot,
    decode_spec,
)
from bilberry_resources.validation import validate
from bilberry_store.client import StoreClient
from bilberry_store.errors import StoreError, StoreErrorKind

from ..http.messages import Headers, Response, json_response, problem_response
from ..state import NodeState
from .audit import (
    RESULT_ACCEPTED,
    RESULT_PENDING,
    RESULT_REFUSED,
    RESULT_UNKNOWN,
    AuditEntry,
    AuditTask,
)
from .auth import Actor

_LOGGER = logging.getLogger(__name__)

REFERENCED_KINDS = (KIND_REGION, KIND_SERVICE, KIND_SITE)

HEADER_STALE = "X-Bilberry-Stale"
STALE_HEADERS: Headers = [(HEADER_STALE, "store unreachable")]


class PutBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Represent the body of a PUT request."""

    kind: str | None = None
    metadata: Metadata | None = None
    spec: dict[str, Any]
    status: Any = None


class ObjectList(msgspec.Struct):
    """Represent the response to a list request."""

    version: int
    items: list[StoredObject]


StatusSource = Callable[[StoredObject], Status]


class ResourceService:
    """Implement the operations of the resource API."""

    def __init__(
        self,
        store: StoreClient,
        audit: AuditTask,
        state: NodeState,
        status_source: StatusSource,
    ) -> None:
        self.store = store
        self.audit = audit
        self.state = state
        self.status_source = status_source

    def list_kind(self, kind: str) -> Response:
        """Return all objects of a kind.

        If the store is unreachable, use the installed configuration.
        """
        listed = self.store.list_objects(kind)
        if isinstance(listed, Failure):
            items = self.state.config_reader.objects(kind)
            answer = self.build_list(self.state.snapshot.version, items)
            return json_response(200, answer, STALE_HEADERS)
        found = listed.unwrap()
        return json_response(200, self.build_list(found.version, found.items))

    def build_list(self, version: int, items: list[StoredObject]) -> ObjectList:
        """Return a list of `items` with the status of each."""
        return ObjectList(version, [self.add_status(item) for item in items])

    def add_status(self, stored: StoredObject) -> StoredObject:
        """Return a copy of `stored` with its status."""
        return msgspec.structs.replace(stored, status=self.status_source(stored))

    def read(self, kind: str, name: str) -> Response:
        """Return one object.

        If the store is unreachable, use the installed configuration.
        """
        found = self.store.get(kind, name)
        if isinstance(found, Success):
            return json_response(200, self.add_status(found.unwrap()))
        error = found.failure()
        if error.kind is StoreErrorKind.NOT_FOUND:
            return problem_response(404, f"no {kind} named {name!r}")
        installed = self.state.config_reader.find(kind, name)
        if installed is None:
            return store_error_response(error)
        return json_response(200, self.add_status(installed), STALE_HEADERS)

    def watch(self, kind: str, since: int, timeout_ms: int) -> Response:
        """Return the changes after version `since`, waiting for the first."""
        watched = self.store.watch(kind, since, timeout_ms)
        if isinstance(watched, Failure):
            return store_error_response(watched.failure())
        batch = watched.unwrap()
        for event in batch.events:
            event.object = self.add_status(event.object)
        return json_response(200, batch)

    def write(self, kind: str, name: str, body: bytes, actor: Actor) -> Response:
        """Create or replace one object if its version is the current one."""
        entry = self.audit.new_entry(who=actor.name, action="put", kind=kind, name=name)
        parsed = self.parse(kind, name, body)
        if isinstance(parsed, list):
            return self.validation_response(entry, parsed)
        entry.after = parsed.spec
        errors = self.validate_spec(parsed)
        if isinstance(errors, StoreError):
            return store_error_response(errors)
        if errors:
            return self.validation_response(entry, errors)
        current = self.get_current(kind, name)
        if isinstance(current, StoreError):
            return store_error_response(current)
        given = parsed.metadata.version
        if current is not None:
            entry.before = current.spec
        if given != (current.metadata.version if current else 0):
            return self.conflict_response(entry, current, given)
        wanted = _next_generation(parsed, current)
        return self.apply_audited(entry, lambda: self.store.put(wanted, given))

    def remove(
        self, kind: str, name: str, version: int | None, actor: Actor
    ) -> Response:
        """Delete one object, if `version` is None or the current one."""
        entry = self.audit.new_entry(
            who=actor.name, action="delete", kind=kind, name=name
        )
        current = self.get_current(kind, name)
        if isinstance(current, StoreError):
            return store_error_response(current)
        if current is None:
            return problem_response(404, f"no {kind} named {name!r}")
        entry.before = current.spec
        if version is not None and version != current.metadata.version:
            return self.conflict_response(entry, current, version)
        expected = current.metadata.version
        return self.apply_audited(
            entry, lambda: self.store.delete(kind, name, expected)
        )

    def parse(
        self, kind: str, name: str, body: bytes
    ) -> StoredObject | list[FieldError]:
        """Return the object in a PUT's body, or errors outside its spec."""
        raw = decode_untyped(body)
        if isinstance(raw, Failure):
            return [raw.failure()]
        decoded = validate(raw.unwrap(), PutBody)
        if isinstance(decoded, Failure):
            return decoded.failure()
        given = decoded.unwrap()
        metadata = given.metadata or Metadata(name=name)
        errors = _envelope_errors(kind, name, given, metadata)
        if errors:
            return errors
        return StoredObject(kind=kind, metadata=metadata, spec=given.spec)

    def validate_spec(self, wanted: StoredObject) -> list[FieldError] | StoreError:
        """Return every field error of the spec and its references.

        References that the installed configuration lacks are looked up in
        the store.
        """
        decoded = decode_spec(wanted.kind, wanted.spec)
        if isinstance(decoded, Failure):
            return decoded.failure()
        spec = decoded.unwrap()
        errors = check_references(wanted.kind, spec, self.state.snapshot)
        if not errors:
            return []
        stored_snapshot = self.read_referenced_snapshot()
        if isinstance(stored_snapshot, StoreError):
            return stored_snapshot
        return check_references(wanted.kind, spec, stored_snapshot)

    def read_referenced_snapshot(self) -> ConfigSnapshot | StoreError:
        """Return a snapshot of the referenced kinds, read from the store."""
        objects: list[StoredObject] = []
        for kind in REFERENCED_KINDS:
            listed = self.store.list_objects(kind)
            if isinstance(listed, Failure):
                return listed.failure()
            objects += listed.unwrap().items
        return build_snapshot(0, objects)

    def get_current(self, kind: str, name: str) -> StoredObject | StoreError | None:
        """Return the stored object, None when it does not exist."""
        found = self.store.get(kind, name)
        if isinstance(found, Success):
            return found.unwrap()
        error = found.failure()
        return None if error.kind is StoreErrorKind.NOT_FOUND else error

    def apply_audited(self, entry: AuditEntry, change: Callable[[], Any]) -> Response:
        """Make a change, with an audit entry before it and one after it.

        The first has the result pending; if it cannot be stored, the change
        is not made.
        """
        entry.result = RESULT_PENDING
        audited = self.audit.append(entry)
        if isinstance(audited, Failure):
            return store_error_response(audited.failure(), RequestOutcome.NOT_RUN)
        result = change()
        if isinstance(result, Failure):
            return self.store_failure_response(entry, result.failure())
        stored: StoredObject | None = result.unwrap()
        entry.write_id = stored.metadata.write_id if stored else ""
        self.audit_result(entry, RESULT_ACCEPTED)
        if stored is None:
            return json_response(200, {"deleted": f"{entry.kind}/{entry.name}"})
        return json_response(200, self.add_status(stored))

    def store_failure_response(self, entry: AuditEntry, error: StoreError) -> Response:
        """Return the response to a change that the store did not confirm."""
        if error.kind is StoreErrorKind.CONFLICT:
            return self.conflict_response(entry, error.current, None)
        if error.kind is StoreErrorKind.UNKNOWN:
            entry.write_id = error.write_id
            self.audit_result(entry, RESULT_UNKNOWN, error.reason)
        else:
            self.audit_result(entry, RESULT_REFUSED, error.reason)
        return store_error_response(error)

    def conflict_response(
        self, entry: AuditEntry, current: StoredObject | None, given: int | None
    ) -> Response:
        """Return a 409 response with the current object."""
        actual = current.metadata.version if current else 0
        shown = "an older version" if given is None else f"version {given}"
        self.audit_result(
            entry, RESULT_REFUSED, f"{shown} given, version {actual} stored"
        )
        if current is None:
            return problem_response(409, "the object does not exist (version 0)")
        headers = [(HEADER_OUTCOME, RequestOutcome.NOT_RUN.value)]
        return json_response(409, self.add_status(current), headers)

    def validation_response(
        self, entry: AuditEntry, errors: list[FieldError]
    ) -> Response:
        """Return a 422 response with every field error."""
        self.audit_result(entry, RESULT_REFUSED, "; ".join(str(e) for e in errors))
        return problem_response(422, "the object is not valid", errors=errors)

    def audit_result(self, entry: AuditEntry, result: str, detail: str = "") -> None:
        """Append the result of a change to the audit trail."""
        entry.result = result
        entry.detail = detail
        audited = self.audit.append(entry)
        if isinstance(audited, Failure):
            _LOGGER.warning(
                "api: Could not audit the result %s of %s/%s.",
                result,
                entry.kind,
                entry.name,
            )


def store_error_response(
    error: StoreError, outcome: RequestOutcome | None = None
) -> Response:
    """Return the response to a request that failed with a store error."""
    if error.kind is StoreErrorKind.UNKNOWN and outcome is None:
        detail = f"{error.reason}; write id {error.write_id}"
        return problem_response(504, detail, title="result unknown")
    if error.kind is StoreErrorKind.TOO_LARGE:
        return problem_response(413, error.reason)
    if error.kind is StoreErrorKind.GONE:
        return problem_response(410, error.reason)
    if error.kind is StoreErrorKind.NOT_FOUND:
        return problem_response(404, error.reason)
    return problem_response(
        503,
        error.reason,
        title="store unreachable",
        headers=[(HEADER_RETRY_AFTER, "1")],
    )


def _next_generation(
    wanted: StoredObject, current: StoredObject | None
) -> StoredObject:
    generation = 1
    if current is not None:
        changed = current.spec != wanted.spec
        generation = current.metadata.generation + int(changed)
    metadata = msgspec.structs.replace(
        wanted.metadata, generation=generation, write_id=""
    )
    return msgspec.structs.replace(wanted, metadata=metadata)


def _envelope_errors(
    kind: str, name: str, given: PutBody, metadata: Metadata
) -> list[FieldError]:
    errors = []
    if given.kind not in (None, kind):
        errors.append(FieldError("kind", f"differs from {kind!r} in the path"))
    if metadata.name != name:
        errors.append(FieldError("metadata.name", f"differs from {name!r} in the path"))
    named = validate(name, Name, "metadata.name")
    if isinstance(named, Failure):
        errors += named.failure()
    return errors
