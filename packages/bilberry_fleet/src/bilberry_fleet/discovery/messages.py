"""Datagrams that nodes exchange; each fits in one datagram."""

import msgspec

from bilberry_balance.quarantine import SuspectReport


class NodeInfo(msgspec.Struct, frozen=True):
    """Describe one run of a node; each start gets a new `run_id`."""

    name: str
    run_id: str
    entry_address: str
    peer_address: str
    failure_domain: str
    region: str


class Heartbeat(msgspec.Struct, array_like=True, tag="node"):
    """Represent a node's state, sent within its failure domain.

    `in_flight` maps each upstream to the node's requests there, without the
    zeros; `suspects` lists the requests suspected of crashing upstreams.
    """

    node: NodeInfo
    sequence: int
    ready: bool
    config_version: int
    in_flight: dict[str, int]
    suspects: list[SuspectReport] = []


class DomainSummary(msgspec.Struct, array_like=True, tag="domain"):
    """Represent all live nodes of a failure domain, for the other domains.

    `ready` and `not_ready` name the nodes, `details` describes those that
    started recently, and `in_flight` is the sum of their requests. The node
    that receives it from its sender passes it on in its own domain once,
    with `is_relayed` set.
    """

    sender: str
    run_id: str
    sequence: int
    failure_domain: str
    ready: list[str]
    not_ready: list[str]
    details: list[NodeInfo]
    in_flight: dict[str, int]
    suspects: list[SuspectReport] = []
    is_relayed: bool = False
