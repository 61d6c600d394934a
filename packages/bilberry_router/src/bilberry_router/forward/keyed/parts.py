"""Create and connect the components for idempotency keys."""

import logging

import gevent

from bilberry_balance.quarantine import SuspectReport
from bilberry_core.clock import Clock
from bilberry_core.const import MS_PER_SECOND
from bilberry_core.ids import new_uuid7
from bilberry_core.outcome import Failure
from bilberry_fleet.auth import Signer
from bilberry_fleet.const import DEFAULT_AUTH_SKEW_MS
from bilberry_fleet.messages import Member

from ...state import NodeState
from ..suspects import Suspects
from .desk import KeyDesk
from .epochs import EpochStore, EpochTask
from .messages import Taken, TrialCall
from .peers import PATH_NOTE, PATH_TRIAL, PeerCalls, PeerDesk
from .requests import KeyedRequests

_LOGGER = logging.getLogger(__name__)

TRIAL_WAIT_MS = 500
# Longest delay of a response while other nodes are told of a crash.
NOTE_WAIT_MS = 250
# The nodes beyond this limit learn of suspects by shared entries alone.
MAX_NOTED_NODES = 64


class KeyParts:
    """The components of this node that handle idempotency keys.

    Each process run has a new member name. Without a store there is no
    epoch, and requests with keys are answered with status 409.
    """

    def __init__(
        self,
        state: NodeState,
        store: EpochStore | None,
        suspects: Suspects,
        clock: Clock,
    ) -> None:
        settings = state.settings
        signer = Signer(settings.security.cluster_keys, clock, DEFAULT_AUTH_SKEW_MS)
        member = f"{settings.node.name}/{new_uuid7(clock)}"
        self.store = store
        self.desk = KeyDesk(member, clock, settings.limits.key_retention_ms)
        self.calls = PeerCalls(signer, clock)
        self.peers = PeerDesk(self.desk, suspects, signer)
        self.epochs = EpochTask(state, store, self.desk, self.calls, clock)
        self.requests = KeyedRequests(self.desk, self.epochs, self.calls, clock)
        self.state = state
        suspects.ask_trial = self.ask_trial
        suspects.tell_peers = self.tell_peers

    def start(self) -> None:
        """Start the epoch task, if there is a store."""
        if self.store is not None:
            self.epochs.start()

    def close(self) -> None:
        """Stop and close the connections to other nodes."""
        self.requests.close()
        self.epochs.close()
        self.calls.close()

    def ask_trial(self, owner: str, fingerprint: str, limit_ms: int) -> bool:
        """Ask another node for permission to try a suspect request."""
        address = self.epochs.address(owner)
        if not address:
            return False
        call = TrialCall(fingerprint, limit_ms)
        result = self.calls.call(address, PATH_TRIAL, call, Taken, TRIAL_WAIT_MS)
        return bool(result.map(lambda reply: reply.taken).value_or(False))

    def tell_peers(self, note: SuspectReport) -> None:
        """Send a suspect report to the other nodes, for up to NOTE_WAIT_MS."""
        calls = [
            gevent.spawn(self.tell, member.peer_address, note)
            for member in self.noted_nodes()
        ]
        gevent.joinall(calls, timeout=NOTE_WAIT_MS / MS_PER_SECOND)

    def tell(self, address: str, note: SuspectReport) -> None:
        """Send a suspect report to one node, without retries."""
        result = self.calls.call(address, PATH_NOTE, note, Taken, NOTE_WAIT_MS)
        if isinstance(result, Failure):
            _LOGGER.info(
                "keys: Suspect report to %s failed: %s.", address, result.failure()
            )

    def noted_nodes(self) -> list[Member]:
        """Return the nodes to report to, those of the own region first."""
        own = self.state.settings.node
        others = [
            member
            for member in self.state.members
            if member.name != own.name and member.peer_address
        ]
        others.sort(key=lambda member: (member.region != own.region, member.name))
        return others[:MAX_NOTED_NODES]
