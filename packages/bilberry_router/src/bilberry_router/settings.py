"""Settings file of a node."""

from enum import StrEnum
from pathlib import Path
from typing import Annotated, Any

import jsonc
import msgspec

from bilberry_core.outcome import Failure, FieldError, Result, Success
from bilberry_fleet.const import (
    DEFAULT_DEAD_MS,
    DEFAULT_GOSSIP_MS,
    DEFAULT_LEASE_MARGIN_MS,
    DEFAULT_LEASE_MS,
    DEFAULT_LEASE_RENEW_MS,
    DEFAULT_POLL_HOLD_MS,
    DEFAULT_SUSPECT_MS,
    DEFAULT_TICK_MS,
)
from bilberry_resources.kinds.registry import (
    Address,
    Name,
    NonNegativeInt,
    PositiveInt,
    Spec,
)
from bilberry_resources.validation import validate
from bilberry_steering.const import DEFAULT_MEMBER_BOUND, DEFAULT_PLAN_INTERVAL_MS

from .const import (
    DEFAULT_API_CALLS_PER_S,
    DEFAULT_BODY_TIMEOUT_MS,
    DEFAULT_HEADER_TIMEOUT_MS,
    DEFAULT_IDLE_TIMEOUT_MS,
    DEFAULT_KEY_RETENTION_MS,
    DEFAULT_LOOKUP_TTL_MS,
    DEFAULT_LOOKUP_VMS,
    DEFAULT_MAX_BODY_BYTES,
    DEFAULT_MAX_CONNECTIONS,
    DEFAULT_MAX_HEADER_BYTES,
    DEFAULT_REPORT_INTERVAL_MS,
    DEFAULT_SHUTDOWN_GRACE_MS,
    DEFAULT_SHUTDOWN_LIMIT_MS,
    DEFAULT_STORE_CALLS_PER_S,
    DEFAULT_STORE_TIMEOUT_MS,
    DEFAULT_VMS_INTERVAL_MS,
)

MIN_SECRET_LENGTH = 16

Url = Annotated[str, msgspec.Meta(pattern=r"^http://[^/ ]+$")]
Secret = Annotated[str, msgspec.Meta(min_length=MIN_SECRET_LENGTH)]
LogLevel = Annotated[str, msgspec.Meta(pattern=r"^(DEBUG|INFO|WARNING|ERROR)$")]
Port = Annotated[int, msgspec.Meta(ge=0, le=65_535)]


class Role(StrEnum):
    """Represent the permissions of a bearer token."""

    VIEW = "view"
    OPERATE = "operate"


class LogFormat(StrEnum):
    """Represent the format of log lines."""

    TEXT = "text"
    JSON = "json"


class NodeSettings(Spec):
    """Represent the name and location of this VM."""

    name: Name
    region: Name
    failure_domain: Name
    site: Name | None = None

    @property
    def site_name(self) -> str:
        """Return the site, by default the failure domain."""
        return self.site or self.failure_domain


class ListenSettings(Spec):
    """Represent the addresses of the three listeners."""

    address: Address
    admin_address: Address
    peer_address: Address


class StoreSettings(Spec):
    """Represent the platform's object API and the limits on calls to it.

    `calls_per_s` limits the node's own calls, `api_calls_per_s` those made
    for operators.
    """

    url: Url
    timeout_ms: PositiveInt = DEFAULT_STORE_TIMEOUT_MS
    calls_per_s: PositiveInt = DEFAULT_STORE_CALLS_PER_S
    api_calls_per_s: PositiveInt = DEFAULT_API_CALLS_PER_S


class TokenSettings(Spec):
    """Represent an operator's token and role."""

    name: Name
    token: Secret
    role: Role = Role.VIEW


class SecuritySettings(Spec):
    """Represent the keys shared by nodes and the tokens of operators."""

    cluster_keys: list[Secret] = []
    tokens: list[TokenSettings] = []


class LookupSettings(Spec):
    """Represent the TTL and number of VMs of look-up answers."""

    ttl_ms: PositiveInt = DEFAULT_LOOKUP_TTL_MS
    vms: PositiveInt = DEFAULT_LOOKUP_VMS


class LimitSettings(Spec):
    """Represent the limits on callers' connections and requests."""

    max_connections: PositiveInt = DEFAULT_MAX_CONNECTIONS
    max_header_bytes: PositiveInt = DEFAULT_MAX_HEADER_BYTES
    max_body_bytes: PositiveInt = DEFAULT_MAX_BODY_BYTES
    header_timeout_ms: PositiveInt = DEFAULT_HEADER_TIMEOUT_MS
    body_timeout_ms: PositiveInt = DEFAULT_BODY_TIMEOUT_MS
    idle_timeout_ms: PositiveInt = DEFAULT_IDLE_TIMEOUT_MS
    key_retention_ms: PositiveInt = DEFAULT_KEY_RETENTION_MS


class SteeringSettings(Spec):
    """Represent the planner's objective and planning interval.

    `member_bound` is the most VMs that the deployment runs at once.
    """

    objective: Annotated[str, msgspec.Meta(pattern="^(headroom|latency)$")] = "headroom"
    member_bound: PositiveInt = DEFAULT_MEMBER_BOUND
    plan_interval_ms: PositiveInt = DEFAULT_PLAN_INTERVAL_MS


class FleetTimings(Spec):
    """Represent the timings of calls between nodes and of the lease."""

    poll_hold_ms: PositiveInt = DEFAULT_POLL_HOLD_MS
    gossip_ms: PositiveInt = DEFAULT_GOSSIP_MS
    suspect_ms: PositiveInt = DEFAULT_SUSPECT_MS
    dead_ms: PositiveInt = DEFAULT_DEAD_MS
    report_ms: PositiveInt = DEFAULT_REPORT_INTERVAL_MS
    vms_ms: PositiveInt = DEFAULT_VMS_INTERVAL_MS
    tick_ms: PositiveInt = DEFAULT_TICK_MS
    lease_ms: PositiveInt = DEFAULT_LEASE_MS
    lease_renew_ms: PositiveInt = DEFAULT_LEASE_RENEW_MS
    lease_margin_ms: PositiveInt = DEFAULT_LEASE_MARGIN_MS


class ShutdownSettings(Spec):
    """Represent the time limits of a graceful shutdown."""

    limit_ms: PositiveInt = DEFAULT_SHUTDOWN_LIMIT_MS
    grace_ms: NonNegativeInt = DEFAULT_SHUTDOWN_GRACE_MS


class LogSettings(Spec):
    """Represent the level and format of the log."""

    level: LogLevel = "INFO"
    format: LogFormat = LogFormat.TEXT


class Settings(Spec):
    """Represent all settings of a node."""

    node: NodeSettings
    listen: ListenSettings
    store: StoreSettings
    seed_peers: list[Address] = []
    security: SecuritySettings = msgspec.field(default_factory=SecuritySettings)
    lookup: LookupSettings = msgspec.field(default_factory=LookupSettings)
    limits: LimitSettings = msgspec.field(default_factory=LimitSettings)
    steering: SteeringSettings = msgspec.field(default_factory=SteeringSettings)
    fleet: FleetTimings = msgspec.field(default_factory=FleetTimings)
    shutdown: ShutdownSettings = msgspec.field(default_factory=ShutdownSettings)
    log: LogSettings = msgspec.field(default_factory=LogSettings)


def load_settings(path: Path) -> Result[Settings, list[FieldError]]:
    """Return the validated settings in `path`, or every error."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        return Failure([FieldError("(file)", str(error))])
    try:
        data = jsonc.loads(text)
    except ValueError as error:
        return Failure([FieldError("(file)", f"not JSON with comments: {error}")])
    return decode_settings(data)


def decode_settings(data: Any) -> Result[Settings, list[FieldError]]:
    """Return validated settings from plain values, or every error."""
    decoded = validate(data, Settings)
    if isinstance(decoded, Failure):
        return decoded
    settings = decoded.unwrap()
    errors = _duplicate_addresses(settings)
    errors += _duplicate_tokens(settings)
    errors += _inconsistent_timings(settings.fleet)
    if errors:
        return Failure(errors)
    return Success(settings)


def _duplicate_addresses(settings: Settings) -> list[FieldError]:
    listen = settings.listen
    seen: dict[str, str] = {}
    errors = []
    for field in ("address", "admin_address", "peer_address"):
        address = getattr(listen, field)
        if address.endswith(":0"):
            continue
        if address in seen:
            reason = f"duplicate of listen.{seen[address]}: {address}"
            errors.append(FieldError(f"listen.{field}", reason))
        seen[address] = field
    return errors


def _duplicate_tokens(settings: Settings) -> list[FieldError]:
    seen: set[str] = set()
    errors = []
    for index, token in enumerate(settings.security.tokens):
        if token.token in seen:
            field = f"security.tokens[{index}].token"
            errors.append(FieldError(field, "duplicate of an earlier token"))
        seen.add(token.token)
    return errors


def _inconsistent_timings(timings: FleetTimings) -> list[FieldError]:
    errors = []
    if timings.suspect_ms >= timings.dead_ms:
        errors.append(FieldError("fleet.suspect_ms", "must be below fleet.dead_ms"))
    if timings.lease_renew_ms + timings.lease_margin_ms >= timings.lease_ms:
        reason = "lease_renew_ms and lease_margin_ms must sum to less than it"
        errors.append(FieldError("fleet.lease_ms", reason))
    return errors
