"""Announce relay heartbeats and the versions that members installed."""

from collections import Counter
from dataclasses import dataclass

import msgspec

from bilberry_resources.codec import encode

from .const import FACT_PREFIX_RELAY_HEARTBEAT, FACT_PREFIX_STATUS
from .facts import FactTable
from .membership import USABLE_STATES, Membership
from .messages import EMPTY_RAW, Fact, MemberState, RelayStatus, RolloutStatus
from .status import InstalledVersion, rollout_status, summarize_by_site


@dataclass(slots=True, frozen=True)
class ReportedVersion:
    """Store the installed version that a member sent in its last pull."""

    version: int
    reported_ms: int


class RelayTracker:
    """Publish this relay's heartbeat and status; read those of others."""

    __slots__ = (
        "domain_heartbeat_ms",
        "facts",
        "membership",
        "next_heartbeat_ms",
        "next_status_ms",
        "reported",
        "sequence",
        "status",
    )

    def __init__(self, membership: Membership, facts: FactTable) -> None:
        self.membership = membership
        self.facts = facts
        self.reported: dict[str, ReportedVersion] = {}
        self.domain_heartbeat_ms: dict[str, int] = {}
        self.status: RelayStatus | None = None
        self.sequence = 0
        self.next_heartbeat_ms = 0
        self.next_status_ms = 0

    def record_version(
        self, sender: str, is_relay: bool, version: int, now_ms: int
    ) -> None:
        """Record the version in a pull; relays publish their own status."""
        if is_relay:
            self.reported.pop(sender, None)
        else:
            self.reported[sender] = ReportedVersion(version, now_ms)

    def record_heartbeat(self, fact: Fact, now_ms: int) -> None:
        """Record a heartbeat from a failure domain's relay."""
        domain, _, _ = fact.key.removeprefix(FACT_PREFIX_RELAY_HEARTBEAT).rpartition(
            "/"
        )
        self.domain_heartbeat_ms[domain] = now_ms

    def tick(self, version: int, now_ms: int) -> Fact | None:
        """Announce the heartbeat when due, the status also when it changed.

        Return an empty status if this node is no longer a relay. The caller
        has to send it, because no node pulls from this one any more.
        """
        if not self.membership.is_relay():
            return self.withdraw_status(now_ms)
        status = self.build_status(version, now_ms)
        if status != self.status or now_ms >= self.next_status_ms:
            self.status = status
            self.next_status_ms = now_ms + self.membership.settings.status_ms
            self.announce(FACT_PREFIX_STATUS, status, now_ms)
        is_first_relay = self.membership.relays()[0] == self.membership.own.name
        if is_first_relay and now_ms >= self.next_heartbeat_ms:
            self.next_heartbeat_ms = now_ms + self.membership.settings.beat_ms
            self.announce(
                f"{FACT_PREFIX_RELAY_HEARTBEAT}{status.failure_domain}/", None, now_ms
            )
        return None

    def withdraw_status(self, now_ms: int) -> Fact | None:
        """Clear the published status; return the empty status to send."""
        self.reported.clear()
        if self.status is None:
            return None
        self.status = None
        empty = RelayStatus(failure_domain=self.membership.own.failure_domain)
        return self.announce(FACT_PREFIX_STATUS, empty, now_ms)

    def announce(self, prefix: str, body: RelayStatus | None, now_ms: int) -> Fact:
        """Store and return a fact about this relay."""
        own = self.membership.own
        self.sequence += 1
        fact = Fact(
            key=prefix + own.name,
            stamp=(own.incarnation, self.sequence),
            body=EMPTY_RAW if body is None else msgspec.Raw(encode(body)),
            ttl_ms=3 * self.membership.settings.status_ms,
        )
        self.facts.put(fact, now_ms)
        return fact

    def build_status(self, version: int, now_ms: int) -> RelayStatus:
        """Return the versions of this relay and of the members polling it."""
        own = self.membership.own
        after_ms = now_ms - self.membership.suspect_after_ms
        self.reported = {
            n: r for n, r in self.reported.items() if r.reported_ms >= after_ms
        }
        installed = [InstalledVersion(own.site, version)]
        for name, reported in self.reported.items():
            member = self.membership.roster.get(name)
            is_local = member and member.failure_domain == own.failure_domain
            if member is not None and is_local:
                installed.append(InstalledVersion(member.site, reported.version))
        return summarize_by_site(own.failure_domain, installed)

    def unreachable(self, now_ms: int) -> list[str]:
        """Return the failure domains without recent relay heartbeats."""
        limit_ms = self.membership.settings.unreachable_ms
        own = self.membership.own.failure_domain
        silent_domains = []
        for domain in self.membership.failure_domains():
            heartbeat_ms = self.domain_heartbeat_ms.setdefault(domain, now_ms)
            if domain != own and now_ms - heartbeat_ms > limit_ms:
                silent_domains.append(domain)
        return silent_domains

    def rollout_status(self, version: int) -> RolloutStatus:
        """Return how many live sites installed `version`.

        Unreachable sites may still serve callers, so they count as waiting.
        """
        roster = self.membership.roster.values()
        live = [member for member in roster if member.state in USABLE_STATES]
        return rollout_status(version, self.statuses(), Counter(m.site for m in live))

    def statuses(self) -> list[RelayStatus]:
        """Return the statuses published by the current live relays."""
        statuses = []
        for fact in self.facts.with_prefix(FACT_PREFIX_STATUS):
            member = self.membership.roster.get(
                fact.key.removeprefix(FACT_PREFIX_STATUS)
            )
            if member is None or member.state is not MemberState.LIVE:
                continue
            if member.name in self.membership.relays(member.failure_domain):
                statuses.append(msgspec.json.decode(fact.body, type=RelayStatus))
        return statuses
