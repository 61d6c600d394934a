"""Commands `drain` and `undrain` for upstreams and sites."""

from dataclasses import dataclass
from typing import Annotated

import cappa
import msgspec

from bilberry_core.outcome import Failure, Result, Success
from bilberry_resources.const import KIND_SITE, KIND_UPSTREAM
from bilberry_resources.kinds.services import UpstreamState

from ..context import Context
from ..errors import CommandError, command_failed, usage_error

DRAINABLE_KINDS = (KIND_UPSTREAM, KIND_SITE)
ATTR_STATE = "state"

Target = Annotated[str, cappa.Arg(help="KIND/NAME; the kind is upstream or site.")]


class StateChange(msgspec.Struct):
    """Represent the result of setting an object's state."""

    kind: str
    name: str
    state: str
    action: str
    version: int


@cappa.command(
    description="Examples: `bilberryctl drain upstream/suivi-mtl-1`, "
    "`bilberryctl drain site/mtl-a`"
)
@dataclass
class Drain:
    """Stop sending new requests to an upstream or a site."""

    target: Target

    def run(self, context: Context) -> Result[None, CommandError]:
        """Set the state to draining."""
        return set_state(context, self.target, UpstreamState.DRAINING)


@cappa.command(description="Example: `bilberryctl undrain upstream/suivi-mtl-1`")
@dataclass
class Undrain:
    """Send requests to a drained upstream or site again."""

    target: Target

    def run(self, context: Context) -> Result[None, CommandError]:
        """Set the state to active."""
        return set_state(context, self.target, UpstreamState.ACTIVE)


def set_state(
    context: Context, target: str, state: UpstreamState
) -> Result[None, CommandError]:
    """Read the object and write it back with only `state` changed."""
    kind, _, name = target.partition("/")
    if kind not in DRAINABLE_KINDS or not name:
        kinds = " or ".join(f"{kind}/NAME" for kind in DRAINABLE_KINDS)
        return Failure(usage_error(f"expected {kinds}, not {target!r}"))
    found = context.api.get(kind, name)
    if isinstance(found, Failure):
        return Failure(found.failure())
    stored = found.unwrap()
    current = stored.spec.get(ATTR_STATE, UpstreamState.ACTIVE.value)
    if current == UpstreamState.RETIRED:
        return Failure(command_failed(f"{target} is retired"))
    action = "unchanged"
    if current != state.value:
        stored.spec = {**stored.spec, ATTR_STATE: state.value}
        written = context.api.put(stored)
        if isinstance(written, Failure):
            return Failure(written.failure())
        stored = written.unwrap()
        action = "updated"
    version = stored.metadata.version
    print_state_change(context, StateChange(kind, name, state.value, action, version))
    return Success(None)


def print_state_change(context: Context, change: StateChange) -> None:
    """Print the new state."""
    if context.printer.is_json:
        context.printer.json(change)
        return
    object_name = f"{change.kind}/{change.name}"
    note = f"{change.action}, version {change.version}"
    context.printer.line(f"{object_name} is {change.state} ({note})")
