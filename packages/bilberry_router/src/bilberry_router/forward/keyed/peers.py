"""Signed calls between nodes about keys and suspects."""

import logging
from typing import Any, TypeVar

import msgspec

from bilberry_balance.suspects import SuspectReport
from bilberry_core.clock import Clock
from bilberry_core.outcome import Failure, Result
from bilberry_core.registry import Registry
from bilberry_fleet.auth import Signer
from bilberry_fleet.const import HEADER_AUTH
from bilberry_resources.codec import decode, encode

from ...http.head import RequestHead
from ...http.messages import Response, json_response, problem_response
from ..control import ControlClient, ControlError
from ..suspects import SuspectTracker
from .desk import KeyCoordinator
from .messages import (
    Acknowledgement,
    BeginCall,
    EndCall,
    HandoverCall,
    TrialCall,
)

_LOGGER = logging.getLogger(__name__)

T = TypeVar("T")

PREFIX_KEYED = "/internal/v1/keyed/"
PATH_BEGIN = f"{PREFIX_KEYED}begin"
PATH_END = f"{PREFIX_KEYED}end"
PATH_HANDOVER = f"{PREFIX_KEYED}handover"
PATH_EPOCH = f"{PREFIX_KEYED}epoch"
PATH_TRIAL = f"{PREFIX_KEYED}trial"
PATH_NOTE = f"{PREFIX_KEYED}note"
METHOD_POST = "POST"
CONNECTIONS_PER_PEER = 64
STATUS_UNAUTHORIZED = 401


class KeyPeerClient:
    """Make signed calls to other nodes over pooled connections."""

    __slots__ = ("clients", "clock", "signer")

    def __init__(self, signer: Signer, clock: Clock) -> None:
        self.signer = signer
        self.clock = clock
        self.clients: dict[str, ControlClient] = {}

    def close(self) -> None:
        """Close all connections."""
        for client in self.clients.values():
            client.close()
        self.clients.clear()

    def call(
        self, address: str, path: str, message: Any, reply_type: type[T], wait_ms: int
    ) -> Result[T, ControlError]:
        """Make one call to the peer listener at `address`."""
        client = self.clients.get(address)
        if client is None:
            client = ControlClient(address, CONNECTIONS_PER_PEER, self.clock)
            self.clients[address] = client
        body = encode(message)
        signature = self.signer.sign(METHOD_POST, path, body)
        headers = [(HEADER_AUTH, signature)]
        answer = client.call(METHOD_POST, path, wait_ms, body, headers)
        if isinstance(answer, Failure):
            return answer
        return decode(answer.unwrap(), reply_type).alt(
            lambda error: ControlError(str(error))
        )

    def close_except(self, addresses: set[str]) -> None:
        """Close the connections to all but `addresses`."""
        for address in list(self.clients.keys() - addresses):
            self.clients.pop(address).close()


class PeerCallHandler:
    """Verify and answer the calls of other nodes."""

    __slots__ = ("coordinator", "signer", "suspect_tracker")

    def __init__(
        self,
        coordinator: KeyCoordinator,
        suspect_tracker: SuspectTracker,
        signer: Signer,
    ) -> None:
        self.coordinator = coordinator
        self.suspect_tracker = suspect_tracker
        self.signer = signer

    def handle(self, head: RequestHead, body: bytes) -> Response:
        """Answer one call; blocks up to the call's own `wait_ms`."""
        signature = head.first(HEADER_AUTH.lower())
        checked = self.signer.verify(signature, head.method, head.target, body)
        if isinstance(checked, Failure):
            return problem_response(STATUS_UNAUTHORIZED, checked.failure())
        operation = OPERATIONS.get(head.target)
        if operation is None or head.method != METHOD_POST:
            return problem_response(404, f"no call {head.method} {head.target}")
        decoded: Result[Any, Any] = decode(body, operation.message_type)
        if isinstance(decoded, Failure):
            return problem_response(400, str(decoded.failure()))
        return json_response(200, operation.handler(self, decoded.unwrap()))


class Operation(msgspec.Struct, frozen=True):
    """The message type and the handler of a call."""

    message_type: Any
    handler: Any


OPERATIONS: Registry[str, Operation] = Registry()


def _register(path: str, message_type: Any) -> Any:
    def decorate(handler: Any) -> Any:
        OPERATIONS.register(path)(Operation(message_type, handler))
        return handler

    return decorate


@_register(PATH_BEGIN, BeginCall)
def _begin(peers: PeerCallHandler, call: BeginCall) -> Any:
    return peers.coordinator.begin(call)


@_register(PATH_END, EndCall)
def _end(peers: PeerCallHandler, call: EndCall) -> Any:
    return Acknowledgement(peers.coordinator.end_run(call))


@_register(PATH_HANDOVER, HandoverCall)
def _handover(peers: PeerCallHandler, call: HandoverCall) -> Any:
    return Acknowledgement(
        peers.coordinator.accept_handover(call.target, call.handover)
    )


@_register(PATH_EPOCH, None)
def _epoch(peers: PeerCallHandler, call: None) -> Any:
    return peers.coordinator.epoch_reply()


@_register(PATH_TRIAL, TrialCall)
def _trial(peers: PeerCallHandler, call: TrialCall) -> Any:
    return Acknowledgement(
        peers.suspect_tracker.grant_trial(call.fingerprint, call.limit_ms)
    )


@_register(PATH_NOTE, SuspectReport)
def _note(peers: PeerCallHandler, call: SuspectReport) -> Any:
    peers.suspect_tracker.merge_report(call)
    return Acknowledgement(True)
