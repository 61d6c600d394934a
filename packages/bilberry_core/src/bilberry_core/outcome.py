"""Results, request outcomes, field errors and problem responses."""

from enum import StrEnum

import msgspec
from returns.result import Failure, Result, Success

__all__ = [
    "Failure",
    "FieldError",
    "Problem",
    "RequestOutcome",
    "Result",
    "Success",
]


class RequestOutcome(StrEnum):
    """List what is known about a request's execution."""

    RUN = "run"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class FieldError(msgspec.Struct, frozen=True):
    """Store an invalid field and the reason."""

    field: str
    reason: str

    def __str__(self) -> str:
        return f"{self.field}: {self.reason}"


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """Describe an error response that the system itself creates."""

    title: str
    status: int
    detail: str
    outcome: RequestOutcome
    request_id: str = ""
    errors: list[FieldError] = []
