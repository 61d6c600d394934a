"""Commands `audit`, `lookup` and `status`."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from bilberry_core.outcome import Failure, Result, Success

from ..arguments import format_time, parse_since
from ..context import Context
from ..errors import CommandError, usage_error
from ..messages import AuditEntry, Overview


@cappa.command(
    description="Examples: `bilberryctl audit --since 2h`, "
    "`bilberryctl --output json audit --since 2026-12-04T08:00`"
)
@dataclass
class Audit:
    """Show who changed what, when, and with which result."""

    since: Annotated[
        str | None,
        cappa.Arg(long=True, help="Age (15m, 2h, 1d), ISO time, or time in ms."),
    ] = None

    def run(self, context: Context) -> Result[None, CommandError]:
        """Print the audit entries, oldest first."""
        since_ms = None
        if self.since is not None:
            since_ms = parse_since(self.since, context.clock.wall_ms())
            if since_ms is None:
                return Failure(usage_error(f"--since: invalid time {self.since!r}"))
        found = context.api.audit(since_ms)
        if isinstance(found, Failure):
            return Failure(found.failure())
        if context.printer.is_json:
            context.printer.json(found.unwrap())
            return Success(None)
        columns = ["WHEN", "WHO", "NODE", "ACTION", "OBJECT", "RESULT", "DETAIL"]
        rows = [_audit_row(entry) for entry in found.unwrap().items]
        context.printer.table(columns, rows)
        return Success(None)


@cappa.command(
    description="Example: `bilberryctl lookup --service suivi --client 203.0.113.7`"
)
@dataclass
class Lookup:
    """Show which VMs a client is directed to."""

    service: Annotated[str, cappa.Arg(long=True, help="Name of the service.")]
    client: Annotated[str, cappa.Arg(long=True, help="IP address of the client.")]

    def run(self, context: Context) -> Result[None, CommandError]:
        """Print the VMs, nearest first."""
        found = context.api.lookup(self.service, self.client)
        if isinstance(found, Failure):
            return Failure(found.failure())
        response = found.unwrap()
        if context.printer.is_json:
            context.printer.json(response)
            return Success(None)
        rows = [[vm.name, vm.region, vm.address] for vm in response.vms]
        context.printer.table(["VM", "REGION", "ADDRESS"], rows)
        context.printer.line(
            f"valid for {response.ttl_ms} ms, configuration {response.config_version}"
        )
        return Success(None)


@cappa.command(description="Example: `bilberryctl status`")
@dataclass
class Status:
    """Show capacity, load and headroom, and what each site applied."""

    def run(self, context: Context) -> Result[None, CommandError]:
        """Print the overview from the node's point of view."""
        found = context.api.status()
        if isinstance(found, Failure):
            return Failure(found.failure())
        if context.printer.is_json:
            context.printer.json(found.unwrap())
        else:
            show_overview(context, found.unwrap())
        return Success(None)


def show_overview(context: Context, overview: Overview) -> None:
    """Print regions, upstreams and sites in tables."""
    printer = context.printer
    source = f" from {overview.config_source}" if overview.config_source else ""
    printer.line(
        f"node {overview.node}: configuration {overview.config_version}{source}, "
        f"plan {overview.plan_epoch}.{overview.plan_version}"
    )
    printer.heading("Regions")
    rows = [
        [r.region, r.service, r.capacity_per_s, r.load_per_s, f"{r.headroom:.0%}"]
        for r in overview.regions
    ]
    printer.table(["REGION", "SERVICE", "CAPACITY/S", "LOAD/S", "HEADROOM"], rows)
    printer.heading("Upstreams")
    rows = [
        [u.name, u.service, u.region, u.state, u.health, f"{u.in_flight}/{u.slots}"]
        for u in overview.upstreams
    ]
    columns = ["UPSTREAM", "SERVICE", "REGION", "STATE", "HEALTH", "IN FLIGHT"]
    printer.table(columns, rows)
    printer.heading("Sites")
    rows = [[s.name, s.region, s.vms, s.applied_version] for s in overview.sites]
    printer.table(["SITE", "REGION", "VMS", "APPLIED"], rows)


def _audit_row(entry: AuditEntry) -> list[str]:
    return [
        format_time(entry.when_ms),
        entry.who,
        entry.node,
        entry.action,
        f"{entry.kind}/{entry.name}",
        entry.result,
        entry.detail,
    ]
