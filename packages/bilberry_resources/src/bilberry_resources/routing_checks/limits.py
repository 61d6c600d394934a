"""Check the limits on callers' requests against each other."""

from collections.abc import Iterator

from ..routing import ConfigProblem
from .model import CHECKS, LIMITS, CheckInput, error, warning

# A head of this size is never meant to exceed the body; below it the
# configuration may just be one of small requests.
LARGE_HEADER_BYTES = 262_144


@CHECKS.register("limits_positive")
def check_positive(given: CheckInput) -> Iterator[ConfigProblem]:
    """Find sizes and times that let no request pass.

    A body limit of 0 is meant where no request has a body.
    """
    limits = given.config.limits
    figures = {
        "header limit in bytes": limits.max_header_bytes,
        "header timeout in ms": limits.header_timeout_ms,
        "idle timeout in ms": limits.idle_timeout_ms,
    }
    for field, value in figures.items():
        if value <= 0:
            yield error(LIMITS, "", f"the {field} is {value}")
    if limits.max_body_bytes < 0:
        yield error(LIMITS, "", f"the body limit in bytes is {limits.max_body_bytes}")


@CHECKS.register("limits_contradiction")
def check_contradictions(given: CheckInput) -> Iterator[ConfigProblem]:
    """Find limits that make each other useless."""
    limits = given.config.limits
    header_bytes, body_bytes = limits.max_header_bytes, limits.max_body_bytes
    if 0 < body_bytes < header_bytes and header_bytes >= LARGE_HEADER_BYTES:
        yield warning(
            LIMITS,
            "",
            f"the header limit of {header_bytes} bytes is above the body limit "
            f"of {body_bytes} bytes",
        )
    if 0 < limits.idle_timeout_ms < limits.header_timeout_ms:
        yield warning(
            LIMITS,
            "",
            f"the idle timeout of {limits.idle_timeout_ms} ms is below the "
            f"header timeout of {limits.header_timeout_ms} ms",
        )
