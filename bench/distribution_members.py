"""Make the members of a fleet for the distribution bench."""

import msgspec

from bilberry_fleet.const import FACT_PREFIX_MEMBER
from bilberry_fleet.membership import stamp_of
from bilberry_fleet.messages import Fact, Member, MemberState
from bilberry_resources.codec import encode
from bilberry_store.wire import VmItem


def make_member(index: int, regions: int, domains: int, sites: int) -> Member:
    """Return member number `index`, spread over domains and sites."""
    domain = index % domains
    site = domain + domains * ((index // domains) % max(1, sites // domains))
    address = f"10.{index // 65_536}.{index // 256 % 256}.{index % 256}"
    return Member(
        name=f"vm-{index:04}",
        address=f"{address}:8080",
        peer_address=f"{address}:7070",
        admin_address=f"{address}:9090",
        region=f"region-{domain % regions}",
        failure_domain=f"domain-{domain:02}",
        site=f"site-{site:03}",
        incarnation=1_700_000_000_000 + index,
    )


def member_fact(member: Member) -> Fact:
    """Return the fact of a member that has joined."""
    live = msgspec.structs.replace(member, state=MemberState.LIVE)
    return Fact(
        key=FACT_PREFIX_MEMBER + member.name,
        stamp=stamp_of(live, 1),
        body=msgspec.Raw(encode(live)),
    )


def vm_item(member: Member) -> VmItem:
    """Return a member as the platform lists it."""
    return VmItem(
        name=member.name,
        address=member.address,
        peer_address=member.peer_address,
        admin_address=member.admin_address,
        region=member.region,
        failure_domain=member.failure_domain,
        site=member.site,
    )
