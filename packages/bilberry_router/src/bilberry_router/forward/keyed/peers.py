"""Signed calls between nodes about keys and suspects."""

import logging
from typing import Any, TypeVar

import msgspec

from bilberry_balance.quarantine import SuspectReport
from bilberry_core.clock import Clock
from bilberry_core.outcome import Failure, Result
from bilberry_core.registry import Registry
from bilberry_fleet.auth import Signer
from bilberry_fleet.const import HEADER_AUTH
from bilberry_resources.codec import decode, encode

from ...http.head import RequestHead
from ...http.messages import Response, json_response, problem_response
from ..control import ControlCaller, ControlError
from ..suspects import Suspects
from .desk import KeyDesk
from .messages import (
    BeginCall,
    EndCall,
    HandoverCall,
    Taken,
    TrialCall,
)

_LOGGER = logging.getLogger(__name__)

T = TypeVar("T")

PREFIX = "/internal/v1/keyed/"
PATH_BEGIN = f"{PREFIX}begin"
PATH_END = f"{PREFIX}end"
PATH_HANDOVER = f"{PREFIX}handover"
PATH_EPOCH = f"{PREFIX}epoch"
PATH_TRIAL = f"{PREFIX}trial"
PATH_NOTE = f"{PREFIX}note"
METHOD_POST = "POST"
CONNECTIONS_PER_PEER = 64
STATUS_REFUSED = 401


class PeerCalls:
    """Make signed calls to other nodes over pooled connections."""

    __slots__ = ("callers", "clock", "signer")

    def __init__(self, signer: Signer, clock: Clock) -> None:
        self.signer = signer
        self.clock = clock
        self.callers: dict[str, ControlCaller] = {}

    def close(self) -> None:
        """Close all connections."""
        for caller in self.callers.values():
            caller.close()
        self.callers.clear()

    def call(
        self, address: str, path: str, message: Any, model: type[T], wait_ms: int
    ) -> Result[T, ControlError]:
        """Make one call to the peer listener at `address`."""
        caller = self.callers.get(address)
        if caller is None:
            caller = ControlCaller(address, CONNECTIONS_PER_PEER, self.clock)
            self.callers[address] = caller
        body = encode(message)
        signature = self.signer.sign(METHOD_POST, path, body)
        headers = [(HEADER_AUTH, signature)]
        answer = caller.call(METHOD_POST, path, wait_ms, body, headers)
        if isinstance(answer, Failure):
            return answer
        return decode(answer.unwrap(), model).alt(
            lambda error: ControlError(str(error))
        )

    def forget(self, addresses: set[str]) -> None:
        """Close the connections to all but `addresses`."""
        for address in list(self.callers.keys() - addresses):
            self.callers.pop(address).close()


class PeerDesk:
    """Verify and answer the calls of other nodes."""

    __slots__ = ("desk", "signer", "suspects")

    def __init__(self, desk: KeyDesk, suspects: Suspects, signer: Signer) -> None:
        self.desk = desk
        self.suspects = suspects
        self.signer = signer

    def answer(self, head: RequestHead, body: bytes) -> Response:
        """Answer one call; blocks up to the call's own `wait_ms`."""
        signature = head.first(HEADER_AUTH.lower())
        checked = self.signer.verify(signature, head.method, head.target, body)
        if isinstance(checked, Failure):
            return problem_response(STATUS_REFUSED, checked.failure())
        operation = OPERATIONS.get(head.target)
        if operation is None or head.method != METHOD_POST:
            return problem_response(404, f"no call {head.method} {head.target}")
        decoded: Result[Any, Any] = decode(body, operation.model)
        if isinstance(decoded, Failure):
            return problem_response(400, str(decoded.failure()))
        return json_response(200, operation.run(self, decoded.unwrap()))


class Operation(msgspec.Struct, frozen=True):
    """The message type and the handler of a call."""

    model: Any
    run: Any


OPERATIONS: Registry[str, Operation] = Registry()


def _register(path: str, model: Any) -> Any:
    def decorate(run: Any) -> Any:
        OPERATIONS.register(path)(Operation(model, run))
        return run

    return decorate


@_register(PATH_BEGIN, BeginCall)
def _begin(peers: PeerDesk, call: BeginCall) -> Any:
    return peers.desk.begin(call)


@_register(PATH_END, EndCall)
def _end(peers: PeerDesk, call: EndCall) -> Any:
    return Taken(peers.desk.end(call))


@_register(PATH_HANDOVER, HandoverCall)
def _handover(peers: PeerDesk, call: HandoverCall) -> Any:
    return Taken(peers.desk.take_handover(call.target, call.handover))


@_register(PATH_EPOCH, None)
def _epoch(peers: PeerDesk, call: None) -> Any:
    return peers.desk.epoch()


@_register(PATH_TRIAL, TrialCall)
def _trial(peers: PeerDesk, call: TrialCall) -> Any:
    return Taken(peers.suspects.grant(call.fingerprint, call.limit_ms))


@_register(PATH_NOTE, SuspectReport)
def _note(peers: PeerDesk, call: SuspectReport) -> Any:
    peers.suspects.take_note(call)
    return Taken(True)
