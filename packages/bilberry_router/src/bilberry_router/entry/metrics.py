"""Export the metrics of an entry node."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

from bilberry_core.registry import Registry

from ..http.head import RequestHead
from .counts import ServiceHistograms
from .listener import Listener
from .membership import Membership
from .messages import EntryAnswer, EntryRequest, local_answer
from .placer import Placer
from .standstills import StandstillMonitor
from .state import EntryState

if TYPE_CHECKING:
    from ..metric_set import MetricSet

METRICS_PATH = "/metrics"


@dataclass(slots=True, frozen=True)
class MetricInputs:
    """Store the parts of a node that metrics are taken from."""

    state: EntryState
    placer: Placer
    membership: Membership
    entry_listener: Listener
    is_ready: Callable[[], bool]
    standstills: StandstillMonitor


MetricSource = Callable[[MetricInputs, "MetricSet"], None]

METRIC_SOURCES: Registry[str, MetricSource] = Registry()


class MetricsHandler:
    """Serve the node's metrics in Prometheus text format.

    The library that renders them is imported at the first query, as it
    takes several MB.
    """

    __slots__ = ("inputs",)

    def __init__(self, inputs: MetricInputs) -> None:
        self.inputs = inputs

    def may_overlap(self, head: RequestHead) -> bool:
        """Return True: queries are independent of each other."""
        return True

    def handle(self, request: EntryRequest) -> EntryAnswer:
        """Answer a query."""
        if request.head.path != METRICS_PATH:
            return local_answer(HTTPStatus.NOT_FOUND, "no such page")
        from ..metric_set import MetricSet

        metrics = MetricSet()
        for source in METRIC_SOURCES.values():
            source(self.inputs, metrics)
        text = metrics.render()
        return EntryAnswer(HTTPStatus.OK, text.headers, text.content)


@METRIC_SOURCES.register("requests")
def add_requests(inputs: MetricInputs, metrics: MetricSet) -> None:
    """Add the counts of answers, attempts and placements."""
    counts = inputs.state.counts
    for answer, number in counts.answers.items():
        metrics.set_counter(
            "bilberry_entry_answers_total",
            "Final answers to callers, by what they told.",
            number,
            service=answer.service,
            kind=answer.kind,
        )
    for attempt, number in counts.attempts.items():
        metrics.set_counter(
            "bilberry_entry_attempts_total",
            "Attempts at upstreams, by the point at which they ended.",
            number,
            service=attempt.service,
            end=attempt.end,
        )
    for placement, number in counts.placements.items():
        metrics.set_counter(
            "bilberry_entry_placements_total",
            "Upstreams chosen, by what they know of the object and distance.",
            number,
            service=placement.service,
            warmth=placement.warmth.name.lower(),
            distance=placement.distance,
        )
    for reason, number in counts.denials.items():
        metrics.set_counter(
            "bilberry_entry_denied_total",
            "Requests that no workspace may send now, by the reason.",
            number,
            reason=reason,
        )
    for header, number in counts.unreadable_headers.items():
        metrics.set_counter(
            "bilberry_entry_unreadable_headers_total",
            "Headers of upstreams' answers that could not be read.",
            number,
            header=header,
        )
    add_key_places(inputs, metrics)
    for result, number in counts.quotas.items():
        metrics.set_counter(
            "bilberry_entry_quota_requests_total",
            "Requests of workspaces, by what their quotas allowed.",
            number,
            result=result,
        )
    for traffic, size in counts.bytes.items():
        metrics.set_counter(
            "bilberry_entry_bytes_total",
            "Bytes exchanged with upstreams, heads included.",
            size,
            direction=traffic.direction,
            distance=traffic.distance,
        )
    for service, histograms in counts.histograms.items():
        add_histograms(metrics, service, histograms)


def add_key_places(inputs: MetricInputs, metrics: MetricSet) -> None:
    """Add how many keys were ranked again after changes of their pools."""
    ranks = inputs.state.selector.ranks
    for change, counts in (("moved", ranks.moved), ("kept", ranks.kept)):
        for service, number in counts.items():
            metrics.set_counter(
                "bilberry_entry_reranked_keys_total",
                "Keys ranked again after a change of upstreams, by the result.",
                number,
                service=service,
                change=change,
            )


def add_histograms(
    metrics: MetricSet, service: str, histograms: ServiceHistograms
) -> None:
    """Add the latency histograms of one service."""
    metrics.set_histogram(
        "bilberry_entry_request_duration_ms",
        "Time from a whole request to its final answer.",
        histograms.requests,
        service=service,
    )
    metrics.set_histogram(
        "bilberry_entry_attempt_duration_ms",
        "Time of one attempt at an upstream.",
        histograms.attempts,
        service=service,
    )
    metrics.set_histogram(
        "bilberry_entry_queue_duration_ms",
        "Time that queued requests waited for room, refused ones included.",
        histograms.queueing,
        service=service,
    )


@METRIC_SOURCES.register("room")
def add_capacity(inputs: MetricInputs, metrics: MetricSet) -> None:
    """Add slots, load and queues by service, and shares of regions."""
    state = inputs.state
    now_ms = state.clock.now_ms()
    for service in state.upstreams.pools:
        metrics.set_gauge(
            "bilberry_entry_slots",
            "Slots of the service's upstreams that are known.",
            state.service_slots(service),
            service=service,
        )
        metrics.set_gauge(
            "bilberry_entry_load",
            "Requests at the service's upstreams, of all nodes as known here.",
            state.service_load(service, now_ms),
            service=service,
        )
        metrics.set_gauge(
            "bilberry_entry_slow_upstreams",
            "Upstreams of the service that this node or a peer found slow.",
            state.count_slow_upstreams(service, now_ms),
            service=service,
        )
        metrics.set_gauge(
            "bilberry_entry_rate_limited_upstreams",
            "Upstreams of the service that name a limit on their request rate.",
            state.count_rate_limited_upstreams(service),
            service=service,
        )
        metrics.set_gauge(
            "bilberry_entry_queued",
            "Requests that wait here for room at the service.",
            inputs.placer.queue_length(service),
            service=service,
        )
    for region, share in state.region_share_limiter.shares.items():
        metrics.set_gauge(
            "bilberry_entry_region_share",
            "Part of this node's requests that goes to the region.",
            share,
            region=region,
        )


@METRIC_SOURCES.register("beliefs")
def add_feeds(inputs: MetricInputs, metrics: MetricSet) -> None:
    """Add the configuration version, and the age and calls of feeds."""
    state = inputs.state
    now_ms = state.clock.now_ms()
    metrics.set_gauge(
        "bilberry_config_version",
        "Version of the installed configuration.",
        state.config_version,
    )
    proof_age_ms = state.config_proof.age_ms()
    if proof_age_ms is not None:
        metrics.set_gauge(
            "bilberry_config_proof_age_ms",
            "Time since when the configuration is known to be the newest.",
            proof_age_ms,
        )
    for feed in inputs.membership.reading.feeds:
        if feed.record.last_answer_ms is not None:
            metrics.set_gauge(
                "bilberry_feed_age_ms",
                "Time since the store last told of a kind of objects.",
                now_ms - feed.record.last_answer_ms,
                kind=feed.kind,
            )
        for result, number in feed.record.calls.items():
            metrics.set_counter(
                "bilberry_store_calls_total",
                "Calls of the store, by kind of objects and result.",
                number,
                kind=feed.kind,
                result=result,
            )


@METRIC_SOURCES.register("peers")
def add_peers(inputs: MetricInputs, metrics: MetricSet) -> None:
    """Add the known and alive peers, and the age of their heartbeats."""
    peers = inputs.membership.peers
    now_ms = inputs.state.clock.now_ms()
    metrics.set_gauge("bilberry_peers_known", "Other nodes known.", len(peers.peers))
    alive = peers.alive(now_ms)
    metrics.set_gauge(
        "bilberry_peers_alive", "Other nodes heard of in time.", len(alive)
    )
    for purpose, size in inputs.membership.heartbeats.sent_bytes.items():
        metrics.set_counter(
            "bilberry_peers_sent_bytes_total",
            "Bytes of datagrams sent to other nodes.",
            size,
            purpose=purpose,
        )
    for peer in peers.peers.values():
        if peer.last_seen_ms is not None:
            metrics.set_gauge(
                "bilberry_peer_age_ms",
                "Time since a node was last heard of.",
                now_ms - peer.last_seen_ms,
                node=peer.info.name,
            )


@METRIC_SOURCES.register("process")
def add_process(inputs: MetricInputs, metrics: MetricSet) -> None:
    """Add the readiness and the number of connections."""
    metrics.set_gauge(
        "bilberry_ready", "1 while this node takes callers.", int(inputs.is_ready())
    )
    metrics.set_gauge(
        "bilberry_connections",
        "Connections of callers.",
        len(inputs.entry_listener.connections),
    )
    request_memory = inputs.entry_listener.request_memory
    metrics.set_gauge(
        "bilberry_request_body_bytes",
        "Memory that bodies of requests in progress take.",
        request_memory.held_bytes,
    )
    metrics.set_counter(
        "bilberry_refused_bodies_total",
        "Requests refused as there was no memory for their bodies.",
        request_memory.refused_count,
    )
    metrics.set_counter(
        "bilberry_standstills_total",
        "Times that this node ran nothing for half a second or more.",
        inputs.standstills.count,
    )
    metrics.set_counter(
        "bilberry_standstill_ms_total",
        "Time that this node ran nothing in these.",
        inputs.standstills.total_ms,
    )


@METRIC_SOURCES.register("refused_callers")
def add_refused_callers(inputs: MetricInputs, metrics: MetricSet) -> None:
    """Add the callers refused by the entry, by the limit."""
    for limit, number in inputs.entry_listener.refusals.counts.items():
        metrics.set_counter(
            "bilberry_refused_callers_total",
            "Connections closed and requests refused unrun, by the limit.",
            number,
            limit=limit,
        )


@METRIC_SOURCES.register("unread_closes")
def add_unread_closes(inputs: MetricInputs, metrics: MetricSet) -> None:
    """Add the connections that closed before their answers were taken."""
    for cause, number in inputs.entry_listener.unread_closes.counts.items():
        metrics.set_counter(
            "bilberry_unread_closes_total",
            "Connections closed before the caller had taken its answers.",
            number,
            cause=cause,
        )
