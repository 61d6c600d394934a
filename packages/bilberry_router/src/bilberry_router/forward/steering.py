"""Interface from forwarding to the steering decisions."""

from typing import Protocol

from bilberry_steering.routing_results import RequestResult, Route, Shed


class Steering(Protocol):
    """Choose regions for requests; times are wall-clock ms."""

    def route(
        self, service: str, client_ip: str, request_hash: int, now_ms: int
    ) -> Route | Shed:
        """Return the request's route and consume its quotas."""
        ...

    def route_again(
        self, service: str, client_ip: str, request_hash: int, now_ms: int
    ) -> Route | None:
        """Return a route for a request shed before, None if still full."""
        ...

    def take_quotas(self, service: str, region: str, now_ms: int) -> bool:
        """Consume the quotas of one more region; False if it is full."""
        ...

    def record_result(self, result: RequestResult, now_ms: int) -> None:
        """Record a request's result."""
        ...
