"""Encode and decode JSON messages."""

from typing import Any, TypeVar

import msgspec

from bilberry_core.outcome import Failure, FieldError, Result, Success

T = TypeVar("T")

_encoder = msgspec.json.Encoder()


def encode(message: Any) -> bytes:
    """Encode `message` as JSON."""
    return _encoder.encode(message)


def decode(data: bytes, model: type[T]) -> Result[T, FieldError]:
    """Decode `data` to `model`, or return the first field error."""
    try:
        return Success(msgspec.json.decode(data, type=model))
    except msgspec.DecodeError as error:
        return Failure(FieldError("(body)", str(error)))


def decode_untyped(data: bytes) -> Result[Any, FieldError]:
    """Decode `data` to built-in types, or return the JSON syntax error."""
    try:
        return Success(msgspec.json.decode(data))
    except msgspec.DecodeError as error:
        return Failure(FieldError("(body)", str(error)))
