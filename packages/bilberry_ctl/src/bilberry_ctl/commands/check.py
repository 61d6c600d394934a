"""Command `check`, which examines a routing configuration offline."""

from dataclasses import dataclass
from typing import Annotated

import cappa
import msgspec

from bilberry_core.outcome import Failure, Result, Success
from bilberry_resources.routing import ConfigProblem, Severity
from bilberry_resources.routing_changes import ResourceChange, compare_configs
from bilberry_resources.routing_checks import ServiceSlots, check_config
from bilberry_resources.routing_checks.model import DEFAULT_RETRY_SHARE, LIMITS, error

from ..config_source import (
    DEFAULT_FORMAT,
    LocatedConfig,
    load_config,
    load_format,
    parse_text,
    read_text,
)
from ..context import Context
from ..errors import CommandError, command_failed, usage_error


class ReportedProblem(msgspec.Struct):
    """Represent one problem and its place in the file, as far as known."""

    severity: Severity
    resource: str
    name: str
    message: str
    field: str = ""
    index: int | None = None
    line: int | None = None


class CheckReport(msgspec.Struct):
    """Represent all that was found; without `against`, no differences."""

    file: str
    version: int
    errors: int
    warnings: int
    problems: list[ReportedProblem]
    against: str | None = None
    against_version: int | None = None
    differences: list[ResourceChange] = []


@cappa.command(
    description=(
        "It asks no node. Exit codes: 0 no error, 1 errors (with --strict also "
        "warnings), 2 not readable.\n\n"
        "Example: `bilberryctl check main.jsonc --against "
        "http://10.0.0.2:8384/objects/config/main`"
    )
)
@dataclass
class Check:
    """Find faults in a routing configuration before it is stored."""

    file: Annotated[str, cappa.Arg(help="The stored object or its spec; - is stdin.")]
    against: Annotated[
        str | None,
        cappa.Arg(long=True, help="File or http URL of the version in force."),
    ] = None
    strict: Annotated[
        bool, cappa.Arg(long=True, help="End with 1 on warnings too.")
    ] = False
    slots: Annotated[
        str | None,
        cappa.Arg(
            long=True, help="File of slots: {SERVICE: {REGION: SLOTS}}, all services."
        ),
    ] = None
    retry_share: Annotated[
        float, cappa.Arg(long=True, help="Retries allowed for each request.")
    ] = DEFAULT_RETRY_SHARE
    format: Annotated[
        str, cappa.Arg(long=True, help="Module that decodes the configuration.")
    ] = DEFAULT_FORMAT

    def run(self, context: Context) -> Result[None, CommandError]:
        """Print problems and differences; fail on errors."""
        reported = self.make_report(context.api.timeout_ms)
        if isinstance(reported, Failure):
            return reported
        report = reported.unwrap()
        print_report(context, report)
        if report.errors or (self.strict and report.warnings):
            return Failure(command_failed(f"{self.file}: {_count(report)}"))
        return Success(None)

    def make_report(self, timeout_ms: int) -> Result[CheckReport, CommandError]:
        """Read all files, check the configuration and compare it."""
        slots = load_slots(self.slots, timeout_ms)
        if isinstance(slots, Failure):
            return slots
        loaded_format = load_format(self.format)
        if isinstance(loaded_format, Failure):
            return loaded_format
        config_format = loaded_format.unwrap()
        loaded = load_config(self.file, config_format, timeout_ms)
        if isinstance(loaded, Failure):
            return loaded
        located = loaded.unwrap()
        problems = check_config(located.file.config, slots.unwrap(), self.retry_share)
        report = CheckReport(self.file, located.file.config.version, 0, 0, [])
        if self.against is not None:
            current = load_config(self.against, config_format, timeout_ms)
            if isinstance(current, Failure):
                return current
            problems += add_differences(report, self.against, located, current.unwrap())
        report.problems = sorted(
            (locate(problem, located) for problem in problems), key=_place
        )
        report.errors = _count_severity(problems, Severity.ERROR)
        report.warnings = _count_severity(problems, Severity.WARNING)
        return Success(report)


def load_slots(
    source: str | None, timeout_ms: int
) -> Result[ServiceSlots | None, CommandError]:
    """Read the slots of services by region, None without a file."""
    if source is None:
        return Success(None)
    parsed = read_text(source, timeout_ms).bind(lambda text: parse_text(source, text))
    if isinstance(parsed, Failure):
        return parsed
    try:
        return Success(msgspec.convert(parsed.unwrap(), dict[str, dict[str, int]]))
    except msgspec.ValidationError as invalid:
        return Failure(usage_error(f"{source}: {invalid}"))


def add_differences(
    report: CheckReport, against: str, located: LocatedConfig, current: LocatedConfig
) -> list[ConfigProblem]:
    """Add what differs; return an error if the version isn't newer."""
    before, after = current.file.config, located.file.config
    report.against = against
    report.against_version = before.version
    report.differences = compare_configs(before, after)
    if after.version > before.version:
        return []
    reason = f"{after.version} is not newer than {before.version}, and is ignored"
    return [error("version", "", reason)]


def locate(problem: ConfigProblem, located: LocatedConfig) -> ReportedProblem:
    """Return a problem with the index and line of its resource."""
    resource, index = problem.resource, problem.index
    if index is None:
        index = _find_index(problem, located)
    else:
        resource = located.file.labels[index].resource
    line = None
    if index is not None and index < len(located.lines):
        line = located.lines[index]
    return ReportedProblem(
        problem.severity,
        resource,
        problem.name,
        problem.message,
        problem.field,
        index,
        line,
    )


def _find_index(problem: ConfigProblem, located: LocatedConfig) -> int | None:
    """Return the index of a problem's resource; limits have any name."""
    for index, label in enumerate(located.file.labels):
        is_same_name = problem.resource == LIMITS or label.name == problem.name
        if label.resource == problem.resource and is_same_name:
            return index
    return None


def print_report(context: Context, report: CheckReport) -> None:
    """Print all that was found."""
    printer = context.printer
    if printer.is_json:
        printer.json(report)
        return
    for problem in report.problems:
        printer.line(_escape(f"{report.file}{_describe(problem)}"))
    for change in report.differences:
        printer.line(_escape(str(change)))
    if report.against is not None:
        versions = f"from version {report.against_version} to {report.version}"
        printer.line(f"{versions}, resources that differ: {len(report.differences)}")
    printer.line(f"version {report.version}, {_count(report)}")


def _place(problem: ReportedProblem) -> tuple[bool, int]:
    """Return what sorts problems by place, those without one first."""
    return problem.index is not None, problem.index or 0


def _describe(problem: ReportedProblem) -> str:
    """Return line, severity, resource with index, name, field and message."""
    line = "" if problem.line is None else f":{problem.line}"
    index = "" if problem.index is None else f"[{problem.index}]"
    resource = f"{problem.resource}{index} {problem.name}".strip()
    field = f"{problem.field}: " if problem.field else ""
    return f"{line}: {problem.severity}: {resource}: {field}{problem.message}"


def _escape(text: str) -> str:
    """Escape control characters, as names may hold those of a terminal."""
    return "".join(
        char if char.isprintable() else char.encode("unicode_escape").decode()
        for char in text
    )


def _count_severity(problems: list[ConfigProblem], severity: Severity) -> int:
    return sum(problem.severity is severity for problem in problems)


def _count(report: CheckReport) -> str:
    return f"errors: {report.errors}, warnings: {report.warnings}"
