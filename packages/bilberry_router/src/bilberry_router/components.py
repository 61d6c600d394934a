"""Build the components of a node from its settings."""

from bilberry_core.clock import Clock
from bilberry_fleet.messages import Member
from bilberry_fleet.settings import FleetSettings
from bilberry_store.client import StoreClient, StoreClientSettings

from .const import API_CALL_BURST
from .settings import Settings


def make_store(settings: Settings, clock: Clock) -> StoreClient:
    """Return the store client for the node's own calls."""
    client_settings = StoreClientSettings(
        call_timeout_ms=settings.store.timeout_ms,
        calls_per_s=settings.store.calls_per_s,
    )
    return StoreClient(settings.store.url, clock, client_settings)


def make_api_store(settings: Settings, clock: Clock) -> StoreClient:
    """Return the store client for operators' calls.

    It has its own call budget, apart from that of the node's own calls.
    """
    client_settings = StoreClientSettings(
        call_timeout_ms=settings.store.timeout_ms,
        calls_per_s=settings.store.api_calls_per_s,
        call_burst=API_CALL_BURST,
    )
    return StoreClient(settings.store.url, clock, client_settings)


def make_fleet_settings(settings: Settings) -> FleetSettings:
    """Return the timings, shared keys and seed peers of the fleet."""
    timings = settings.fleet
    return FleetSettings(
        poll_hold_ms=timings.poll_hold_ms,
        gossip_ms=timings.gossip_ms,
        suspect_ms=timings.suspect_ms,
        dead_ms=timings.dead_ms,
        report_ms=timings.report_ms,
        vms_ms=timings.vms_ms,
        tick_ms=timings.tick_ms,
        lease_ms=timings.lease_ms,
        lease_renew_ms=timings.lease_renew_ms,
        lease_margin_ms=timings.lease_margin_ms,
        shared_keys=settings.security.cluster_keys,
        seed_peers=settings.seed_peers,
    )


def make_member(settings: Settings, clock: Clock) -> Member:
    """Return the member record that this node announces to its peers."""
    return Member(
        name=settings.node.name,
        address=settings.listen.address,
        peer_address=settings.listen.peer_address,
        admin_address=settings.listen.admin_address,
        region=settings.node.region,
        failure_domain=settings.node.failure_domain,
        site=settings.node.site_name,
        incarnation=clock.wall_ms(),
    )
