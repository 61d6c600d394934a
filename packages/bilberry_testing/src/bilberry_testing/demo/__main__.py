"""Run the demo and check every step."""

import signal
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import gevent
from gevent import monkey
from gevent.event import Event

from bilberry_resources.codec import encode

from .cluster import DemoCluster, DemoError
from .deployment import CALLERS
from .steps import STEPS, Demo, apply_configuration
from .traffic import Caller


@cappa.command(name="script/demo")
@dataclass
class Command:
    """Run a store, upstreams in two regions and three nodes, and use them."""

    serve: Annotated[
        bool, cappa.Arg(long=True, help="Leave it running until interrupted.")
    ] = False
    addresses_file: Annotated[
        Path | None, cappa.Arg(long=True, help="Write the addresses as JSON.")
    ] = None


def print_line(text: str = "") -> None:
    """Print one line and flush the output."""
    sys.stdout.write(text + "\n")
    sys.stdout.flush()


def main() -> int:
    """Run the demo; return 0 if every check passed, else 1."""
    command = cappa.parse(Command, completion=False)
    cluster = DemoCluster()
    stopped = Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    gevent.signal_handler(signal.SIGINT, stopped.set)
    started = time.monotonic()
    try:
        cluster.start()
        show_addresses(cluster)
        if command.serve:
            serve(cluster, command, stopped)
        else:
            write_addresses(cluster, command)
            run_steps(cluster)
            print_line(f"All checks passed in {time.monotonic() - started:.1f} s.")
        return 0
    except DemoError as error:
        print_line(f"FAILED: {error}")
        print_line(f"Logs are in {cluster.directory}")
        return 1
    finally:
        cluster.close()


def run_steps(cluster: DemoCluster) -> None:
    """Run each step and print its result lines."""
    callers = {
        region: Caller(cluster.nodes, "suivi", sources)
        for region, sources in CALLERS.items()
    }
    demo = Demo(cluster, callers)
    try:
        for number, (title, step) in enumerate(STEPS.items(), 1):
            print_line(f"\n{number}. {title}")
            for line in step(demo):
                print_line(f"   {line}")
    finally:
        for caller in callers.values():
            caller.close()


def serve(cluster: DemoCluster, command: Command, stopped: Event) -> None:
    """Apply the configuration and serve until interrupted."""
    apply_configuration(Demo(cluster, {}))
    write_addresses(cluster, command)
    print_line("Ready. Press Ctrl-C to stop.")
    stopped.wait()


def show_addresses(cluster: DemoCluster) -> None:
    """Print the URLs of all processes."""
    addresses = cluster.addresses()
    print_line(f"store     {addresses.store}")
    for node in addresses.nodes:
        print_line(f"node      {node.url}  admin {node.admin_url}  {node.name}")
    for upstream in addresses.upstreams:
        print_line(f"upstream  {upstream.url}  {upstream.name}")


def write_addresses(cluster: DemoCluster, command: Command) -> None:
    """Write the addresses to the requested file, atomically."""
    if command.addresses_file is None:
        return
    partial = command.addresses_file.with_suffix(".partial")
    partial.write_bytes(encode(cluster.addresses()))
    partial.replace(command.addresses_file)


if __name__ == "__main__":
    monkey.patch_all()
    sys.exit(main())
