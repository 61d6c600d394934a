"""What forwarding needs of the steering decisions."""

from typing import Protocol

from bilberry_steering.routing_results import RequestResult, Route, Shed


class Steering(Protocol):
    """Choose regions for requests; all times are wall ms."""

    def route(
        self, service: str, client_ip: str, request_hash: int, now_ms: int
    ) -> Route | Shed:
        """Return where a request goes, and draw its quotas."""
        ...

    def route_again(
        self, service: str, client_ip: str, request_hash: int, now_ms: int
    ) -> Route | None:
        """Return where a request that was shed may go now, if anywhere."""
        ...

    def take_quotas(self, service: str, region: str, now_ms: int) -> bool:
        """Draw the quotas for one more region; False when it is full."""
        ...

    def record_result(self, result: RequestResult, now_ms: int) -> None:
        """Count what became of a request."""
        ...
