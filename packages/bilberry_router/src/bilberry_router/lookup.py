"""Look-ups: the choice of VMs that a caller should use."""

import ipaddress
import socket
from dataclasses import dataclass

import msgspec

from bilberry_core.const import HEADER_RETRY_AFTER
from bilberry_core.ids import stable_hash
from bilberry_fleet.messages import Member, MemberState
from bilberry_resources.codec import encode
from bilberry_resources.kinds.topology import SiteState
from bilberry_steering.block_table import ClientGroup
from bilberry_steering.node import NodeSteering

from .const import CONTENT_JSON
from .http.messages import (
    PreparedResponse,
    Response,
    prepare_response,
    problem_response,
)
from .state import NodeState

BUCKETS = 64
BUCKET_SHIFT = 26
HASH_MULTIPLIER = 2_654_435_761
HASH_MASK = 0xFFFFFFFF
MAX_CACHED_ANSWERS = 50_000
REGION_ORDER_TTL_MS = 250
RETRY_AFTER = (HEADER_RETRY_AFTER, "1")


class VmAnswer(msgspec.Struct):
    """Represent one VM in a look-up answer."""

    name: str
    address: str
    region: str


class LookupAnswer(msgspec.Struct):
    """Represent the answer to a look-up."""

    service: str
    vms: list[VmAnswer]
    ttl_ms: int
    config_version: int


@dataclass(slots=True)
class CachedRegionOrder:
    """Represent a cached order of regions, best first."""

    regions: tuple[str, ...]
    expires_ms: int


@dataclass(slots=True)
class ClientLocation:
    """Represent a client: its address as a number, and its group."""

    address_number: int
    group: ClientGroup

    @property
    def bucket(self) -> int:
        """Return the client's hash bucket, used to spread clients over VMs."""
        mixed = (self.address_number * HASH_MULTIPLIER) & HASH_MASK
        return mixed >> BUCKET_SHIFT


class VmSelector:
    """Choose VMs for callers, from the nearest regions and sites first."""

    __slots__ = (
        "answer_count",
        "headers",
        "prepared_answers",
        "region_orders",
        "revision",
        "state",
        "steering",
    )

    def __init__(self, state: NodeState, steering: NodeSteering) -> None:
        self.state = state
        self.steering = steering
        self.headers = [("Content-Type", CONTENT_JSON)]
        self.prepared_answers: dict[
            tuple[str, str, tuple[str, ...], int], PreparedResponse
        ] = {}
        self.region_orders: dict[tuple[str, ClientGroup], CachedRegionOrder] = {}
        self.revision = -1
        self.answer_count = 0

    def answer(self, service: str, client: str) -> PreparedResponse:
        """Return the response to a look-up for a client's address.

        The status is 400 for an invalid address, 404 for an unknown
        service, and 503 when no VM can serve the client.
        """
        self.answer_count += 1
        location = self.locate_client(client)
        if location is None:
            detail = f"client: not an IP address: {client!r}"
            return prepare_response(problem_response(400, detail))
        if service not in self.state.snapshot.services:
            return prepare_response(service_problem(service))
        self.clear_outdated_caches()
        regions = self.region_order(service, location.group, client)
        key = (service, location.group.site, regions, location.bucket)
        prepared = self.prepared_answers.get(key)
        if prepared is None:
            prepared = prepare_response(self.build_answer(*key))
            self.prepared_answers[key] = prepared
        return prepared

    def locate_client(self, client: str) -> ClientLocation | None:
        """Return the client's hash input and group, None if not an address."""
        try:
            packed = socket.inet_pton(socket.AF_INET, client)
        except (OSError, ValueError):
            return self.locate_non_ipv4_client(client)
        address_number = int.from_bytes(packed, "big")
        group = self.steering.table.group_of_v4(address_number)
        return ClientLocation(address_number, group or self.steering.default_group)

    def locate_non_ipv4_client(self, client: str) -> ClientLocation | None:
        """Return the same as `locate_client`, for an IPv6 address."""
        try:
            address_number = hash(ipaddress.ip_address(client))
        except ValueError:
            return None
        group = self.steering.table.group_of(client)
        return ClientLocation(address_number, group or self.steering.default_group)

    def clear_outdated_caches(self) -> None:
        """Clear caches when they are outdated or too large.

        They depend on the configuration and on the list of members.
        """
        outdated = self.revision != self.state.revision
        if outdated or len(self.prepared_answers) > MAX_CACHED_ANSWERS:
            self.prepared_answers.clear()
            self.region_orders.clear()
            self.revision = self.state.revision

    def region_order(
        self, service: str, group: ClientGroup, client: str
    ) -> tuple[str, ...]:
        """Return the group's regions, best first, cached for a short time."""
        now_ms = self.state.clock.now_ms()
        key = (service, group)
        entry = self.region_orders.get(key)
        if entry is None or now_ms >= entry.expires_ms:
            regions = self.steering.lookup_regions(
                service, client, self.state.clock.wall_ms()
            )
            entry = CachedRegionOrder(tuple(regions), now_ms + REGION_ORDER_TTL_MS)
            self.region_orders[key] = entry
        return entry.regions

    def build_answer(
        self, service: str, site: str, regions: tuple[str, ...], bucket: int
    ) -> Response:
        """Return the response for one hash bucket of clients."""
        chosen = self.choose_vms(site, regions, bucket)
        if not chosen:
            detail = "no VM can serve this service"
            return problem_response(503, detail, headers=[RETRY_AFTER])
        answer = LookupAnswer(
            service=service,
            vms=[VmAnswer(m.name, m.address, m.region) for m in chosen],
            ttl_ms=self.state.settings.lookup.ttl_ms,
            config_version=self.state.snapshot.version,
        )
        return Response(200, encode(answer), self.headers)

    def choose_vms(
        self, site: str, regions: tuple[str, ...], bucket: int
    ) -> list[Member]:
        """Return VMs of the best regions, those at the client's site first.

        Among equals, rendezvous hashing spreads the buckets over the VMs.
        """
        rank = {region: index for index, region in enumerate(regions)}
        usable = [
            member for member in self.state.members if self.accepts_callers(member)
        ]
        usable.sort(
            key=lambda m: (
                rank.get(m.region, len(rank)),
                m.site != site,
                stable_hash(str(bucket), m.name),
            )
        )
        return usable[: self.state.settings.lookup.vms]

    def accepts_callers(self, member: Member) -> bool:
        """Return whether callers may be sent to a member."""
        if member.state is not MemberState.LIVE:
            return False
        site = self.state.snapshot.sites.get(member.site)
        return site is None or site.state is SiteState.ACTIVE


def service_problem(service: str) -> Response:
    """Return the response for a missing or unknown service."""
    if not service:
        return problem_response(400, "service: required")
    return problem_response(404, f"no service named {service!r}")
