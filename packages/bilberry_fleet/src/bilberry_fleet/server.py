"""Handle the calls of other nodes."""

from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

import msgspec

from bilberry_core.outcome import Failure
from bilberry_resources.codec import decode, encode
from bilberry_resources.compression import (
    ENCODING_DEFLATE,
    HEADER_ACCEPT_ENCODING,
    HEADER_CONTENT_ENCODING,
    compress,
    decompress,
    should_compress,
)

from .auth import Signer
from .const import HEADER_AUTH, PATH_PULL, PATH_REPORTS, PATH_STATUS
from .messages import PullRequest, PullResponse, ReportBatch, RolloutStatus

MAX_DECOMPRESSED_BYTES = 16_000_000
STATUS_OK = 200
STATUS_BAD_REQUEST = 400
STATUS_UNAUTHORIZED = 401
STATUS_NOT_FOUND = 404

OnPull = Callable[[PullRequest], PullResponse]
OnReports = Callable[[ReportBatch], None]
OnStatus = Callable[[int], RolloutStatus]


class PeerResponse(msgspec.Struct, frozen=True):
    """Represent the response to a node's call."""

    status: int
    body: bytes
    headers: list[tuple[str, str]] = []


class ErrorBody(msgspec.Struct, frozen=True):
    """Body of an error response."""

    reason: str


class PeerServer:
    """Verify and route the calls below the internal path."""

    __slots__ = ("on_pull", "on_reports", "on_status", "refused_calls", "signer")

    def __init__(
        self,
        signer: Signer,
        on_pull: OnPull,
        on_reports: OnReports,
        on_status: OnStatus,
    ) -> None:
        self.signer = signer
        self.on_pull = on_pull
        self.on_reports = on_reports
        self.on_status = on_status
        self.refused_calls = 0

    def handle(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> PeerResponse:
        """Handle one call; header names are case-insensitive.

        The signature covers the body as sent, compressed or not.
        """
        headers_by_name = {name.lower(): value for name, value in headers.items()}
        verified = self.signer.verify(
            headers_by_name.get(HEADER_AUTH.lower()), method, path, body
        )
        if isinstance(verified, Failure):
            self.refused_calls += 1
            return _error(STATUS_UNAUTHORIZED, verified.failure())
        if headers_by_name.get(HEADER_CONTENT_ENCODING.lower()) == ENCODING_DEFLATE:
            decompressed = decompress(body, MAX_DECOMPRESSED_BYTES)
            if isinstance(decompressed, Failure):
                return _error(STATUS_BAD_REQUEST, str(decompressed.failure()))
            body = decompressed.unwrap()
        response = self.route(method, path, body)
        if headers_by_name.get(HEADER_ACCEPT_ENCODING.lower()) == ENCODING_DEFLATE:
            return _compressed(response)
        return response

    def route(self, method: str, path: str, body: bytes) -> PeerResponse:
        """Route a verified call to its handler."""
        url = urlsplit(path)
        if (method, url.path) == ("POST", PATH_PULL):
            return self.pull(body)
        if (method, url.path) == ("POST", PATH_REPORTS):
            return self.reports(body)
        if (method, url.path) == ("GET", PATH_STATUS):
            return self.status(url.query)
        return _error(STATUS_NOT_FOUND, f"no call {method} {url.path}")

    def pull(self, body: bytes) -> PeerResponse:
        """Handle a pull, which may wait for updates."""
        decoded = decode(body, PullRequest)
        if isinstance(decoded, Failure):
            return _error(STATUS_BAD_REQUEST, str(decoded.failure()))
        return PeerResponse(STATUS_OK, encode(self.on_pull(decoded.unwrap())))

    def reports(self, body: bytes) -> PeerResponse:
        """Handle a relay's batch of reports."""
        decoded = decode(body, ReportBatch)
        if isinstance(decoded, Failure):
            return _error(STATUS_BAD_REQUEST, str(decoded.failure()))
        self.on_reports(decoded.unwrap())
        return PeerResponse(STATUS_OK, b"{}")

    def status(self, query: str) -> PeerResponse:
        """Return how many sites installed a version."""
        version = parse_qs(query).get("version", [""])[0]
        if not version.isdigit():
            return _error(STATUS_BAD_REQUEST, "version: must be a whole number")
        return PeerResponse(STATUS_OK, encode(self.on_status(int(version))))


def _compressed(response: PeerResponse) -> PeerResponse:
    if not should_compress(response.body):
        return response
    headers = [(HEADER_CONTENT_ENCODING, ENCODING_DEFLATE)]
    return PeerResponse(response.status, compress(response.body), headers)


def _error(status: int, reason: str) -> PeerResponse:
    return PeerResponse(status, encode(ErrorBody(reason)))
