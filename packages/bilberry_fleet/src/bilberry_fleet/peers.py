"""Make signed calls to other nodes over persistent connections."""

from bilberry_core.outcome import Failure, Result, Success
from bilberry_resources.codec import decode, encode
from bilberry_resources.compression import (
    ENCODING_DEFLATE,
    HEADER_ACCEPT_ENCODING,
    HEADER_CONTENT_ENCODING,
    compress,
    should_compress,
)
from bilberry_store.byte_counter import ByteCounter
from bilberry_store.http import CallError, CallFailure, HttpResponse, HttpSession

from .auth import Signer
from .const import HEADER_AUTH, PATH_PULL, PATH_REPORTS, PATH_STATUS
from .messages import PullRequest, PullResponse, ReportBatch, RolloutStatus

STATUS_OK = 200
MAX_CALLERS = 64


class PeerClient:
    """Make calls to other nodes and keep their connections."""

    __slots__ = ("callers", "signer", "timeout_ms", "traffic")

    def __init__(self, signer: Signer, timeout_ms: int) -> None:
        self.signer = signer
        self.timeout_ms = timeout_ms
        self.traffic = ByteCounter()
        self.callers: dict[str, HttpSession] = {}

    def close(self) -> None:
        """Close all connections."""
        for caller in self.callers.values():
            caller.close()
        self.callers.clear()

    def pull(
        self, address: str, request: PullRequest
    ) -> Result[PullResponse, CallError]:
        """Pull from a node; allow for the hold time of the request."""
        limit_ms = request.hold_ms + self.timeout_ms
        answer = self.call(address, "POST", PATH_PULL, encode(request), limit_ms)
        return answer.bind(lambda response: _decoded(response, PullResponse))

    def send_reports(
        self, address: str, batch: ReportBatch
    ) -> Result[HttpResponse, CallError]:
        """Send a batch of reports to the planner."""
        return self.call(address, "POST", PATH_REPORTS, encode(batch), self.timeout_ms)

    def rollout_status(
        self, address: str, version: int
    ) -> Result[RolloutStatus, CallError]:
        """Ask a relay how many sites installed a version."""
        path = f"{PATH_STATUS}?version={version}"
        answer = self.call(address, "GET", path, b"", self.timeout_ms)
        return answer.bind(lambda response: _decoded(response, RolloutStatus))

    def call(
        self, address: str, method: str, path: str, body: bytes, timeout_ms: int
    ) -> Result[HttpResponse, CallError]:
        """Make one signed call; any status other than 200 is a failure."""
        headers = {HEADER_ACCEPT_ENCODING: ENCODING_DEFLATE}
        if should_compress(body):
            headers[HEADER_CONTENT_ENCODING] = ENCODING_DEFLATE
            body = compress(body)
        headers[HEADER_AUTH] = self.signer.sign(method, path, body)
        caller = self.caller(address)
        result = caller.read(method, path, body, headers, timeout_ms)
        if isinstance(result, Failure):
            return result
        answer = result.unwrap()
        if answer.status != STATUS_OK:
            text = answer.body[:200].decode(errors="replace")
            return Failure(
                CallError(CallFailure.MAYBE_SENT, f"status {answer.status}: {text}")
            )
        return Success(answer)

    def caller(self, address: str) -> HttpSession:
        """Return the caller for an address; close the least recently used."""
        caller = self.callers.pop(address, None)
        if caller is None:
            caller = HttpSession(address, byte_counter=self.traffic)
        self.callers[address] = caller
        while len(self.callers) > MAX_CALLERS:
            oldest = next(iter(self.callers))
            self.callers.pop(oldest).close()
        return caller


def _decoded(answer: HttpResponse, model: type) -> Result:
    return decode(answer.body, model).alt(
        lambda error: CallError(CallFailure.MAYBE_SENT, str(error))
    )
