"""Client for an upstream's health and load endpoints."""

from bilberry_balance.endpoint import HealthState, LoadReport
from bilberry_core.clock import Clock
from bilberry_core.outcome import Failure, Result, Success
from bilberry_resources.codec import decode

from .control import ControlClient, ControlError
from .messages import HealthReply

PATH_HEALTH = "/health"
PATH_LOAD = "/load"
METHOD_GET = "GET"


class Probe:
    """Query one upstream over a connection of its own."""

    __slots__ = ("client",)

    def __init__(self, address: str, clock: Clock) -> None:
        self.client = ControlClient(address, 1, clock)

    @property
    def address(self) -> str:
        """Return the upstream's address."""
        return self.client.address

    def close(self) -> None:
        """Close the connection."""
        self.client.close()

    def health(self, timeout_ms: int) -> Result[HealthState, ControlError]:
        """Return the health that the upstream reports."""
        body = self.client.call(METHOD_GET, PATH_HEALTH, timeout_ms)
        if isinstance(body, Failure):
            return body
        health = decode(body.unwrap(), HealthReply)
        if isinstance(health, Failure):
            return Failure(ControlError(str(health.failure())))
        return Success(HealthState(health.unwrap().state.value))

    def load(self, timeout_ms: int) -> Result[LoadReport, ControlError]:
        """Return the load that the upstream reports."""
        body = self.client.call(METHOD_GET, PATH_LOAD, timeout_ms)
        if isinstance(body, Failure):
            return body
        return decode(body.unwrap(), LoadReport).alt(
            lambda error: ControlError(str(error))
        )
