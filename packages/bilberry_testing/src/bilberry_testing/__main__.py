"""Run one simulated service as a process."""

import logging
import signal
import sys
from dataclasses import dataclass
from typing import Annotated, Protocol

import cappa
import gevent
from gevent.event import Event

from .const import (
    DEFAULT_ADDRESS,
    DEFAULT_HISTORY_EVENTS,
    DEFAULT_QUEUE,
    DEFAULT_SERVICE_MS,
    DEFAULT_SLOTS,
)
from .platform import ObjectTable, PlatformServer
from .upstream import Control, Identity, UpstreamServer

Port = Annotated[int, cappa.Arg(long=True, help="Port; 0 chooses a free one.")]
Address = Annotated[str, cappa.Arg(long=True, help="IP address to bind.")]


class SimulatedService(Protocol):
    """Describe a simulated service that can be started and closed."""

    @property
    def url(self) -> str:
        """Return the base URL."""
        ...

    def start(self) -> None:
        """Bind and serve."""
        ...

    def close(self) -> None:
        """Stop serving."""
        ...


@dataclass
class Platform:
    """Serve the platform's object API."""

    port: Port = 0
    address: Address = DEFAULT_ADDRESS
    history: Annotated[
        int, cappa.Arg(long=True, help="Events kept for watches, per kind.")
    ] = DEFAULT_HISTORY_EVENTS

    def __call__(self) -> int:
        """Serve until a signal arrives."""
        table = ObjectTable(history_limit=self.history)
        return serve(PlatformServer(self.port, self.address, table))


@dataclass
class Upstream:
    """Serve one upstream of a service."""

    port: Port = 0
    address: Address = DEFAULT_ADDRESS
    name: Annotated[str, cappa.Arg(long=True, help="Name in answers.")] = "upstream"
    service: Annotated[str, cappa.Arg(long=True, help="Service in answers.")] = ""
    region: Annotated[str, cappa.Arg(long=True, help="Region in answers.")] = ""
    slots: Annotated[
        int, cappa.Arg(long=True, help="Number of requests that run in parallel.")
    ] = DEFAULT_SLOTS
    queue: Annotated[
        int, cappa.Arg(long=True, help="Number of requests that may wait for a slot.")
    ] = DEFAULT_QUEUE
    service_ms: Annotated[
        int, cappa.Arg(long=True, help="Service time of a request, in ms.")
    ] = DEFAULT_SERVICE_MS
    warm_ms: Annotated[
        int, cappa.Arg(long=True, help="Duration of the warm-up, in ms.")
    ] = 0
    exit_on_crash: Annotated[
        bool, cappa.Arg(long=True, help="End the process at a crash fault.")
    ] = False

    def __call__(self) -> int:
        """Serve until a signal arrives."""
        identity = Identity(name=self.name, service=self.service, region=self.region)
        control = Control(
            slots=self.slots,
            queue=self.queue,
            service_ms=self.service_ms,
            warm_ms=self.warm_ms,
            exit_on_crash=self.exit_on_crash,
        )
        return serve(UpstreamServer(identity, control, self.port, self.address))


@cappa.command(name="python -m bilberry_testing")
@dataclass
class Command:
    """Run a simulated service until SIGTERM or SIGINT."""

    stand_in: cappa.Subcommands[Platform | Upstream]


def serve(stand_in: SimulatedService) -> int:
    """Serve until a signal arrives; print the URL once ready."""
    stopped = Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    gevent.signal_handler(signal.SIGINT, stopped.set)
    stand_in.start()
    sys.stdout.write(f"{stand_in.url}\n")
    sys.stdout.flush()
    stopped.wait()
    stand_in.close()
    return 0


def main() -> int:
    """Run the simulated service named on the command line."""
    logging.basicConfig(level=logging.WARNING)
    return cappa.invoke(Command)


if __name__ == "__main__":
    sys.exit(main())
