"""Datagrams that nodes exchange; each fits in one datagram."""

import msgspec

from bilberry_balance.placement.rate_limit import RateLimitReport
from bilberry_balance.placement.restarts import RestartReport
from bilberry_balance.placement.slow_reports import SlowReport
from bilberry_balance.quota.reports import QuotaReport
from bilberry_balance.suspects import SuspectReport


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
    `revisions` are those of the latest change known of each of the store's
    kinds in `store_era`, in the order of the node's feeds. `slow_upstreams`
    are those that any node lately found slow. `rate_limits` are what answers
    to the node named, and `send_rates` the node's requests a second at limited
    upstreams. `restarts` are the upstreams that lately ended or came back, and
    `quotas` the requests of workspaces with a limit. With `can_read`, others
    may rely on what the node reads of the store.
    """

    node: NodeInfo
    sequence: int
    ready: bool
    config_version: int
    in_flight: dict[str, int]
    suspects: list[SuspectReport] = []
    revisions: list[int] = []
    slow_upstreams: list[SlowReport] = []
    rate_limits: list[RateLimitReport] = []
    send_rates: dict[str, float] = {}
    store_era: int = 0
    restarts: list[RestartReport] = []
    quotas: list[QuotaReport] = []
    can_read: bool = True


class DomainSummary(msgspec.Struct, array_like=True, tag="domain"):
    """Represent all live nodes of a failure domain, for the other domains.

    `ready` and `not_ready` name the nodes, `details` describes those that
    started recently, `in_flight`, `send_rates` and `quotas` are the sums of
    their requests, `revisions` are the latest that any of them knows. The node
    that receives it from its sender passes it on in its own domain once, with
    `is_relayed` set.
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
    revisions: list[int] = []
    is_relayed: bool = False
    slow_upstreams: list[SlowReport] = []
    rate_limits: list[RateLimitReport] = []
    send_rates: dict[str, float] = {}
    store_era: int = 0
    restarts: list[RestartReport] = []
    quotas: list[QuotaReport] = []


class TrialRequest(msgspec.Struct, frozen=True):
    """Ask for leave to try a suspect request at `upstream`."""

    fingerprint: str
    upstream: str
    limit_ms: int


class SuspectCall(msgspec.Struct, array_like=True, tag="suspect_call"):
    """Tell another node of suspects at once, or ask it for a trial.

    With a `call_id` other than 0 the sender waits for a reply. With
    `asks_all` it wants to know all suspects.
    """

    sender: str
    call_id: int
    reports: list[SuspectReport]
    trial: TrialRequest | None = None
    asks_all: bool = False


class ProofRequest(msgspec.Struct, array_like=True, tag="proof_request"):
    """Ask another node how recent its configuration is known to be."""

    call_id: int


class ProofReply(msgspec.Struct, array_like=True, tag="proof_reply"):
    """Reply that no version newer than `config_version` existed then.

    That was `age_ms` before this reply.
    """

    call_id: int
    age_ms: int
    config_version: int


ProofMessage = ProofRequest | ProofReply


class SuspectReply(msgspec.Struct, array_like=True, tag="suspect_reply"):
    """Reply to a call with what is known of the suspects in it."""

    call_id: int
    reports: list[SuspectReport]
    trial_granted: bool = False
