"""Create and connect the components for idempotency keys."""

import logging

import gevent

from bilberry_balance.suspects import SuspectReport
from bilberry_core.clock import Clock
from bilberry_core.const import MS_PER_SECOND
from bilberry_core.ids import new_uuid7
from bilberry_core.outcome import Failure
from bilberry_fleet.auth import Signer
from bilberry_fleet.const import DEFAULT_AUTH_SKEW_MS
from bilberry_fleet.messages import Member

from ...state import NodeState
from ..suspects import SuspectTracker
from .desk import KeyCoordinator
from .epochs import EpochStore, EpochTask
from .messages import Acknowledgement, TrialCall
from .peers import PATH_NOTE, PATH_TRIAL, KeyPeerClient, PeerCallHandler
from .requests import KeyedRequests

_LOGGER = logging.getLogger(__name__)

TRIAL_TIMEOUT_MS = 500
# Longest delay of a response while other nodes are told of a crash.
REPORT_TIMEOUT_MS = 250
# The nodes beyond this limit learn of suspects by shared entries alone.
MAX_REPORT_RECEIVERS = 64


class KeyComponents:
    """The components of this node that handle idempotency keys.

    Each process run has a new member name. Without a store there is no
    epoch, and requests with keys are answered with status 409.
    """

    def __init__(
        self,
        state: NodeState,
        store: EpochStore | None,
        suspect_tracker: SuspectTracker,
        clock: Clock,
    ) -> None:
        settings = state.settings
        signer = Signer(settings.security.cluster_keys, clock, DEFAULT_AUTH_SKEW_MS)
        member = f"{settings.node.name}/{new_uuid7(clock)}"
        self.store = store
        self.coordinator = KeyCoordinator(
            member, clock, settings.limits.key_retention_ms
        )
        self.peer_client = KeyPeerClient(signer, clock)
        self.peers = PeerCallHandler(self.coordinator, suspect_tracker, signer)
        self.epochs = EpochTask(state, store, self.coordinator, self.peer_client, clock)
        self.requests = KeyedRequests(
            self.coordinator, self.epochs, self.peer_client, clock
        )
        self.state = state
        suspect_tracker.request_trial = self.request_trial
        suspect_tracker.report_to_peers = self.report_to_peers

    def start(self) -> None:
        """Start the epoch task, if there is a store."""
        if self.store is not None:
            self.epochs.start()

    def close(self) -> None:
        """Stop and close the connections to other nodes."""
        self.requests.close()
        self.epochs.close()
        self.peer_client.close()

    def request_trial(self, owner: str, fingerprint: str, limit_ms: int) -> bool:
        """Ask another node for permission to try a suspect request."""
        address = self.epochs.peer_address(owner)
        if not address:
            return False
        call = TrialCall(fingerprint, limit_ms)
        result = self.peer_client.call(
            address, PATH_TRIAL, call, Acknowledgement, TRIAL_TIMEOUT_MS
        )
        return bool(result.map(lambda reply: reply.accepted).value_or(False))

    def report_to_peers(self, report: SuspectReport) -> None:
        """Send a suspect report to peers; wait up to REPORT_TIMEOUT_MS."""
        jobs = [
            gevent.spawn(self.send_report, member.peer_address, report)
            for member in self.report_receivers()
        ]
        gevent.joinall(jobs, timeout=REPORT_TIMEOUT_MS / MS_PER_SECOND)

    def send_report(self, address: str, report: SuspectReport) -> None:
        """Send a suspect report to one node, without retries."""
        result = self.peer_client.call(
            address, PATH_NOTE, report, Acknowledgement, REPORT_TIMEOUT_MS
        )
        if isinstance(result, Failure):
            _LOGGER.info(
                "keys: Suspect report to %s failed: %s.", address, result.failure()
            )

    def report_receivers(self) -> list[Member]:
        """Return the nodes to report to, those of the own region first."""
        own = self.state.settings.node
        others = [
            member
            for member in self.state.members
            if member.name != own.name and member.peer_address
        ]
        others.sort(key=lambda member: (member.region != own.region, member.name))
        return others[:MAX_REPORT_RECEIVERS]
