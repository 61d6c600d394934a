"""Convert untyped data to structs and collect every field error."""

import types
import typing
from typing import Any, TypeVar, Union, get_args, get_origin

import msgspec

from bilberry_core.outcome import Failure, FieldError, Result, Success

T = TypeVar("T")

REASON_UNKNOWN_FIELD = "unknown field"
REASON_MISSING_FIELD = "required field is missing"


def join_field_path(parent: str, child: str) -> str:
    """Return the dotted path of the field `child` inside `parent`."""
    if not parent:
        return child
    return f"{parent}.{child}"


def validate(data: Any, model: type[T], path: str = "") -> Result[T, list[FieldError]]:
    """Convert `data` to `model`, or return all field errors together."""
    try:
        return Success(msgspec.convert(data, model))
    except msgspec.ValidationError as error:
        first = _to_field_error(error, path)
    errors: list[FieldError] = []
    _collect_errors(data, model, path, errors)
    return Failure(errors or [first])


def _to_field_error(error: msgspec.ValidationError, path: str) -> FieldError:
    reason, _, location = str(error).partition(" - at `$")
    suffix = location.rstrip("`").lstrip(".")
    field = join_field_path(path, suffix) if suffix else path
    return FieldError(field or "(root)", reason)


def _collect_errors(data: Any, model: Any, path: str, errors: list[FieldError]) -> None:
    model = _strip_optional(model, data)
    if isinstance(model, type) and issubclass(model, msgspec.Struct):
        _collect_struct_errors(data, model, path, errors)
        return
    origin = get_origin(model)
    if origin in (list, tuple) and isinstance(data, list):
        item_model = get_args(model)[0]
        for index, item in enumerate(data):
            _collect_errors(item, item_model, f"{path}[{index}]", errors)
        return
    if origin is dict and isinstance(data, dict):
        value_model = get_args(model)[1]
        for key, item in data.items():
            _collect_errors(item, value_model, f"{path}.{key}", errors)
        return
    _collect_value_error(data, model, path, errors)


def _collect_struct_errors(
    data: Any, model: type[msgspec.Struct], path: str, errors: list[FieldError]
) -> None:
    if not isinstance(data, dict):
        _collect_value_error(data, model, path, errors)
        return
    before = len(errors)
    hints = typing.get_type_hints(model, include_extras=True)
    fields = {f.encode_name: f for f in msgspec.structs.fields(model)}
    for key in data:
        if key not in fields:
            errors.append(
                FieldError(join_field_path(path, str(key)), REASON_UNKNOWN_FIELD)
            )
    for key, field in fields.items():
        child = join_field_path(path, key)
        if key in data:
            _collect_errors(data[key], hints[field.name], child, errors)
        elif field.required:
            errors.append(FieldError(child, REASON_MISSING_FIELD))
    if len(errors) == before:
        _collect_value_error(data, model, path, errors)


def _collect_value_error(
    data: Any, model: Any, path: str, errors: list[FieldError]
) -> None:
    try:
        msgspec.convert(data, model)
    except msgspec.ValidationError as error:
        errors.append(_to_field_error(error, path))


def _strip_optional(model: Any, data: Any) -> Any:
    if get_origin(model) not in (Union, types.UnionType):
        return model
    options = [option for option in get_args(model) if option is not type(None)]
    if data is None or len(options) != 1:
        return model
    return options[0]
