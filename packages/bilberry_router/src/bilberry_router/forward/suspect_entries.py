"""Convert suspect reports to and from the fleet's shared entries."""

import msgspec

from bilberry_balance.const import DEFAULT_QUARANTINE_MS
from bilberry_balance.suspects import SuspectReport
from bilberry_core.outcome import Failure
from bilberry_fleet.messages import SharedEntry
from bilberry_resources.codec import decode, encode

SUSPECT_KEY_PREFIX = "suspect/"


def to_shared_entry(report: SuspectReport) -> SharedEntry:
    """Return a suspect report as a shared entry."""
    return SharedEntry(
        key=SUSPECT_KEY_PREFIX + report.fingerprint,
        body=msgspec.Raw(encode(report)),
        ttl_ms=report.left_ms or DEFAULT_QUARANTINE_MS,
    )


def from_shared_entry(entry: SharedEntry) -> SuspectReport | None:
    """Return the suspect report in a shared entry, None if it has none."""
    if not entry.key.startswith(SUSPECT_KEY_PREFIX):
        return None
    decoded = decode(bytes(entry.body), SuspectReport)
    return None if isinstance(decoded, Failure) else decoded.unwrap()
