"""Load objects from JSON files with comments."""

import sys
from pathlib import Path
from typing import Any

import jsonc
import msgspec

from bilberry_core.outcome import Failure, FieldError, Result, Success
from bilberry_resources.kinds.registry import Name
from bilberry_resources.model import Metadata, StoredObject
from bilberry_resources.snapshot import SNAPSHOT_FIELD_BY_KIND, decode_spec
from bilberry_resources.validation import validate

from .errors import CommandError, usage_error

STDIN = "-"
ATTR_ITEMS = "items"


class FileMetadata(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Represent the metadata that a file may contain."""

    name: Name
    version: int = 0
    generation: int = 0
    labels: dict[str, str] = {}
    write_id: str = ""


class FileObject(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Represent one object in a file; its status is ignored."""

    kind: str
    metadata: FileMetadata
    spec: dict[str, Any]
    status: Any = None


def load_objects(path: str) -> Result[list[StoredObject], CommandError]:
    """Return the objects in a file, or all errors in it.

    The file contains one object, a list, or an object with `items`.
    """
    try:
        text = sys.stdin.read() if path == STDIN else Path(path).read_text()
        data = jsonc.loads(text)
    except (OSError, UnicodeDecodeError) as error:
        return Failure(usage_error(f"{path}: {error}"))
    except ValueError as error:
        return Failure(usage_error(f"{path}: not JSON with comments: {error}"))
    return _decode_items(path, data)


def _decode_items(path: str, data: Any) -> Result[list[StoredObject], CommandError]:
    items, prefix = _extract_items(data)
    found: list[StoredObject] = []
    errors: list[FieldError] = []
    for index, item in enumerate(items):
        location = f"{prefix}[{index}]" if prefix is not None else ""
        decoded = _decode_object(item)
        if isinstance(decoded, Failure):
            errors += [_prefix_field(location, error) for error in decoded.failure()]
        else:
            found.append(decoded.unwrap())
    errors += _find_duplicates(found)
    if errors:
        return Failure(usage_error(f"{path}: not valid", errors))
    return Success(found)


def _extract_items(data: Any) -> tuple[list[Any], str | None]:
    if isinstance(data, list):
        return data, ""
    if isinstance(data, dict) and isinstance(data.get(ATTR_ITEMS), list):
        return data[ATTR_ITEMS], ATTR_ITEMS
    return [data], None


def _decode_object(item: Any) -> Result[StoredObject, list[FieldError]]:
    decoded = validate(item, FileObject)
    if isinstance(decoded, Failure):
        return Failure(decoded.failure())
    given = decoded.unwrap()
    if given.kind not in SNAPSHOT_FIELD_BY_KIND:
        reason = f"unknown kind {given.kind!r}"
        return Failure([FieldError("kind", reason)])
    spec = decode_spec(given.kind, given.spec)
    if isinstance(spec, Failure):
        return Failure(spec.failure())
    metadata = Metadata(
        name=given.metadata.name,
        version=given.metadata.version,
        labels=given.metadata.labels,
    )
    return Success(StoredObject(kind=given.kind, metadata=metadata, spec=given.spec))


def _prefix_field(location: str, error: FieldError) -> FieldError:
    if not location:
        return error
    return FieldError(f"{location}.{error.field}", error.reason)


def _find_duplicates(objects: list[StoredObject]) -> list[FieldError]:
    seen: set[str] = set()
    errors: list[FieldError] = []
    for stored in objects:
        key = f"{stored.kind}/{stored.metadata.name}"
        if key in seen:
            errors.append(FieldError(key, "given twice"))
        seen.add(key)
    return errors
